#include "Control/Tree.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {
namespace {

    constexpr std::string_view hallSalt = "hall";
    constexpr std::string_view rootSalt = "root";
    constexpr Duration ranksLife = 500ms;

    std::size_t placeOf(const std::vector<std::string>& names, const std::string& name)
    {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    }

    /// \returns the tree's nodes from the top, each level from left to right: the root, then the others by
    /// rank.
    std::vector<std::string> treeOrder(const std::vector<std::string>& ranked, const std::string& root)
    {
        std::vector<std::string> order { root };
        for (const auto& it : ranked) {
            if (it != root)
                order.push_back(it);
        }
        return order;
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

std::vector<std::string> firstByHash(
    const std::vector<std::string>& names, std::string_view salt, std::size_t n)
{
    const auto seed = hash64(salt);
    std::vector<std::pair<std::uint64_t, const std::string*>> keyed;
    keyed.reserve(names.size());
    for (const auto& it : names)
        keyed.emplace_back(hash64(it, seed), &it);
    const auto count = std::min(n, keyed.size());
    const auto end = keyed.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(keyed.begin(), end, keyed.end(), [](const auto& a, const auto& b) {
        return std::pair(a.first, *a.second) < std::pair(b.first, *b.second);
    });
    std::vector<std::string> first;
    first.reserve(count);
    for (auto it = keyed.begin(); it != end; ++it)
        first.push_back(*it->second);
    return first;
}

std::vector<std::string> treeChildren(const std::vector<std::string>& ranked, const std::string& root,
    const std::string& self, std::size_t fanOut)
{
    const auto order = treeOrder(ranked, root);
    std::vector<std::string> children;
    const auto place = placeOf(order, self);
    if (place == order.size())
        return children;
    const auto first = place * fanOut + 1;
    for (auto i = first; i < first + fanOut && i < order.size(); ++i)
        children.push_back(order[i]);
    return children;
}

const std::vector<std::string>& HallRanks::get(const Membership& members, Instant now)
{
    if (now < m_validUntil && m_version == members.version() && !m_ranks.empty())
        return m_ranks;
    auto names = members.listedIn(m_hall);
    if (std::find(names.begin(), names.end(), m_self) == names.end())
        names.push_back(m_self);
    m_ranks = rankByHash(std::move(names), hallSalt);
    m_version = members.version();
    m_validUntil = now + ranksLife;
    return m_ranks;
}

std::string Trees::hallRoot(const std::string& hall, Instant now) const
{
    auto first = firstByHash(m_members->liveIn(hall, now), hallSalt, 1);
    return first.empty() ? std::string() : std::move(first.front());
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
    const auto& ranks = m_hallRanks->get(*m_members, now);
    auto place = placeOf(ranks, m_self->name);
    // The nearest of those above it that is there.
    while (place > 0) {
        place = (place - 1) / m_fanOut;
        if (!m_members->isSuspected(ranks[place], now))
            return ranks[place];
    }
    auto root = hallRoot(m_self->dataHall, now);
    return root.empty() || root == m_self->name ? aboveHall(now) : root;
}

std::string Trees::aboveHall(Instant now) const
{
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
