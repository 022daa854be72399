#include "Mesh/ReachEstimate.h"

#include <catch2/catch.hpp>
#include <string>

/// \file How much of the deployment a node takes for reachable, from its own contacts and the bridges'
/// reports.

using namespace robinrun;

namespace {

constexpr Duration lifetime = 3s;
constexpr double quarter = 0.25; ///< Four halls of equal size.

} // namespace

// Guards against lenders beside bridges to a lost hall, which lent a fraction of their rate for as long.
TEST_CASE("A bridge to a lost hall does not take the halls that other bridges reach for lost", "[mesh]")
{
    const Instant now { 100s };
    ReachEstimate estimate(lifetime);
    for (int i = 0; i < 2; ++i)
        estimate.onBridgeReport("reaches-" + std::to_string(i), 1, now);
    REQUIRE(estimate.fraction(1, 0.0, quarter, now) > 0.5);
}

TEST_CASE(
    "A hall that is cut off from all others is known for the smaller side by each of its nodes", "[mesh]")
{
    const Instant now { 100s };
    ReachEstimate estimate(lifetime);
    for (int i = 0; i < 5; ++i)
        estimate.onBridgeReport("bridge-" + std::to_string(i), 0, now);
    REQUIRE(estimate.fraction(1, 0.0, quarter, now) == quarter);
    REQUIRE(estimate.fraction(1, std::nullopt, quarter, now) == quarter);
}

TEST_CASE("Reports of bridges that are not heard any more do not count", "[mesh]")
{
    const Instant now { 100s };
    ReachEstimate estimate(lifetime);
    estimate.onBridgeReport("bridge", 0, now);
    REQUIRE(estimate.fraction(1, std::nullopt, quarter, now) == quarter);
    REQUIRE(estimate.fraction(1, std::nullopt, quarter, now + lifetime + 1ms) == 1);
    REQUIRE(estimate.fraction(1, 1.0, quarter, now + lifetime + 1ms) == 1);
}
