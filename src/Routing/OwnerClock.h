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
        Instant ownerReceived {};
        Instant ownerAnswered {}; ///< on the owner's clock
        Instant answerReceived {}; ///< the answer, on this node's clock
    };

    /// By how much two clocks drift apart at most: what a kernel slews a clock by to set it.
    static constexpr std::int64_t maxDriftPerMillion = 500;
    /// Calls that wait for a node of a tenth of a core take 0.2 s, others among the next few don't.
    static constexpr Duration halfWindow = 10s;

    explicit OwnerClock(const Sample& first) { restart(first); }

    void addSample(const Sample& sample)
    {
        m_lastAnswer = std::max(m_lastAnswer, sample.answerReceived);
        const bool isTooLow = upperBoundAt(sample.answerReceived) < sample.ownerAnswered;
        if (sample.incarnation != m_incarnation || isTooLow)
            return restart(sample);
        if (sample.answerReceived - m_currentSince >= halfWindow) {
            const bool isStale = sample.answerReceived - m_currentSince >= 2 * halfWindow;
            m_previousBound = isStale ? std::nullopt : std::optional(m_currentBound);
            m_currentBound = boundOf(sample);
            m_currentSince = sample.answerReceived;
            return;
        }
        if (boundOf(sample).upperBoundAt(sample.answerReceived)
            < m_currentBound.upperBoundAt(sample.answerReceived))
            m_currentBound = boundOf(sample);
    }

    /// \returns what the owner's clock shows when this node's shows \a localTime, at most.
    Instant upperBoundAt(Instant localTime) const
    {
        const auto current = m_currentBound.upperBoundAt(localTime);
        return m_previousBound ? std::min(current, m_previousBound->upperBoundAt(localTime)) : current;
    }

    /// \returns the owner's incarnation.
    std::uint64_t incarnation() const { return m_incarnation; }
    /// \returns when its last answer came.
    Instant lastAnswerTime() const { return m_lastAnswer; }

private:
    /// That the owner's clock was maxLead by `ahead` at most, once.
    struct Bound {
        Duration maxLead {};
        Instant measuredAt {};

        Instant upperBoundAt(Instant localTime) const
        {
            const auto age = std::max(localTime - measuredAt, Duration::zero());
            return localTime + maxLead + Duration(age.count() * maxDriftPerMillion / 1'000'000 + 1);
        }
    };

    static Bound boundOf(const Sample& sample) { return { sample.ownerReceived - sample.sent, sample.sent }; }

    void restart(const Sample& sample)
    {
        m_incarnation = sample.incarnation;
        m_currentBound = boundOf(sample);
        m_previousBound.reset();
        m_currentSince = sample.answerReceived;
        m_lastAnswer = sample.answerReceived;
    }

    std::uint64_t m_incarnation = 0;
    Bound m_currentBound; ///< the least of this half-window
    std::optional<Bound> m_previousBound; ///< of the one before
    Instant m_currentSince {};
    Instant m_lastAnswer {};
};

} // namespace robinrun
