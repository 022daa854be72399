#include "Mesh/Gossip.h"
#include "Mesh/ConfigPullScheduler.h"
#include "Mesh/ContactReachability.h"
#include "Mesh/FollowerSelection.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <rapidcheck/catch.h>
#include <set>

using namespace robinrun;

namespace {

/// \brief Nodes with their registries, connected by a simulated network that loses messages. It uses no
/// sockets and no real time.
class GossipNetwork {
public:
    /// \param halls data halls among which the nodes are divided.
    GossipNetwork(std::size_t n, std::uint64_t seed, double lossRate, std::size_t halls = 1)
        : m_random(seed)
        , m_lossRate(lossRate)
        , m_halls(halls)
    {
        for (std::size_t i = 0; i < n; ++i)
            m_nodes.push_back(std::make_unique<Node>(*this, nameOf(i)));
    }

    static std::string nameOf(std::size_t i) { return "n" + std::to_string(i); }

    std::string hallOf(std::size_t i) const { return "hall-" + std::to_string(i % m_halls); }

    static proto::NodeRecord recordOf(std::size_t i, std::uint64_t sequence)
    {
        proto::NodeRecord out;
        out.set_node(nameOf(i));
        out.set_peer_address(nameOf(i));
        out.set_incarnation(1);
        out.set_sequence(sequence);
        out.set_upstream("u" + std::to_string(sequence));
        return out;
    }

    /// \returns as recordOf(), with the hall of the node.
    proto::NodeRecord recordInHall(std::size_t i, std::uint64_t sequence) const
    {
        auto out = recordOf(i, sequence);
        out.set_data_hall(hallOf(i));
        return out;
    }

    NodeRegistry& registry(std::size_t i) { return m_nodes[i]->registry; }

    /// \brief Gives all nodes the first record of each node.
    void shareFirstRecords()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            for (auto& it : m_nodes)
                it->registry.mergeRecord(recordInHall(i, 1));
        }
    }

    void publish(std::size_t i, std::uint64_t sequence)
    {
        const auto record = recordInHall(i, sequence);
        m_nodes[i]->registry.mergeRecord(record);
        m_nodes[i]->gossip.publish(record, m_now);
        deliverAll();
    }

    /// \brief Runs one round of regular contact.
    void runContactRound()
    {
        m_now += 1s;
        for (auto& it : m_nodes) {
            proto::NodeContact contact;
            contact.set_registry_digest(it->registry.digest());
            it->gossip.sendContact(contact, m_now);
            deliverAll();
        }
    }

    /// \returns how many nodes have the record of node \a i with the given \a sequence.
    std::size_t countNodesWith(std::size_t i, std::uint64_t sequence) const
    {
        std::size_t n = 0;
        for (const auto& it : m_nodes) {
            const auto* known = it->registry.find(nameOf(i));
            n += known && known->sequence() == sequence;
        }
        return n;
    }

    std::size_t messageCount = 0;
    std::size_t farBytes = 0; ///< of the messages between data halls
    std::size_t maxRecordsPerMessage = 0; ///< largest number of records in one message

private:
    struct Node {
        Node(GossipNetwork& network, const std::string& name)
            : gossip(registry, name, {},
                [&network, name](const std::string& to, proto::PeerMessage& message, Instant) {
                    network.sendMessage(name, to, message);
                })
        {
        }
        NodeRegistry registry;
        Gossip gossip;
    };
    struct InFlightMessage {
        std::string from;
        std::string to;
        proto::PeerMessage message;
    };

    void sendMessage(const std::string& from, const std::string& to, const proto::PeerMessage& message)
    {
        ++messageCount;
        if (hallOf(std::stoul(from.substr(1))) != hallOf(std::stoul(to.substr(1))))
            farBytes += message.ByteSizeLong();
        maxRecordsPerMessage
            = std::max(maxRecordsPerMessage, static_cast<std::size_t>(message.node_records().records_size()));
        if (!m_random.chance(m_lossRate))
            m_inFlight.push_back({ from, to, message });
    }

    void deliverAll()
    {
        while (!m_inFlight.empty()) {
            const auto it = m_inFlight.front();
            m_inFlight.pop_front();
            deliver(it, *m_nodes[std::stoul(it.to.substr(1))]);
        }
    }

    void deliver(const InFlightMessage& inFlight, Node& node)
    {
        const auto reply
            = [&](proto::PeerMessage& message) { sendMessage(inFlight.to, inFlight.from, message); };
        if (inFlight.message.has_node_contact()) {
            const bool isNew = !node.registry.find(inFlight.from);
            node.gossip.onDigest(inFlight.message.node_contact().registry_digest(), isNew, reply, m_now);
        } else if (inFlight.message.has_registry_digests()) {
            node.gossip.answerDigests(inFlight.message.registry_digests(), reply, m_now);
        } else if (inFlight.message.has_record_summaries()) {
            node.gossip.onSummaries(inFlight.message.record_summaries(), reply);
        } else if (inFlight.message.has_record_request()) {
            node.gossip.answerRequest(inFlight.message.record_request(), reply);
        } else {
            for (const auto& it : inFlight.message.node_records().records()) {
                if (node.registry.mergeRecord(it) != NodeRegistry::Change::None)
                    node.gossip.queueRelay(it, inFlight.from);
            }
            node.gossip.sendMissingRecords(inFlight.message.node_records(), reply);
            node.gossip.sendRelays(m_random, m_now);
        }
    }

    Random m_random;
    double m_lossRate;
    std::size_t m_halls;
    Instant m_now {};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<InFlightMessage> m_inFlight;
};

} // namespace

