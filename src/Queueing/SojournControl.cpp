#include "Queueing/SojournControl.h"

#include <cmath>

namespace robinrun {

bool SojournControl::stands(const Options& options, Duration sojourn, bool isLast, Instant now)
{
    if (sojourn < options.target || isLast) {
        m_isAbove = false;
        return false;
    }
    if (!m_isAbove) {
        m_isAbove = true;
        m_firstAbove = now + options.interval;
        return false;
    }
    return now >= m_firstAbove;
}

Instant SojournControl::after(const Options& options, Instant start) const
{
    return start + fromSeconds(toSeconds(options.interval) / std::sqrt(static_cast<double>(m_count)));
}

bool SojournControl::shouldRefuse(const Options& options, Duration sojourn, bool isLast, Instant now)
{
    if (!stands(options, sojourn, isLast, now)) {
        m_isRefusing = false;
        return false;
    }
    if (!m_isRefusing) {
        m_isRefusing = true;
        // A queue that stood a moment ago is taken up near the rate that moved it then.
        const bool isRecent = m_count > 2 && now - m_nextRefusal < 8 * options.interval;
        m_count = isRecent ? m_count - 2 : 1;
        m_nextRefusal = after(options, now);
        return true;
    }
    if (now < m_nextRefusal)
        return false;
    ++m_count;
    m_nextRefusal = after(options, m_nextRefusal);
    return true;
}

} // namespace robinrun
