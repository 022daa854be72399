#include "Rates/CreditHomes.h"

#include "Core/Hash.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Nodes with this part of the greatest capacity may lend; fewer than so many would share out too little.
    constexpr double capablePart = 0.8;
    constexpr std::size_t fewestLenders = 4;

} // namespace

void CreditHomes::setNodes(std::vector<Node> nodes)
{
    std::sort(nodes.begin(), nodes.end());
    if (nodes == m_nodes)
        return;
    m_nodes = std::move(nodes);
    m_homes.clear();
    m_lenders.clear();
    double most = 0;
    for (const auto& it : m_nodes)
        most = std::max(most, it.capacity);
    for (const auto& it : m_nodes) {
        if (it.capacity >= capablePart * most)
            m_lenders.push_back(it.name);
    }
    if (m_lenders.size() >= fewestLenders)
        return;
    m_lenders.clear();
    for (const auto& it : m_nodes)
        m_lenders.push_back(it.name);
}

const std::string& CreditHomes::homeOf(std::string_view group, std::uint32_t part)
{
    auto found = m_homes.find(group);
    if (found != m_homes.end())
        return found->second[part];
    auto& homes = m_homes[std::string(group)];
    std::array<std::string, mostRateParts> best;
    const auto seed = hash64(group);
    const auto isMore = [&](const auto& a, const auto& b) { return hash64(a, seed) > hash64(b, seed); };
    std::partial_sort_copy(m_lenders.begin(), m_lenders.end(), best.begin(), best.end(), isMore);
    for (std::uint32_t i = 0; i < mostRateParts && !m_lenders.empty(); ++i)
        homes[i] = best[i % m_lenders.size()];
    return homes[part];
}

} // namespace robinrun
