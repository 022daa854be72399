#include "Mesh/LenderSuccession.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr double half = 0.5;

} // namespace

void LenderSuccession::setMarked(const std::string& node, bool isMarked, Instant now)
{
    if (isMarked)
        m_markedAt.try_emplace(node, now);
    else
        m_markedAt.erase(node);
}

void LenderSuccession::update(double reach, std::size_t nodeCount, Instant now)
{
    const double markedFraction
        = static_cast<double>(m_markedAt.size()) / static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    // The contacts of a node are a sample; the marks are the knowledge of all nodes on this side.
    m_reachableFraction = std::min(reach, 1 - markedFraction);
    const bool isMinority = m_reachableFraction < half;
    if (isMinority && !m_isMinority)
        m_minoritySince = now;
    m_isMinority = isMinority;
    m_succeeded.clear();
    // Two sides of equal size both keep what they lend.
    if (isMinority || markedFraction >= half)
        return;
    for (const auto& [node, markedAt] : m_markedAt) {
        if (now - markedAt >= m_timing.handoverDelay)
            m_succeeded.insert(node);
    }
}

bool LenderSuccession::mayBeSucceeded(Instant now) const
{
    return m_isMinority && now - m_minoritySince >= m_timing.minorityDelay;
}

} // namespace robinrun
