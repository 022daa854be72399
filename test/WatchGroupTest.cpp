#include "Mesh/WatchGroup.h"
#include "Core/Hash.h"
#include "support/WatchModel.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

/// \file Who watches the store for all nodes, and how the others notice that nobody does.
///
/// Pattern: hundreds of nodes each hear 16 contacts a second, and a part of them hears the rest no more.
/// Grounds of the figures: rounds of 1 s that begin at any time, each message lost with a chance of 0.02,
/// reads that wait 0.7 to 1.5 s.
///
/// Seen: at 295 nodes those that were cut off from all others for 5 s, with the store in reach, answered by a
/// configuration that was overtaken 3 s before. Cause: they rested on the news that a member lived, for up
/// to 3.9 s, and waited up to 2.95 s more before they read; neither bound looked at how old their
/// configuration might be.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// A node with a path to the store never goes by a configuration that was overtaken longer ago.
constexpr Duration bound = 2500ms;

/// \brief What is done to the nodes, once they have settled.
struct Fault {
    const char* name;
    std::function<void(WatchModel&)> strike;
};

void cutOff(WatchModel& model, std::size_t first, std::size_t last, int island)
{
    for (auto i = first; i < last; ++i)
        model.setIsland(i, island);
}

const std::vector<Fault>& faults()
{
    static const std::vector<Fault> out {
        { "one node hears nobody", [](WatchModel& m) { m.setIsland(m.size() / 3, 1); } },
        { "a tenth of the nodes hear nobody",
            [](WatchModel& m) {
                for (std::size_t i = 0; i < m.size(); i += 10)
                    m.setIsland(i, 1 + static_cast<int>(i));
            } },
        { "a hall is cut off", [](WatchModel& m) { cutOff(m, 0, m.size() / 5, 1); } },
        { "half are cut off", [](WatchModel& m) { cutOff(m, 0, m.size() / 2, 1); } },
        { "all members are cut off from the others",
            [](WatchModel& m) {
                for (const auto it : m.members())
                    m.setIsland(it, 1);
            } },
        { "nothing that members send arrives",
            [](WatchModel& m) {
                for (const auto it : m.members())
                    m.setMute(it, true);
            } },
        { "all members stand still",
            [](WatchModel& m) {
                for (const auto it : m.members())
                    m.freeze(it, m.now() + 1h);
            } },
        { "nothing that a tenth sends arrives",
            [](WatchModel& m) {
                for (std::size_t i = 0; i < m.size(); i += 10)
                    m.setMute(i, true);
            } },
        { "the store is slow", [](WatchModel& m) { m.setAnswer(200ms); } },
        { "the store turns away half of the members",
            [](WatchModel& m) {
                for (std::size_t i = 0; i < m.members().size(); i += 2)
                    m.setStoreReached(m.members()[i], false);
            } },
    };
    return out;
}

} // namespace

TEST_CASE("As many nodes watch the store at any size, and all agree on which", "[watch]")
{
    for (const std::size_t n : { 1, 13, 16, 61, 295, 7200 }) {
        const auto addresses = addressesOf(n);
        std::size_t members = 0;
        for (std::size_t i = 0; i < std::min<std::size_t>(n, 400); ++i) {
            WatchGroup group(addresses[i], {});
            group.setNodes(addresses);
            members += group.isMember();
            REQUIRE(group.members() == std::min<std::size_t>(n, 16));
            REQUIRE(group.others().size() == group.members() - (group.isMember() ? 1 : 0));
        }
        if (n <= 400)
            REQUIRE(members == std::min<std::size_t>(n, 16));
    }
}

TEST_CASE("A node that knows of no other watches for itself", "[watch]")
{
    WatchGroup group("10.0.0.1:1", {});
    REQUIRE(group.isMember());
    REQUIRE_FALSE(group.isWatched(Instant { 1s }));
    group.setNodes({});
    REQUIRE(group.isMember());
}

TEST_CASE("In calm times members alone read, as often at any size", "[watch]")
{
    const auto every = GENERATE(Duration(0), Duration(300ms));
    for (const std::size_t n : { 61, 295, 1000 }) {
        INFO(n);
        WatchModel model(7, { n, every });
        model.run(5s);
        model.forgetReads();
        REQUIRE(model.run(20s) <= 500ms);
        // Four to five followers; a change each 0.3 s answers each of their reads.
        REQUIRE(model.reads() <= 20 * (every > 0s ? 20 : 8));
        REQUIRE(model.mostReadsAtOnce() <= 16);
    }
}

