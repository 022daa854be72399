#include "Node/DrainEnd.h"

#include <algorithm>
#include <utility>

namespace robinrun {

DrainEnd::Step DrainEnd::next(const Work& work, Instant now)
{
    if (work.hasCalls)
        m_lastBusy = now;
    if (now >= m_limit) {
        if (!std::exchange(m_hasAnsweredAll, true))
            return Step::AnswerAll;
        return work.hasUnwritten && now < m_limit + lastAnswers ? Step::Stay : Step::OutOfTime;
    }
    if (now - m_lastBusy <= m_lingering || work.hasUnwritten || work.hasUnsaid)
        return Step::Stay;
    return Step::Drained;
}

Duration DrainEnd::lingerFor(Instant now) const
{
    return std::clamp(m_limit + lastAnswers - now, leastLinger, longestLinger);
}

} // namespace robinrun
