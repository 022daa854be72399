#include "Queueing/LearntLimit.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    // Figures in calls unless they say otherwise. Those that were varied give what the others gave on the
    // loads of bench/limits, as the mean part of the best fixed limit's calls in time; the rest are round
    // figures.

    /// Limits that are told apart; with more slots, some of them share one.
    constexpr std::size_t maxLevels = 24;
    /// Share of the slots at the start: a quarter in reserve for servers that slow down when close to full.
    /// 0.65: 0.883 for 0.888.
    constexpr double initialSlotShare = 0.75;
    /// So many calls say enough of a level to go beyond it: with work that varies by a third, a tenth more
    /// work is one standard error.
    constexpr double minCallsPerLevel = 12;
    /// The limit is chosen anew after so many calls.
    constexpr std::uint32_t callsPerChoice = 4;
    /// A call counts for 1/e after so many others: half a minute to some minutes under load.
    constexpr double decayCalls = 1500;
    /// The curve is a mean of so many calls at a level.
    constexpr double levelMeanCalls = 100;
    /// What is slow just now is judged by so many calls. 12, 30, 80: 0.874, 0.882, 0.882 for 0.883.
    constexpr double currentSlowdownMeanCalls = 60;
    /// What lasts for more calls than this is no matter of the present: it is due to the level. 120: 0.881
    /// for 0.883; without it a knee is climbed past under load that always fills the limit.
    constexpr double currentSlowdownDecayCalls = 300;
    /// The usual work of a class is a mean of so many calls: it must not follow the curve.
    constexpr double classMeanCalls = 1000;
    /// What is unexplained counts up to this logarithm, a factor of 2.7: some calls end at once or hang for
    /// other reasons.
    constexpr double maxLogResidual = 1;
    constexpr double varianceSampleWeight = 0.02;
    /// Of the logarithm of the work, until it is known: a spread of 0.4, a third and what is slow untold.
    constexpr double initialResidualVariance = 0.16;
    /// Bound of the curve, in standard errors. 1: limits stay past a knee.
    constexpr double boundStandardErrors = 0.5;
    /// Each level is taken to have seen so many calls of the usual length: one that saw none would have no
    /// bound.
    constexpr double priorCalls = 0.5;
    /// An answer that is late is worth next to nothing; it tells which way is better where all are late.
    constexpr double lateCallValue = 0.1;
    /// Where fewer calls than this part are in time, fewer at once are tried, each time so many of those
    /// before.
    constexpr double minShareInTime = 0.5;
    constexpr double stepDownFactor = 0.7;
    /// Bins of the slack: from this logarithm on, each so wide.
    constexpr double lowestLogSlack = -1;
    constexpr double slackBinWidth = 0.1;
    constexpr Duration minWorkTime = 100us; ///< shorter ones are not told apart

} // namespace

LearntLimit::LearntLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_levels(std::min<std::size_t>(slots, maxLevels))
    , m_currentLevel(0)
    , m_residualVariance(initialResidualVariance)
{
    require(slots > 0, "LearntLimit: there are slots");
    const auto start = static_cast<std::size_t>(initialSlotShare * static_cast<double>(m_levels.size()));
    m_currentLevel = std::max<std::size_t>(start, 1) - 1;
}

std::uint32_t LearntLimit::limitAtLevel(std::size_t level) const
{
    return static_cast<std::uint32_t>((level + 1) * m_slots / m_levels.size());
}

std::size_t LearntLimit::levelAtConcurrency(std::uint32_t concurrency) const
{
    const auto n = std::clamp<std::size_t>(concurrency, 1, m_slots);
    return (n * m_levels.size() + m_slots - 1) / m_slots - 1;
}

double LearntLimit::addToClassMean(const RunSample& sample, std::size_t level)
{
    const double logWork = std::log(toSeconds(std::max(sample.workTime, minWorkTime)));
    auto& classWork = m_workByClass[sample.callClass];
    const double logRatio = logWork - m_currentLogSlowdown - m_levels[level].logWorkRatio;
    if (classWork.calls == 0)
        classWork.meanLogWork = logRatio;
    const double residual = std::clamp(logRatio - classWork.meanLogWork, -maxLogResidual, maxLogResidual);
    classWork.calls = std::min(classWork.calls + 1, classMeanCalls);
    classWork.meanLogWork += residual / classWork.calls;
    return residual;
}

void LearntLimit::addSample(const RunSample& sample)
{
    const auto level = levelAtConcurrency(sample.concurrency);
    auto& it = m_levels[level];
    const double residual = addToClassMean(sample, level);
    // One that ran out of time shows only that it takes at least so long.
    if (sample.outcome == SampleOutcome::Answered || residual > 0) {
        for (auto& other : m_levels)
            other.decayedCalls *= 1 - 1 / decayCalls;
        ++it.decayedCalls;
        it.logWorkRatio += residual / std::min(it.decayedCalls, levelMeanCalls);
        m_currentLogSlowdown
            += residual / currentSlowdownMeanCalls - m_currentLogSlowdown / currentSlowdownDecayCalls;
        m_residualVariance += varianceSampleWeight * (residual * residual - m_residualVariance);
    }
    addSlack(sample, it.logWorkRatio);
    if (++m_callsSinceChoice < callsPerChoice)
        return;
    m_callsSinceChoice = 0;
    fitLowerBounds();
    chooseLevel();
}

