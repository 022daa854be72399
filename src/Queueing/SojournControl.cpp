#include "Queueing/SojournControl.h"

#include <cmath>

namespace robinrun {

bool SojournControl::stands(Duration sojourn, bool isLast, Instant now)
{
    if (sojourn < m_options.target || isLast) {
        m_isAbove = false;
        return false;
    }
    if (!m_isAbove) {
        m_isAbove = true;
        m_firstAbove = now + m_options.interval;
        return false;
    }
    return now >= m_firstAbove;
}

Instant SojournControl::after(Instant start) const
{
    return start + fromSeconds(toSeconds(m_options.interval) / std::sqrt(static_cast<double>(m_count)));
}

bool SojournControl::shouldRefuse(Duration sojourn, bool isLast, Instant now)
{
    if (!stands(sojourn, isLast, now)) {
        m_isRefusing = false;
        return false;
    }
    if (!m_isRefusing) {
        m_isRefusing = true;
        // A queue that stood a moment ago is taken up near the rate that moved it then.
        const bool isRecent = m_count > 2 && now - m_nextRefusal < 8 * m_options.interval;
        m_count = isRecent ? m_count - 2 : 1;
        m_nextRefusal = after(now);
        return true;
    }
    if (now < m_nextRefusal)
        return false;
    ++m_count;
    m_nextRefusal = after(m_nextRefusal);
    return true;
}

} // namespace robinrun
