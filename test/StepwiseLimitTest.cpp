/// \file StepwiseLimit on simulated servers with and without a knee beyond which calls take longer. The mean
/// work time is 0.1 s with a variation of a third, as in the users' requirements.

#include "Queueing/StepwiseLimit.h"
#include "Core/Random.h"
#include "Queueing/Admission.h"

#include <catch2/catch.hpp>
#include <queue>
#include <unordered_map>
#include <vector>

using namespace robinrun;

namespace {

/// \brief A server under a load that always fills the limit or offers `offeredConcurrency` calls at once.
struct SimulatedServer {
    std::uint32_t slots = 6;
    std::uint32_t knee = 6; ///< calls that start while this many or more run take longer
    double workFactor = 1; ///< by which calls beyond the knee take longer
    std::uint32_t offeredConcurrency = 100;
    std::uint64_t seed = 1;
    double logSpread = 0.33;

    std::uint64_t calls = 0;
    std::uint64_t callsBeyondKnee = 0;

    void run(StepwiseLimit& limit, Duration length)
    {
        struct RunningCall {
            Instant end;
            RunSample sample;
            bool operator<(const RunningCall& other) const { return end > other.end; }
        };
        Random random(seed);
        std::priority_queue<RunningCall> running;
        Instant now {};
        while (now < Instant(length)) {
            while (running.size() < std::min(limit.limit(), offeredConcurrency)) {
                const auto inUse = static_cast<std::uint32_t>(running.size()) + 1;
                const double longer = inUse > knee ? workFactor : 1;
                const auto work = fromSeconds(random.logNormal(0.1, logSpread) * longer);
                running.push({ now + work, { 1, inUse, limit.limit(), work, Duration::max() } });
                ++calls;
                callsBeyondKnee += inUse > knee ? 1 : 0;
            }
            now = running.top().end;
            limit.addSample(running.top().sample);
            running.pop();
        }
    }
};

} // namespace

// Guards against unused slots: 0.8 of six slots is a limit of four, which served only two thirds of the
// calls.
TEST_CASE("Without a knee StepwiseLimit reaches all slots within seconds", "[limit]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const std::uint32_t slots : { 4U, 6U, 9U, 18U }) {
            StepwiseLimit limit(slots, 0.8);
            SimulatedServer server { .slots = slots, .knee = slots, .seed = seed };
            server.run(limit, 10s);
            REQUIRE(limit.limit() == slots);
        }
    }
}

TEST_CASE("Only a few calls are tried beyond a knee", "[limit]")
{
    for (const double workFactor : { 1.7, 2.5 }) {
        std::uint64_t calls = 0;
        std::uint64_t callsBeyondKnee = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            StepwiseLimit limit(11, 0.8);
            SimulatedServer server { .slots = 11, .knee = 8, .workFactor = workFactor, .seed = seed };
            server.run(limit, 60s);
            calls += server.calls;
            callsBeyondKnee += server.callsBeyondKnee;
            REQUIRE(limit.limit() <= 9);
        }
        REQUIRE(double(callsBeyondKnee) < 0.02 * double(calls));
    }
}

TEST_CASE("A knee between the initial share and all slots is found", "[limit]")
{
    int foundCount = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StepwiseLimit limit(18, 0.6);
        SimulatedServer server { .slots = 18, .knee = 14, .workFactor = 1.8, .seed = seed };
        server.run(limit, 30s);
        REQUIRE(limit.limit() <= 15);
        foundCount += limit.limit() >= 14 ? 1 : 0;
    }
    REQUIRE(foundCount >= 18);
}

TEST_CASE("The limit does not change while the load does not fill it", "[limit]")
{
    StepwiseLimit limit(10, 0.8);
    SimulatedServer server { .slots = 10, .knee = 10, .offeredConcurrency = 6 };
    server.run(limit, 60s);
    REQUIRE(limit.limit() == 8);
}

TEST_CASE("All slots are found even if work times vary strongly", "[limit]")
{
    int foundCount = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StepwiseLimit limit(6, 0.8);
        SimulatedServer server { .seed = seed, .logSpread = 0.8 };
        server.run(limit, 60s);
        foundCount += limit.limit() == 6 ? 1 : 0;
    }
    REQUIRE(foundCount >= 18);
}

namespace {

/// \brief Simulates a server under a load that always fills the limit. The server is slow in a quarter of the
/// phases of 300 ms and reports it. Calls that start while \a knee or more run take \a workFactor times as
/// long. \returns the limit after 60 s.
std::uint32_t findLimitWithSlowPhases(
    std::uint32_t slots, std::uint32_t knee, double workFactor, std::uint64_t seed)
{
    constexpr Duration step = 2ms;
    constexpr Duration phase = 300ms;
    constexpr double slowPhaseFactor = 4;
    Admission::Options options;
    options.slots = slots;
    options.limitKind = ConcurrencyLimitKind::Stepwise;
    options.slotShare = 0.8;
    options.queueLimit = 10;
    options.maxWaitSlotTimes = 1000;
    Admission admission(options);
    Random random(seed);
    std::unordered_map<std::uint64_t, double>
        remainingWork; ///< seconds of work left, by id of the running call
    std::uint64_t lastId = 0;
    double slowdown = 1;
    const auto startRuns = [&](const AdmissionResult& result) {
        for (const auto id : result.callsToRun) {
            const double longer = remainingWork.size() >= knee ? workFactor : 1;
            remainingWork[id] = random.logNormal(0.15, 0.33) * longer;
        }
    };
    for (Instant now {}; now < Instant(60s); now += step) {
        if (now.time_since_epoch() % phase < step) {
            slowdown = random.chance(0.25) ? slowPhaseFactor : 1;
            admission.setSlowdown(slowdown, now);
        }
        std::vector<std::uint64_t> endedIds;
        for (auto& [id, work] : remainingWork) {
            work -= toSeconds(step) / slowdown;
            if (work <= 0)
                endedIds.push_back(id);
        }
        for (const auto id : endedIds) {
            remainingWork.erase(id);
            startRuns(admission.onRunEnded(id, RunOutcome::Answered, now));
        }
        while (admission.load(now).waitingCalls < 3) {
            OfferedCall offer;
            offer.id = ++lastId;
            offer.deadline = now + 60s;
            offer.softDeadline = now + 60s;
            startRuns(admission.offer(offer, now));
        }
    }
    return admission.limit();
}

} // namespace

// Guards against dropping the samples of runs that met a slow phase: long runs meet more slow phases, so the
// remaining samples hid the knee.
TEST_CASE("A knee is found if the server has slow phases that it reports", "[limit]")
{
    int foundCount = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        foundCount += findLimitWithSlowPhases(11, 8, 1.7, seed) <= 9 ? 1 : 0;
    REQUIRE(foundCount >= 9);
}

TEST_CASE("Without a knee all slots are used even if the server has slow phases", "[limit]")
{
    int foundCount = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        foundCount += findLimitWithSlowPhases(6, 6, 1, seed) == 6 ? 1 : 0;
    REQUIRE(foundCount >= 9);
}
