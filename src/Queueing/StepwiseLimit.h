#pragma once

#include "Queueing/RunSample.h"

#include <cstdint>
#include <unordered_map>

namespace robinrun {

/// \brief Starts at a share of the slots and raises the limit one slot at a time while calls don't slow down.
///
/// Some servers slow down when nearly all slots are in use, others don't, and their configuration doesn't say
/// which. The initial share is safe for servers that do. While the load fills the limit, a trial step allows
/// one more call. A sequential probability ratio test of the work times of calls that start at the trial step
/// decides between two outcomes: if these calls take as long as others of their class, the step is accepted;
/// if they take longer, it is rejected and tried again only after many calls. So a server with a knee has
/// only a few slow calls, and a server without one uses all its slots.
///
/// Unlike LearntLimit, this limit never falls below the initial share, and it does not accept longer work
/// times in exchange for more concurrent calls. Cost: O(1) per call; about 50 bytes per class.
class StepwiseLimit {
public:
    /// \param slots of the backend server, at least 1.
    /// \param share of the slots to start with, in (0, 1].
    StepwiseLimit(std::uint32_t slots, double share);

    std::uint32_t limit() const { return m_settledLimit + (m_isTrialStep ? 1 : 0); }

    /// \brief Learns from a call that was answered or timed out. Calls that failed earlier are not passed.
    void addSample(const RunSample& sample);

private:
    /// Calls of a class that started at or below the settled limit.
    struct ClassWork {
        double calls = 0;
        double meanLogWork = 0; ///< mean of the natural logarithm of the work time in seconds
    };

    void addToClassMean(ClassWork& classWork, double logWork);
    void startTrialStep();
    /// \brief Adds a call that started at the trial step to the test.
    /// \param logWorkRatio natural logarithm of its work time over the usual one of its class.
    void addEvidence(double logWorkRatio);
    void endTrialStep(bool isAccepted);

    std::uint32_t m_slots;
    std::uint32_t m_settledLimit;
    std::unordered_map<std::uint32_t, ClassWork> m_workByClass;
    double m_logWorkVariance; ///< variance of the log work time inside a class
    bool m_isTrialStep = false;
    std::uint32_t m_callsToSkip = 0; ///< calls at the trial step to ignore before the test begins
    double m_logOddsSlower = 0; ///< log odds that calls take longer at the trial step
    std::uint32_t m_callsAtLimit = 0; ///< calls that started at the settled limit since the last trial step
    std::uint32_t m_callsBeforeNextStep; ///< calls at the settled limit required before the next trial step
    std::uint32_t m_backoffCalls = 0; ///< value of `m_callsBeforeNextStep` after the last rejected step
};

} // namespace robinrun
