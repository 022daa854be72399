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
constexpr std::size_t fastLink = 1U << 30U; ///< Bytes a second.

std::string nameOfGroup(std::size_t i)
{
    return "g" + std::to_string(i);
}

/// \returns a configuration with groups of small rates. \param target latency in ms.
std::string withRatedGroups(int version, const std::string& target)
{
    auto out = MeshFixture::configuration(version, "shop", target);
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
    /// \param target latency in ms; calls wait for credits for the most of it.
    explicit RatedFixture(const std::string& target = "5000")
    {
        linkBytesPerSecond = fastLink;
        store.put("keyed.op", "config", withRatedGroups(5, target));
        for (std::size_t i = 0; i < nodeCount; ++i)
            add("shop");
        for (std::size_t i = 0; i < nodeCount; ++i)
            until([&] { return callOf(nameOfGroup(i), i) == 200; });
        until([&] {
            pass(20ms);
            return metricOf(ingress, "robinrun_nodes_known") == nodeCount;
        });
        pass(1s); // Parts of a rate begin with few credits.
    }

    /// \returns the value of a gauge of node \a i; 0 if it has none of that name.
    std::size_t metricOf(std::size_t i, const std::string& name)
    {
        const auto text = send(places[i].settings.listen.metrics, { "GET", "/metrics", {}, "" }).body;
        const auto series = "\n" + name + " ";
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
    RatedFixture f("200"); // Over before the lost lenders are succeeded.
    for (std::size_t i = 0; i < lostCount; ++i)
        f.places[i].node.reset();
    std::set<int> statuses;
    for (std::size_t i = 0; i < groupCount; ++i)
        statuses.insert(f.callOf(nameOfGroup(i), ingress));
    REQUIRE(statuses == std::set<int> { 200, 503 });
}

TEST_CASE("A node that was marked as unreachable is not marked any more once it is back", "[rates]")
{
    RatedFixture f;
    const auto untilMarked = [&](std::size_t count) {
        f.until([&] {
            f.pass(20ms);
            return f.metricOf(ingress, "robinrun_nodes_unreachable") == count;
        });
    };
    untilMarked(0);
    f.places[1].node.reset();
    untilMarked(1);
    f.startNode(1);
    untilMarked(0);
}

// Guards against small groups that get nothing while lenders answer late: each of their calls has to ask.
TEST_CASE("A call is served though the lender of its rate answers late", "[rates]")
{
    RatedFixture f;
    for (auto& it : f.places)
        it.link->set(support::LinkFault::Delay);
    std::size_t served = 0;
    for (std::size_t i = 0; i < groupCount; ++i)
        served += f.callOf(nameOfGroup(i), ingress) == 200 ? 1 : 0;
    REQUIRE(served == groupCount);
}
