#include "Control/InForceAggregator.h"
#include "Control/Tree.h"
#include "support/ControlModel.h"

#include <catch2/catch.hpp>
#include <set>

using namespace robinrun;
using support::ControlModel;

namespace {

/// The longest time until a change is in force everywhere, from its append or from the end of the last fault.
constexpr Duration inForceBound = 9s;

ControlModel::Options oneRegionOptions(int halls, int nodesPerHall)
{
    ControlModel::Options options;
    options.regions = 1;
    options.hallsPerRegion = halls;
    options.nodesPerHall = nodesPerHall;
    return options;
}

} // namespace

TEST_CASE("A change is in force everywhere within 3 s, and control traffic stays below 7000 bytes per second",
    "[control]")
{
    ControlModel model(1, {});
    model.run(10s);
    const auto readCount = model.logReadCount();
    model.appendChange(0, "services/a", 0);
    const auto written = model.loop().now();
    model.run(inForceBound);
    REQUIRE(model.hasConverged());
    for (std::size_t i = 0; i < model.size(); ++i)
        REQUIRE(*model.appliedAt(i, 0) - written <= 3s);
    // The 2 readers of each of the 4 halls hold one read open; no other node reads the log.
    INFO(model.logReadCount() - readCount);
    REQUIRE(model.sentBytes() / model.size() / 20 < 7000);
}

TEST_CASE(
    "All nodes reach the same state despite racing writers, log faults, restarts and cut links", "[control]")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        ControlModel::Options options;
        options.logFaults.loseReply = 0.2;
        options.logFaults.delayEffect = 0.1;
        options.logFaults.swallow = 0.1;
        ControlModel model(seed, options);
        auto& random = model.random();
        model.run(5s);
        const auto start = model.loop().now();
        const auto randomTime = [&](double seconds) { return start + fromSeconds(random.unit() * seconds); };
        for (int i = 0; i < 30; ++i) {
            model.loop().at(randomTime(30), [&] {
                const auto writer = random.below(model.size());
                if (!model.isLive(writer))
                    return;
                const auto name = "services/s" + std::to_string(random.below(3));
                const auto* present = model.plane(writer).follower().state().find(name);
                const auto base = present ? present->version() : 0;
                model.appendChange(writer, name, base);
                model.appendChange((writer + 1) % model.size(), name, base);
            });
        }
        for (int i = 0; i < 6; ++i) {
            const auto restartedNode = random.below(model.size());
            const auto when = randomTime(25);
            model.loop().at(when, [&model, restartedNode] {
                if (model.isLive(restartedNode))
                    model.stop(restartedNode);
            });
            model.loop().at(when + 2s, [&model, restartedNode] {
                if (!model.isLive(restartedNode))
                    model.start(restartedNode);
            });
            const auto pausedNode = random.below(model.size());
            model.loop().at(
                randomTime(25), [&model, pausedNode] { model.pause(pausedNode, model.loop().now() + 4s); });
        }
        model.loop().at(randomTime(20), [&model] { model.log().outageUntil(model.loop().now() + 8s); });
        model.loop().at(randomTime(20), [&model] { model.cutRegion(1, model.loop().now() + 8s); });
        model.run(35s + inForceBound);
        INFO("seed " << seed);
        REQUIRE(model.hasConverged());
        REQUIRE(model.offsetDecreases() == 0);
    }
}

TEST_CASE(
    "Nodes that restart during a log outage get the state from a peer, or from the log after the outage",
    "[control]")
{
    ControlModel model(7, {});
    model.run(3s);
    for (int i = 0; i < 5; ++i)
        model.appendChange(0, "services/s" + std::to_string(i), 0);
    model.run(5s);
    REQUIRE(model.hasConverged());
    model.log().outageUntil(model.loop().now() + 20s);
    for (std::size_t i = 1; i < model.size(); ++i) {
        model.stop(i);
        model.start(i);
    }
    // Node 0 still has the state: the others get it from there, without the log.
    model.run(10s);
    REQUIRE(model.hasConverged());
    for (std::size_t i = 0; i < model.size(); ++i) {
        model.stop(i);
        model.start(i);
    }
    // No node has the state any more: none follows the log until the outage ends.
    model.run(5s);
    REQUIRE(model.plane(3).follower().nextOffset() == 0);
    REQUIRE(model.plane(3).follower().logState() != LogFollowState::Followed);
    model.run(10s + inForceBound);
    REQUIRE(model.hasConverged());
}

