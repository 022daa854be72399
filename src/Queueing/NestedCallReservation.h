#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

/// \brief Keeps slots for nested calls, which runs elsewhere wait for, where calls that are less urgent than
/// those runs come to the same backend server.
///
/// Answers the load of a burst of the least urgent calls at a service that more urgent ones call in turn:
/// nested calls go first in the queue, but a slot that such a call has taken is gone for a whole run of it,
/// and what has been spent on the outer calls is lost when their nested ones end too late. While nested calls
/// have to wait, less urgent ones get half of the slots. No I/O. Cost: O(1).
class NestedCallReservation {
public:
    /// \brief A nested call has to wait for a slot. \param parentUrgency of the run that waits for it.
    void onNestedCallQueued(std::uint32_t parentUrgency, Instant now)
    {
        m_parentUrgency = now < m_reservedUntil ? std::max(m_parentUrgency, parentUrgency) : parentUrgency;
        m_reservedUntil = now + reservationDuration;
    }

    /// \returns whether a call of \a urgency is less urgent than those that nested calls have lately waited
    /// for.
    bool yieldsToNestedCalls(std::uint32_t urgency, Instant now) const
    {
        return now < m_reservedUntil && urgency > m_parentUrgency;
    }

    /// \returns how many of \a limit slots such calls may use; one at least.
    static std::uint32_t maxLessUrgentSlots(std::uint32_t limit) { return std::max(limit / 2, 1U); }

private:
    static constexpr Duration reservationDuration = 300ms; ///< a burst goes on, with gaps about so long

    Instant m_reservedUntil {};
    std::uint32_t m_parentUrgency = 0; ///< of the least urgent of those runs
};

} // namespace robinrun
