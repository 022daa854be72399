#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

/// \brief Reserves half of the slots for nested calls while such calls have to wait.
///
/// A nested call is issued by a running call on another server, its parent, which holds a slot there until
/// the nested call ends. Nested calls are served first, but a burst of calls that are less urgent than the
/// parents can occupy all slots for a whole slot time. The work spent on the parents is lost if their nested
/// calls then end too late. Therefore, while nested calls have to wait, calls less urgent than their parents
/// get at most half of the slots. Does no I/O. Cost: O(1).
class NestedCallReservation {
public:
    /// \brief Records that a nested call has to wait for a slot.
    /// \param parentUrgency urgency of the call that issued it.
    void onNestedCallQueued(std::uint32_t parentUrgency, Instant now)
    {
        m_parentUrgency = now < m_reservedUntil ? std::max(m_parentUrgency, parentUrgency) : parentUrgency;
        m_reservedUntil = now + reservationDuration;
    }

    /// \returns whether slots are reserved at \a now from a call of \a urgency, because it is less urgent
    /// than the parents of nested calls that waited recently.
    bool yieldsToNestedCalls(std::uint32_t urgency, Instant now) const
    {
        return now < m_reservedUntil && urgency > m_parentUrgency;
    }

    /// \returns how many of \a limit slots the less urgent calls may use; at least one.
    static std::uint32_t maxLessUrgentSlots(std::uint32_t limit) { return std::max(limit / 2, 1U); }

private:
    static constexpr Duration reservationDuration
        = 300ms; ///< bridges the gaps between nested calls in a burst

    Instant m_reservedUntil {};
    std::uint32_t m_parentUrgency = 0; ///< urgency of the least urgent parent
};

} // namespace robinrun
