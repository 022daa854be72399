#include "Routing/CallAge.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace robinrun;

TEST_CASE("A call that has come back is as old as the time that it lacks", "[routing]")
{
    CallAge age;
    for (int i = 0; i < 50; ++i)
        REQUIRE(age.of(3000ms) == Duration::zero());
    REQUIRE(age.of(2400ms) == 600ms);
    REQUIRE(age.of(2990ms) == Duration::zero());
    REQUIRE(age.of(3500ms) == Duration::zero());
}

TEST_CASE("While more calls come back than are fresh, fresh ones are still told", "[routing]")
{
    CallAge age;
    Random random(1);
    for (int i = 0; i < 100; ++i)
        (void)age.of(3000ms);
    for (int i = 0; i < 2000; ++i) {
        const bool isFresh = random.chance(0.4);
        const auto left = isFresh ? Duration(3000ms) : fromSeconds(0.5 + 2.3 * random.unit());
        REQUIRE((age.of(left) == Duration::zero()) == isFresh);
    }
}

TEST_CASE("Where callers give all kinds of times, every call counts as fresh", "[routing]")
{
    CallAge age;
    Random random(2);
    for (int i = 0; i < 2000; ++i)
        REQUIRE(age.of(fromSeconds(0.2 + 5 * random.unit())) == Duration::zero());
}

TEST_CASE("A class whose callers give another time from now on is known anew soon", "[routing]")
{
    CallAge age;
    for (int i = 0; i < 1000; ++i)
        (void)age.of(3000ms);
    for (int i = 0; i < 200; ++i)
        (void)age.of(1500ms);
    REQUIRE(age.of(1500ms) == Duration::zero());
    REQUIRE(age.of(1000ms) == 500ms);
}
