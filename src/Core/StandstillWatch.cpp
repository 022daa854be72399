#include "Core/StandstillWatch.h"

namespace robinrun {

void StandstillWatch::tick(Instant now)
{
    if (m_lastTick && now - *m_lastTick > leastGap)
        m_last = Standstill { *m_lastTick, now };
    m_lastTick = now;
}

std::optional<Standstill> StandstillWatch::wakingFrom(Instant now) const
{
    if (m_lastTick && now - *m_lastTick > leastGap)
        return Standstill { *m_lastTick, now };
    const bool isRecent = m_last && now - m_last->ended < settling;
    return isRecent ? m_last : std::nullopt;
}

Duration StandstillWatch::backlogAge(Instant now) const
{
    const auto standstill = wakingFrom(now);
    return standstill ? standstill->length() : Duration::zero();
}

bool StandstillWatch::isFirstTurn(Instant now) const
{
    const auto standstill = wakingFrom(now);
    return standstill && now - standstill->ended < oneTurn;
}

} // namespace robinrun
