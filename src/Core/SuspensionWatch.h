#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <optional>

namespace robinrun {

/// \brief Tells for how long the host was suspended, by a clock that counts then and one that doesn't.
///
/// The loop's timers go by the second one: what is due at an instant would come later by as long as the host
/// was suspended. \sa bringTimersForward() Cost: O(1).
class SuspensionWatch {
public:
    /// The clocks are read one after the other; a process may be held up in between for a tenth of a second
    /// when its quota is spent.
    static constexpr Duration leastSuspension = 150ms;

    /// \returns how long the host was suspended since the last call; zero if it wasn't, and the first time.
    /// \param now on the clock that counts then. \param timers the clock that doesn't, read after it.
    Duration tick(Instant now, Instant timers)
    {
        const auto lead = now - timers;
        const auto before = m_lead.value_or(lead);
        m_lead = std::max(lead, before);
        return lead - before >= leastSuspension ? lead - before : Duration::zero();
    }

private:
    std::optional<Duration>
        m_lead; ///< of the first clock over the second one; less was read where the process was held up
};

} // namespace robinrun
