#include "Routing/HallSubset.h"

#include "Routing/Subset.h"

namespace robinrun {
namespace {

    /// One in this many upstreams of a subset, rounded down, is in another data hall.
    constexpr std::size_t farDivisor = 3;

} // namespace

std::vector<std::size_t> chooseHallSubset(const std::vector<UpstreamLocation>& upstreams,
    const std::vector<std::string>& hallIngresses, const std::string& self, std::size_t size)
{
    std::vector<std::size_t> nearIndexes;
    std::vector<std::size_t> farIndexes;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        (upstreams[i].isNear ? nearIndexes : farIndexes).push_back(i);
    std::vector<std::size_t> out;
    const auto appendSubset = [&](const std::vector<std::size_t>& indexes, std::size_t n) {
        std::vector<std::string> names;
        names.reserve(indexes.size());
        for (const auto i : indexes)
            names.push_back(upstreams[i].name);
        for (const auto i : chooseSubset(names, hallIngresses, self, n))
            out.push_back(indexes[i]);
    };
    appendSubset(nearIndexes, farIndexes.empty() ? size : size - size / farDivisor);
    if (!farIndexes.empty())
        appendSubset(farIndexes, size - out.size());
    return out;
}

} // namespace robinrun
