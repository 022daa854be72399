#pragma once

#include "Queueing/RunSample.h"

#include <cstdint>
#include <unordered_map>

namespace robinrun {

/// \brief A share of the slots that is held until it shows that more may run at once.
///
/// Some servers slow down when close to full, others don't, and nothing tells which. The limit starts at the
/// share that leaves room for the first kind. While load fills it, one call more is let run at a time. A
/// sequential probability ratio test of the work of calls that start there decides whether they take as long
/// as others of their class, and the step is kept, or longer, and it is taken back. A step that was taken
/// back is tried again only after many calls. So a server with a knee costs a few longer calls, and one
/// without gets all its slots.
///
/// Unlike LearntLimit it never goes below the share, and doesn't weigh longer calls against more of them.
/// Cost: O(1) a call; about 50 bytes a class.
class StepwiseLimit {
public:
    /// \param slots of the backend server, at least 1. \param share of them to start with, in (0, 1].
    StepwiseLimit(std::uint32_t slots, double share);

    std::uint32_t limit() const { return m_settledLimit + (m_isTrialStep ? 1 : 0); }

    /// \brief A call has ended; not those that failed before their time.
    void addSample(const RunSample& sample);

private:
    /// Calls of a class that started at the settled limit or below.
    struct ClassWork {
        double calls = 0;
        double meanLogWork = 0; ///< logarithm of seconds
    };

    void addToClassMean(ClassWork& classWork, double logWork);
    void startTrialStep();
    /// \brief A call that started at the step took \a longer, as a logarithm, than is usual.
    void addEvidence(double logWorkRatio);
    void endTrialStep(bool isAccepted);

    std::uint32_t m_slots;
    std::uint32_t m_settledLimit;
    std::unordered_map<std::uint32_t, ClassWork> m_workByClass;
    double m_logWorkVariance; ///< of the logarithm of the work of a class
    bool m_isTrialStep = false;
    std::uint32_t m_callsToSkip = 0; ///< calls at the step that are still to be passed over
    double m_logOddsSlower = 0; ///< that calls take longer at the step; below 0: that they don't
    std::uint32_t m_callsAtLimit = 0; ///< calls that started at the settled limit since the last step
    std::uint32_t m_callsBeforeNextStep; ///< such calls before the next step
    std::uint32_t m_backoffCalls = 0; ///< after the last step that was taken back
};

} // namespace robinrun
