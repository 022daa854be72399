#include "Probing/ProbeBudget.h"

#include "Core/Check.h"

namespace robinrun {

ProbeBudget::ProbeBudget(Options options, Instant now)
    : m_probeTokens(options.probesPerSecond, 1, 0, now)
    , m_slotTimeTokens(options.slotShare * options.slots, 0, 0, now)
{
    require(options.probesPerSecond >= 0, "ProbeBudget: probesPerSecond must not be negative");
    require(options.slotShare >= 0, "ProbeBudget: slotShare must not be negative");
}

void ProbeBudget::setOptions(Options options, Instant now)
{
    require(options.probesPerSecond >= 0, "ProbeBudget::setOptions: probesPerSecond must not be negative");
    m_probeTokens.setRate(options.probesPerSecond, now);
    m_slotTimeTokens.setRate(options.slotShare * options.slots, now);
}

bool ProbeBudget::tryStartProbe(std::uint32_t waitingCalls, Instant now)
{
    if (waitingCalls || m_slotTimeTokens.available(now) < 0 || !m_probeTokens.tryTake(1, now))
        return false;
    ++m_startedProbes;
    return true;
}

void ProbeBudget::onProbeEnded(Duration slotTime, Instant now)
{
    m_slotTimeTokens.takeAnyway(toSeconds(slotTime), now);
}

} // namespace robinrun