TEST_CASE("No node that reaches the store goes by an old configuration, whoever is cut off", "[watch]")
{
    const auto& fault = GENERATE(from_range(faults()));
    const auto every = GENERATE(Duration(300ms), Duration(7s));
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO(fault.name << ", seed " << seed);
    WatchModel model(seed, { 295, every });
    model.run(5s);
    fault.strike(model);
    model.forgetReads();
    CHECK(model.run(12s) <= bound);
    // A twentieth of the reads that the store bears there.
    CHECK(model.reads() <= 12 * 800);
}

TEST_CASE("The same holds for 7,200 nodes", "[watch]")
{
    const std::size_t which = GENERATE(0U, 1U, 2U, 4U);
    const auto& fault = faults()[which];
    INFO(fault.name);
    WatchModel model(1, { 7200, 300ms });
    model.run(4s);
    fault.strike(model);
    CHECK(model.run(5s) <= bound);
}

TEST_CASE("A node that stood still has the newest configuration soon after", "[watch]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    WatchModel model(seed, { 295, 300ms });
    model.run(5s);
    for (std::size_t i = 0; i < model.size(); i += 3)
        model.freeze(i, model.now() + 4s);
    model.run(4s);
    model.run(bound);
    CHECK(model.run(5s) <= bound);
}

TEST_CASE("A store that is away is tried by members alone, and its return is noticed in time", "[watch]")
{
    WatchModel model(1, { 295, 300ms });
    model.run(5s);
    for (std::size_t i = 0; i < model.size(); ++i)
        model.setStoreReached(i, false);
    model.run(4s);
    model.forgetReads();
    model.run(20s);
    // Sixteen try it each two seconds at most.
    CHECK(model.reads() <= 20 * 16);
    for (std::size_t i = 0; i < model.size(); ++i)
        model.setStoreReached(i, true);
    model.run(3s);
    CHECK(model.run(5s) <= bound);
}

TEST_CASE("The age of what was confirmed is true through any number of hands", "[watch]")
{
    rc::prop("ages", [] {
        Instant now { 1h };
        const auto lived = now;
        Duration age {};
        const auto hops = *rc::gen::inRange(1, 6);
        const auto addresses = addressesOf(300);
        for (int i = 0; i < hops; ++i) {
            const Duration held { *rc::gen::inRange<std::int64_t>(0, 1'000'000) };
            WatchGroup group(addresses[static_cast<std::size_t>(i)], {});
            group.setNodes(addresses);
            group.adopted(3);
            group.heard(3, { 0, now - age });
            group.heard(3, { 0, now - age - 5s }); // older news changes nothing
            group.heard(4, { 0, now }); // nor does news of a version that it doesn't have
            now += held;
            age = *group.age(now);
        }
        RC_ASSERT(age == now - lived);
    });
}

TEST_CASE("News of a version counts once it is in force, and only of nodes that go before", "[watch]")
{
    const auto addresses = addressesOf(300);
    WatchGroup group(addresses[5], {});
    group.setNodes(addresses);
    const Instant now { 1h };
    const auto own = hash64(addresses[5]);
    REQUIRE_FALSE(group.heard(4, { own - 1, now }));
    REQUIRE_FALSE(group.age(now));
    group.adopted(4);
    REQUIRE(group.age(now) == 0s);
    REQUIRE_FALSE(group.heard(4, { own, now + 1s }));
    REQUIRE_FALSE(group.heard(4, { own + 1, now + 1s }));
    REQUIRE(group.heard(2, { own - 1, now + 1s }));
    group.read(now + 2s);
    REQUIRE(group.age(now + 2s) == 0s);
    if (!group.isMember()) {
        // What it has read itself is no reason to rest.
        REQUIRE(group.isWatched(now + 3s));
        REQUIRE_FALSE(group.isWatched(now + 3s + 1ms));
    }
    group.loseContacts();
    REQUIRE_FALSE(group.isWatched(now));
}
