#include "Routing/RemainingTimeEstimate.h"

#include "Queueing/WorkClock.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// A call that has taken as long as usual is expected to need this part of it more: work varies by a
    /// third.
    constexpr double minRemainingShare = 0.2;
    /// Before any slow phase was seen to end, they are taken for so long: a common time slice of shared
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