TEST_CASE("A bucket that a peer names repeatedly is sent once, and an unknown bucket is ignored", "[gossip]")
{
    NodeRegistry registry;
    proto::NodeRecord record;
    record.set_node("n1");
    record.set_incarnation(1);
    registry.mergeRecord(record);
    const Gossip gossip(registry, "self", {}, [](const std::string&, proto::PeerMessage&, Instant) {});
    proto::NodeRecords asked;
    for (int i = 0; i < 100; ++i)
        asked.add_whole_buckets(static_cast<std::uint32_t>(NodeRegistry::bucketOf("n1")));
    asked.add_whole_buckets(NodeRegistry::bucketCount);
    int records = 0;
    gossip.sendMissingRecords(
        asked, [&](const proto::PeerMessage& reply) { records = reply.node_records().records_size(); });
    REQUIRE(records == 1);
}

TEST_CASE(
    "A changed record reaches nearly all nodes at once, and all nodes after a few contact rounds", "[gossip]")
{
    constexpr std::size_t nodes = 200;
    GossipNetwork network(nodes, 7, 0);
    network.shareFirstRecords();
    network.publish(3, 2);
    REQUIRE(network.countNodesWith(3, 2) > nodes * 9 / 10);
    REQUIRE(network.messageCount < nodes * 5); // to the contacts of one node, and relays of each node
    network.runContactRound();
    network.runContactRound();
    REQUIRE(network.countNodesWith(3, 2) == nodes);
    // For a difference in one record only its bucket is sent.
    REQUIRE(network.maxRecordsPerMessage <= 4 * nodes / NodeRegistry::bucketCount);
}

// A start of all nodes, or a release, changes each record: the bytes between two halls are to increase with
// the changes and not with changes times nodes.
TEST_CASE("A changed record crosses between two data halls a few times, whatever their nodes", "[gossip]")
{
    const auto bytesOfChange = [](std::size_t nodes) {
        GossipNetwork network(nodes, 7, 0, 4);
        network.shareFirstRecords();
        network.publish(3, 2);
        const auto bytes = network.farBytes;
        for (int round = 0; round < 4; ++round)
            network.runContactRound();
        REQUIRE(network.countNodesWith(3, 2) == nodes);
        return bytes;
    };
    const auto ofFew = bytesOfChange(120);
    const auto ofMany = bytesOfChange(480);
    const std::size_t recordBytes = 60;
    const std::size_t hallPairs = 4 * 3;
    REQUIRE(ofFew <= hallPairs * bridgesPerHall * recordBytes);
    REQUIRE(ofMany <= hallPairs * bridgesPerHall * recordBytes);
}

TEST_CASE("A node that has just started gets all records from one contact, not from each", "[gossip]")
{
    NodeRegistry all;
    for (std::size_t i = 0; i < 1000; ++i) {
        proto::NodeRecord record;
        record.set_node("n" + std::to_string(i));
        record.set_peer_address("10.0.0.1:1");
        record.set_incarnation(1);
        all.mergeRecord(record);
    }
    NodeRegistry empty;
    Gossip started(empty, "new", {}, [](const auto&, auto&, Instant) {});
    Gossip known(all, "n1", {}, [](const auto&, auto&, Instant) {});
    std::size_t answers = 0;
    for (int peer = 0; peer < 16; ++peer) {
        known.onDigest(
            0, true,
            [&](proto::PeerMessage& request) {
                started.answerDigests(
                    request.registry_digests(), [&](proto::PeerMessage&) { ++answers; }, Instant {});
            },
            Instant {} + peer * 1s);
    }
    REQUIRE(answers == 1);
}

