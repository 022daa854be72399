#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief Estimates how much longer a running call takes, from the work done on it so far.
///
/// The estimate learns the mean work of a call of each class and the mean length of the slow phases of
/// backend servers. Because the work is a mean, a call that has already taken longer is expected to need a
/// fixed share of the mean more. Cost: O(log classes); about 100 bytes of memory per class.
class RemainingTimeEstimate {
public:
    /// \brief Records that a completed call of \a callClass took \a work, measured by a WorkClock.
    void addRun(std::string_view callClass, Duration work);

    /// \brief Records that a slow phase of an upstream's backend server lasted \a length.
    void addSlowPhase(Duration length) { m_slowPhaseSeconds.add(toSeconds(length)); }

    /// \brief Estimates the time until a running call of \a callClass ends.
    /// \param completedWork work done on the call so far, measured by a WorkClock.
    /// \param slowdown factor by which the backend server is slowed down now; 1 if it isn't.
    /// \returns the expected time; zero if no call of the class has been recorded.
    Duration remainingTime(std::string_view callClass, Duration completedWork, double slowdown) const;

private:
    static constexpr double sampleWeight = 0.05;

    std::map<std::string, Ewma, std::less<>> m_workSecondsByClass;
    Ewma m_slowPhaseSeconds { sampleWeight };
};

} // namespace robinrun