void LearntLimit::addSlack(const RunSample& sample, double logWorkRatio)
{
    for (auto& it : m_slackHistogram)
        it *= 1 - 1 / decayCalls;
    const double workSeconds = toSeconds(std::max(sample.workTime, minWorkTime));
    const double logSlack = sample.timeToSoftDeadline == Duration::max()
        ? slackBinCount
        : std::log(std::max(toSeconds(sample.timeToSoftDeadline), 1e-6) / workSeconds) + logWorkRatio;
    const double bin
        = std::clamp((logSlack - lowestLogSlack) / slackBinWidth, 0.0, double(slackBinCount - 1));
    ++m_slackHistogram[static_cast<std::size_t>(bin)];
}

double LearntLimit::shareInTime(double logWorkRatio) const
{
    double allCalls = 0;
    double callsInTime = 0;
    for (std::size_t i = 0; i < slackBinCount; ++i) {
        allCalls += m_slackHistogram[i];
        const double upper = lowestLogSlack + slackBinWidth * double(i + 1);
        callsInTime += m_slackHistogram[i] * std::clamp((upper - logWorkRatio) / slackBinWidth, 0.0, 1.0);
    }
    return allCalls > 0 ? callsInTime / allCalls : 1;
}

double LearntLimit::meanLogWorkRatio() const
{
    double totalCalls = 0;
    double weightedSum = 0;
    for (const auto& it : m_levels) {
        totalCalls += it.decayedCalls;
        weightedSum += it.decayedCalls * it.logWorkRatio;
    }
    return totalCalls > 0 ? weightedSum / totalCalls : 0;
}

void LearntLimit::fitLowerBounds()
{
    // Pool adjacent violators: levels at which calls seem to take less long than at a lower one share their
    // mean.
    struct Block {
        double decayedCalls;
        double logWorkRatio;
        std::size_t levels;
    };
    std::vector<Block> blocks;
    const double meanRatio = meanLogWorkRatio();
    for (const auto& level : m_levels) {
        const double decayedCalls = level.decayedCalls + priorCalls;
        blocks.push_back({ decayedCalls,
            (level.logWorkRatio * level.decayedCalls + meanRatio * priorCalls) / decayedCalls, 1 });
        while (blocks.size() > 1 && blocks.back().logWorkRatio < blocks[blocks.size() - 2].logWorkRatio) {
            const auto upper = blocks.back();
            blocks.pop_back();
            auto& lower = blocks.back();
            const double decayedCalls = lower.decayedCalls + upper.decayedCalls;
            lower.logWorkRatio
                = (lower.logWorkRatio * lower.decayedCalls + upper.logWorkRatio * upper.decayedCalls)
                / decayedCalls;
            lower.decayedCalls = decayedCalls;
            lower.levels += upper.levels;
        }
    }
    double bound = -1e9;
    std::size_t i = 0;
    for (const auto& block : blocks) {
        bound = std::max(bound,
            block.logWorkRatio - boundStandardErrors * std::sqrt(m_residualVariance / block.decayedCalls));
        for (std::size_t n = 0; n < block.levels; ++n)
            m_levels[i++].logWorkRatioBound = bound;
    }
}

std::optional<std::size_t> LearntLimit::unexploredLevelBelow(std::size_t level) const
{
    if (shareInTime(m_levels[level].logWorkRatioBound) >= minShareInTime)
        return std::nullopt;
    while (level > 0) {
        level = static_cast<std::size_t>(static_cast<double>(level) * stepDownFactor);
        if (m_levels[level].decayedCalls < minCallsPerLevel)
            return level;
    }
    return std::nullopt;
}

void LearntLimit::chooseLevel()
{
    std::size_t best = 0;
    double bestValue = 0;
    std::size_t highestKnown = 0;
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        const double logWorkRatio = m_levels[i].logWorkRatioBound;
        const double share = shareInTime(logWorkRatio);
        const double value
            = limitAtLevel(i) * std::exp(-logWorkRatio) * (share + lateCallValue * (1 - share));
        if (value > bestValue) {
            bestValue = value;
            best = i;
        }
        if (m_levels[i].decayedCalls >= minCallsPerLevel)
            highestKnown = i;
    }
    m_currentLevel
        = unexploredLevelBelow(best).value_or(std::min(best, std::max(highestKnown + 1, m_currentLevel)));
}

} // namespace robinrun
