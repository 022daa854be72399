#include "Queueing/FairQueue.h"
#include "Core/Check.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

using namespace robinrun;

namespace {

QueuedCall makeCall(std::uint64_t id, std::uint32_t group, std::uint32_t priority = 0, Duration cost = 10ms)
{
    return { id, group, 0, priority, {}, Instant::max(), cost };
}

/// \brief Serves \a calls calls of groups that always have waiting calls.
/// \param slotTimeOf gives the actual slot time of the calls of a group.
/// \returns the slot time used, in seconds, by group.
template <class SlotTime>
std::vector<double> serveBackloggedGroups(
    FairQueue& queue, std::size_t groups, int calls, SlotTime slotTimeOf)
{
    std::vector<double> served(groups, 0);
    std::uint64_t id = 0;
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (int i = 0; i < 3; ++i)
            queue.push(makeCall(++id, group));
    }
    for (int i = 0; i < calls; ++i) {
        const auto next = *queue.pop();
        const Duration actual = slotTimeOf(next.group);
        served[next.group] += toSeconds(actual);
        queue.settle(next.group, next.expectedSlotTime, actual);
        queue.push(makeCall(++id, next.group));
    }
    return served;
}

} // namespace

TEST_CASE(
    "Backlogged groups get slot time in proportion to their weights, whatever the slot times of their calls",
    "[fairness]")
{
    rc::prop("slot times per weight differ by at most a few calls", [] {
        const auto groups = *rc::gen::inRange<std::size_t>(2, 8);
        const auto weights = *rc::gen::container<std::vector<int>>(groups, rc::gen::inRange(1, 10));
        const auto costs = *rc::gen::container<std::vector<int>>(groups, rc::gen::inRange(1, 50));
        FairQueue queue(1000, 100ms);
        for (std::uint32_t i = 0; i < groups; ++i)
            queue.setGroupWeight(i, weights[i]);
        const auto served
            = serveBackloggedGroups(queue, groups, 4000, [&](auto group) { return costs[group] * 1ms; });
        // Start-time fair queueing: the slot times per weight of two backlogged groups differ by at most one
        // call of each group, plus the expected slot time of calls being served. Seconds: 0.05 per call, 0.01
        // expected.
        const double unweightedBound = 0.05 + 0.01;
        for (std::size_t i = 1; i < groups; ++i) {
            const double bound = unweightedBound / weights[0] + unweightedBound / weights[i];
            RC_ASSERT(std::abs(served[0] / weights[0] - served[i] / weights[i]) <= bound);
        }
    });
}

TEST_CASE("A group that was idle gets its fair share on return, with neither credit nor debt", "[fairness]")
{
    FairQueue queue(1000, 100ms);
    std::uint64_t id = 0;
    for (int i = 0; i < 100; ++i)
        queue.push(makeCall(++id, 1));
    for (int i = 0; i < 50; ++i)
        REQUIRE(queue.pop()->group == 1);
    for (int i = 0; i < 20; ++i)
        queue.push(makeCall(++id, 2));
    int servedOfSecond = 0;
    for (int i = 0; i < 20; ++i)
        servedOfSecond += queue.pop()->group == 2;
    REQUIRE(servedOfSecond >= 9);
    REQUIRE(servedOfSecond <= 11);
}

TEST_CASE("Slot time used on other upstreams is charged up to a limit", "[fairness]")
{
    FairQueue queue(1000, 100ms);
    std::uint64_t id = 0;
    const auto countServedOfFirst = [&] {
        int n = 0;
        for (int i = 0; i < 40; ++i) {
            queue.chargeSlotTimeElsewhere(1, 5ms);
            queue.push(makeCall(++id, 1));
            queue.push(makeCall(++id, 2));
            n += queue.pop()->group == 1;
        }
        return n;
    };
    // 5 ms elsewhere plus a quarter of 10 ms here equals three quarters of 10 ms here, so the group gets 10
    // of 40.
    const int n = countServedOfFirst();
    REQUIRE(n >= 9);
    REQUIRE(n <= 11);
    queue.removeAll();
    queue.chargeSlotTimeElsewhere(1, 3600s);
    REQUIRE(countServedOfFirst() >= 5);
}

