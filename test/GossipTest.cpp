#include "Mesh/Gossip.h"
#include "Mesh/ContactReach.h"
#include "Mesh/FollowShare.h"
#include "Mesh/PullPlan.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <rapidcheck/catch.h>
#include <set>

using namespace robinrun;

namespace {

/// \brief Nodes with their registries, and messages between them that may get lost. No sockets, no time.
class Swarm {
public:
    Swarm(std::size_t n, std::uint64_t seed, double loss)
        : m_random(seed)
        , m_loss(loss)
    {
        for (std::size_t i = 0; i < n; ++i)
            m_nodes.push_back(std::make_unique<Node>(*this, nameOf(i)));
    }

    static std::string nameOf(std::size_t i) { return "n" + std::to_string(i); }

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

    NodeRegistry& registry(std::size_t i) { return m_nodes[i]->registry; }

    /// \brief All know the first record of each.
    void introduceAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            for (auto& it : m_nodes)
                it->registry.take(recordOf(i, 1));
        }
    }

    void publish(std::size_t i, std::uint64_t sequence)
    {
        const auto record = recordOf(i, sequence);
        m_nodes[i]->registry.take(record);
        m_nodes[i]->gossip.publish(record, m_now);
        settle();
    }

    /// \brief One round of regular contact.
    void contactAll()
    {
        m_now += 1s;
        for (auto& it : m_nodes) {
            proto::NodeContact contact;
            contact.set_registry_digest(it->registry.digest());
            it->gossip.tellContacts(contact, m_now);
            settle();
        }
    }

    /// \returns how many nodes know the record of node \a i with \a sequence.
    std::size_t knowing(std::size_t i, std::uint64_t sequence) const
    {
        std::size_t n = 0;
        for (const auto& it : m_nodes) {
            const auto* known = it->registry.find(nameOf(i));
            n += known && known->sequence() == sequence;
        }
        return n;
    }

    std::size_t messages = 0;
    std::size_t largest = 0; ///< records in one message

private:
    struct Node {
        Node(Swarm& swarm, const std::string& name)
            : gossip(registry, name, {},
                [&swarm, name](const std::string& to, proto::PeerMessage& message, Instant) {
                    swarm.post(name, to, message);
                })
        {
        }
        NodeRegistry registry;
        Gossip gossip;
    };
    struct Posted {
        std::string from;
        std::string to;
        proto::PeerMessage message;
    };

    void post(const std::string& from, const std::string& to, const proto::PeerMessage& message)
    {
        ++messages;
        largest = std::max(largest, static_cast<std::size_t>(message.node_records().records_size()));
        if (!m_random.chance(m_loss))
            m_posted.push_back({ from, to, message });
    }

    void settle()
    {
        while (!m_posted.empty()) {
            const auto it = m_posted.front();
            m_posted.pop_front();
            deliver(it, *m_nodes[std::stoul(it.to.substr(1))]);
        }
    }

    void deliver(const Posted& posted, Node& node)
    {
        const auto reply = [&](proto::PeerMessage& message) { post(posted.to, posted.from, message); };
        if (posted.message.has_node_contact()) {
            const bool isNew = !node.registry.find(posted.from);
            node.gossip.heardDigest(posted.message.node_contact().registry_digest(), isNew, reply, m_now);
        } else if (posted.message.has_registry_digests()) {
            node.gossip.answer(posted.message.registry_digests(), reply);
        } else {
            for (const auto& it : posted.message.node_records().records()) {
                if (node.registry.take(it) != NodeRegistry::Change::None)
                    node.gossip.spread(it, posted.from);
            }
            node.gossip.complete(posted.message.node_records(), reply);
            node.gossip.flush(m_random, m_now);
        }
    }

    Random m_random;
    double m_loss;
    Instant m_now {};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<Posted> m_posted;
};

} // namespace

TEST_CASE("A bucket that a peer names many times, or that there is none of, is walked once or not at all",
    "[gossip]")
{
    NodeRegistry registry;
    proto::NodeRecord record;
    record.set_node("n1");
    record.set_incarnation(1);
    registry.take(record);
    const Gossip gossip(registry, "self", {}, [](const std::string&, proto::PeerMessage&, Instant) {});
    proto::NodeRecords asked;
    for (int i = 0; i < 100; ++i)
        asked.add_whole_buckets(static_cast<std::uint32_t>(NodeRegistry::bucketOf("n1")));
    asked.add_whole_buckets(NodeRegistry::bucketCount);
    int records = 0;
    gossip.complete(
        asked, [&](const proto::PeerMessage& reply) { records = reply.node_records().records_size(); });
    REQUIRE(records == 1);
}

TEST_CASE("A changed record reaches nearly all nodes at once, and all after a few contacts", "[gossip]")
{
    constexpr std::size_t nodes = 200;
    Swarm swarm(nodes, 7, 0);
    swarm.introduceAll();
    swarm.publish(3, 2);
    REQUIRE(swarm.knowing(3, 2) > nodes * 9 / 10);
    REQUIRE(swarm.messages < nodes * 5); // contacts of one, relays of each
    swarm.contactAll();
    swarm.contactAll();
    REQUIRE(swarm.knowing(3, 2) == nodes);
    // Of a difference in one record no more than its bucket is sent.
    REQUIRE(swarm.largest <= 4 * nodes / NodeRegistry::bucketCount);
}

TEST_CASE("Whatever gets lost, all know the same after a while", "[gossip]")
{
    rc::prop("loss", [](std::uint64_t seed) {
        Swarm swarm(40, seed, 0.5);
        swarm.introduceAll();
        for (std::uint64_t sequence = 2; sequence < 5; ++sequence)
            swarm.publish(seed % 40, sequence);
        for (int round = 0; round < 20; ++round)
            swarm.contactAll();
        RC_ASSERT(swarm.knowing(seed % 40, 4) == 40);
    });
}

