#include "Crashes/CrashDetector.h"

#include <utility>

namespace robinrun {

void CrashDetector::onCallCutOff(const CrashSuspect& call, Instant now)
{
    forgetOldCutOffs(now);
    m_cutOffCalls.push_back({ call, now });
}

void CrashDetector::forgetOldCutOffs(Instant now)
{
    while (!m_cutOffCalls.empty() && now - m_cutOffCalls.front().cutOffAt > maxWorkAfterCutOff)
        m_cutOffCalls.pop_front();
}

void CrashDetector::onRunBroken(std::vector<CrashSuspect> running, Instant now)
{
    if (!m_hasCrashed && !isBreakUnexplained(now))
        m_brokenRun = BrokenRun { now, std::move(running) };
}

bool CrashDetector::isBreakUnexplained(Instant now) const
{
    return m_brokenRun && now - m_brokenRun->brokenAt <= breakTimeout;
}

void CrashDetector::onAnswer(Instant sentAt)
{
    if (m_brokenRun && sentAt >= m_brokenRun->brokenAt)
        m_brokenRun.reset();
}

std::optional<std::vector<CrashSuspect>> CrashDetector::onConnectionRefused(Instant now)
{
    if (m_hasCrashed)
        return std::nullopt;
    std::vector<CrashSuspect> out;
    if (isBreakUnexplained(now))
        out = std::move(m_brokenRun->suspects);
    forgetOldCutOffs(now);
    for (const auto& it : m_cutOffCalls)
        out.push_back(it.call);
    m_brokenRun.reset();
    m_cutOffCalls.clear();
    if (out.empty())
        return std::nullopt;
    m_hasCrashed = true;
    return out;
}

std::optional<std::vector<CrashSuspect>> CrashDetector::onNewIncarnation(Instant now)
{
    auto out = isBreakUnexplained(now) ? onConnectionRefused(now) : std::nullopt;
    m_brokenRun.reset();
    m_cutOffCalls.clear();
    m_hasCrashed = false;
    return out;
}

} // namespace robinrun
