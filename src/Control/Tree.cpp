#include "Control/Tree.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {
namespace {

    constexpr std::string_view hallSalt = "hall";
    constexpr std::string_view rootSalt = "root";

    std::size_t placeOf(const std::vector<std::string>& names, const std::string& name)
    {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    }

} // namespace

std::vector<std::string> rankByHash(std::vector<std::string> names, std::string_view salt)
{
    const auto seed = hash64(salt);
    std::vector<std::pair<std::uint64_t, std::string>> keyed;
    keyed.reserve(names.size());
    for (auto& it : names) {
        const auto h = hash64(it, seed);
        keyed.emplace_back(h, std::move(it));
    }
    std::sort(keyed.begin(), keyed.end());
    names.clear();
    for (auto& it : keyed)
        names.push_back(std::move(it.second));
    return names;
}

std::vector<std::string> treeChildren(const std::vector<std::string>& ranked, const std::string& root,
    const std::string& self, std::size_t fanOut)
{
    std::vector<std::string> order { root };
    for (const auto& it : ranked) {
        if (it != root)
            order.push_back(it);
    }
    std::vector<std::string> children;
    const auto place = placeOf(order, self);
    if (place == order.size())
        return children;
    const auto first = place * fanOut + 1;
    for (auto i = first; i < first + fanOut && i < order.size(); ++i)
        children.push_back(order[i]);
    return children;
}

std::vector<std::string> Trees::hallRanks(Instant now) const
{
    auto names = m_members->liveIn(m_self->dataHall, now);
    if (std::find(names.begin(), names.end(), m_self->name) == names.end())
        names.push_back(m_self->name);
    return rankByHash(std::move(names), hallSalt);
}

std::string Trees::hallRoot(const std::string& hall, Instant now) const
{
    const auto ranks = rankByHash(m_members->liveIn(hall, now), hallSalt);
    return ranks.empty() ? std::string() : ranks.front();
}

std::string Trees::regionRoot(const std::string& region, Instant now) const
{
    for (const auto& hall : rankByHash(m_members->halls(region), rootSalt)) {
        auto root = hallRoot(hall, now);
        if (!root.empty())
            return root;
    }
    return {};
}

std::string Trees::parent(Instant now) const
{
    const auto ranks = hallRanks(now);
    const auto place = placeOf(ranks, m_self->name);
    if (place > 0)
        return ranks[(place - 1) / m_fanOut];
    auto ofRegion = regionRoot(m_self->region, now);
    if (!ofRegion.empty() && ofRegion != m_self->name)
        return ofRegion;
    for (const auto& region : rankByHash(m_members->regions(), rootSalt)) {
        auto root = regionRoot(region, now);
        if (!root.empty())
            return root == m_self->name ? std::string() : root;
    }
    return {};
}

} // namespace robinrun
