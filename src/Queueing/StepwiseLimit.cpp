#include "Queueing/StepwiseLimit.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// Calls at the limit before a trial step: they show that the load fills the limit and give the usual
    /// work time.
    constexpr std::uint32_t callsBeforeStep = 16;
    /// Factor by which calls beyond a knee are assumed to take longer.
    constexpr double kneeWorkRatio = 1.6;
    /// Absolute log odds at which a trial step is accepted or rejected.
    constexpr double decisionLogOdds = 7;
    /// Maximum contribution of one call to the log odds, even if the work time varies little.
    constexpr double maxLogOddsPerCall = 1.5;
    /// Calls of a class required before its mean is used in the test.
    constexpr double minCallsForClassMean = 8;
    /// Residuals are clamped to this logarithm, a factor of 2.7, because some calls hang or end at once.
    constexpr double maxLogResidual = 1;
    /// Maximum number of samples in the moving mean of a class.
    constexpr double classMeanCalls = 200;
    /// Initial and minimum variance of the log work time: standard deviations of 0.4 and 0.2.
    constexpr double initialLogWorkVariance = 0.16;
    constexpr double minLogWorkVariance = 0.04;
    constexpr double varianceSampleWeight = 0.02;
    /// Calls before a rejected step is tried again. The number doubles with each rejection up to the maximum.
    constexpr std::uint32_t minBackoffCalls = 8192;
    constexpr std::uint32_t maxBackoffCalls = 65536;
    constexpr Duration minWorkTime = 100us; ///< shorter work times count as this

} // namespace

StepwiseLimit::StepwiseLimit(std::uint32_t slots, double share)
    : m_slots(slots)
    , m_settledLimit(std::max(static_cast<std::uint32_t>(share * slots), 1U))
    , m_logWorkVariance(initialLogWorkVariance)
    , m_callsBeforeNextStep(callsBeforeStep)
{
    require(slots > 0, "StepwiseLimit: slots must be above 0");
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
    // Of the calls that start together the short ones end first, so the first calls to end at the trial step
    // are not representative and are ignored.
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
