#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace robinrun {

/// \brief Reckons the clock of an owner from its answers, so that a deadline told on that clock is never
/// early.
///
/// What an owner's clock showed when it received a call is the least that it can have shown later, and the
/// most that it can have shown when the call was sent: each answer gives an upper bound of how far that
/// clock is ahead, too high by as long as the call was under way. How long the answer was under way, or
/// waited for its reader, doesn't matter. The least bound of the last one or two half-windows counts; if none
/// came in that time, the last that did.
/// Times are in microseconds on two clocks that need no common zero.
/// Caveats: a deadline told may be late, by the shortest way of a call in the window and by the drift allowed
/// for since; an owner's restart begins anew. A clock that jumps ahead makes deadlines early by that until
/// the next answer if that shows it, else for a window. Cost: O(1) each; 80 bytes.
class OwnerClock {
public:
    /// What the answer to one call tells.
    struct Sample {
        std::uint64_t incarnation = 0; ///< of the owner
        Instant sent {}; ///< the call, on this node's clock
        /// On the owner's clock, when it had received the call. If it isn't known, any later moment will do.
        Instant received {};
        Instant answered {}; ///< on the owner's clock
        Instant heard {}; ///< the answer, on this node's clock
    };

    /// By how much two clocks drift apart at most: what a kernel slews a clock by to set it.
    static constexpr std::int64_t driftPerMillion = 500;
    /// Calls that wait for a node of a tenth of a core take 0.2 s, others among the next few don't.
    static constexpr Duration halfWindow = 10s;

    explicit OwnerClock(const Sample& first) { beginAnew(first); }

    void learn(const Sample& sample)
    {
        m_heard = std::max(m_heard, sample.heard);
        const bool isWrong = at(sample.heard) < sample.answered;
        if (sample.incarnation != m_incarnation || isWrong)
            return beginAnew(sample);
        if (sample.heard - m_presentSince >= halfWindow) {
            const bool isOld = sample.heard - m_presentSince >= 2 * halfWindow;
            m_former = isOld ? std::nullopt : std::optional(m_present);
            m_present = boundOf(sample);
            m_presentSince = sample.heard;
            return;
        }
        if (boundOf(sample).at(sample.heard) < m_present.at(sample.heard))
            m_present = boundOf(sample);
    }

    /// \returns what the owner's clock shows when this node's shows \a then, at most.
    Instant at(Instant then) const
    {
        const auto present = m_present.at(then);
        return m_former ? std::min(present, m_former->at(then)) : present;
    }

    /// \returns the owner's incarnation.
    std::uint64_t incarnation() const { return m_incarnation; }
    /// \returns when its last answer came.
    Instant heard() const { return m_heard; }

private:
    /// That the owner's clock was ahead by `ahead` at most, once.
    struct Bound {
        Duration ahead {};
        Instant since {};

        Instant at(Instant then) const
        {
            const auto age = std::max(then - since, Duration::zero());
            return then + ahead + Duration(age.count() * driftPerMillion / 1'000'000 + 1);
        }
    };

    static Bound boundOf(const Sample& sample) { return { sample.received - sample.sent, sample.sent }; }

    void beginAnew(const Sample& sample)
    {
        m_incarnation = sample.incarnation;
        m_present = boundOf(sample);
        m_former.reset();
        m_presentSince = sample.heard;
        m_heard = sample.heard;
    }

    std::uint64_t m_incarnation = 0;
    Bound m_present; ///< the least of this half-window
    std::optional<Bound> m_former; ///< of the one before
    Instant m_presentSince {};
    Instant m_heard {};
};

} // namespace robinrun
