#pragma once

#include "Core/Time.h"
#include "Queueing/Slowdown.h"

#include <optional>

namespace robinrun {

/// \brief Counts the work that a backend server gets done on one call: time, but slower while it tells of a
/// slow-down.
///
/// The difference of two readings is the time that the same work would have taken on a calm server. Right
/// only as far as slow-downs are told, and told soon. Cost: O(1).
class WorkClock {
public:
    /// \brief From \a now on work takes \a slowdown times as long.
    /// \returns the length of the slow phase that has ended with this; nothing if none has.
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

    /// \returns the work done since the clock began.
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
