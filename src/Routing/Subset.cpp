#include "Routing/Subset.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace robinrun {
namespace {

    /// Number of leading bits of a hash that are used: as many as a double holds exactly.
    constexpr int usedBits = 53;
    constexpr int unusedBits = 64 - usedBits;

    std::vector<std::size_t> orderByHash(const std::vector<std::string>& names)
    {
        std::vector<std::uint64_t> hashes;
        hashes.reserve(names.size());
        for (const auto& it : names)
            hashes.push_back(hash64(it));
        std::vector<std::size_t> order(names.size());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [&](auto a, auto b) { return hashes[a] < hashes[b]; });
        return order;
    }

    /// \returns the position of \a self on the ring, in [0, 1).
    double placeOf(const std::vector<std::string>& names, const std::string& self)
    {
        const auto own = hash64(self);
        if (std::find(names.begin(), names.end(), self) == names.end())
            return static_cast<double>(own >> unusedBits) / std::exp2(usedBits);
        const auto before
            = std::count_if(names.begin(), names.end(), [&](const auto& it) { return hash64(it) < own; });
        return static_cast<double>(before) / static_cast<double>(names.size());
    }

} // namespace

std::vector<std::size_t> chooseSubset(const std::vector<std::string>& upstreams,
    const std::vector<std::string>& ingresses, const std::string& self, std::size_t size)
{
    auto order = orderByHash(upstreams);
    if (order.size() <= size)
        return order;
    const double place = placeOf(ingresses, self) * static_cast<double>(order.size());
    const auto first = static_cast<std::size_t>(place);
    std::vector<std::size_t> subset;
    subset.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        subset.push_back(order[(first + i) % order.size()]);
    return subset;
}

} // namespace robinrun
