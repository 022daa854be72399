#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace robinrun {

/// \brief Computes an upper bound of an owner's clock from the owner's answers, so that a deadline converted
/// to that clock is never early.
///
/// The owner receives a call after this node has sent it. So the owner's clock at receipt, minus this node's
/// clock at sending, is an upper bound of the lead of the owner's clock. It exceeds the true lead by the
/// transit time of the call. The transit time of the answer, and its wait to be read, don't matter. The least
/// bound of the last one or two half-windows is used, or the latest bound if no answer came in that time.
/// Times are in microseconds. The clocks need no common epoch.
///
/// Caveats: a converted deadline may be late, by the least transit time of the calls in the window plus the
/// drift allowed for since then. A restart of the owner discards the bounds. If the owner's clock jumps
/// ahead, deadlines are early by the jump until an answer reveals it, or otherwise for a whole window. Cost:
/// O(1) per operation; 80 bytes of memory.
class OwnerClock {
public:
    /// \brief Times of one call and its answer, on both clocks.
    struct Sample {
        std::uint64_t incarnation = 0; ///< of the owner
        Instant sent {}; ///< when this node sent the call, on its own clock
        /// When the owner received the call, on the owner's clock. If that is unknown, any later time is
        /// valid.
        Instant ownerReceived {};
        Instant ownerAnswered {}; ///< when the owner answered, on the owner's clock
        Instant answerReceived {}; ///< when this node received the answer, on its own clock
    };

    /// Maximum drift between two clocks: the rate at which a kernel slews a clock to adjust it.
    static constexpr std::int64_t maxDriftPerMillion = 500;
    /// Long enough to contain a call with a short transit time: a call that waits for a node with a tenth of
    /// a core takes 0.2 s, but some of the next few calls don't wait.
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

    /// \returns the latest time that the owner's clock can show when this node's clock shows \a localTime.
    Instant upperBoundAt(Instant localTime) const
    {
        const auto current = m_currentBound.upperBoundAt(localTime);
        return m_previousBound ? std::min(current, m_previousBound->upperBoundAt(localTime)) : current;
    }

    /// \returns the owner's incarnation.
    std::uint64_t incarnation() const { return m_incarnation; }
    /// \returns when the owner's last answer was received, on this node's clock.
    Instant lastAnswerTime() const { return m_lastAnswer; }

private:
    /// \brief An upper bound of the owner's clock: it was ahead by at most `maxLead` when this node's clock
    /// showed `measuredAt`.
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
    Bound m_currentBound; ///< the least bound of this half-window
    std::optional<Bound> m_previousBound; ///< the least bound of the half-window before it
    Instant m_currentSince {};
    Instant m_lastAnswer {};
};

} // namespace robinrun
