#include "Routing/ImmediateAttemptPolicy.h"

#include <catch2/catch.hpp>

using namespace robinrun;

namespace {

constexpr std::uint32_t maxAttempts = 2;

/// \returns the share of \a n calls that make immediate attempts.
double attemptingShare(const ImmediateAttemptPolicy& policy, Random& random, int n = 2000)
{
    int attempting = 0;
    for (int i = 0; i < n; ++i)
        attempting += policy.attemptsForNextCall(maxAttempts, random) ? 1 : 0;
    return double(attempting) / n;
}

} // namespace

TEST_CASE("Every call makes immediate attempts while most attempts find a free slot", "[routing]")
{
    Random random(1);
    ImmediateAttemptPolicy policy;
    REQUIRE(attemptingShare(policy, random) == 1);
    for (int i = 0; i < 200; ++i)
        policy.recordAnswer(random.chance(0.4));
    REQUIRE(attemptingShare(policy, random) == 1);
}

TEST_CASE(
    "With more calls than slots, few calls make immediate attempts until slots are free again", "[routing]")
{
    Random random(2);
    ImmediateAttemptPolicy policy;
    for (int i = 0; i < 40; ++i)
        policy.recordAnswer(true);
    const double share = attemptingShare(policy, random);
    REQUIRE(share > 0.05);
    REQUIRE(share < 0.15);
    // Ten answers of free owners in a row make every call try again.
    for (int i = 0; i < 10; ++i)
        policy.recordAnswer(false);
    REQUIRE(attemptingShare(policy, random) == 1);
}
