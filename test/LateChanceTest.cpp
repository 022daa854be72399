/// \file The chance to be late, on spreads of work it was not made for: a third, as in the users' sheets, and
/// wider ones of two kinds of answers. Bounds of half a tenth: the width of the bins.

#include "Routing/LateChance.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace robinrun;

TEST_CASE("Before any answer work is taken to vary by a third", "[late]")
{
    const LateChance chance;
    REQUIRE(chance.of(100ms, 100ms) == Approx(0.5).margin(0.02));
    REQUIRE(chance.of(100ms, 139ms) == Approx(0.16).margin(0.02));
    REQUIRE(chance.of(100ms, 10s) < 0.001);
    REQUIRE(chance.of(10s, 100ms) > 0.999);
}

TEST_CASE("The chance to be late follows the spread of the answers", "[late]")
{
    LateChance narrow;
    LateChance wide;
    Random random(1);
    for (int i = 0; i < 3000; ++i) {
        narrow.took(fromSeconds(random.logNormal(0.1, 0.1)), 100ms);
        wide.took(fromSeconds(random.logNormal(0.1, 0.8)), 100ms);
    }
    REQUIRE(narrow.of(100ms, 150ms) < 0.05);
    REQUIRE(wide.of(100ms, 150ms) > 0.14); // 0.18 of that distribution, whose mean is 100 ms
    REQUIRE(wide.of(100ms, 400ms) > 0.01);
}

TEST_CASE("A quarter of answers that take five times as long is a quarter of late ones", "[late]")
{
    LateChance chance;
    Random random(1);
    for (int i = 0; i < 3000; ++i)
        chance.took(random.chance(0.25) ? 500ms : 100ms, 100ms);
    REQUIRE(chance.of(100ms, 300ms) == Approx(0.25).margin(0.05));
    REQUIRE(chance.of(100ms, 600ms) < 0.05);
}

TEST_CASE("The chance to be late forgets what is no longer so", "[late]")
{
    LateChance chance;
    for (int i = 0; i < 1000; ++i)
        chance.took(500ms, 100ms);
    REQUIRE(chance.of(100ms, 300ms) > 0.95);
    for (int i = 0; i < 1000; ++i)
        chance.took(100ms, 100ms);
    REQUIRE(chance.of(100ms, 300ms) < 0.05);
}

TEST_CASE("Times of no length are no error", "[late]")
{
    LateChance chance;
    chance.took(0us, 0us);
    chance.took(1s, 0us);
    REQUIRE(chance.of(0us, 0us) >= 0);
    REQUIRE(chance.of(0us, 1s) <= 1);
}
