#include "Queueing/ServerRateLimit.h"
#include "Core/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>
#include <utility>
#include <vector>

/// \file When an owner takes over, changes and drops the limit that its backend server names, and the pace
/// that keeps it.

using namespace robinrun;

namespace {

constexpr Instant begun { 1000s };
constexpr auto call = RateLimitSource::CallAnswer;
constexpr auto health = RateLimitSource::HealthAnswer;

/// The users' window, and how far requests may exceed the limit in it.
constexpr Duration window = 4s;
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;

/// \returns the maximum number of \a starts in any span of `window`.
std::size_t mostInWindow(const std::vector<Instant>& starts)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < starts.size(); ++i) {
        while (starts[i] - starts[first] >= window)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

/// \brief Sends a call whenever the limit allows one, from \a now until \a end. \returns when they started.
std::vector<Instant> sendAll(ServerRateLimit& limit, Instant now, Instant end, Duration timerDelay = {})
{
    std::vector<Instant> out;
    for (; now < end; now = std::max(now + 100us, limit.nextStart(now) + timerDelay)) {
        limit.onCallSent(now);
        out.push_back(now);
    }
    return out;
}

} // namespace

TEST_CASE("A named limit is kept in any window, and nearly all of it is used", "[server-limit]")
{
    const double rate = GENERATE(0.2, 1.0, 7.6, 10.8, 60.0, 400.0);
    const auto timerDelay = GENERATE(Duration(0), Duration(2ms));
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(call, rate, begun, begun));
    constexpr Duration length = 40s;
    const auto starts = sendAll(limit, begun, begun + length, timerDelay);
    REQUIRE(static_cast<double>(mostInWindow(starts)) <= 1 + rate * toSeconds(window + limit.burstDuration));
    REQUIRE(static_cast<double>(starts.size()) >= 0.9 * rate * toSeconds(length));
}

TEST_CASE("Across random changes, restarts and lost news, no window exceeds what was named", "[server-limit]")
{
    rc::prop("at most one and a half times the limits in force, and five requests", [](std::uint64_t seed) {
        Random random(seed);
        ServerRateLimit limit;
        double named = 1 + 40 * random.unit();
        auto now = begun;
        limit.onAnswer(call, named, now, now);
        std::vector<Instant> starts;
        std::vector<std::pair<Instant, double>> changes { { now, named } };
        for (int i = 0; i < 4000; ++i) {
            now += Duration(static_cast<std::int64_t>(random.exponential(1e4)) + 1);
            const auto draw = random.unit();
            if (draw < 0.002) {
                // The owner is killed. Its successor hears of the limit from the first call's ingress.
                limit.reset();
                limit.onReport(named, now - 500ms, now);
            } else if (draw < 0.01) {
                named = 1 + 40 * random.unit();
                limit.onAnswer(call, named, now, now);
                changes.emplace_back(now, named);
            }
            if (limit.nextStart(now) > now)
                continue;
            limit.onCallSent(now);
            starts.push_back(now);
        }
        // What the limits in force allow in the window that ends at `end`.
        const auto allowedUntil = [&](Instant end) {
            double requests = 0;
            for (std::size_t i = 0; i < changes.size(); ++i) {
                const auto from = std::max(changes[i].first, end - window);
                const auto until = i + 1 < changes.size() ? std::min(changes[i + 1].first, end) : end;
                requests += changes[i].second * toSeconds(std::max(until - from, Duration::zero()));
            }
            return allowedFactor * requests + allowedExtra;
        };
        std::size_t first = 0;
        for (std::size_t i = 0; i < starts.size(); ++i) {
            while (starts[i] - starts[first] >= window)
                ++first;
            RC_ASSERT(static_cast<double>(i - first + 1) <= allowedUntil(starts[i]));
        }
    });
}

TEST_CASE("An answer that names no limit lifts it at once", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(call, 2, begun, begun));
    limit.onCallSent(begun);
    limit.onCallSent(begun);
    REQUIRE(limit.nextStart(begun) > begun);
    REQUIRE(limit.onAnswer(call, std::nullopt, begun + 10ms, begun + 20ms));
    REQUIRE_FALSE(limit.isNamed());
    REQUIRE(limit.nextStart(begun + 20ms) <= begun + 20ms);
}

