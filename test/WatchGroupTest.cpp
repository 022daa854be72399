#include "Mesh/WatchGroup.h"
#include "Core/Hash.h"
#include "support/WatchModel.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

/// \file Tests which nodes read the store for all, and that the other nodes detect when none of them does.
///
/// The model has hundreds of nodes that each send to 16 contacts per second, until some of them are cut off
/// from the rest. Contact rounds of 1 s start at random times, each message is lost with a probability of
/// 0.02, and reads wait 0.7 to 1.5 s.
///
/// The tests guard against outdated configurations: with 295 nodes, those that were cut off from all others
/// for 5 s, with the store reachable, used a configuration that was replaced 3 s before. They stood by for up
/// to 3.9 s because a member had been alive, and waited up to 2.95 s more before they read; neither bound
/// considered the age of their configuration.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// Maximum time for which a node that reaches the store uses a configuration that was replaced.
constexpr Duration maxStaleness = 2500ms;

/// \brief A fault that is injected once the nodes have settled.
struct FaultScenario {
    const char* name;
    std::function<void(WatchModel&)> apply;
};

void isolateRange(WatchModel& model, std::size_t first, std::size_t last, int partition)
{
    for (auto i = first; i < last; ++i)
        model.setPartition(i, partition);
}

const std::vector<FaultScenario>& faultScenarios()
{
    static const std::vector<FaultScenario> out {
        { "one node is isolated", [](WatchModel& m) { m.setPartition(m.size() / 3, 1); } },
        { "a tenth of the nodes are each isolated",
            [](WatchModel& m) {
                for (std::size_t i = 0; i < m.size(); i += 10)
                    m.setPartition(i, 1 + static_cast<int>(i));
            } },
        { "a fifth of the nodes is cut off", [](WatchModel& m) { isolateRange(m, 0, m.size() / 5, 1); } },
        { "half of the nodes are cut off", [](WatchModel& m) { isolateRange(m, 0, m.size() / 2, 1); } },
        { "all members are cut off from the others",
            [](WatchModel& m) {
                for (const auto it : m.members())
                    m.setPartition(it, 1);
            } },
        { "all messages of members are lost",
            [](WatchModel& m) {
                for (const auto it : m.members())
                    m.setMuted(it, true);
            } },
        { "all members are suspended",
            [](WatchModel& m) {
                for (const auto it : m.members())
                    m.freeze(it, m.now() + 1h);
            } },
        { "all messages of a tenth of the nodes are lost",
            [](WatchModel& m) {
                for (std::size_t i = 0; i < m.size(); i += 10)
                    m.setMuted(i, true);
            } },
        { "the store is slow", [](WatchModel& m) { m.setStoreLatency(200ms); } },
        { "the store refuses half of the members",
            [](WatchModel& m) {
                for (std::size_t i = 0; i < m.members().size(); i += 2)
                    m.setStoreReachable(m.members()[i], false);
            } },
    };
    return out;
}

} // namespace

TEST_CASE(
    "The number of members is bounded at any system size, and all nodes agree on the members", "[watch]")
{
    for (const std::size_t n : { 1, 13, 16, 61, 295, 7200 }) {
        const auto addresses = nodeAddresses(n);
        std::size_t members = 0;
        for (std::size_t i = 0; i < std::min<std::size_t>(n, 400); ++i) {
            WatchGroup group(addresses[i], {});
            group.setNodes(addresses);
            members += group.isMember();
            REQUIRE(group.memberCount() == std::min<std::size_t>(n, 16));
            REQUIRE(group.otherMembers().size() == group.memberCount() - (group.isMember() ? 1 : 0));
        }
        if (n <= 400)
            REQUIRE(members == std::min<std::size_t>(n, 16));
    }
}

TEST_CASE("A node that knows no other node reads the store itself", "[watch]")
{
    WatchGroup group("10.0.0.1:1", {});
    REQUIRE(group.isMember());
    REQUIRE_FALSE(group.mayStandBy(Instant { 1s }));
    group.setNodes({});
    REQUIRE(group.isMember());
}

TEST_CASE("Without faults only members read the store, at a rate independent of the system size", "[watch]")
{
    const auto changeInterval = GENERATE(Duration(0), Duration(300ms));
    for (const std::size_t n : { 61, 295, 1000 }) {
        INFO(n);
        WatchModel model(7, { n, changeInterval });
        model.run(5s);
        model.resetReadCounts();
        REQUIRE(model.run(20s) <= 500ms);
        // There are four to five followers, and a change every 0.3 s ends each of their waiting reads.
        REQUIRE(model.readCount() <= 20 * (changeInterval > 0s ? 20 : 8));
        REQUIRE(model.maxReadsPerStep() <= 16);
    }
}

