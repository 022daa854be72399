#include "Mesh/LenderSuccession.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

/// \file Which lost nodes are succeeded as lenders, and by which side of a network partition.

using namespace robinrun;

namespace {

constexpr std::size_t nodeCount = 20;
constexpr Duration handover = SuccessionTiming {}.handoverDelay;
constexpr Duration minorityDelay = SuccessionTiming {}.minorityDelay;

struct SuccessionFixture {
    LenderSuccession succession;
    Instant now { 100s };

    void mark(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            succession.setMarked("n" + std::to_string(i), true, now);
    }
    void update(double reach) { succession.update(reach, nodeCount, now); }
};

} // namespace

TEST_CASE("A lost node is succeeded once its mark has stood for the handover delay", "[rates]")
{
    SuccessionFixture f;
    f.mark(2);
    f.update(0.9);
    REQUIRE(f.succession.succeededNodes().empty());
    f.now += handover;
    f.update(0.9);
    REQUIRE(f.succession.succeededNodes().size() == 2);
    REQUIRE(f.succession.reachableFraction() == 0.9);
    f.succession.setMarked("n0", false, f.now);
    f.update(0.9);
    REQUIRE(f.succession.succeededNodes() == std::set<std::string> { "n1" });
}

TEST_CASE("A mark that is taken back and set again counts from the second time", "[rates]")
{
    SuccessionFixture f;
    f.mark(1);
    f.now += handover - 1ms;
    f.succession.setMarked("n0", false, f.now);
    f.mark(1);
    f.now += 1ms;
    f.update(1);
    REQUIRE(f.succession.succeededNodes().empty());
}

TEST_CASE("The smaller side succeeds nobody and knows after a while that it may be succeeded", "[rates]")
{
    SuccessionFixture f;
    f.mark(12);
    f.update(0.6); // A sample of contacts that is too favourable: the marks tell better.
    REQUIRE(f.succession.reachableFraction() < 0.5);
    REQUIRE_FALSE(f.succession.mayBeSucceeded(f.now));
    f.now += std::max(handover, minorityDelay);
    f.update(0.6);
    REQUIRE(f.succession.succeededNodes().empty());
    REQUIRE(f.succession.mayBeSucceeded(f.now));
    for (std::size_t i = 0; i < 12; ++i)
        f.succession.setMarked("n" + std::to_string(i), false, f.now);
    f.update(0.9);
    REQUIRE_FALSE(f.succession.mayBeSucceeded(f.now));
}

TEST_CASE("Two sides of equal size keep what they lend", "[rates]")
{
    SuccessionFixture f;
    f.mark(nodeCount / 2);
    f.now += std::max(handover, minorityDelay);
    f.update(0.5);
    REQUIRE(f.succession.succeededNodes().empty());
    REQUIRE_FALSE(f.succession.mayBeSucceeded(f.now));
    REQUIRE(f.succession.reachableFraction() >= 0.5);
}

TEST_CASE("A node that is cut off alone succeeds nobody", "[rates]")
{
    SuccessionFixture f;
    f.mark(4); // Its contacts, as far as it has marked them.
    f.now += handover;
    f.update(0);
    REQUIRE(f.succession.succeededNodes().empty());
}
