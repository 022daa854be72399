#pragma once

#include "Core/Time.h"

#include <optional>

namespace robinrun {

/// \brief A time in which a process did nothing at all, though it ran: it was frozen, or its host was.
struct Standstill {
    Instant began {};
    Instant ended {};

    Duration length() const { return ended - began; }
};

/// \brief Tells that this process has just stood still, by the gap between two of its regular ticks.
///
/// What is read right after is as old as the gap: requests that nobody read, calls whose senders have given
/// their links up, replies to what was asked before. Nothing of it shows its age, so whoever takes it asks
/// here and judges by the time after waking.
/// Cost: O(1).
class StandstillWatch {
public:
    /// No tick comes later than this while a process runs: a turn of the loop that reads a configuration of
    /// 2,800 routes takes 0.3 s on a tenth of a core. With 200 ms such a turn was taken for a standstill, and
    /// calls that had just come were ended 0.2 s before their deadlines, in 5 of 15 plays of one day. A
    /// request that waited unread for less is answered so much late.
    static constexpr Duration leastGap = 400ms;
    /// What waited unread is read within so long after waking, on a twentieth of a core: a few hundred
    /// messages of 0.05 ms.
    static constexpr Duration settling = 200ms;
    /// In one turn of the loop all that has happened meanwhile is noticed, closed connections too.
    static constexpr Duration oneTurn = 10ms;

    /// \brief A regular tick, every 100 ms or more often.
    void tick(Instant now);

    /// \returns the standstill that this process wakes from, also if no tick has come since; nothing if there
    /// was none in the last moments.
    std::optional<Standstill> wakingFrom(Instant now) const;

    /// \returns how old at most something is that waited for this process and is read at \a now.
    Duration backlogAge(Instant now) const;

    /// \returns whether what ended meanwhile may not have been noticed yet.
    bool isFirstTurn(Instant now) const;

private:
    std::optional<Instant> m_lastTick;
    std::optional<Standstill> m_last;
};

} // namespace robinrun