TEST_CASE(
    "A full queue evicts the newest call of the group with the most waiting calls per weight", "[fairness]")
{
    FairQueue queue(10, 100ms);
    std::uint64_t id = 0;
    for (int i = 0; i < 9; ++i)
        REQUIRE_FALSE(queue.push(makeCall(++id, 1)));
    REQUIRE_FALSE(queue.push(makeCall(100, 2)));
    const auto evicted = queue.push(makeCall(101, 2));
    REQUIRE(evicted);
    REQUIRE(evicted->id == 9);
    REQUIRE(queue.sizeOfGroup(2) == 2);
    REQUIRE(queue.push(makeCall(102, 1))->id == 102);
}

TEST_CASE("removeIf removes the calls that match, whatever their group and priority", "[fairness]")
{
    FairQueue queue(10, 100ms);
    queue.push(makeCall(1, 1, 0));
    queue.push(makeCall(2, 1, 3));
    queue.push(makeCall(3, 2, 1));
    queue.push(makeCall(4, 2, 3));
    const auto removed = queue.removeIf([](const QueuedCall& it) { return it.id % 2 == 0; });
    REQUIRE(removed.size() == 2);
    REQUIRE(queue.size() == 2);
    REQUIRE(queue.sizeOfGroup(1) == 1);
    REQUIRE(queue.slotTimeAhead(1, 0, 3) == 20ms); // its own call of 10 ms and one of the other group
    REQUIRE(queue.pop()->id == 1);
    REQUIRE(queue.pop()->id == 3);
    REQUIRE(queue.isEmpty());
}

TEST_CASE("Calls of one group are served by priority, then age")
{
    FairQueue queue(10, 100ms);
    queue.push(makeCall(1, 1, 2));
    queue.push(makeCall(2, 1, 0));
    queue.push(makeCall(3, 1, 0));
    REQUIRE(queue.slotTimeAhead(1, 0, 0) == 20ms);
    REQUIRE(queue.cancel(1, 2)->id == 2);
    REQUIRE(queue.pop()->id == 3);
    REQUIRE(queue.pop()->id == 1);
    REQUIRE_FALSE(queue.pop());
    REQUIRE_THROWS_AS(queue.setGroupWeight(1, 0), PreconditionError);
}

TEST_CASE("Calls of the lowest rank are served first, and groups alternate inside a rank", "[fairness]")
{
    FairQueue queue(10, 100ms);
    const auto makeRankedCall = [](std::uint64_t id, std::uint32_t group, std::uint32_t rank) {
        return QueuedCall { id, group, rank, 0, {}, Instant::max(), 10ms };
    };
    queue.push(makeRankedCall(1, 1, 5));
    queue.push(makeRankedCall(2, 1, 5));
    queue.push(makeRankedCall(3, 2, 5));
    queue.push(makeRankedCall(4, 1, 2));
    queue.push(makeRankedCall(5, 3, 7));
    REQUIRE(queue.slotTimeAhead(2, 5, 0)
        == 30ms); // the call of lower rank, its own call and one of the other group
    REQUIRE(queue.slotTimeAhead(4, 6, 0) == 40ms);
    REQUIRE(queue.slotTimeAhead(4, 0, 0) == Duration::zero());
    std::vector<std::uint64_t> order;
    while (const auto it = queue.pop())
        order.push_back(it->id);
    REQUIRE(order == std::vector<std::uint64_t> { 4, 3, 1, 2, 5 });
}

TEST_CASE("A full queue evicts the newest call of the last rank", "[fairness]")
{
    FairQueue queue(3, 100ms);
    queue.push({ 1, 1, 9, 0, {}, Instant::max(), 10ms });
    queue.push({ 2, 1, 1, 0, {}, Instant::max(), 10ms });
    queue.push({ 3, 1, 1, 0, {}, Instant::max(), 10ms });
    REQUIRE(queue.push({ 4, 2, 1, 0, {}, Instant::max(), 10ms })->id == 1);
    REQUIRE(queue.push({ 5, 2, 8, 0, {}, Instant::max(), 10ms })->id == 5);
}
