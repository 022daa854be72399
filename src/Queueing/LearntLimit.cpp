#include "Queueing/LearntLimit.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    // Units are calls unless stated otherwise. Scores in the comments are calls in time as a share of those
    // with the best fixed limit, mean over the loads of bench/limits; other values of a constant are compared
    // with the value used.

    /// Maximum number of levels. With more slots than levels, several numbers of running calls share a level.
    constexpr std::size_t maxLevels = 24;
    /// Initial limit as a share of the slots. A quarter is left free for servers that slow down when nearly
    /// all slots are in use. A share of 0.65 scores 0.883 instead of 0.888.
    constexpr double initialSlotShare = 0.75;
    /// Samples required at a level before the limit goes beyond it. With work times that vary by a third, the
    /// standard error of the mean of 12 samples is a tenth.
    constexpr double minCallsPerLevel = 12;
    /// The limit is chosen again after this many calls.
    constexpr std::uint32_t callsPerChoice = 4;
    /// The weight of a sample decays to 1/e over this many calls, which takes from half a minute to a few
    /// minutes under load.
    constexpr double decayCalls = 1500;
    /// Maximum number of samples in the moving mean of a level.
    constexpr double levelMeanCalls = 100;
    /// Number of samples in the moving mean of the current slowdown. 12, 30 and 80 samples score 0.874, 0.882
    /// and 0.882 instead of 0.883.
    constexpr double currentSlowdownMeanCalls = 60;
    /// The current slowdown decays over this many calls, so that a lasting slowdown is attributed to the
    /// level. 120 calls score 0.881 instead of 0.883. Without the decay the limit rises past a knee under a
    /// load that always fills it.
    constexpr double currentSlowdownDecayCalls = 300;
    /// Maximum number of samples in the moving mean of a class. It is long so that the mean does not follow
    /// the curve.
    constexpr double classMeanCalls = 1000;
    /// Residuals are clamped to this logarithm, a factor of 2.7, because some calls end at once or hang for
    /// unrelated reasons.
    constexpr double maxLogResidual = 1;
    constexpr double varianceSampleWeight = 0.02;
    /// Initial variance of the log work time: a standard deviation of 0.4, made up of a third for the work
    /// itself and the rest for slowdowns that the server does not report.
    constexpr double initialResidualVariance = 0.16;
    /// Distance of the lower confidence bound from the fitted curve, in standard errors. With 1 standard
    /// error the limit stays above a knee.
    constexpr double boundStandardErrors = 0.5;
    /// Weight of a prior sample with the mean work ratio at each level, because a level without samples would
    /// have no bound.
    constexpr double priorCalls = 0.5;
    /// Value of a late answer compared with one in time. It is above 0 so that levels can be compared when
    /// all answers are late.
    constexpr double lateCallValue = 0.1;
    /// If the share of calls in time at the best level is below minShareInTime, lower levels are tried, each
    /// stepDownFactor times the one before.
    constexpr double minShareInTime = 0.5;
    constexpr double stepDownFactor = 0.7;
    /// Lower edge of the first bin of the slack histogram and width of each bin, as natural logarithms.
    constexpr double lowestLogSlack = -1;
    constexpr double slackBinWidth = 0.1;
    constexpr Duration minWorkTime = 100us; ///< shorter work times count as this

} // namespace

LearntLimit::LearntLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_levels(std::min<std::size_t>(slots, maxLevels))
    , m_currentLevel(0)
    , m_residualVariance(initialResidualVariance)
{
    require(slots > 0, "LearntLimit: slots must be above 0");
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
    // A call that timed out gives only a lower bound of its work time.
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
    // Pool adjacent violators: a level with a lower work ratio than the level below is merged with it, and
    // both get their weighted mean.
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
