#pragma once

#include "Core/Time.h"
#include "Core/TokenBucket.h"

#include <cstdint>

namespace robinrun {

/// \brief Hard limit on the load that probes put on a backend server, whatever state it is in.
///
/// Two limits apply together: the rate of probes, and the fraction of the slot time that probes hold. No
/// probe starts while calls wait, so load only lowers the rate. At most 1 + rate x t probes start in any time
/// span t: the token bucket of the rate holds one token and starts empty, so that also a node that restarts
/// again and again stays within the rate. Cost: O(1).
class ProbeBudget {
public:
    struct Options {
        double probesPerSecond = 1;
        double slotShare = 0.01; ///< Fraction of the time of all slots that probes may hold.
        std::uint32_t slots = 12; ///< Of the backend server.
    };

    ProbeBudget(Options options, Instant now);

    /// \brief Changes the budget from \a now on. Slot time already spent stays counted.
    void setOptions(Options options, Instant now);

    /// \brief Starts a probe if the budget allows one.
    /// \param waitingCalls number of calls that wait for a slot.
    /// \returns whether the probe may start; if so, it is counted.
    bool tryStartProbe(std::uint32_t waitingCalls, Instant now);

    /// \brief Charges the slot time that a finished probe has held to the budget.
    void onProbeEnded(Duration slotTime, Instant now);

    /// \returns the number of probes started so far.
    std::uint64_t startedProbes() const { return m_startedProbes; }

private:
    TokenBucket m_probeTokens;
    TokenBucket m_slotTimeTokens; ///< In seconds of slot time; negative by at most one probe's slot time.
    std::uint64_t m_startedProbes = 0;
};

} // namespace robinrun
