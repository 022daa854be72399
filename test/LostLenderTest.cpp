#include "support/MeshFixture.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

/// \file Rates of groups whose lenders are lost, through whole mesh nodes.

using namespace robinrun;
using support::MeshFixture;

namespace {

constexpr std::size_t nodeCount = 8;
constexpr std::size_t lostCount = 3;
constexpr std::size_t groupCount = 40;
constexpr std::size_t ingress = nodeCount - 1;

std::string nameOfGroup(std::size_t i)
{
    return "g" + std::to_string(i);
}

/// \returns a configuration with groups of small rates.
std::string withRatedGroups(int version)
{
    auto out = MeshFixture::configuration(version);
    const std::string head = "\"resources\":[";
    std::string groups;
    for (std::size_t i = 0; i < groupCount; ++i) {
        const auto name = nameOfGroup(i);
        groups += R"({"type":"tenants","metadata":{"name":")" + name + R"("},"spec":{"api_keys":["key-)"
            + name + R"("],"priority":1,"rate_per_s":5,"burst":5}},)";
    }
    return out.insert(out.find(head) + head.size(), groups);
}

struct RatedFixture : MeshFixture {
    RatedFixture()
    {
        store.put("keyed.op", "config", withRatedGroups(5));
        for (std::size_t i = 0; i < nodeCount; ++i)
            add("shop");
        for (std::size_t i = 0; i < nodeCount; ++i)
            until([&] { return callOf(nameOfGroup(i), i) == 200; });
        until([&] {
            pass(20ms);
            return knownNodes(ingress) == nodeCount;
        });
        pass(1s); // Parts of a rate begin with few credits.
    }

    std::size_t knownNodes(std::size_t i)
    {
        const auto text = send(places[i].settings.listen.metrics, { "GET", "/metrics", {}, "" }).body;
        const std::string series = "\nrobinrun_nodes_known ";
        const auto at = text.find(series);
        return at == std::string::npos ? 0 : std::stoul(text.substr(at + series.size()));
    }

    int callOf(const std::string& group, std::size_t i)
    {
        auto out = request("GET", "/read/x");
        out.headers.emplace_back("Authorization", "Bearer key-" + group);
        return send(places[i].settings.listen.callers, out).status;
    }

    /// \brief Calls once for each group of \a waiting and takes out those that are served.
    void callEach(std::set<std::string>& waiting)
    {
        std::erase_if(waiting, [&](const auto& it) { return callOf(it, ingress) == 200; });
    }
};

} // namespace

// Guards against groups that get nothing for as long as the hosts that lend their rate stay lost.
TEST_CASE("A group whose lenders are all lost is served again by the nodes that are left", "[rates]")
{
    RatedFixture f;
    for (std::size_t i = 0; i < lostCount; ++i)
        f.places[i].node.reset();
    std::set<std::string> waiting;
    for (std::size_t i = 0; i < groupCount; ++i)
        waiting.insert(nameOfGroup(i));
    for (int n = 0; n < 100 && !waiting.empty(); ++n) {
        f.callEach(waiting);
        f.pass(100ms);
    }
    CAPTURE(waiting.size());
    REQUIRE(waiting.empty());
}

TEST_CASE("A call that no lender answers for is not told that its group is over its rate", "[rates]")
{
    RatedFixture f;
    for (std::size_t i = 0; i < lostCount; ++i)
        f.places[i].node.reset();
    std::set<int> statuses;
    for (std::size_t i = 0; i < groupCount; ++i)
        statuses.insert(f.callOf(nameOfGroup(i), ingress));
    REQUIRE(statuses == std::set<int> { 200, 503 });
}
