#pragma once

#include "Core/Time.h"
#include "Core/TokenBucket.h"

#include <cstdint>

namespace robinrun {

/// \brief The hard limit on what measuring a backend server may cost it, kept in every state.
///
/// Two bounds hold at once: probes a second (a bucket of one, empty at the start, so that a node restarted
/// over and over can't exceed it) and the share of slot time that probes hold. Pressure only lowers the rate:
/// no probe starts while calls wait. Over any span t at most 1 + rate x t probes start. Cost: O(1).
class ProbeBudget {
public:
    struct Options {
        double probesPerSecond = 1;
        double slotShare = 0.01; ///< of all slots' time
        std::uint32_t slots = 12;
    };

    ProbeBudget(Options options, Instant now);

    /// \brief Changes the budget from \a now on; what was spent stays spent.
    void setOptions(Options options, Instant now);

    /// \returns whether a probe may start; if so it is counted. \param waitingCalls calls that wait for a
    /// slot.
    bool tryStartProbe(std::uint32_t waitingCalls, Instant now);

    /// \brief A probe has ended that held a slot for \a slotTime.
    void onProbeEnded(Duration slotTime, Instant now);

    std::uint64_t startedProbes() const { return m_startedProbes; }

private:
    TokenBucket m_probeTokens;
    TokenBucket m_slotTimeTokens; ///< seconds of slot time; goes below zero by at most one probe
    std::uint64_t m_startedProbes = 0;
};

} // namespace robinrun
