#include "Queueing/StepwiseLimit.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// So many calls at the limit make a step worthwhile, and tell what is usual.
    constexpr std::uint32_t callsBeforeStep = 16;
    /// A server that slows down makes calls take longer by this factor.
    constexpr double kneeWorkRatio = 1.6;
    /// Logarithm of the odds at which a step is decided.
    constexpr double decisionLogOdds = 7;
    /// No single call counts for more of it, however little the work varies otherwise.
    constexpr double maxLogOddsPerCall = 1.5;
    /// A class is judged by its usual work once so many of its calls tell it.
    constexpr double minCallsForClassMean = 8;
    /// Single calls count up to this logarithm, a factor of 2.7: some hang, or end at once.
    constexpr double maxLogResidual = 1;
    /// The usual work of a class is a mean of so many calls.
    constexpr double classMeanCalls = 200;
    /// Of the logarithm of the work, until it is known: a spread of 0.4. It is never taken for less than 0.2.
    constexpr double initialLogWorkVariance = 0.16;
    constexpr double minLogWorkVariance = 0.04;
    constexpr double varianceSampleWeight = 0.02;
    /// A step that was taken back is tried again after so many calls, then after twice as many each time.
    constexpr std::uint32_t minBackoffCalls = 8192;
    constexpr std::uint32_t maxBackoffCalls = 65536;
    constexpr Duration minWorkTime = 100us; ///< shorter ones are not told apart

} // namespace

StepwiseLimit::StepwiseLimit(std::uint32_t slots, double share)
    : m_slots(slots)
    , m_settledLimit(std::max(static_cast<std::uint32_t>(share * slots), 1U))
    , m_logWorkVariance(initialLogWorkVariance)
    , m_callsBeforeNextStep(callsBeforeStep)
{
    require(slots > 0, "StepwiseLimit: there are slots");
}

void StepwiseLimit::addSample(const RunSample& sample)
{
    auto& classWork = m_workByClass[sample.callClass];
    const double logWork = std::log(toSeconds(std::max(sample.workTime, minWorkTime)));
    if (sample.concurrency <= m_settledLimit) {
        addToClassMean(classWork, logWork);
        m_callsAtLimit += sample.concurrency == m_settledLimit ? 1 : 0;
        if (!m_isTrialStep && m_settledLimit < m_slots && m_callsAtLimit >= m_callsBeforeNextStep)
            startTrialStep();
        return;
    }
    // Of calls that started together the short ones end first, so a first round of them says too little.
    if (!m_isTrialStep || m_callsToSkip) {
        m_callsToSkip -= m_callsToSkip ? 1 : 0;
        return;
    }
    if (classWork.calls >= minCallsForClassMean)
        addEvidence(std::clamp(logWork - classWork.meanLogWork, -maxLogResidual, maxLogResidual));
}

void StepwiseLimit::addToClassMean(ClassWork& classWork, double logWork)
{
    if (classWork.calls > 0) {
        const double residual = std::clamp(logWork - classWork.meanLogWork, -maxLogResidual, maxLogResidual);
        m_logWorkVariance
            = std::max(m_logWorkVariance + varianceSampleWeight * (residual * residual - m_logWorkVariance),
                minLogWorkVariance);
    }
    classWork.calls = std::min(classWork.calls + 1, classMeanCalls);
    classWork.meanLogWork += (logWork - classWork.meanLogWork) / classWork.calls;
}

void StepwiseLimit::startTrialStep()
{
    m_isTrialStep = true;
    m_callsToSkip = m_settledLimit + 1;
    m_logOddsSlower = 0;
}

void StepwiseLimit::addEvidence(double logWorkRatio)
{
    const double logKneeRatio = std::log(kneeWorkRatio);
    m_logOddsSlower += std::clamp((logWorkRatio - logKneeRatio / 2) * logKneeRatio / m_logWorkVariance,
        -maxLogOddsPerCall, maxLogOddsPerCall);
    if (std::abs(m_logOddsSlower) >= decisionLogOdds)
        endTrialStep(m_logOddsSlower < 0);
}

void StepwiseLimit::endTrialStep(bool isAccepted)
{
    m_isTrialStep = false;
    m_callsAtLimit = 0;
    if (isAccepted) {
        ++m_settledLimit;
        m_callsBeforeNextStep = callsBeforeStep;
        return;
    }
    m_backoffCalls = std::clamp(2 * m_backoffCalls, minBackoffCalls, maxBackoffCalls);
    m_callsBeforeNextStep = m_backoffCalls;
}

} // namespace robinrun
