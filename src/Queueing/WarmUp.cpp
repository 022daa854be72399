#include "Queueing/WarmUp.h"

#include <algorithm>
#include <utility>

namespace robinrun {

void WarmUp::setKind(ColdPaceKind kind)
{
    if (std::exchange(m_kind, kind) != kind)
        m_pace = makeColdPace(kind);
}

void WarmUp::announced(Duration left, Instant now)
{
    if (left > Duration::zero())
        m_coldUntil = std::max(m_doubtSince ? m_coldUntil : now, now + left);
    else if (!m_doubtSince)
        m_coldUntil = now;
}

void WarmUp::answered(Duration left, Instant asked, Instant now)
{
    if (m_doubtSince && asked < *m_doubtSince)
        return;
    m_doubtSince.reset();
    m_coldUntil = now + left;
}

void WarmUp::doubt(Instant now)
{
    if (m_terms.length <= Duration::zero())
        return;
    m_doubtSince = now;
    m_coldUntil = std::max(m_coldUntil, now + m_terms.length);
    if (m_terms.bound.isKnown())
        std::visit([&](auto& it) { it.useUp(m_terms.bound, now); }, m_pace);
}

Instant WarmUp::nextStart(Instant now) const
{
    if (!isPaced(now))
        return now;
    const auto next
        = std::visit([&](const auto& it) { return it.nextStart(m_terms.bound, m_starts); }, m_pace);
    return std::min(next, m_coldUntil);
}

void WarmUp::started(Instant now)
{
    if (!m_terms.bound.isKnown())
        return;
    m_starts.add(now, m_terms.bound.perWindow());
    std::visit([&](auto& it) { it.started(m_terms.bound, now); }, m_pace);
}

} // namespace robinrun
