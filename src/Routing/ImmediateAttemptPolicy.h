#pragma once

#include "Core/Ewma.h"
#include "Core/Random.h"

#include <cstdint>

namespace robinrun {

/// \brief Decides how many immediate attempts a call makes before it is queued.
///
/// An immediate attempt asks an owner to run the call at once and to refuse it if all slots are busy. When a
/// service has more calls than slots, nearly every owner refuses: each immediate attempt then costs the call
/// a round trip and adds work at the busiest nodes, and the call is queued in the end anyway. The policy
/// therefore stops immediate attempts while most of them are refused, except for a small share of the calls,
/// whose answers show when slots are free again. No I/O. Cost: O(1).
class ImmediateAttemptPolicy {
public:
    /// \brief Records the answer to an immediate attempt.
    /// \param wasBusy whether the owner refused the call because all its slots were busy.
    void recordAnswer(bool wasBusy) { m_busyShare.add(wasBusy ? 1 : 0); }

    /// \returns the number of immediate attempts for the next call: \a maxAttempts or 0.
    std::uint32_t attemptsForNextCall(std::uint32_t maxAttempts, Random& random) const
    {
        if (m_busyShare.value() < maxBusyShare || random.chance(explorationShare))
            return maxAttempts;
        return 0;
    }

private:
    static constexpr double sampleWeight = 0.1; ///< the mean covers about the last 10 answers
    /// Above this share of busy answers, two immediate attempts find a free owner for about half of the calls
    /// or fewer.
    static constexpr double maxBusyShare = 0.7;
    /// Share of the calls that make immediate attempts anyway.
    static constexpr double explorationShare = 0.1;

    Ewma m_busyShare { sampleWeight };
};

} // namespace robinrun
