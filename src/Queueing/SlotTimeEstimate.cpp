#include "Queueing/SlotTimeEstimate.h"

#include "Core/Check.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr double sampleWeight = 0.05;

    /// In a steady state running calls are half done on average, so their mean elapsed time is about half of
    /// the mean slot time, and more if slot times vary. An elapsed time beyond this multiple of the mean slot
    /// time indicates a slowdown.
    constexpr double steadyElapsedRatio = 1.0;

} // namespace

SlotTimeEstimate::SlotTimeEstimate(Duration initial)
    : m_meanSeconds(sampleWeight, toSeconds(initial))
{
}

void SlotTimeEstimate::onRunStarted(std::uint64_t id, Instant now)
{
    if (m_runningCalls.empty()) {
        m_timeOrigin = now;
        m_startTimeSumSeconds = 0;
    }
    m_runningCalls.emplace(id, RunningCall { now, m_slowdown });
    m_startTimeSumSeconds += toSeconds(now - m_timeOrigin);
}

Duration SlotTimeEstimate::onRunEnded(std::uint64_t id, std::uint32_t callClass, Instant now)
{
    const auto it = m_runningCalls.find(id);
    require(it != m_runningCalls.end(), "SlotTimeEstimate::onRunEnded: the call must have been started");
    const Duration held = now - it->second.startTime;
    m_estimateByClass[callClass].addSample(held, it->second.slowdown);
    m_startTimeSumSeconds -= toSeconds(it->second.startTime - m_timeOrigin);
    m_runningCalls.erase(it);
    m_meanSeconds.add(toSeconds(held));
    return held;
}

Duration SlotTimeEstimate::expectedSlotTime(std::uint32_t callClass) const
{
    const auto it = m_estimateByClass.find(callClass);
    return it == m_estimateByClass.end() ? mean() : it->second.expectedSlotTime(m_slowdown).value_or(mean());
}

Duration SlotTimeEstimate::meanIncludingRunning(Instant now) const
{
    if (m_runningCalls.empty())
        return mean();
    const auto n = static_cast<double>(m_runningCalls.size());
    const double meanElapsed = toSeconds(now - m_timeOrigin) - m_startTimeSumSeconds / n;
    return fromSeconds(std::max(toSeconds(mean()), meanElapsed / steadyElapsedRatio));
}

} // namespace robinrun
