#include "Control/InForceAggregator.h"
#include "Control/Tree.h"
#include "support/ControlModel.h"

#include <catch2/catch.hpp>
#include <set>

using namespace robinrun;
using support::ControlModel;

namespace {

/// In force everywhere within this, from the append or from the end of what stood in the way.
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

TEST_CASE("A change is in force everywhere within seconds, by few readers", "[control]")
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
    // 4 halls with 2 readers each hold one read open; nobody else asks the log.
    INFO(model.logReadCount() - readCount);
    REQUIRE(model.sentBytes() / model.size() / 20 < 7000);
}

TEST_CASE(
    "Racing operators, lost replies, outages, restarts, pauses and cuts: one state everywhere", "[control]")
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
            const auto victim = random.below(model.size());
            const auto when = randomTime(25);
            model.loop().at(when, [&model, victim] {
                if (model.isLive(victim))
                    model.stop(victim);
            });
            model.loop().at(when + 2s, [&model, victim] {
                if (!model.isLive(victim))
                    model.start(victim);
            });
            const auto paused = random.below(model.size());
            model.loop().at(
                randomTime(25), [&model, paused] { model.pause(paused, model.loop().now() + 4s); });
        }
        model.loop().at(randomTime(20), [&model] { model.log().outageUntil(model.loop().now() + 8s); });
        model.loop().at(randomTime(20), [&model] { model.cutRegion(1, model.loop().now() + 8s); });
        model.run(35s + inForceBound);
        INFO("seed " << seed);
        REQUIRE(model.hasConverged());
        REQUIRE(model.offsetDecreases() == 0);
    }
}

TEST_CASE("All nodes restart while the log is out: they wait, say so, and have it all after", "[control]")
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
    // One node is left with the state: the others take it from there, without the log.
    model.run(10s);
    REQUIRE(model.hasConverged());
    for (std::size_t i = 0; i < model.size(); ++i) {
        model.stop(i);
        model.start(i);
    }
    // Nobody has it any more: nothing is served until the log is back.
    model.run(5s);
    REQUIRE(model.plane(3).follower().nextOffset() == 0);
    REQUIRE(model.plane(3).follower().logState() != LogFollowState::Followed);
    model.run(10s + inForceBound);
    REQUIRE(model.hasConverged());
}

TEST_CASE("The log forgets: snapshots are appended in time, and late nodes still find all", "[control]")
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

TEST_CASE("Counting what is in force reaches the top of the tree, and names who is behind", "[control]")
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

TEST_CASE("A restarted node is passed new records again within a second or two", "[control]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlModel model(
            seed, oneRegionOptions(1, 60)); // so that random digests alone rarely reach its parents
        model.run(5s);
        const std::size_t victim = seed % model.size();
        model.stop(victim);
        // Its parents find out that it is gone while they pass something on.
        model.appendChange((victim + 1) % model.size(), "services/a", 0);
        model.run(3s);
        model.start(victim);
        model.run(1s);
        model.appendChange((victim + 1) % model.size(), "services/b", 0);
        model.run(1500ms);
        INFO("seed " << seed);
        REQUIRE(model.plane(victim).follower().nextOffset() == 2);
    }
}

TEST_CASE("A change made while a node restarts is in force there before links to it stand again", "[control]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlModel model(seed, oneRegionOptions(2, 50));
        model.run(5s);
        model.appendChange(1, "services/a", 0);
        model.run(30s);
        const std::size_t victim = seed % model.size();
        model.stop(victim);
        model.start(victim);
        model.run(500ms);
        model.appendChange((victim + 1) % model.size(), "services/b", 0);
        model.run(1500ms);
        INFO("seed " << seed);
        REQUIRE(model.plane(victim).follower().nextOffset() == 2);
    }
}

TEST_CASE("Those below a host that turns out to be gone are served at once", "[control]")
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

TEST_CASE("Those below a suspected host are served in its place, and it is tried all the same", "[control]")
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
    ConfigDisseminator spread(options, *members.find(ranked[0]), 1, {});
    const auto children = treeChildren(ranked, ranked[0], ranked[0], 4);
    const auto below = treeChildren(ranked, ranked[0], children[1], 4);
    members.suspect(children[1], {});
    std::set<std::string> served;
    for (const auto& it : spread.onOffsetAdvanced(members, "", 0, 1, {}))
        served.insert(it.peer);
    std::set<std::string> expected(children.begin(), children.end());
    expected.insert(below.begin(), below.end());
    REQUIRE(served == expected);
    REQUIRE(below.size() == 4);
}

TEST_CASE("Control traffic stays inside its budget, and changes still get through", "[control]")
{
    ControlModel::Options options;
    options.bytesPerSecond = 1; // far less than the digests and counts would take
    ControlModel model(4, options);
    model.run(300s);
    model.appendChange(0, "services/a", 0);
    model.run(300s);
    REQUIRE(model.hasConverged());
    constexpr double unbudgetedConfigBytes = 2000;
    for (const auto& [node, bytes] : model.sentBytesByNode())
        REQUIRE(double(bytes) <= options.bytesPerSecond * (600 + 10) + unbudgetedConfigBytes);
}

TEST_CASE("A wrong suspicion heals by itself", "[control]")
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

TEST_CASE("Host changes are passed on as what changed, and add up to the same list", "[control]")
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

TEST_CASE("A tree reaches each host once, whatever its root", "[control]")
{
    std::vector<std::string> names;
    for (int i = 0; i < 100; ++i)
        names.push_back("n" + std::to_string(i));
    const auto ranked = rankByHash(names, "hall");
    for (const auto& root : { ranked[0], ranked[57], std::string("stranger") }) {
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
        REQUIRE(reached.size() == (root == "stranger" ? 101 : 100));
    }
}

TEST_CASE("Counts are bounded and never overstate what is in force", "[control]")
{
    InForceAggregator tree(10s);
    for (int i = 0; i < 40; ++i) {
        proto::InForce child;
        child.set_nodes(2);
        child.set_min_next_offset(100 + i);
        child.set_max_next_offset(100 + i);
        auto& it = *child.add_counts();
        it.set_next_offset(100 + i);
        it.set_nodes(2);
        tree.recordReport("c" + std::to_string(i), child, {});
    }
    const auto sum = tree.aggregate("self", 200, {}, {});
    REQUIRE(sum.nodes() == 81);
    REQUIRE(sum.counts_size() == InForceAggregator::maxCounts);
    for (std::uint64_t offset = 100; offset <= 200; ++offset) {
        std::uint32_t counted = 0;
        for (const auto& it : sum.counts())
            counted += it.next_offset() >= offset ? it.nodes() : 0;
        const std::uint32_t reached = 1 + (offset < 140 ? 2 * (140 - static_cast<std::uint32_t>(offset)) : 0);
        REQUIRE(counted <= reached);
    }
    REQUIRE(tree.aggregate("self", 200, {}, Instant(11s)).nodes() == 1);
}
