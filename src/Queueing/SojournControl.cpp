#include "Queueing/SojournControl.h"

#include <cmath>

namespace robinrun {

bool SojournControl::isAboveTargetForInterval(
    const Options& options, Duration sojourn, bool isLast, Instant now)
{
    if (sojourn < options.target || isLast) {
        m_isAboveTarget = false;
        return false;
    }
    if (!m_isAboveTarget) {
        m_isAboveTarget = true;
        m_intervalEnd = now + options.interval;
        return false;
    }
    return now >= m_intervalEnd;
}

Instant SojournControl::nextRefusalAfter(const Options& options, Instant start) const
{
    return start + fromSeconds(toSeconds(options.interval) / std::sqrt(static_cast<double>(m_refusalCount)));
}

bool SojournControl::shouldRefuse(const Options& options, Duration sojourn, bool isLast, Instant now)
{
    if (!isAboveTargetForInterval(options, sojourn, isLast, now)) {
        m_isRefusing = false;
        return false;
    }
    if (!m_isRefusing) {
        m_isRefusing = true;
        // If refusals ended less than eight intervals ago, they resume near the rate that cleared the queue.
        const bool hasRefusedRecently = m_refusalCount > 2 && now - m_nextRefusal < 8 * options.interval;
        m_refusalCount = hasRefusedRecently ? m_refusalCount - 2 : 1;
        m_nextRefusal = nextRefusalAfter(options, now);
        return true;
    }
    if (now < m_nextRefusal)
        return false;
    ++m_refusalCount;
    m_nextRefusal = nextRefusalAfter(options, m_nextRefusal);
    return true;
}

} // namespace robinrun
