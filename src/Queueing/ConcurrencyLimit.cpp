#include "Queueing/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    constexpr double shortTermSampleWeight = 0.1;
    constexpr double longTermSampleWeight = 0.005;
    /// The work time may rise by this factor before the gradient falls below 1. A gradient of at least 0.5
    /// halves the target limit at most.
    constexpr double gradientTolerance = 1.5;
    constexpr double minGradient = 0.5;
    constexpr double limitSmoothing = 0.05;
    constexpr double lateDecreaseFactor = 0.95;

} // namespace

FixedLimit::FixedLimit(std::uint32_t slots, double share)
    : m_limit(std::max(static_cast<std::uint32_t>(share * slots), 1U))
{
}

GradientLimit::GradientLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_limit(std::max(slots / 2.0, 1.0))
    , m_shortTermWorkSeconds(shortTermSampleWeight)
    , m_longTermWorkSeconds(longTermSampleWeight)
{
}

void GradientLimit::addSample(const RunSample& sample)
{
    m_shortTermWorkSeconds.add(toSeconds(sample.workTime));
    m_longTermWorkSeconds.add(toSeconds(sample.workTime));
    const double gradient = std::clamp(
        gradientTolerance * m_longTermWorkSeconds.value() / m_shortTermWorkSeconds.value(), minGradient, 1.0);
    if (sample.concurrency < sample.limitAtStart && gradient == 1)
        return; // the load does not fill the limit, so there is no reason to raise it
    const double targetLimit = m_limit * gradient + std::sqrt(m_limit);
    m_limit = std::clamp(m_limit + limitSmoothing * (targetLimit - m_limit), 1.0, m_slots);
}

AimdLimit::AimdLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_limit(std::max(slots / 2.0, 1.0))
{
}

void AimdLimit::addSample(const RunSample& sample)
{
    if (sample.outcome != SampleOutcome::Answered || sample.workTime > sample.timeToSoftDeadline)
        m_limit *= lateDecreaseFactor;
    else if (sample.concurrency >= sample.limitAtStart)
        m_limit += 1 / m_limit;
    m_limit = std::clamp(m_limit, 1.0, m_slots);
}

ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimitKind kind, std::uint32_t slots, double share)
{
    slots = std::max(slots, 1U);
    switch (kind) {
    case ConcurrencyLimitKind::Fixed:
        return FixedLimit(slots, share);
    case ConcurrencyLimitKind::Gradient:
        return GradientLimit(slots);
    case ConcurrencyLimitKind::Aimd:
        return AimdLimit(slots);
    case ConcurrencyLimitKind::Stepwise:
        return StepwiseLimit(slots, share);
    case ConcurrencyLimitKind::Learnt:
        break;
    }
    return LearntLimit(slots);
}

} // namespace robinrun
