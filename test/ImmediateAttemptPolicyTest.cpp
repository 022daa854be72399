#include "Routing/ImmediateAttemptPolicy.h"

#include <catch2/catch.hpp>

using namespace robinrun;

namespace {

constexpr std::uint32_t most = 2;

/// \returns the share of \a n calls that ask.
double askingShare(const ImmediateAttemptPolicy& worth, Random& random, int n = 2000)
{
    int asking = 0;
    for (int i = 0; i < n; ++i)
        asking += worth.attemptsForNextCall(most, random) ? 1 : 0;
    return double(asking) / n;
}

} // namespace

TEST_CASE("While most owners that are asked are free, every call asks", "[routing]")
{
    Random random(1);
    ImmediateAttemptPolicy worth;
    REQUIRE(askingShare(worth, random) == 1);
    for (int i = 0; i < 200; ++i)
        worth.recordAnswer(random.chance(0.4));
    REQUIRE(askingShare(worth, random) == 1);
}

TEST_CASE("With more calls than slots, few calls ask, and all do soon after there is room again", "[routing]")
{
    Random random(2);
    ImmediateAttemptPolicy worth;
    for (int i = 0; i < 40; ++i)
        worth.recordAnswer(true);
    const double share = askingShare(worth, random);
    REQUIRE(share > 0.05);
    REQUIRE(share < 0.15);
    // The few that ask find room: two calls in three ask again within some ten of them.
    for (int i = 0; i < 10; ++i)
        worth.recordAnswer(false);
    REQUIRE(askingShare(worth, random) == 1);
}
