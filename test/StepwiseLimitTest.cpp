/// \file A limit that goes up step by step, on servers with and without a point from which calls take longer.
/// Work of 0.1 s that varies by a third, as in the users' sheets.

#include "Queueing/StepwiseLimit.h"
#include "Core/Random.h"
#include "Queueing/Admission.h"

#include <catch2/catch.hpp>
#include <queue>
#include <unordered_map>
#include <vector>

using namespace robinrun;

namespace {

/// \brief A server under a load that always fills the limit, or needs \a wanted slots.
struct FullServer {
    std::uint32_t slots = 6;
    std::uint32_t knee = 6; ///< calls that start beside as many or more take longer
    double factor = 1; ///< so many times
    std::uint32_t wanted = 100;
    std::uint64_t seed = 1;
    double spread = 0.33;

    std::uint64_t calls = 0;
    std::uint64_t beyondKnee = 0;

    void run(StepwiseLimit& limit, Duration length)
    {
        struct Call {
            Instant end;
            RunSample sample;
            bool operator<(const Call& other) const { return end > other.end; }
        };
        Random random(seed);
        std::priority_queue<Call> running;
        Instant now {};
        while (now < Instant(length)) {
            while (running.size() < std::min(limit.limit(), wanted)) {
                const auto inUse = static_cast<std::uint32_t>(running.size()) + 1;
                const double longer = inUse > knee ? factor : 1;
                const auto work = fromSeconds(random.logNormal(0.1, spread) * longer);
                running.push({ now + work, { 1, inUse, limit.limit(), work, Duration::max() } });
                ++calls;
                beyondKnee += inUse > knee ? 1 : 0;
            }
            now = running.top().end;
            limit.addSample(running.top().sample);
            running.pop();
        }
    }
};

} // namespace

// Guards against room that nobody uses: of six slots 0.8 are four, and two thirds of the calls were served.
TEST_CASE("Where calls take no longer beside more of them, all slots are used within seconds", "[limit]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const std::uint32_t slots : { 4U, 6U, 9U, 18U }) {
            StepwiseLimit limit(slots, 0.8);
            FullServer server { .slots = slots, .knee = slots, .seed = seed };
            server.run(limit, 10s);
            REQUIRE(limit.limit() == slots);
        }
    }
}

TEST_CASE("Beyond a point from which calls take longer only a few are tried", "[limit]")
{
    for (const double factor : { 1.7, 2.5 }) {
        std::uint64_t calls = 0;
        std::uint64_t beyond = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            StepwiseLimit limit(11, 0.8);
            FullServer server { .slots = 11, .knee = 8, .factor = factor, .seed = seed };
            server.run(limit, 60s);
            calls += server.calls;
            beyond += server.beyondKnee;
            REQUIRE(limit.limit() <= 9);
        }
        REQUIRE(double(beyond) < 0.02 * double(calls));
    }
}

TEST_CASE("A point between the share and all slots is found", "[limit]")
{
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StepwiseLimit limit(18, 0.6);
        FullServer server { .slots = 18, .knee = 14, .factor = 1.8, .seed = seed };
        server.run(limit, 30s);
        REQUIRE(limit.limit() <= 15);
        found += limit.limit() >= 14 ? 1 : 0;
    }
    REQUIRE(found >= 18);
}

TEST_CASE("The limit stays where load doesn't fill it", "[limit]")
{
    StepwiseLimit limit(10, 0.8);
    FullServer server { .slots = 10, .knee = 10, .wanted = 6 };
    server.run(limit, 60s);
    REQUIRE(limit.limit() == 8);
}

TEST_CASE("Calls whose work varies much teach the same", "[limit]")
{
    int used = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StepwiseLimit limit(6, 0.8);
        FullServer server { .seed = seed, .spread = 0.8 };
        server.run(limit, 60s);
        used += limit.limit() == 6 ? 1 : 0;
    }
    REQUIRE(used >= 18);
}

namespace {

/// \brief A server under a load that always fills the limit, which is slow in a quarter of the phases of 300
/// ms, and says so. Calls that start beside as many as its knee or more take longer.
std::uint32_t limitBehindSlowPhases(
    std::uint32_t slots, std::uint32_t knee, double factor, std::uint64_t seed)
{
    constexpr Duration step = 2ms;
    constexpr Duration phase = 300ms;
    constexpr double slow = 4;
    Admission::Options options;
    options.slots = slots;
    options.limitKind = ConcurrencyLimitKind::Stepwise;
    options.slotShare = 0.8;
    options.queueLimit = 10;
    options.maxWaitSlotTimes = 1000;
    Admission admission(options);
    Random random(seed);
    std::unordered_map<std::uint64_t, double> left; ///< seconds of work, of calls that run
    std::uint64_t lastId = 0;
    double slowdown = 1;
    const auto start = [&](const AdmissionResult& dispatch) {
        for (const auto id : dispatch.callsToRun) {
            const double longer = left.size() >= knee ? factor : 1;
            left[id] = random.logNormal(0.15, 0.33) * longer;
        }
    };
    for (Instant now {}; now < Instant(60s); now += step) {
        if (now.time_since_epoch() % phase < step) {
            slowdown = random.chance(0.25) ? slow : 1;
            admission.setSlowdown(slowdown, now);
        }
        std::vector<std::uint64_t> done;
        for (auto& [id, work] : left) {
            work -= toSeconds(step) / slowdown;
            if (work <= 0)
                done.push_back(id);
        }
        for (const auto id : done) {
            left.erase(id);
            start(admission.onRunEnded(id, RunOutcome::Answered, now));
        }
        while (admission.load(now).waitingCalls < 3) {
            OfferedCall offer;
            offer.id = ++lastId;
            offer.deadline = now + 60s;
            offer.softDeadline = now + 60s;
            start(admission.offer(offer, now));
        }
    }
    return admission.limit();
}

} // namespace

// Runs that met a slow phase taught nothing, and long runs meet more of them: those left made a knee look
// flat.
TEST_CASE("A knee is found at servers that are slow in phases and say so", "[limit]")
{
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        found += limitBehindSlowPhases(11, 8, 1.7, seed) <= 9 ? 1 : 0;
    REQUIRE(found >= 9);
}

TEST_CASE("All slots of servers without a knee are used though they are slow in phases", "[limit]")
{
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        found += limitBehindSlowPhases(6, 6, 1, seed) == 6 ? 1 : 0;
    REQUIRE(found >= 9);
}
