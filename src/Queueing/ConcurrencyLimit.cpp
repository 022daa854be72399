#include "Queueing/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    constexpr double shortWeight = 0.1;
    constexpr double longWeight = 0.005;
    /// The work time may rise by this factor before the gradient counts it, and halves the limit at most.
    constexpr double gradientTolerance = 1.5;
    constexpr double leastGradient = 0.5;
    constexpr double gradientSmoothing = 0.05;
    constexpr double decrease = 0.95;

} // namespace

FixedLimit::FixedLimit(std::uint32_t slots, double share)
    : m_limit(std::max(static_cast<std::uint32_t>(share * slots), 1U))
{
}

GradientLimit::GradientLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_limit(std::max(slots / 2.0, 1.0))
    , m_short(shortWeight)
    , m_long(longWeight)
{
}

void GradientLimit::ended(const RunSample& sample)
{
    m_short.add(toSeconds(sample.work));
    m_long.add(toSeconds(sample.work));
    const double gradient
        = std::clamp(gradientTolerance * m_long.value() / m_short.value(), leastGradient, 1.0);
    if (sample.inUse < sample.limit && gradient == 1)
        return; // nothing asks for more
    const double wanted = m_limit * gradient + std::sqrt(m_limit);
    m_limit = std::clamp(m_limit + gradientSmoothing * (wanted - m_limit), 1.0, m_slots);
}

AimdLimit::AimdLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_limit(std::max(slots / 2.0, 1.0))
{
}

void AimdLimit::ended(const RunSample& sample)
{
    if (sample.result != RunResult::Answered || sample.work > sample.timely)
        m_limit *= decrease;
    else if (sample.inUse >= sample.limit)
        m_limit += 1 / m_limit;
    m_limit = std::clamp(m_limit, 1.0, m_slots);
}

ConcurrencyLimit makeLimit(LimitKind kind, std::uint32_t slots, double share)
{
    slots = std::max(slots, 1U);
    switch (kind) {
    case LimitKind::Fixed:
        return FixedLimit(slots, share);
    case LimitKind::Gradient:
        return GradientLimit(slots);
    case LimitKind::Aimd:
        return AimdLimit(slots);
    case LimitKind::Stepwise:
        return StepwiseLimit(slots, share);
    case LimitKind::Learnt:
        break;
    }
    return LearntLimit(slots);
}

} // namespace robinrun
