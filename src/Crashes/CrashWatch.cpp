#include "Crashes/CrashWatch.h"

#include <utility>

namespace robinrun {

void CrashWatch::cutOff(const CrashSuspect& call, Instant now)
{
    forgetCuts(now);
    m_cuts.push_back({ call, now });
}

void CrashWatch::forgetCuts(Instant now)
{
    while (!m_cuts.empty() && now - m_cuts.front().at > workOn)
        m_cuts.pop_front();
}

void CrashWatch::broke(std::vector<CrashSuspect> running, Instant now)
{
    if (!m_isOver && !isAsking(now))
        m_break = Break { now, std::move(running) };
}

bool CrashWatch::isAsking(Instant now) const
{
    return m_break && now - m_break->at <= patience;
}

void CrashWatch::answered(Instant sent)
{
    if (m_break && sent >= m_break->at)
        m_break.reset();
}

std::optional<std::vector<CrashSuspect>> CrashWatch::refused(Instant now)
{
    if (m_isOver)
        return std::nullopt;
    std::vector<CrashSuspect> out;
    if (isAsking(now))
        out = std::move(m_break->running);
    forgetCuts(now);
    for (const auto& it : m_cuts)
        out.push_back(it.call);
    m_break.reset();
    m_cuts.clear();
    if (out.empty())
        return std::nullopt;
    m_isOver = true;
    return out;
}

std::optional<std::vector<CrashSuspect>> CrashWatch::nextLife(Instant now)
{
    auto out = isAsking(now) ? refused(now) : std::nullopt;
    m_break.reset();
    m_cuts.clear();
    m_isOver = false;
    return out;
}

} // namespace robinrun