// Contacts are in a node's own data hall, but for a few bridges: confirmations take more hops than between
// random contacts, and nodes that miss them would read the store themselves.
TEST_CASE("Confirmations pass from data hall to data hall in time, without more reads", "[watch]")
{
    const auto [nodes, halls] = GENERATE(std::pair<std::size_t, std::size_t> { 984, 5 },
        std::pair<std::size_t, std::size_t> { 1000, 18 }, std::pair<std::size_t, std::size_t> { 295, 3 });
    const auto changeInterval = GENERATE(Duration(0), Duration(300ms));
    INFO(nodes << " nodes, " << halls << " halls");
    WatchModel model(7, { nodes, changeInterval, 0.02, 5ms, halls });
    model.run(5s);
    model.resetReadCounts();
    CHECK(model.run(20s) <= maxStaleness);
    CHECK(model.readCount() <= 20 * (changeInterval > 0s ? 20 : 8));
    CHECK(model.maxReadsPerStep() <= 16);
}

TEST_CASE("No node that reaches the store uses an outdated configuration under any of the faults", "[watch]")
{
    const auto& fault = GENERATE(from_range(faultScenarios()));
    const auto changeInterval = GENERATE(Duration(300ms), Duration(7s));
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO(fault.name << ", seed " << seed);
    WatchModel model(seed, { 295, changeInterval });
    model.run(5s);
    fault.apply(model);
    model.resetReadCounts();
    CHECK(model.run(12s) <= maxStaleness);
    // A twentieth of the reads that the store can serve in that time.
    CHECK(model.readCount() <= 12 * 800);
}

TEST_CASE(
    "No node of 7,200 that reaches the store uses an outdated configuration after some nodes are cut off",
    "[watch]")
{
    const std::size_t scenarioIndex = GENERATE(0U, 1U, 2U, 4U);
    const auto& fault = faultScenarios()[scenarioIndex];
    INFO(fault.name);
    WatchModel model(1, { 7200, 300ms });
    model.run(4s);
    fault.apply(model);
    CHECK(model.run(5s) <= maxStaleness);
}

TEST_CASE("A node that was suspended has the newest configuration soon after it resumes", "[watch]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    WatchModel model(seed, { 295, 300ms });
    model.run(5s);
    for (std::size_t i = 0; i < model.size(); i += 3)
        model.freeze(i, model.now() + 4s);
    model.run(4s);
    model.run(maxStaleness);
    CHECK(model.run(5s) <= maxStaleness);
}

TEST_CASE("Only members retry an unavailable store, and all nodes get changes in time after its recovery",
    "[watch]")
{
    WatchModel model(1, { 295, 300ms });
    model.run(5s);
    for (std::size_t i = 0; i < model.size(); ++i)
        model.setStoreReachable(i, false);
    model.run(4s);
    model.resetReadCounts();
    model.run(20s);
    // Sixteen members try to read it, each at most every two seconds.
    CHECK(model.readCount() <= 20 * 16);
    for (std::size_t i = 0; i < model.size(); ++i)
        model.setStoreReachable(i, true);
    model.run(3s);
    CHECK(model.run(5s) <= maxStaleness);
}

TEST_CASE("The age of a confirmation stays correct over any number of hops", "[watch]")
{
    rc::prop("ages", [] {
        Instant now { 1h };
        const auto confirmedAt = now;
        Duration age {};
        const auto hopCount = *rc::gen::inRange(1, 6);
        const auto addresses = nodeAddresses(300);
        for (int i = 0; i < hopCount; ++i) {
            const Duration holdTime { *rc::gen::inRange<std::int64_t>(0, 1'000'000) };
            WatchGroup group(addresses[static_cast<std::size_t>(i)], {});
            group.setNodes(addresses);
            group.onAdopted(3);
            group.onPeerConfirmation(3, { 0, now - age });
            group.onPeerConfirmation(3, { 0, now - age - 5s }); // an older confirmation has no effect
            group.onPeerConfirmation(
                4, { 0, now }); // neither has a confirmation of a version that the node does not have
            now += holdTime;
            age = *group.confirmationAge(now);
        }
        RC_ASSERT(age == now - confirmedAt);
    });
}

TEST_CASE("A confirmation counts once its version is in force, and only from nodes of lower rank", "[watch]")
{
    const auto addresses = nodeAddresses(300);
    WatchGroup group(addresses[5], {});
    group.setNodes(addresses);
    const Instant now { 1h };
    const auto ownRank = hash64(addresses[5]);
    REQUIRE_FALSE(group.onPeerConfirmation(4, { ownRank - 1, now }));
    REQUIRE_FALSE(group.confirmationAge(now));
    group.onAdopted(4);
    REQUIRE(group.confirmationAge(now) == 0s);
    REQUIRE_FALSE(group.onPeerConfirmation(4, { ownRank, now + 1s }));
    REQUIRE_FALSE(group.onPeerConfirmation(4, { ownRank + 1, now + 1s }));
    REQUIRE(group.onPeerConfirmation(2, { ownRank - 1, now + 1s }));
    group.onRead(now + 2s);
    REQUIRE(group.confirmationAge(now + 2s) == 0s);
    if (!group.isMember()) {
        // The node's own read does not let it stand by for longer.
        REQUIRE(group.mayStandBy(now + 3s));
        REQUIRE_FALSE(group.mayStandBy(now + 3s + 1ms));
    }
    group.onContactsLost();
    REQUIRE_FALSE(group.mayStandBy(now));
}
