#include "Routing/HallSubset.h"

#include "Routing/Subset.h"

namespace robinrun {
namespace {

    /// Of the upstreams that an ingress keeps to, at least one in so many is in another data hall.
    constexpr std::size_t farPart = 3;

} // namespace

std::vector<std::size_t> chooseByHall(const std::vector<UpstreamPlace>& upstreams,
    const std::vector<std::string>& hallIngresses, const std::string& self, std::size_t size)
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        (upstreams[i].isNear ? near : far).push_back(i);
    std::vector<std::size_t> out;
    const auto take = [&](const std::vector<std::size_t>& from, std::size_t n) {
        std::vector<std::string> names;
        names.reserve(from.size());
        for (const auto i : from)
            names.push_back(upstreams[i].name);
        for (const auto i : chooseSubset(names, hallIngresses, self, n))
            out.push_back(from[i]);
    };
    take(near, far.empty() ? size : size - size / farPart);
    if (!far.empty())
        take(far, size - out.size());
    return out;
}

} // namespace robinrun