TEST_CASE("Two groups of nodes that met by one node learn of each other whole", "[gossip]")
{
    // Each half read the store at another moment; one node knows both.
    constexpr std::size_t nodes = 40;
    Swarm swarm(nodes, 11, 0);
    for (std::size_t i = 0; i < nodes; ++i) {
        for (std::size_t j = 0; j < nodes; ++j) {
            if (i % 2 == j % 2 || i == 0)
                swarm.registry(i).take(Swarm::recordOf(j, 1));
        }
    }
    for (int round = 0; round < 6; ++round)
        swarm.contactAll();
    for (std::size_t i = 0; i < nodes; ++i)
        REQUIRE(swarm.knowing(i, 1) == nodes);
}

TEST_CASE("Digests differ exactly where records do", "[gossip]")
{
    NodeRegistry a;
    NodeRegistry b;
    for (std::size_t i = 0; i < 100; ++i) {
        a.take(Swarm::recordOf(i, 1));
        b.take(Swarm::recordOf(99 - i, 1)); // in another order
    }
    REQUIRE(a.digest() == b.digest());
    auto gone = Swarm::recordOf(5, 1);
    gone.set_gone(true);
    a.take(gone);
    REQUIRE(a.digest() != b.digest());
    std::set<std::size_t> differing;
    for (std::size_t i = 0; i < NodeRegistry::bucketCount; ++i) {
        if (a.digests()[i] != b.digests()[i])
            differing.insert(i);
    }
    REQUIRE(differing == std::set<std::size_t> { NodeRegistry::bucketOf("n5") });
    // That a node is gone is not taken back by a late copy of what it said before.
    REQUIRE(a.take(Swarm::recordOf(5, 1)) == NodeRegistry::Change::None);
    b.take(gone);
    REQUIRE(a.digest() == b.digest());
}

TEST_CASE("A node leaves the store to others only while it hears enough of them follow", "[gossip]")
{
    FollowShare::Options options;
    options.enough = 2;
    // Of many nodes that hear all others, those that go first by hash follow.
    std::vector<std::string> names;
    for (int i = 0; i < 50; ++i)
        names.push_back("node-" + std::to_string(i));
    std::size_t following = 0;
    Instant now {};
    for (const auto& self : names) {
        FollowShare share(self, options);
        REQUIRE_FALSE(share.mayRest(now));
        for (const auto& other : names) {
            if (other != self)
                share.heard(other, true, now);
        }
        following += !share.mayRest(now);
        if (!share.mayRest(now))
            continue;
        REQUIRE_FALSE(share.mayRest(now + options.memory + 1ms)); // they fell silent
        for (const auto& other : names)
            share.heard(other, false, now); // the store turned them away
        REQUIRE_FALSE(share.mayRest(now));
        REQUIRE(share.mayLag(now));
        REQUIRE(share.takeOverDelay(now) >= options.stagger);
        for (const auto& other : names)
            share.lost(other);
        REQUIRE(share.takeOverDelay(now) == Duration::zero());
        REQUIRE_FALSE(share.mayLag(now));
    }
    REQUIRE(following == options.enough);
}

TEST_CASE("One peer at a time is asked for a configuration, a near one first", "[gossip]")
{
    const PullPlan::Options options;
    PullPlan plan;
    Instant now {};
    REQUIRE_FALSE(plan.due(false, now));
    plan.heard("far-1", 5, false, now);
    REQUIRE_FALSE(plan.due(false, now));
    plan.heard("near-1", 5, true, now);
    REQUIRE(plan.due(false, now) == "near-1");
    REQUIRE(plan.due(false, now) == "near-1"); // the link to it is still being opened
    plan.asked("near-1", now);
    // Sixteen contacts that all have it cost one copy.
    for (int i = 0; i < 16; ++i)
        plan.heard("near-" + std::to_string(i), 5, true, now);
    REQUIRE_FALSE(plan.due(false, now + options.patience / 2));
    REQUIRE(plan.due(false, now + options.patience) == "near-15");
    plan.asked("near-15", now + options.patience);
    plan.got(5, now);
    REQUIRE_FALSE(plan.due(false, now + 1h));

    now += 1h;
    plan.heard("far-1", 6, false, now);
    REQUIRE_FALSE(plan.due(true, now + options.nearFirst));
    REQUIRE(plan.due(true, now + options.storeFirst + options.nearFirst) == "far-1");
    plan.asked("far-1", now + options.storeFirst + options.nearFirst);
    plan.heard("far-2", 7, false, now); // newer still
    plan.got(6, now);
    REQUIRE(plan.due(false, now + options.patience * 2) == "far-2");
}

TEST_CASE("A contact is lost only after it was tried for long and never reached", "[gossip]")
{
    ContactReach reach(1h);
    const std::vector<std::string> both { "a", "b" };
    const std::vector<std::string> onlyB { "b" };
    Instant now {};
    REQUIRE(reach.takeLost(both, now).empty());
    reach.reached("a", now + 30min);
    REQUIRE(reach.takeLost(both, now + 61min) == onlyB);
    REQUIRE(reach.takeLost(both, now + 62min).empty()); // told once
    // "a" was no contact for hours; that it was not tried then says nothing.
    REQUIRE(reach.takeLost(onlyB, now + 70min).empty());
    now += 5h;
    REQUIRE(reach.takeLost(both, now) == onlyB);
    REQUIRE(reach.takeLost(both, now + 59min).empty());
    REQUIRE(reach.takeLost(both, now + 2h) == std::vector<std::string> { "a", "b" });
}