TEST_CASE("Two nodes exchange just the records that one of them lacks", "[gossip]")
{
    NodeRegistry a;
    NodeRegistry b;
    for (std::size_t i = 0; i < 100; ++i) {
        a.mergeRecord(GossipNetwork::recordOf(i, 1));
        b.mergeRecord(GossipNetwork::recordOf(i, 1));
    }
    a.mergeRecord(GossipNetwork::recordOf(7, 2));
    b.mergeRecord(GossipNetwork::recordOf(8, 3));
    b.mergeRecord(GossipNetwork::recordOf(200, 1));
    Gossip gossipA(a, "n0", {}, [](const auto&, auto&, Instant) {});
    Gossip gossipB(b, "n1", {}, [](const auto&, auto&, Instant) {});
    std::size_t records = 0;
    const auto mergeInto = [&](NodeRegistry& registry) {
        return [&](proto::PeerMessage& message) {
            for (const auto& it : message.node_records().records()) {
                ++records;
                registry.mergeRecord(it);
            }
        };
    };
    gossipA.onDigest(
        b.digest(), false,
        [&](proto::PeerMessage& digests) {
            gossipB.answerDigests(
                digests.registry_digests(),
                [&](proto::PeerMessage& summaries) {
                    gossipA.onSummaries(summaries.record_summaries(), [&](proto::PeerMessage& reply) {
                        if (reply.has_record_request())
                            gossipB.answerRequest(reply.record_request(), mergeInto(a));
                        else
                            mergeInto(b)(reply);
                    });
                },
                Instant {});
        },
        Instant {});
    REQUIRE(records == 3);
    REQUIRE(a.digest() == b.digest());
}

TEST_CASE("All nodes converge to the same records although messages are lost", "[gossip]")
{
    rc::prop("loss", [](std::uint64_t seed) {
        GossipNetwork network(40, seed, 0.5);
        network.shareFirstRecords();
        for (std::uint64_t sequence = 2; sequence < 5; ++sequence)
            network.publish(seed % 40, sequence);
        for (int round = 0; round < 20; ++round)
            network.runContactRound();
        RC_ASSERT(network.countNodesWith(seed % 40, 4) == 40);
    });
}

TEST_CASE("Two groups of nodes that share one node learn all records of each other", "[gossip]")
{
    // Each half of the nodes has read the store at another time; only node 0 knows both halves.
    constexpr std::size_t nodes = 40;
    GossipNetwork network(nodes, 11, 0);
    for (std::size_t i = 0; i < nodes; ++i) {
        for (std::size_t j = 0; j < nodes; ++j) {
            if (i % 2 == j % 2 || i == 0)
                network.registry(i).mergeRecord(GossipNetwork::recordOf(j, 1));
        }
    }
    for (int round = 0; round < 6; ++round)
        network.runContactRound();
    for (std::size_t i = 0; i < nodes; ++i)
        REQUIRE(network.countNodesWith(i, 1) == nodes);
}

TEST_CASE("Digests of buckets differ exactly where records differ", "[gossip]")
{
    NodeRegistry a;
    NodeRegistry b;
    for (std::size_t i = 0; i < 100; ++i) {
        a.mergeRecord(GossipNetwork::recordOf(i, 1));
        b.mergeRecord(GossipNetwork::recordOf(99 - i, 1)); // in reverse order
    }
    REQUIRE(a.digest() == b.digest());
    auto gone = GossipNetwork::recordOf(5, 1);
    gone.set_gone(true);
    a.mergeRecord(gone);
    REQUIRE(a.digest() != b.digest());
    std::set<std::size_t> differing;
    for (std::size_t i = 0; i < NodeRegistry::bucketCount; ++i) {
        if (a.digests()[i] != b.digests()[i])
            differing.insert(i);
    }
    REQUIRE(differing == std::set<std::size_t> { NodeRegistry::bucketOf("n5") });
    // A late copy of an earlier record does not revive a node that is gone.
    REQUIRE(a.mergeRecord(GossipNetwork::recordOf(5, 1)) == NodeRegistry::Change::None);
    b.mergeRecord(gone);
    REQUIRE(a.digest() == b.digest());
}

