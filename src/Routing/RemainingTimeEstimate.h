#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief Estimates when a call that runs will be answered, from the work done on it so far.
///
/// The work that calls of a class take, and the length of slow phases, are learnt. Both are means, so a call
/// that has already taken longer than usual is expected to need a part of the usual work more.
/// Cost: O(log classes); about 100 bytes a class.
class RemainingTimeEstimate {
public:
    /// \brief A call of \a callClass ran to its end and took \a work (by a WorkClock).
    void addRun(std::string_view callClass, Duration work);

    /// \brief A slow phase of an upstream was over after \a length.
    void addSlowPhase(Duration length) { m_slowPhaseSeconds.add(toSeconds(length)); }

    /// \returns how much longer a call of \a callClass is expected to run after \a completedWork of its work,
    /// at an upstream that is slowed down by the factor \a slowdown now; zero if nothing is known of the
    /// class.
    Duration remainingTime(std::string_view callClass, Duration completedWork, double slowdown) const;

private:
    static constexpr double sampleWeight = 0.05;

    std::map<std::string, Ewma, std::less<>> m_workSecondsByClass; ///< in seconds, by class
    Ewma m_slowPhaseSeconds { sampleWeight };
};

} // namespace robinrun
