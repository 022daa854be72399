#include "Routing/HallSubset.h"

#include "Routing/Subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

/// \file Which upstreams of a large service the ingresses of several data halls keep to, all together.
///
/// Pattern: five halls, a service with more upstreams in each than a subset holds, and ingresses beside the
/// upstreams of all services. Grounds of the figures: 144 upstreams among 295 hosts, subsets of 24; and the
/// other sizes that such services have.

using namespace robinrun;

namespace {

struct Site {
    std::size_t halls;
    std::size_t hosts;
    std::size_t upstreams; ///< of the service; the first hosts have one each
};

std::string hostName(std::size_t i)
{
    return "host-" + std::to_string(i);
}

std::string upstreamName(std::size_t i)
{
    return "i-" + std::to_string(i * 7919);
}

/// \returns how many ingresses keep to each upstream, near ones and far ones apart.
std::map<std::size_t, std::pair<int, int>> keptBy(const Site& site, std::size_t size)
{
    std::map<std::size_t, std::pair<int, int>> out;
    for (std::size_t hall = 0; hall < site.halls; ++hall) {
        std::vector<std::string> hosts;
        for (std::size_t i = hall; i < site.hosts; i += site.halls)
            hosts.push_back(hostName(i));
        std::vector<UpstreamLocation> upstreams;
        for (std::size_t i = 0; i < site.upstreams; ++i)
            upstreams.push_back({ upstreamName(i), i % site.halls == hall });
        for (const auto& self : hosts) {
            for (const auto i : chooseHallSubset(upstreams, hosts, self, size))
                ++(upstreams[i].isNear ? out[i].first : out[i].second);
        }
    }
    return out;
}

} // namespace

TEST_CASE("Every upstream of a large service gets callers, near and far, as many as the others", "[routing]")
{
    for (const auto& site :
        { Site { 5, 295, 144 }, Site { 3, 68, 37 }, Site { 3, 61, 30 }, Site { 18, 7200, 480 } }) {
        INFO(site.hosts);
        const auto kept = keptBy(site, 24);
        REQUIRE(kept.size() == site.upstreams);
        std::vector<int> near;
        std::vector<int> far;
        for (const auto& [upstream, counts] : kept) {
            near.push_back(counts.first);
            far.push_back(counts.second);
        }
        const auto isEven = [](const std::vector<int>& counts) {
            const auto [least, most] = std::minmax_element(counts.begin(), counts.end());
            return *least > 0 && *most <= 2 * *least + 6;
        };
        REQUIRE(isEven(near));
        REQUIRE(isEven(far));
    }
}

TEST_CASE("Ingresses that know no others don't all keep to the same upstreams", "[routing]")
{
    std::vector<std::string> upstreams;
    for (std::size_t i = 0; i < 100; ++i)
        upstreams.push_back(upstreamName(i));
    std::map<std::size_t, int> kept;
    for (std::size_t i = 0; i < 300; ++i) {
        for (const auto it : chooseSubset(upstreams, {}, hostName(i), 20))
            ++kept[it];
    }
    REQUIRE(kept.size() == 100); // 60 each on average
    for (const auto& [upstream, n] : kept)
        REQUIRE(n >= 25);
}
