#include "Probing/ProbeBudget.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace robinrun;

TEST_CASE("Probes never exceed their rate or their share of slot time, also over restarts", "[probing]")
{
    rc::prop("random times, probe durations, queues and restarts", [](std::uint64_t seed) {
        Random random(seed);
        ProbeBudget::Options options { 0.1 + random.unit() * 20, 0.001 + random.unit() * 0.02, 12 };
        Instant now {};
        ProbeBudget budget(options, now);
        double startedProbes = 0;
        double totalSlotSeconds = 0;
        double longestProbeSeconds = 0;
        for (int i = 0; i < 3000; ++i) {
            now += Duration(static_cast<std::int64_t>(random.exponential(10000)));
            if (random.chance(0.01))
                budget = ProbeBudget(options, now); // A restart of the node.
            const auto waiting = static_cast<std::uint32_t>(random.below(3));
            if (!budget.tryStartProbe(waiting, now))
                continue;
            RC_ASSERT(waiting == 0U);
            const double slotSeconds = random.exponential(0.01);
            budget.onProbeEnded(fromSeconds(slotSeconds), now);
            ++startedProbes;
            totalSlotSeconds += slotSeconds;
            longestProbeSeconds = std::max(longestProbeSeconds, slotSeconds);
            const double elapsed = toSeconds(now - Instant {});
            RC_ASSERT(startedProbes <= elapsed * options.probesPerSecond + 1 + 1e-6);
            // Each restart may forget the slot time charged for one probe.
            RC_ASSERT(
                totalSlotSeconds <= elapsed * options.slotShare * options.slots + 31 * longestProbeSeconds);
        }
    });
}

TEST_CASE("Changed options apply at once, and slot time already spent stays counted", "[probing]")
{
    ProbeBudget budget({ 0, 1, 12 }, {});
    REQUIRE_FALSE(budget.tryStartProbe(0, Instant(10s)));
    budget.setOptions({ 1, 0.001, 12 }, Instant(10s));
    REQUIRE_FALSE(budget.tryStartProbe(0, Instant(10s)));
    REQUIRE(budget.tryStartProbe(0, Instant(11s)));
    budget.onProbeEnded(120ms, Instant(11s));
    REQUIRE_FALSE(budget.tryStartProbe(0, Instant(20s))); // 120 ms take 10 s to regain at 12 ms a second.
    REQUIRE(budget.tryStartProbe(0, Instant(21100ms)));
}

TEST_CASE("No probe starts while calls wait or before the next token", "[probing]")
{
    ProbeBudget budget({ 10, 1, 12 }, {});
    REQUIRE_FALSE(budget.tryStartProbe(0, {}));
    REQUIRE_FALSE(budget.tryStartProbe(1, Instant(1s)));
    REQUIRE(budget.tryStartProbe(0, Instant(1s)));
    REQUIRE_FALSE(budget.tryStartProbe(0, Instant(1050ms)));
}
