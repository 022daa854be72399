#pragma once

#include "Core/Time.h"
#include "Queueing/Slowdown.h"

#include <optional>

namespace robinrun {

/// \brief A clock that advances by the work that a backend server does on one call.
///
/// It runs slower than real time by the slowdown factor that the server reports, so the difference of two
/// readings is the time that the same work takes without a slowdown. It is accurate only if the server
/// reports slowdowns, and does so promptly. Cost: O(1).
class WorkClock {
public:
    /// \brief Records that work takes \a slowdown times as long from \a now on; factors below 1 count as 1.
    /// \returns the duration of the slow phase that this ends; nothing if it ends none.
    std::optional<Duration> setSlowdown(double slowdown, Instant now)
    {
        m_workDone = read(now);
        m_updatedAt = now;
        const bool wasSlow = isSlow();
        m_slowdown = slowdown < 1 ? 1 : slowdown;
        if (isSlow() && !wasSlow)
            m_slowSince = now;
        if (!wasSlow || isSlow())
            return std::nullopt;
        return now - m_slowSince;
    }

    /// \returns the work done by \a now, as the time that it takes without a slowdown.
    Duration read(Instant now) const
    {
        return m_workDone
            + (now > m_updatedAt ? fromSeconds(toSeconds(now - m_updatedAt) / m_slowdown) : Duration::zero());
    }

    double slowdown() const { return m_slowdown; }
    bool isSlow() const { return robinrun::isSlow(m_slowdown); }

private:
    double m_slowdown = 1;
    Duration m_workDone {};
    Instant m_updatedAt {};
    Instant m_slowSince {};
};

} // namespace robinrun
