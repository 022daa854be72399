#include "Control/Tree.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {
namespace {

    constexpr std::string_view hallSalt = "hall";
    constexpr std::string_view rootSalt = "root";
    constexpr Duration rankingLifetime = 500ms;

    std::size_t indexOf(const std::vector<std::string>& names, const std::string& name)
    {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    }

    /// \returns the nodes of the tree in level order: the root, then the other hosts by rank.
    std::vector<std::string> levelOrder(const std::vector<std::string>& rankedHosts, const std::string& root)
    {
        std::vector<std::string> order { root };
        for (const auto& it : rankedHosts) {
            if (it != root)
                order.push_back(it);
        }
        return order;
    }

} // namespace

std::vector<std::string> rankByHash(std::vector<std::string> names, std::string_view salt)
{
    const auto seed = hash64(salt);
    std::vector<std::pair<std::uint64_t, std::string>> namesByHash;
    namesByHash.reserve(names.size());
    for (auto& it : names) {
        const auto hash = hash64(it, seed);
        namesByHash.emplace_back(hash, std::move(it));
    }
    std::sort(namesByHash.begin(), namesByHash.end());
    names.clear();
    for (auto& it : namesByHash)
        names.push_back(std::move(it.second));
    return names;
}

std::vector<std::string> topRankedByHash(
    const std::vector<std::string>& names, std::string_view salt, std::size_t n)
{
    const auto seed = hash64(salt);
    std::vector<std::pair<std::uint64_t, const std::string*>> namesByHash;
    namesByHash.reserve(names.size());
    for (const auto& it : names)
        namesByHash.emplace_back(hash64(it, seed), &it);
    const auto count = std::min(n, namesByHash.size());
    const auto end = namesByHash.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(namesByHash.begin(), end, namesByHash.end(), [](const auto& a, const auto& b) {
        return std::pair(a.first, *a.second) < std::pair(b.first, *b.second);
    });
    std::vector<std::string> first;
    first.reserve(count);
    for (auto it = namesByHash.begin(); it != end; ++it)
        first.push_back(*it->second);
    return first;
}

std::vector<std::string> treeChildren(const std::vector<std::string>& rankedHosts, const std::string& root,
    const std::string& self, std::size_t fanOut)
{
    const auto order = levelOrder(rankedHosts, root);
    std::vector<std::string> children;
    const auto index = indexOf(order, self);
    if (index == order.size())
        return children;
    const auto first = index * fanOut + 1;
    for (auto i = first; i < first + fanOut && i < order.size(); ++i)
        children.push_back(order[i]);
    return children;
}

const std::vector<std::string>& HallRanking::rankedHosts(const Membership& members, Instant now)
{
    if (now < m_validUntil && m_membersVersion == members.version() && !m_rankedHosts.empty())
        return m_rankedHosts;
    auto names = members.listedHosts(m_hall);
    if (std::find(names.begin(), names.end(), m_self) == names.end())
        names.push_back(m_self);
    m_rankedHosts = rankByHash(std::move(names), hallSalt);
    m_membersVersion = members.version();
    m_validUntil = now + rankingLifetime;
    return m_rankedHosts;
}

std::string CountingTree::hallRoot(const std::string& hall, Instant now) const
{
    auto first = topRankedByHash(m_members->liveHosts(hall, now), hallSalt, 1);
    return first.empty() ? std::string() : std::move(first.front());
}

std::string CountingTree::regionRoot(const std::string& region, Instant now) const
{
    for (const auto& hall : rankByHash(m_members->halls(region), rootSalt)) {
        auto root = hallRoot(hall, now);
        if (!root.empty())
            return root;
    }
    return {};
}

std::string CountingTree::parent(Instant now) const
{
    const auto& rankedHosts = m_hallRanking->rankedHosts(*m_members, now);
    auto index = indexOf(rankedHosts, m_self->name);
    // The nearest ancestor in the hall's tree that isn't suspected.
    while (index > 0) {
        index = (index - 1) / m_fanOut;
        if (!m_members->isSuspected(rankedHosts[index], now))
            return rankedHosts[index];
    }
    auto root = hallRoot(m_self->dataHall, now);
    return root.empty() || root == m_self->name ? parentAboveHall(now) : root;
}

std::string CountingTree::parentAboveHall(Instant now) const
{
    auto ownRegionRoot = regionRoot(m_self->region, now);
    if (!ownRegionRoot.empty() && ownRegionRoot != m_self->name)
        return ownRegionRoot;
    for (const auto& region : rankByHash(m_members->regions(), rootSalt)) {
        auto root = regionRoot(region, now);
        if (!root.empty())
            return root == m_self->name ? std::string() : root;
    }
    return {};
}

} // namespace robinrun
