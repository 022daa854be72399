#include "Client/LeastServed.h"
#include "Node/GroupCounts.h"

#include <catch2/catch.hpp>
#include <sstream>

/// \file Who is served least: the counts of a node by calling group, and their sum over nodes.

using namespace robinrun;

namespace {

std::string metricsOf(const GroupCounts& counts)
{
    std::ostringstream out;
    counts.write(out);
    return out.str();
}

void addNode(LeastServed& out, const std::string& host, const GroupCounts& counts)
{
    std::istringstream in(metricsOf(counts));
    out.add(host, in);
}

} // namespace

TEST_CASE(
    "A group that is refused everywhere is the least served over all nodes, with the reason", "[losses]")
{
    LeastServed sum;
    for (int host = 0; host < 3; ++host) {
        GroupCounts counts;
        for (int i = 0; i < 100; ++i)
            counts.add("large", i % 2 == 0, i % 50 != 0, Reason::WouldBeLate);
        counts.add("small", false, false, Reason::OverRate);
        addNode(sum, "n" + std::to_string(host), counts);
    }
    const auto groups = sum.groups(1);
    REQUIRE(groups.size() == 1);
    REQUIRE(groups[0].name == "small");
    REQUIRE(groups[0].calls == 3);
    REQUIRE(groups[0].notServed == 3);
    REQUIRE(groups[0].reasons.at("over-rate") == 3);
    REQUIRE(sum.groups(1, 4)[0].name == "large"); // three calls are too few to tell
    REQUIRE(sum.all().calls == 303);
    REQUIRE(sum.all().notServed == 9);
}

TEST_CASE("A host where nothing is served and nested calls that fail are told apart", "[losses]")
{
    LeastServed sum;
    GroupCounts good;
    GroupCounts bad;
    for (int i = 0; i < 20; ++i) {
        good.add("a", false, true, Reason::None);
        good.add("a", true, i % 4 == 0, Reason::None);
        bad.add("a", false, false, Reason::NoUpstream);
    }
    addNode(sum, "good", good);
    addNode(sum, "bad", bad);
    REQUIRE(sum.hosts(1)[0].name == "bad");
    REQUIRE(sum.hosts(1)[0].reasons.at("no-upstream") == 20);
    const auto nesting = sum.nesting();
    REQUIRE(nesting.size() == 2);
    REQUIRE(nesting[0].name == "nested");
    REQUIRE(nesting[0].reasons.at("server-error") == 15);
}

TEST_CASE("Groups beyond the bound share the counts of the others", "[losses]")
{
    GroupCounts counts;
    for (std::size_t i = 0; i < 4 * GroupCounts::maxGroups; ++i)
        counts.add("g" + std::to_string(i), false, true, Reason::None);
    LeastServed sum;
    addNode(sum, "n", counts);
    REQUIRE(sum.all().calls == 4 * GroupCounts::maxGroups);
    REQUIRE(sum.groups(10000).size() == 2 * GroupCounts::maxGroups + 1);
}
