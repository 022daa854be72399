#include "Queueing/WarmUp.h"

#include <algorithm>
#include <utility>

namespace robinrun {

void WarmUp::setPacerKind(WarmUpPacerKind kind)
{
    if (std::exchange(m_pacerKind, kind) != kind)
        m_pacer = makeWarmUpPacer(kind);
}

void WarmUp::onAnnouncement(Duration remaining, Instant now)
{
    if (remaining > Duration::zero())
        m_coldUntil = std::max(m_uncertainSince ? m_coldUntil : now, now + remaining);
    else if (!m_uncertainSince)
        m_coldUntil = now;
}

void WarmUp::onHealthAnswer(Duration remaining, Instant askedAt, Instant now)
{
    if (m_uncertainSince && askedAt < *m_uncertainSince)
        return;
    m_uncertainSince.reset();
    m_coldUntil = now + remaining;
}

void WarmUp::markUncertain(Instant now)
{
    if (m_settings.duration <= Duration::zero())
        return;
    m_uncertainSince = now;
    m_coldUntil = std::max(m_coldUntil, now + m_settings.duration);
    if (m_settings.rateLimit.isKnown())
        std::visit([&](auto& it) { it.exhaust(m_settings.rateLimit, now); }, m_pacer);
}

Instant WarmUp::nextStart(Instant now) const
{
    if (!isPaced(now))
        return now;
    const auto pacedStart
        = std::visit([&](const auto& it) { return it.nextStart(m_settings.rateLimit, m_starts); }, m_pacer);
    return std::min(pacedStart, m_coldUntil);
}

void WarmUp::onCallStarted(Instant now)
{
    if (!m_settings.rateLimit.isKnown())
        return;
    m_starts.addStart(now, m_settings.rateLimit.maxCallsPerWindow());
    std::visit([&](auto& it) { it.onCallStarted(m_settings.rateLimit, now); }, m_pacer);
}

} // namespace robinrun
