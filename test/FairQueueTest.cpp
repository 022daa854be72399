#include "Queueing/FairQueue.h"
#include "Core/Check.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

using namespace robinrun;

namespace {

QueuedCall call(std::uint64_t id, std::uint32_t group, std::uint32_t priority = 0, Duration cost = 10ms)
{
    return { id, group, 0, priority, {}, Instant::max(), cost };
}

/// \brief Serves calls of groups that always wait; each call really holds what \a held says. \returns slot
/// time by group.
template <class Held>
std::vector<double> serveBacklogged(FairQueue& queue, std::size_t groups, int calls, Held held)
{
    std::vector<double> served(groups, 0);
    std::uint64_t id = 0;
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (int i = 0; i < 3; ++i)
            queue.push(call(++id, group));
    }
    for (int i = 0; i < calls; ++i) {
        const auto next = *queue.pop();
        const Duration actual = held(next.group);
        served[next.group] += toSeconds(actual);
        queue.settle(next.group, next.expectedSlotTime, actual);
        queue.push(call(++id, next.group));
    }
    return served;
}

} // namespace

TEST_CASE("Waiting groups get slot time by weight, whatever their calls hold", "[fairness]")
{
    rc::prop("shares differ by at most a few calls", [] {
        const auto groups = *rc::gen::inRange<std::size_t>(2, 8);
        const auto weights = *rc::gen::container<std::vector<int>>(groups, rc::gen::inRange(1, 10));
        const auto costs = *rc::gen::container<std::vector<int>>(groups, rc::gen::inRange(1, 50));
        FairQueue queue(1000, 100ms);
        for (std::uint32_t i = 0; i < groups; ++i)
            queue.setGroupWeight(i, weights[i]);
        const auto served
            = serveBacklogged(queue, groups, 4000, [&](auto group) { return costs[group] * 1ms; });
        // Start-time fairness: normalised service of two waiting groups differs by at most a call of each,
        // and by what was expected but not held of calls being served.
        const double slack = 0.05 + 0.01;
        for (std::size_t i = 1; i < groups; ++i) {
            const double bound = slack / weights[0] + slack / weights[i];
            RC_ASSERT(std::abs(served[0] / weights[0] - served[i] / weights[i]) <= bound);
        }
    });
}

TEST_CASE("An idle group's share is lent, and it neither saves up nor pays back", "[fairness]")
{
    FairQueue queue(1000, 100ms);
    std::uint64_t id = 0;
    for (int i = 0; i < 100; ++i)
        queue.push(call(++id, 1));
    for (int i = 0; i < 50; ++i)
        REQUIRE(queue.pop()->group == 1);
    for (int i = 0; i < 20; ++i)
        queue.push(call(++id, 2));
    int ofSecond = 0;
    for (int i = 0; i < 20; ++i)
        ofSecond += queue.pop()->group == 2;
    REQUIRE(ofSecond >= 9);
    REQUIRE(ofSecond <= 11);
}

TEST_CASE("Slot time got elsewhere counts, within a bound", "[fairness]")
{
    FairQueue queue(1000, 100ms);
    std::uint64_t id = 0;
    const auto servedOfFirst = [&] {
        int n = 0;
        for (int i = 0; i < 40; ++i) {
            queue.chargeSlotTimeElsewhere(1, 5ms);
            queue.push(call(++id, 1));
            queue.push(call(++id, 2));
            n += queue.pop()->group == 1;
        }
        return n;
    };
    // 5 ms elsewhere and a quarter of 10 ms here are as much as three quarters of 10 ms here.
    const int n = servedOfFirst();
    REQUIRE(n >= 9);
    REQUIRE(n <= 11);
    queue.removeAll();
    queue.chargeSlotTimeElsewhere(1, 3600s);
    REQUIRE(servedOfFirst() >= 5);
}

TEST_CASE("A full queue refuses the newest call of the group that crowds it most", "[fairness]")
{
    FairQueue queue(10, 100ms);
    std::uint64_t id = 0;
    for (int i = 0; i < 9; ++i)
        REQUIRE_FALSE(queue.push(call(++id, 1)));
    REQUIRE_FALSE(queue.push(call(100, 2)));
    const auto evicted = queue.push(call(101, 2));
    REQUIRE(evicted);
    REQUIRE(evicted->id == 9);
    REQUIRE(queue.sizeOfGroup(2) == 2);
    REQUIRE(queue.push(call(102, 1))->id == 102);
}

TEST_CASE("Calls are removed by what they are, of whatever group and priority", "[fairness]")
{
    FairQueue queue(10, 100ms);
    queue.push(call(1, 1, 0));
    queue.push(call(2, 1, 3));
    queue.push(call(3, 2, 1));
    queue.push(call(4, 2, 3));
    const auto removed = queue.removeIf([](const QueuedCall& it) { return it.id % 2 == 0; });
    REQUIRE(removed.size() == 2);
    REQUIRE(queue.size() == 2);
    REQUIRE(queue.sizeOfGroup(1) == 1);
    REQUIRE(
        queue.slotTimeAhead(1, 0, 3) == 20ms); // its own call, while the other group has every second turn
    REQUIRE(queue.pop()->id == 1);
    REQUIRE(queue.pop()->id == 3);
    REQUIRE(queue.isEmpty());
}

TEST_CASE("Classes inside a group go by priority, then age")
{
    FairQueue queue(10, 100ms);
    queue.push(call(1, 1, 2));
    queue.push(call(2, 1, 0));
    queue.push(call(3, 1, 0));
    REQUIRE(queue.slotTimeAhead(1, 0, 0) == 20ms);
    REQUIRE(queue.cancel(1, 2)->id == 2);
    REQUIRE(queue.pop()->id == 3);
    REQUIRE(queue.pop()->id == 1);
    REQUIRE_FALSE(queue.pop());
    REQUIRE_THROWS_AS(queue.setGroupWeight(1, 0), PreconditionError);
}

TEST_CASE("The lowest rank goes first over all groups, and inside a rank groups take turns", "[fairness]")
{
    FairQueue queue(10, 100ms);
    const auto ranked = [](std::uint64_t id, std::uint32_t group, std::uint32_t rank) {
        return QueuedCall { id, group, rank, 0, {}, Instant::max(), 10ms };
    };
    queue.push(ranked(1, 1, 5));
    queue.push(ranked(2, 1, 5));
    queue.push(ranked(3, 2, 5));
    queue.push(ranked(4, 1, 2));
    queue.push(ranked(5, 3, 7));
    REQUIRE(queue.slotTimeAhead(2, 5, 0)
        == 30ms); // the lower rank, and its own call in turn with the other group's
    REQUIRE(queue.slotTimeAhead(4, 6, 0) == 40ms);
    REQUIRE(queue.slotTimeAhead(4, 0, 0) == Duration::zero());
    std::vector<std::uint64_t> order;
    while (const auto it = queue.pop())
        order.push_back(it->id);
    REQUIRE(order == std::vector<std::uint64_t> { 4, 3, 1, 2, 5 });
}

TEST_CASE("A full queue loses the newest call of the last rank first", "[fairness]")
{
    FairQueue queue(3, 100ms);
    queue.push({ 1, 1, 9, 0, {}, Instant::max(), 10ms });
    queue.push({ 2, 1, 1, 0, {}, Instant::max(), 10ms });
    queue.push({ 3, 1, 1, 0, {}, Instant::max(), 10ms });
    REQUIRE(queue.push({ 4, 2, 1, 0, {}, Instant::max(), 10ms })->id == 1);
    REQUIRE(queue.push({ 5, 2, 8, 0, {}, Instant::max(), 10ms })->id == 5);
}
