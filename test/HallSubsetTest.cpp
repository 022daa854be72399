#include "Routing/HallSubset.h"

#include "Routing/Subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

/// \file How evenly the subsets of all ingresses in several data halls load the upstreams of a large service.
///
/// Each hall has an ingress on every host and more upstreams of the service than fit in a subset. The main
/// case has 144 upstreams on 295 hosts in five halls, with subsets of 24 upstreams; the others are further
/// sizes of such services.

using namespace robinrun;

namespace {

struct Deployment {
    std::size_t halls;
    std::size_t hosts;
    std::size_t upstreams; ///< number of upstreams of the service
};

std::string hostName(std::size_t i)
{
    return "host-" + std::to_string(i);
}

std::string upstreamName(std::size_t i)
{
    return "i-" + std::to_string(i * 7919);
}

/// \returns for each upstream the numbers of near and of far ingresses whose subsets contain it.
std::map<std::size_t, std::pair<int, int>> countIngresses(const Deployment& deployment, std::size_t size)
{
    std::map<std::size_t, std::pair<int, int>> out;
    for (std::size_t hall = 0; hall < deployment.halls; ++hall) {
        std::vector<std::string> hosts;
        for (std::size_t i = hall; i < deployment.hosts; i += deployment.halls)
            hosts.push_back(hostName(i));
        std::vector<UpstreamLocation> upstreams;
        for (std::size_t i = 0; i < deployment.upstreams; ++i)
            upstreams.push_back({ upstreamName(i), i % deployment.halls == hall });
        for (const auto& self : hosts) {
            for (const auto i : chooseHallSubset(upstreams, hosts, self, size))
                ++(upstreams[i].isNear ? out[i].first : out[i].second);
        }
    }
    return out;
}

} // namespace

TEST_CASE(
    "Every upstream of a large service is in about as many near and far subsets as the others", "[routing]")
{
    for (const auto& deployment : { Deployment { 5, 295, 144 }, Deployment { 3, 68, 37 },
             Deployment { 3, 61, 30 }, Deployment { 18, 7200, 480 } }) {
        INFO(deployment.hosts);
        const auto ingressCounts = countIngresses(deployment, 24);
        REQUIRE(ingressCounts.size() == deployment.upstreams);
        std::vector<int> nearCounts;
        std::vector<int> farCounts;
        for (const auto& [upstream, counts] : ingressCounts) {
            nearCounts.push_back(counts.first);
            farCounts.push_back(counts.second);
        }
        const auto isEven = [](const std::vector<int>& counts) {
            const auto [least, most] = std::minmax_element(counts.begin(), counts.end());
            return *least > 0 && *most <= 2 * *least + 6;
        };
        REQUIRE(isEven(nearCounts));
        REQUIRE(isEven(farCounts));
    }
}

TEST_CASE("Ingresses that know no other ingresses don't all choose the same upstreams", "[routing]")
{
    std::vector<std::string> upstreams;
    for (std::size_t i = 0; i < 100; ++i)
        upstreams.push_back(upstreamName(i));
    std::map<std::size_t, int> ingressCounts;
    for (std::size_t i = 0; i < 300; ++i) {
        for (const auto it : chooseSubset(upstreams, {}, hostName(i), 20))
            ++ingressCounts[it];
    }
    REQUIRE(ingressCounts.size() == 100); // each is in 60 subsets on average
    for (const auto& [upstream, n] : ingressCounts)
        REQUIRE(n >= 25);
}
