#include "Rates/LenderAssignment.h"

#include "Core/Hash.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Nodes with at least this fraction of the greatest capacity are candidates.
    constexpr double minCapacityFraction = 0.8;
    /// With fewer candidates than this, all nodes become candidates, so that enough nodes share the work.
    constexpr std::size_t minCandidates = 4;

} // namespace

bool LenderAssignment::setNodes(std::vector<Node> nodes)
{
    std::sort(nodes.begin(), nodes.end());
    if (nodes == m_nodes)
        return false;
    m_nodes = std::move(nodes);
    m_partLenders.clear();
    m_candidates.clear();
    double maxCapacity = 0;
    for (const auto& it : m_nodes)
        maxCapacity = std::max(maxCapacity, it.capacity);
    for (const auto& it : m_nodes) {
        if (it.capacity >= minCapacityFraction * maxCapacity)
            m_candidates.push_back(it.name);
    }
    if (m_candidates.size() >= minCandidates)
        return true;
    m_candidates.clear();
    for (const auto& it : m_nodes)
        m_candidates.push_back(it.name);
    return true;
}

const std::string& LenderAssignment::lenderOf(std::string_view group, std::uint32_t part)
{
    auto found = m_partLenders.find(group);
    if (found != m_partLenders.end())
        return found->second[part];
    auto& partLenders = m_partLenders[std::string(group)];
    std::array<std::string, maxRateParts> ranked;
    const auto seed = hash64(group);
    const auto hasHigherRank
        = [&](const auto& a, const auto& b) { return hash64(a, seed) > hash64(b, seed); };
    std::partial_sort_copy(
        m_candidates.begin(), m_candidates.end(), ranked.begin(), ranked.end(), hasHigherRank);
    for (std::uint32_t i = 0; i < maxRateParts && !m_candidates.empty(); ++i)
        partLenders[i] = ranked[i % m_candidates.size()];
    return partLenders[part];
}

} // namespace robinrun