TEST_CASE("Restarted nodes get all resources although the log has dropped the records of some", "[control]")
{
    ControlModel model(5, {});
    model.run(3s);
    for (int i = 0; i < 700; ++i) {
        model.appendChange(0, "services/s" + std::to_string(i % 50), 0);
        model.run(50ms);
    }
    model.run(60s);
    const auto end = model.plane(0).follower().nextOffset();
    REQUIRE(end > 700);
    model.log().trim("config", 300);
    for (std::size_t i = 0; i < model.size(); ++i) {
        model.stop(i);
        model.start(i);
    }
    model.run(20s);
    REQUIRE(model.hasConverged());
    REQUIRE(model.plane(2).follower().state().resources().size() == 50);
}

TEST_CASE(
    "The top of the counting tree knows the number of nodes and the lowest and highest offset", "[control]")
{
    ControlModel model(3, {});
    model.run(5s);
    model.appendChange(0, "services/a", 0);
    model.run(20s);
    proto::InForce total;
    const auto count = [&] {
        model.plane(5).countInForce([&](const proto::InForce& it) { total = it; }, model.loop().now());
        model.run(2s);
    };
    count();
    REQUIRE(total.nodes() == model.size());
    REQUIRE(total.min_next_offset() == 1);
    model.pause(9, model.loop().now() + 60s);
    model.appendChange(0, "services/b", 0);
    model.run(8s);
    count();
    REQUIRE(total.min_next_offset() == 1);
    REQUIRE(total.max_next_offset() == 2);
}

TEST_CASE("A restarted node gets new records again within 1.5 s", "[control]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        // In a hall of 60 nodes, random digests alone rarely reach the parents of the restarted node.
        ControlModel model(seed, oneRegionOptions(1, 60));
        model.run(5s);
        const std::size_t restartedNode = seed % model.size();
        model.stop(restartedNode);
        // Its parents find it unreachable when they forward this record.
        model.appendChange((restartedNode + 1) % model.size(), "services/a", 0);
        model.run(3s);
        model.start(restartedNode);
        model.run(1s);
        model.appendChange((restartedNode + 1) % model.size(), "services/b", 0);
        model.run(1500ms);
        INFO("seed " << seed);
        REQUIRE(model.plane(restartedNode).follower().nextOffset() == 2);
    }
}

TEST_CASE(
    "A change made just after a node's restart is in force there within 1.5 s, before links to it reconnect",
    "[control]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlModel model(seed, oneRegionOptions(2, 50));
        model.run(5s);
        model.appendChange(1, "services/a", 0);
        model.run(30s);
        const std::size_t restartedNode = seed % model.size();
        model.stop(restartedNode);
        model.start(restartedNode);
        model.run(500ms);
        model.appendChange((restartedNode + 1) % model.size(), "services/b", 0);
        model.run(1500ms);
        INFO("seed " << seed);
        REQUIRE(model.plane(restartedNode).follower().nextOffset() == 2);
    }
}

TEST_CASE("The descendants of unreachable hosts get new records within 300 ms", "[control]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto options = oneRegionOptions(1, 60);
        options.lossProbability = 0;
        ControlModel model(seed, options);
        model.run(5s);
        model.appendChange(1, "services/a", 0);
        model.run(30s);
        for (std::size_t i = seed; i < model.size(); i += 10)
            model.stop(i);
        model.appendChange(0, "services/b", 0);
        model.run(300ms);
        INFO("seed " << seed);
        REQUIRE(model.hasConverged());
    }
}

TEST_CASE("Records are forwarded to a suspected child and directly to its children", "[control]")
{
    Membership members({});
    HostPage page { 1, true, {}, {} };
    std::vector<std::string> names;
    for (int i = 0; i < 60; ++i) {
        names.push_back("n" + std::to_string(i));
        page.hosts.push_back({ names.back(), "a", "hall", "region", false });
    }
    members.applyPage(page);
    const auto ranked = rankByHash(names, "hall");
    ConfigDisseminator::Options options;
    options.fanOut = 4;
    ConfigDisseminator disseminator(options, *members.find(ranked[0]), 1, {});
    const auto children = treeChildren(ranked, ranked[0], ranked[0], 4);
    const auto grandchildren = treeChildren(ranked, ranked[0], children[1], 4);
    members.suspect(children[1], {});
    std::set<std::string> forwardedTo;
    for (const auto& it : disseminator.onOffsetAdvanced(members, "", 0, 1, {}))
        forwardedTo.insert(it.peer);
    std::set<std::string> expected(children.begin(), children.end());
    expected.insert(grandchildren.begin(), grandchildren.end());
    REQUIRE(forwardedTo == expected);
    REQUIRE(grandchildren.size() == 4);
}

