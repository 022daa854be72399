#pragma once

#include "Core/Time.h"

#include <optional>
#include <utility>

namespace robinrun {

/// \brief Tells for how long the host was suspended, by a clock that counts then and one that doesn't.
///
/// The loop's timers go by the second one: what is due at an instant would come later by as long as the host
/// was suspended. \sa bringTimersForward() Cost: O(1).
class SuspensionWatch {
public:
    /// Of the clocks, read one after the other.
    struct Reading {
        Instant timersBefore {}; ///< on the clock that stands still
        Instant now {}; ///< on the one that doesn't
        Instant timersAfter {}; ///< on the first one again

        /// \returns the clocks of this host.
        static Reading take()
        {
            const auto before = timersNow();
            const auto now = monotonicNow();
            return { before, now, timersNow() };
        }
    };

    /// A process that was held up while it read the clocks, as when its quota of processor time is spent,
    /// says nothing of them.
    static constexpr Duration longestReading = 20ms;
    /// Shorter ones harm nothing: no timer of a call is finer.
    static constexpr Duration leastSuspension = 100ms;

    /// \returns how long the host was suspended since the last reading; zero if it wasn't, and the first
    /// time.
    Duration tick(const Reading& reading)
    {
        if (reading.timersAfter - reading.timersBefore > longestReading)
            return Duration::zero();
        const auto lead = reading.now - reading.timersBefore;
        const auto before = std::exchange(m_lead, lead).value_or(lead);
        return lead - before >= leastSuspension ? lead - before : Duration::zero();
    }

private:
    std::optional<Duration> m_lead; ///< of the clock that goes on over the other one
};

} // namespace robinrun