// An answer with a long body arrives after the answers to calls that were sent later.
TEST_CASE("An answer that was overtaken neither lifts nor sets nor changes a limit", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(call, 5, begun + 10ms, begun + 50ms));
    SECTION("lifts")
    {
        REQUIRE_FALSE(limit.onAnswer(call, std::nullopt, begun + 20ms, begun + 60ms));
        REQUIRE(limit.requestsPerSecond() == 5.0);
        REQUIRE(limit.onAnswer(call, std::nullopt, begun + 55ms, begun + 70ms));
    }
    SECTION("sets")
    {
        REQUIRE(limit.onAnswer(call, std::nullopt, begun + 60ms, begun + 70ms));
        REQUIRE_FALSE(limit.onAnswer(call, 5, begun + 30ms, begun + 80ms));
        REQUIRE_FALSE(limit.isNamed());
        REQUIRE(limit.onAnswer(call, 5, begun + 75ms, begun + 90ms));
    }
    SECTION("changes")
    {
        REQUIRE(limit.onAnswer(call, 8, begun + 60ms, begun + 70ms));
        REQUIRE_FALSE(limit.onAnswer(call, 5, begun + 30ms, begun + 80ms));
        REQUIRE(limit.requestsPerSecond() == 8.0);
    }
}

TEST_CASE("A health answer without a limit counts only if health answers name limits", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(call, 5, begun, begun));
    REQUIRE_FALSE(limit.onAnswer(health, std::nullopt, begun + 1s, begun + 1s));
    REQUIRE(limit.isNamed());
    REQUIRE_FALSE(limit.onAnswer(health, 5, begun + 2s, begun + 2s));
    REQUIRE(limit.onAnswer(health, std::nullopt, begun + 3s, begun + 3s));
    REQUIRE_FALSE(limit.isNamed());
}

TEST_CASE("The report of an ingress counts until the server answers", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onReport(5, begun - 2s, begun));
    REQUIRE(limit.nextStart(begun) > begun); // the former owner may have used up the burst
    REQUIRE_FALSE(limit.onReport(9, begun - 3s, begun)); // older
    REQUIRE(limit.onReport(6, begun - 1s, begun));
    REQUIRE(limit.onAnswer(call, std::nullopt, begun + 1ms, begun + 2ms));
    REQUIRE_FALSE(limit.onReport(6, begun, begun + 3ms));
    limit.reset(); // another life of the server
    REQUIRE_FALSE(limit.isNamed());
}

TEST_CASE("Under a limit of zero no call starts, and health requests find out when it ends", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(health, 0, begun, begun));
    REQUIRE(limit.nextStart(begun + 1s) > begun + 10min);
    REQUIRE(limit.waitBehind(3, begun) == ServerRateLimit::maxWait);
    REQUIRE_FALSE(limit.needsHealthAnswer(begun + 1s));
    REQUIRE(limit.needsHealthAnswer(begun + ServerRateLimit::askInterval));
    limit.onHealthRequestSent(begun + 2s);
    REQUIRE_FALSE(limit.needsHealthAnswer(begun + 3s));
    REQUIRE(limit.onAnswer(health, std::nullopt, begun + 2s, begun + 3s));
    REQUIRE(limit.nextStart(begun + 3s) <= begun + 3s);
}

TEST_CASE(
    "Under a limit of zero that health answers don't name, a call now and then is tried", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(call, 0, begun, begun));
    const auto starts = sendAll(limit, begun, begun + 20s);
    REQUIRE(starts.size() >= 2);
    REQUIRE(mostInWindow(starts) <= 5);
    REQUIRE(limit.onAnswer(call, std::nullopt, starts.back(), begun + 20s));
}

TEST_CASE("A higher limit takes effect at once, however low the last one was", "[server-limit]")
{
    ServerRateLimit limit;
    REQUIRE(limit.onAnswer(call, 0.01, begun, begun));
    limit.onCallSent(begun);
    limit.onCallSent(begun);
    REQUIRE(limit.nextStart(begun) >= begun + 90s);
    REQUIRE(limit.onAnswer(call, 10, begun + 1ms, begun + 1s));
    REQUIRE(limit.nextStart(begun + 1s) <= begun + 1s + 101ms); // one interval, rounded up
}
