#include "Routing/RemainingTimeEstimate.h"

#include "Queueing/WorkClock.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Least share of the mean work that a running call is expected to need still: the work of a call varies
    /// by a third.
    constexpr double minRemainingShare = 0.2;
    /// Length of a slow phase that is assumed before one has been recorded: a common time slice on shared
    /// hosts.
    constexpr double defaultSlowPhaseSeconds = 0.3;

} // namespace

void RemainingTimeEstimate::addRun(std::string_view callClass, Duration work)
{
    auto it = m_workSecondsByClass.find(callClass);
    if (it == m_workSecondsByClass.end())
        it = m_workSecondsByClass.emplace(std::string(callClass), Ewma(sampleWeight)).first;
    it->second.add(toSeconds(work));
}

Duration RemainingTimeEstimate::remainingTime(
    std::string_view callClass, Duration completedWork, double slowdown) const
{
    const auto it = m_workSecondsByClass.find(callClass);
    if (it == m_workSecondsByClass.end())
        return Duration::zero();
    const double meanWork = it->second.value();
    const double remainingWork = std::max(meanWork - toSeconds(completedWork), minRemainingShare * meanWork);
    if (!isSlow(slowdown))
        return fromSeconds(remainingWork);
    const double phaseSeconds
        = m_slowPhaseSeconds.isSet() ? m_slowPhaseSeconds.value() : defaultSlowPhaseSeconds;
    const double workInPhase = phaseSeconds / slowdown;
    return fromSeconds(
        remainingWork <= workInPhase ? remainingWork * slowdown : phaseSeconds + remainingWork - workInPhase);
}

} // namespace robinrun
