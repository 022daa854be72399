#include "Mesh/AnnouncedUpstream.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/NodeRegistry.h"
#include "Routing/WeightedRoundRobin.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace robinrun;

namespace {

proto::NodeRecord makeRecord(std::uint64_t incarnation, std::uint64_t sequence, const std::string& upstream)
{
    proto::NodeRecord out;
    out.set_node("n");
    out.set_incarnation(incarnation);
    out.set_sequence(sequence);
    out.set_service("s");
    out.set_upstream(upstream);
    return out;
}

Announcement makeAnnouncement(const std::string& upstream, std::uint64_t sequence, AnnouncedState state)
{
    Announcement out;
    out.life = BackendLife(upstream);
    out.slots = 4;
    out.sequence = sequence;
    out.state = state;
    return out;
}

} // namespace

TEST_CASE("The latest record of a node is valid in any order of arrival", "[mesh]")
{
    rc::prop("order", [] {
        std::vector<proto::NodeRecord> records;
        for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
            for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
                records.push_back(makeRecord(
                    incarnation, sequence, "u" + std::to_string(incarnation) + std::to_string(sequence)));
        }
        for (std::size_t i = records.size(); i > 1; --i)
            std::swap(records[i - 1], records[*rc::gen::inRange<std::size_t>(0, i)]);
        NodeRegistry registry;
        for (const auto& it : records)
            registry.mergeRecord(it);
        RC_ASSERT(registry.find("n")->upstream() == "u33");
    });
}

TEST_CASE(
    "Only data that routing needs counts as a change, and nodes that are gone have no upstream", "[mesh]")
{
    NodeRegistry registry;
    REQUIRE(registry.mergeRecord(makeRecord(1, 1, "u")) == NodeRegistry::Change::Changed);
    REQUIRE(registry.mergeRecord(makeRecord(1, 2, "u")) == NodeRegistry::Change::Refreshed);
    REQUIRE(registry.mergeRecord(makeRecord(1, 2, "u")) == NodeRegistry::Change::None);
    REQUIRE(registry.mergeRecord(makeRecord(1, 1, "older")) == NodeRegistry::Change::None);
    REQUIRE(registry.upstreams().size() == 1);
    auto gone = makeRecord(1, 3, "u");
    gone.set_gone(true);
    REQUIRE(registry.mergeRecord(gone) == NodeRegistry::Change::Changed);
    REQUIRE(registry.upstreams().empty());
}

TEST_CASE("The number of contacts is bounded, and each node is a contact of some other node", "[mesh]")
{
    constexpr std::size_t nodes = 200;
    constexpr std::size_t contacts = 16;
    NodeRegistry registry;
    for (std::size_t i = 0; i < nodes; ++i) {
        auto it = makeRecord(1, 1, "u" + std::to_string(i));
        it.set_node("n" + std::to_string(i));
        registry.mergeRecord(it);
    }
    std::vector<std::size_t> timesChosen(nodes, 0);
    for (std::size_t i = 0; i < nodes; ++i) {
        const auto contactNames = registry.contactsOf("n" + std::to_string(i), contacts).all();
        REQUIRE(contactNames.size() == contacts);
        for (const auto& it : contactNames)
            ++timesChosen[std::stoul(it.substr(1))];
    }
    // Each node is a contact of some other node.
    REQUIRE(*std::min_element(timesChosen.begin(), timesChosen.end()) > 0);
    REQUIRE(*std::max_element(timesChosen.begin(), timesChosen.end()) < 4 * contacts);
}

TEST_CASE("A life that has announced that it leaves does not become ready again", "[mesh]")
{
    AnnouncedUpstream upstream;
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement("a", 1, AnnouncedState::Ready)));
    REQUIRE_FALSE(upstream.applyAnnouncement(
        makeAnnouncement("a", 1, AnnouncedState::Draining))); // a repeated sequence number
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement("a", 3, AnnouncedState::Draining)));
    REQUIRE_FALSE(upstream.applyAnnouncement(makeAnnouncement("a", 2, AnnouncedState::Ready)));
    REQUIRE_FALSE(upstream.applyAnnouncement(makeAnnouncement("a", 4, AnnouncedState::Ready)));
    REQUIRE(upstream.isLeaving());
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement("b", 1, AnnouncedState::Ready))); // a new life
    REQUIRE_FALSE(upstream.isLeaving());
    REQUIRE_FALSE(
        upstream.applyAnnouncement(makeAnnouncement("a", 9, AnnouncedState::Ready))); // of the former life
    REQUIRE(upstream.current()->life.id() == "b");
    REQUIRE(upstream.applyAnnouncement(
        makeAnnouncement("b", 0, AnnouncedState::Gone))); // the server leaves without draining first
    REQUIRE(upstream.isLeaving());
}

