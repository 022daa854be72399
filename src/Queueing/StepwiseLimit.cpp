#include "Queueing/StepwiseLimit.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// So many calls at the limit make a step worthwhile, and tell what is usual.
    constexpr std::uint32_t callsBeforeStep = 16;
    /// A server that slows down makes calls take longer by this factor.
    constexpr double slowFactor = 1.6;
    /// Logarithm of the odds at which a step is decided.
    constexpr double enoughEvidence = 7;
    /// No single call counts for more of it, however little the work varies otherwise.
    constexpr double mostEvidence = 1.5;
    /// A class is judged by its usual work once so many of its calls tell it.
    constexpr double callsForUsual = 8;
    /// Single calls count up to this logarithm, a factor of 2.7: some hang, or end at once.
    constexpr double mostUnexplained = 1;
    /// The usual work of a class is a mean of so many calls.
    constexpr double classMemory = 200;
    /// Of the logarithm of the work, until it is known: a spread of 0.4. It is never taken for less than 0.2.
    constexpr double startVariance = 0.16;
    constexpr double leastVariance = 0.04;
    constexpr double varianceWeight = 0.02;
    /// A step that was taken back is tried again after so many calls, then after twice as many each time.
    constexpr std::uint32_t firstRest = 8192;
    constexpr std::uint32_t longestRest = 65536;
    constexpr Duration leastWork = 100us; ///< shorter ones are not told apart

} // namespace

StepwiseLimit::StepwiseLimit(std::uint32_t slots, double share)
    : m_slots(slots)
    , m_settled(std::max(static_cast<std::uint32_t>(share * slots), 1U))
    , m_variance(startVariance)
    , m_restFor(callsBeforeStep)
{
    require(slots > 0, "StepwiseLimit: there are slots");
}

void StepwiseLimit::ended(const RunSample& sample)
{
    auto& usual = m_ofClass[sample.callClass];
    const double work = std::log(toSeconds(std::max(sample.work, leastWork)));
    if (sample.inUse <= m_settled) {
        learnUsual(usual, work);
        m_full += sample.inUse == m_settled ? 1 : 0;
        if (!m_isTrying && m_settled < m_slots && m_full >= m_restFor)
            tryStep();
        return;
    }
    // Of calls that started together the short ones end first, so a first round of them says too little.
    if (!m_isTrying || m_unjudged) {
        m_unjudged -= m_unjudged ? 1 : 0;
        return;
    }
    if (usual.seen >= callsForUsual)
        judge(std::clamp(work - usual.work, -mostUnexplained, mostUnexplained));
}

void StepwiseLimit::learnUsual(ClassWork& usual, double work)
{
    if (usual.seen > 0) {
        const double rest = std::clamp(work - usual.work, -mostUnexplained, mostUnexplained);
        m_variance = std::max(m_variance + varianceWeight * (rest * rest - m_variance), leastVariance);
    }
    usual.seen = std::min(usual.seen + 1, classMemory);
    usual.work += (work - usual.work) / usual.seen;
}

void StepwiseLimit::tryStep()
{
    m_isTrying = true;
    m_unjudged = m_settled + 1;
    m_evidence = 0;
}

void StepwiseLimit::judge(double longer)
{
    const double slow = std::log(slowFactor);
    m_evidence += std::clamp((longer - slow / 2) * slow / m_variance, -mostEvidence, mostEvidence);
    if (std::abs(m_evidence) >= enoughEvidence)
        endStep(m_evidence < 0);
}

void StepwiseLimit::endStep(bool isKept)
{
    m_isTrying = false;
    m_full = 0;
    if (isKept) {
        ++m_settled;
        m_restFor = callsBeforeStep;
        return;
    }
    m_restLength = std::clamp(2 * m_restLength, firstRest, longestRest);
    m_restFor = m_restLength;
}

} // namespace robinrun
