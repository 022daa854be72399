#include "Queueing/ServiceEstimate.h"

#include "Core/Check.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr double sampleWeight = 0.05;

    /// Running calls are, on average, half way through: their mean elapsed time is about half the slot time
    /// when all is steady, and more when calls vary in length. Beyond this multiple of the mean they mean
    /// slowness.
    constexpr double elapsedOfSteady = 1.0;

} // namespace

ServiceEstimate::ServiceEstimate(Duration initial)
    : m_overall(sampleWeight, toSeconds(initial))
{
}

void ServiceEstimate::started(std::uint64_t id, Instant now)
{
    if (m_started.empty()) {
        m_origin = now;
        m_startedSumSeconds = 0;
    }
    m_started.emplace(id, Started { now, m_slowdown });
    m_startedSumSeconds += toSeconds(now - m_origin);
}

Duration ServiceEstimate::ended(std::uint64_t id, std::uint32_t callClass, Instant now)
{
    const auto it = m_started.find(id);
    require(it != m_started.end(), "ServiceEstimate::ended: the call was started");
    const Duration held = now - it->second.at;
    m_byClass[callClass].add(held, it->second.slowdown);
    m_startedSumSeconds -= toSeconds(it->second.at - m_origin);
    m_started.erase(it);
    m_overall.add(toSeconds(held));
    return held;
}

Duration ServiceEstimate::of(std::uint32_t callClass) const
{
    const auto it = m_byClass.find(callClass);
    return it == m_byClass.end() ? mean() : it->second.of(m_slowdown).value_or(mean());
}

Duration ServiceEstimate::overall(Instant now) const
{
    if (m_started.empty())
        return mean();
    const auto n = static_cast<double>(m_started.size());
    const double elapsed = toSeconds(now - m_origin) - m_startedSumSeconds / n;
    return fromSeconds(std::max(toSeconds(mean()), elapsed / elapsedOfSteady));
}

} // namespace robinrun