TEST_CASE("The state in the health answer is valid until the first announcement", "[mesh]")
{
    AnnouncedUpstream upstream;
    REQUIRE(upstream.applyHealthAnswer(makeAnnouncement("a", 0, AnnouncedState::Draining)));
    REQUIRE(upstream.isLeaving()); // an unhealthy server counts as leaving for now
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement("a", 5, AnnouncedState::Ready)));
    REQUIRE_FALSE(upstream.isLeaving());
    REQUIRE_FALSE(upstream.applyHealthAnswer(makeAnnouncement("b", 0, AnnouncedState::Ready)));
    AnnouncedUpstream second;
    REQUIRE(second.applyHealthAnswer(makeAnnouncement("a", 0, AnnouncedState::Ready)));
    REQUIRE(second.markLeaving(BackendLife("a"))); // an earlier incarnation of the node has acknowledged it
    REQUIRE_FALSE(second.applyAnnouncement(makeAnnouncement("a", 5, AnnouncedState::Ready)));
    REQUIRE(second.isLeaving());
}

TEST_CASE("Parts of a split get calls by their weights to within one call", "[mesh]")
{
    rc::prop("weights", [] {
        const auto first = *rc::gen::inRange(1, 100);
        const auto second = *rc::gen::inRange(1, 100);
        WeightedRoundRobin roundRobin(*rc::gen::arbitrary<std::uint64_t>());
        const WeightedRoundRobin::Split split { { "a", first }, { "b", second } };
        int callsToFirst = 0;
        for (int i = 1; i <= 200; ++i) {
            callsToFirst += roundRobin.nextTarget("r", split) == "a";
            const double expectedCalls = double(i) * first / (first + second);
            RC_ASSERT(std::abs(callsToFirst - expectedCalls) <= 1);
        }
    });
    WeightedRoundRobin roundRobin(1);
    REQUIRE(roundRobin.nextTarget("r", {}) == "");
    REQUIRE(roundRobin.nextTarget("r", { { "only", 0 } }) == "only");
}

TEST_CASE("Parts of a split get calls by their weights if many nodes have few calls each", "[mesh]")
{
    // 100 nodes with two calls each: if all started with the same part, all calls would go to the larger
    // part.
    const WeightedRoundRobin::Split split { { "a", 3 }, { "b", 1 } };
    int callsToFirst = 0;
    for (std::uint64_t node = 0; node < 100; ++node) {
        WeightedRoundRobin roundRobin(node);
        for (int i = 0; i < 2; ++i)
            callsToFirst += roundRobin.nextTarget("r", split) == "a";
    }
    REQUIRE(std::abs(callsToFirst - 150) <= 20);
}

TEST_CASE("A configuration is adopted only if it is newer and can be parsed", "[mesh]")
{
    MeshFormats formats;
    formats.readConfiguration = [](std::string_view text) -> Result<Configuration, std::string> {
        if (text.empty())
            return failure(std::string("is empty"));
        Configuration out;
        out.version = std::stoull(std::string(text));
        return out;
    };
    ConfigHolder holder;
    REQUIRE_FALSE(holder.adoptIfNewer("", "test", formats));
    REQUIRE_FALSE(holder.hasConfiguration());
    REQUIRE(holder.adoptIfNewer("9", "test", formats));
    REQUIRE_FALSE(holder.adoptIfNewer("9", "test", formats));
    REQUIRE_FALSE(holder.adoptIfNewer("8", "test", formats));
    REQUIRE(holder.adoptIfNewer("10", "test", formats));
    REQUIRE(holder.version() == 10);
    REQUIRE(holder.text() == "10");
}
