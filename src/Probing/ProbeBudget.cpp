#include "Probing/ProbeBudget.h"

#include "Core/Check.h"

namespace robinrun {

ProbeBudget::ProbeBudget(Options options, Instant now)
    : m_rate(options.probesPerSecond, 1, 0, now)
    , m_slotTime(options.slotShare * options.slots, 0, 0, now)
{
    require(options.probesPerSecond >= 0, "ProbeBudget: rate not negative");
    require(options.slotShare >= 0, "ProbeBudget: share of slots not negative");
}

void ProbeBudget::setOptions(Options options, Instant now)
{
    require(options.probesPerSecond >= 0, "ProbeBudget::setOptions: rate not negative");
    m_rate.setRate(options.probesPerSecond, now);
    m_slotTime.setRate(options.slotShare * options.slots, now);
}

bool ProbeBudget::tryStart(std::uint32_t waiting, Instant now)
{
    if (waiting || m_slotTime.available(now) < 0 || !m_rate.tryTake(1, now))
        return false;
    ++m_started;
    return true;
}

void ProbeBudget::ended(Duration held, Instant now)
{
    m_slotTime.takeAnyway(toSeconds(held), now);
}

} // namespace robinrun
