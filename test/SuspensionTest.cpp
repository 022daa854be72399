#include "Core/Loop.h"
#include "Core/SuspensionWatch.h"
#include "Node/Timer.h"
#include "support/Loopback.h"

#include <catch2/catch.hpp>
#include <vector>

/// \file Hosts that are suspended: the steady clock stands still for as long, all others go on.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// \brief Both clocks in virtual time.
struct TwoClocks {
    Instant now { 1000s };
    Instant timers { 900s };

    void pass(Duration length)
    {
        now += length;
        timers += length;
    }
    /// \param heldUp between the reading of one clock and the next.
    SuspensionWatch::Reading read(Duration heldUp = {}) const
    {
        return { timers, now + heldUp, timers + 2 * heldUp };
    }
    void suspend(Duration length) { now += length; }
};

} // namespace

TEST_CASE("A suspension is told once at its length", "[suspension]")
{
    TwoClocks clocks;
    SuspensionWatch watch;
    REQUIRE(watch.tick(clocks.read()) == 0s);
    for (const auto length : { Duration(200ms), Duration(3s), Duration(1h) }) {
        clocks.pass(50ms);
        clocks.suspend(length);
        REQUIRE(watch.tick(clocks.read()) == length);
        clocks.pass(50ms);
        REQUIRE(watch.tick(clocks.read()) == 0s);
    }
}

TEST_CASE("A process that is held up between two readings was not suspended", "[suspension]")
{
    TwoClocks clocks;
    SuspensionWatch watch;
    watch.tick(clocks.read());
    for (int i = 0; i < 100; ++i) {
        clocks.pass(50ms);
        const Duration heldUp = i % 3 * 5s;
        REQUIRE(watch.tick(clocks.read(heldUp)) == 0s);
    }
    // Nor do such readings hide one.
    clocks.suspend(300ms);
    REQUIRE(watch.tick(clocks.read()) == 300ms);
}

TEST_CASE("The clock of decisions does not stand behind that of timers", "[suspension]")
{
    const auto timers = timersNow();
    REQUIRE(monotonicNow() >= timers);
}

TEST_CASE("Timers that stood still with their host come when they are due", "[suspension]")
{
    const auto base = makeLoop();
    std::vector<int> order;
    const auto late = Timer::once(base.get(), 1h, [&] { order.push_back(3); });
    const auto due = Timer::once(base.get(), 5s, [&] { order.push_back(1); });
    const auto soon = Timer::once(base.get(), 7s + 30ms, [&] { order.push_back(2); });
    int beats = 0;
    const auto beat = Timer::repeating(base.get(), 10ms, [&] { ++beats; });
    bringTimersForward(base.get(), 7s);
    REQUIRE(runUntil(base.get(), [&] { return order.size() >= 2 && beats >= 4; }));
    REQUIRE(order == std::vector<int> { 1, 2 });
}
