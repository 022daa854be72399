/// \file The lateness estimate for response times with the prior's deviation of a third, as in the users'
/// data, and for distributions that the prior doesn't fit. The tolerance of 0.05 is half the width of a bin.

#include "Routing/LatenessEstimate.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace robinrun;

TEST_CASE("Before any response the estimate assumes that work varies by a third", "[late]")
{
    const LatenessEstimate estimate;
    REQUIRE(estimate.lateProbability(100ms, 100ms) == Approx(0.5).margin(0.02));
    REQUIRE(estimate.lateProbability(100ms, 139ms) == Approx(0.16).margin(0.02));
    REQUIRE(estimate.lateProbability(100ms, 10s) < 0.001);
    REQUIRE(estimate.lateProbability(10s, 100ms) > 0.999);
}

TEST_CASE("The probability of lateness follows the spread of the response times", "[late]")
{
    LatenessEstimate narrow;
    LatenessEstimate wide;
    Random random(1);
    for (int i = 0; i < 3000; ++i) {
        narrow.addResponse(fromSeconds(random.logNormal(0.1, 0.1)), 100ms);
        wide.addResponse(fromSeconds(random.logNormal(0.1, 0.8)), 100ms);
    }
    REQUIRE(narrow.lateProbability(100ms, 150ms) < 0.05);
    REQUIRE(wide.lateProbability(100ms, 150ms)
        > 0.14); // exactly 0.18 for that distribution, whose mean is 100 ms
    REQUIRE(wide.lateProbability(100ms, 400ms) > 0.01);
}

TEST_CASE(
    "If a quarter of the calls take five times as long, the probability of lateness is a quarter", "[late]")
{
    LatenessEstimate estimate;
    Random random(1);
    for (int i = 0; i < 3000; ++i)
        estimate.addResponse(random.chance(0.25) ? 500ms : 100ms, 100ms);
    REQUIRE(estimate.lateProbability(100ms, 300ms) == Approx(0.25).margin(0.05));
    REQUIRE(estimate.lateProbability(100ms, 600ms) < 0.05);
}

TEST_CASE("The estimate forgets response times that no longer occur", "[late]")
{
    LatenessEstimate estimate;
    for (int i = 0; i < 1000; ++i)
        estimate.addResponse(500ms, 100ms);
    REQUIRE(estimate.lateProbability(100ms, 300ms) > 0.95);
    for (int i = 0; i < 1000; ++i)
        estimate.addResponse(100ms, 100ms);
    REQUIRE(estimate.lateProbability(100ms, 300ms) < 0.05);
}

TEST_CASE("Durations of zero give a valid probability", "[late]")
{
    LatenessEstimate estimate;
    estimate.addResponse(0us, 0us);
    estimate.addResponse(1s, 0us);
    REQUIRE(estimate.lateProbability(0us, 0us) >= 0);
    REQUIRE(estimate.lateProbability(0us, 1s) <= 1);
}
