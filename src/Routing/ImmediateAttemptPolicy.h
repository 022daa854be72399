#pragma once

#include "Core/Ewma.h"
#include "Core/Random.h"

#include <cstdint>

namespace robinrun {

/// \brief Whether owners of a service are worth asking to run a call at once, before it waits at one of them.
///
/// Answers the load at which a service has more calls than slots: then nearly every owner that is asked is
/// busy, each question costs a round trip of the call's time and work at the busiest nodes, and the call
/// waits in the end all the same. A few calls go on asking, so that it shows when there is room again. No
/// I/O. Cost: O(1).
class ImmediateAttemptPolicy {
public:
    /// \brief An owner was asked. \param wasBusy it did not run the call at once.
    void recordAnswer(bool wasBusy) { m_busyShare.add(wasBusy ? 1 : 0); }

    /// \returns how many owners to ask for the next call, \a maxAttempts where it is worthwhile.
    std::uint32_t attemptsForNextCall(std::uint32_t maxAttempts, Random& random) const
    {
        if (m_busyShare.value() < maxBusyShare || random.chance(explorationShare))
            return maxAttempts;
        return 0;
    }

private:
    static constexpr double sampleWeight = 0.1; ///< the last ten answers or so count
    /// Beyond, two questions find a free owner for less than half of the calls.
    static constexpr double maxBusyShare = 0.7;
    static constexpr double explorationShare = 0.1; ///< of the calls ask all the same

    Ewma m_busyShare { sampleWeight };
};

} // namespace robinrun