TEST_CASE("A node stands by only while it hears from enough followers", "[gossip]")
{
    FollowerSelection::Options options;
    options.targetFollowers = 2;
    // If all nodes hear from all others, those of lowest rank follow.
    std::vector<std::string> names;
    for (int i = 0; i < 50; ++i)
        names.push_back("node-" + std::to_string(i));
    std::size_t following = 0;
    Instant now {};
    for (const auto& self : names) {
        FollowerSelection selection(self, options);
        REQUIRE_FALSE(selection.mayStandBy(now));
        for (const auto& other : names) {
            if (other != self)
                selection.onPeerStatus(other, true, now);
        }
        following += !selection.mayStandBy(now);
        if (!selection.mayStandBy(now))
            continue;
        REQUIRE_FALSE(
            selection.mayStandBy(now + options.peerTimeout + 1ms)); // the peers have been silent for too long
        for (const auto& other : names)
            selection.onPeerStatus(other, false, now); // the store refuses them
        REQUIRE_FALSE(selection.mayStandBy(now));
        REQUIRE(selection.mayRetrySlowly(now));
        REQUIRE(selection.takeOverDelay(now) >= options.takeOverStagger);
        for (const auto& other : names)
            selection.onLinkClosed(other);
        REQUIRE(selection.takeOverDelay(now) == Duration::zero());
        REQUIRE_FALSE(selection.mayRetrySlowly(now));
    }
    REQUIRE(following == options.targetFollowers);
}

TEST_CASE("Only one peer at a time is asked for a configuration, one in the same data hall first", "[gossip]")
{
    const ConfigPullScheduler::Options options;
    ConfigPullScheduler scheduler;
    Instant now {};
    REQUIRE_FALSE(scheduler.peerToAsk(false, now));
    scheduler.onPeerVersion("far-1", 5, false, now);
    REQUIRE_FALSE(scheduler.peerToAsk(false, now));
    scheduler.onPeerVersion("near-1", 5, true, now);
    REQUIRE(scheduler.peerToAsk(false, now) == "near-1");
    REQUIRE(scheduler.peerToAsk(false, now) == "near-1"); // the link to it is still being opened
    scheduler.onRequestSent("near-1", now);
    // Only one copy is requested although sixteen contacts have the version.
    for (int i = 0; i < 16; ++i)
        scheduler.onPeerVersion("near-" + std::to_string(i), 5, true, now);
    REQUIRE_FALSE(scheduler.peerToAsk(false, now + options.partTimeout / 2));
    REQUIRE(scheduler.peerToAsk(false, now + options.partTimeout) == "near-15");
    scheduler.onRequestSent("near-15", now + options.partTimeout);
    scheduler.onAdopted(5, now);
    REQUIRE_FALSE(scheduler.peerToAsk(false, now + 1h));

    now += 1h;
    scheduler.onPeerVersion("far-1", 6, false, now);
    REQUIRE_FALSE(scheduler.peerToAsk(true, now + options.ownHallHeadStart));
    REQUIRE(scheduler.peerToAsk(true, now + options.storeHeadStart + options.ownHallHeadStart) == "far-1");
    scheduler.onRequestSent("far-1", now + options.storeHeadStart + options.ownHallHeadStart);
    scheduler.onPeerVersion("far-2", 7, false, now); // a still newer version
    scheduler.onAdopted(6, now);
    REQUIRE(scheduler.peerToAsk(false, now + options.partTimeout * 2) == "far-2");
}

TEST_CASE("A contact is lost only after a long time of failed attempts", "[gossip]")
{
    ContactReachability reachability(1h);
    const std::vector<std::string> both { "a", "b" };
    const std::vector<std::string> onlyB { "b" };
    Instant now {};
    REQUIRE(reachability.removeLost(both, now).empty());
    reachability.onReached("a", now + 30min);
    REQUIRE(reachability.removeLost(both, now + 61min) == onlyB);
    REQUIRE(reachability.removeLost(both, now + 62min).empty()); // reported only once
    // "a" was not a contact for hours and nothing was sent to it, so it does not count as lost.
    REQUIRE(reachability.removeLost(onlyB, now + 70min).empty());
    now += 5h;
    REQUIRE(reachability.removeLost(both, now) == onlyB);
    REQUIRE(reachability.removeLost(both, now + 59min).empty());
    REQUIRE(reachability.removeLost(both, now + 2h) == std::vector<std::string> { "a", "b" });
}
