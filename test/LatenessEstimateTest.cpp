/// \file The chance to be late, on spreads of work it was not made for: a third, as in the users' sheets, and
/// wider ones of two kinds of answers. Bounds of half a tenth: the width of the bins.

#include "Routing/LatenessEstimate.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace robinrun;

TEST_CASE("Before any answer work is taken to vary by a third", "[late]")
{
    const LatenessEstimate chance;
    REQUIRE(chance.lateProbability(100ms, 100ms) == Approx(0.5).margin(0.02));
    REQUIRE(chance.lateProbability(100ms, 139ms) == Approx(0.16).margin(0.02));
    REQUIRE(chance.lateProbability(100ms, 10s) < 0.001);
    REQUIRE(chance.lateProbability(10s, 100ms) > 0.999);
}

TEST_CASE("The chance to be late follows the spread of the answers", "[late]")
{
    LatenessEstimate narrow;
    LatenessEstimate wide;
    Random random(1);
    for (int i = 0; i < 3000; ++i) {
        narrow.addResponse(fromSeconds(random.logNormal(0.1, 0.1)), 100ms);
        wide.addResponse(fromSeconds(random.logNormal(0.1, 0.8)), 100ms);
    }
    REQUIRE(narrow.lateProbability(100ms, 150ms) < 0.05);
    REQUIRE(wide.lateProbability(100ms, 150ms) > 0.14); // 0.18 of that distribution, whose mean is 100 ms
    REQUIRE(wide.lateProbability(100ms, 400ms) > 0.01);
}

TEST_CASE("A quarter of answers that take five times as long is a quarter of late ones", "[late]")
{
    LatenessEstimate chance;
    Random random(1);
    for (int i = 0; i < 3000; ++i)
        chance.addResponse(random.chance(0.25) ? 500ms : 100ms, 100ms);
    REQUIRE(chance.lateProbability(100ms, 300ms) == Approx(0.25).margin(0.05));
    REQUIRE(chance.lateProbability(100ms, 600ms) < 0.05);
}

TEST_CASE("The chance to be late forgets what is no longer so", "[late]")
{
    LatenessEstimate chance;
    for (int i = 0; i < 1000; ++i)
        chance.addResponse(500ms, 100ms);
    REQUIRE(chance.lateProbability(100ms, 300ms) > 0.95);
    for (int i = 0; i < 1000; ++i)
        chance.addResponse(100ms, 100ms);
    REQUIRE(chance.lateProbability(100ms, 300ms) < 0.05);
}

TEST_CASE("Times of no length are no error", "[late]")
{
    LatenessEstimate chance;
    chance.addResponse(0us, 0us);
    chance.addResponse(1s, 0us);
    REQUIRE(chance.lateProbability(0us, 0us) >= 0);
    REQUIRE(chance.lateProbability(0us, 1s) <= 1);
}
