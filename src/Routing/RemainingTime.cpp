#include "Routing/RemainingTime.h"

#include "Queueing/WorkClock.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// A call that has taken as long as usual is expected to need this part of it more: work varies by a
    /// third.
    constexpr double leastPartLeft = 0.2;
    /// Before any slow phase was seen to end, they are taken for so long: a common time slice of shared
    /// hosts.
    constexpr double guessedSlowPhaseSeconds = 0.3;

} // namespace

void RemainingTime::ran(std::string_view callClass, Duration work)
{
    auto it = m_work.find(callClass);
    if (it == m_work.end())
        it = m_work.emplace(std::string(callClass), Ewma(sampleWeight)).first;
    it->second.add(toSeconds(work));
}

Duration RemainingTime::of(std::string_view callClass, Duration done, double slowdown) const
{
    const auto it = m_work.find(callClass);
    if (it == m_work.end())
        return Duration::zero();
    const double usual = it->second.value();
    const double left = std::max(usual - toSeconds(done), leastPartLeft * usual);
    if (!isSlow(slowdown))
        return fromSeconds(left);
    const double phase = m_slowPhase.isSet() ? m_slowPhase.value() : guessedSlowPhaseSeconds;
    const double doneInPhase = phase / slowdown;
    return fromSeconds(left <= doneInPhase ? left * slowdown : phase + left - doneInPhase);
}

} // namespace robinrun