TEST_CASE("Control traffic stays within its budget, and changes still reach all nodes", "[control]")
{
    ControlModel::Options options;
    options.bytesPerSecond = 1; // far less than digests and counts need
    ControlModel model(4, options);
    model.run(300s);
    model.appendChange(0, "services/a", 0);
    model.run(300s);
    REQUIRE(model.hasConverged());
    constexpr double unbudgetedConfigBytes = 2000;
    for (const auto& [node, bytes] : model.sentBytesByNode())
        REQUIRE(double(bytes) <= options.bytesPerSecond * (600 + 10) + unbudgetedConfigBytes);
}

TEST_CASE("A suspicion ends when it expires and when the host is heard from", "[control]")
{
    Membership members({});
    members.applyPage({ 1, true, { { "a", "1", "h", "r", false }, { "b", "2", "h", "r", true } }, {} });
    REQUIRE(members.isLive("a", {}));
    REQUIRE_FALSE(members.isLive("b", {}));
    members.suspect("a", {});
    REQUIRE_FALSE(members.isLive("a", Instant(9s)));
    REQUIRE(members.isLive("a", Instant(11s)));
    members.suspect("a", Instant(11s));
    members.clearSuspicion("a");
    REQUIRE(members.isLive("a", Instant(12s)));
    REQUIRE_FALSE(members.applyPage({ 1, true, {}, {} }));
    REQUIRE(members.size() == 2);
}

TEST_CASE("The changes of the host list since a version, applied to a copy, give the same list", "[control]")
{
    Membership source({});
    Membership copy({});
    Random random(3);
    for (std::uint64_t version = 1; version <= 300; ++version) {
        HostPage page { version, version == 1, {}, {} };
        const auto name = "n" + std::to_string(random.below(20));
        if (random.chance(0.3))
            page.gone.push_back(name);
        else
            page.hosts.push_back({ name, std::to_string(version), "h", "r", false });
        source.applyPage(page);
        if (!random.chance(0.2))
            continue;
        const auto since = copy.version();
        const auto changes = *source.changesSince(since);
        REQUIRE(changes.isWhole == (since == 0));
        copy.applyPage(changes);
        REQUIRE(copy.hostNames() == source.hostNames());
        REQUIRE_FALSE(source.changesSince(copy.version()));
    }
}

TEST_CASE("A tree reaches each host exactly once from any root", "[control]")
{
    std::vector<std::string> names;
    for (int i = 0; i < 100; ++i)
        names.push_back("n" + std::to_string(i));
    const auto ranked = rankByHash(names, "hall");
    for (const auto& root : { ranked[0], ranked[57], std::string("unlisted") }) {
        std::set<std::string> reached { root };
        std::vector<std::string> unvisited { root };
        while (!unvisited.empty()) {
            const auto self = unvisited.back();
            unvisited.pop_back();
            for (const auto& it : treeChildren(ranked, root, self, 8)) {
                REQUIRE(reached.insert(it).second);
                unvisited.push_back(it);
            }
        }
        REQUIRE(reached.size() == (root == "unlisted" ? 101 : 100));
    }
}

TEST_CASE("The number of counts is bounded, and no offset is overcounted", "[control]")
{
    InForceAggregator aggregator(10s);
    for (int i = 0; i < 40; ++i) {
        proto::InForce child;
        child.set_nodes(2);
        child.set_min_next_offset(100 + i);
        child.set_max_next_offset(100 + i);
        auto& it = *child.add_counts();
        it.set_next_offset(100 + i);
        it.set_nodes(2);
        aggregator.recordReport("c" + std::to_string(i), child, {});
    }
    const auto sum = aggregator.aggregate("self", 200, {}, {});
    REQUIRE(sum.nodes() == 81);
    REQUIRE(sum.counts_size() == InForceAggregator::maxCounts);
    for (std::uint64_t offset = 100; offset <= 200; ++offset) {
        std::uint32_t counted = 0;
        for (const auto& it : sum.counts())
            counted += it.next_offset() >= offset ? it.nodes() : 0;
        const std::uint32_t reached = 1 + (offset < 140 ? 2 * (140 - static_cast<std::uint32_t>(offset)) : 0);
        REQUIRE(counted <= reached);
    }
    REQUIRE(aggregator.aggregate("self", 200, {}, Instant(11s)).nodes() == 1);
}
