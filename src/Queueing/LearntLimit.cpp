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
    constexpr std::size_t mostLevels = 24;
    /// Share of the slots at the start: a quarter in reserve for servers that slow down when close to full.
    /// 0.65: 0.883 for 0.888.
    constexpr double startShare = 0.75;
    /// So many calls say enough of a level to go beyond it: with work that varies by a third, a tenth more
    /// work is one standard error.
    constexpr double enough = 12;
    /// The limit is chosen anew after so many calls.
    constexpr std::uint32_t chooseEvery = 4;
    /// A call counts for 1/e after so many others: half a minute to some minutes under load.
    constexpr double memory = 1500;
    /// The curve is a mean of so many calls at a level.
    constexpr double curveMemory = 100;
    /// What is slow just now is judged by so many calls. 12, 30, 80: 0.874, 0.882, 0.882 for 0.883.
    constexpr double presentMemory = 60;
    /// What lasts for more calls than this is no matter of the present: it is due to the level. 120: 0.881
    /// for 0.883; without it a knee is climbed past under load that always fills the limit.
    constexpr double longestPresent = 300;
    /// The usual work of a class is a mean of so many calls: it must not follow the curve.
    constexpr double classMemory = 1000;
    /// What is unexplained counts up to this logarithm, a factor of 2.7: some calls end at once or hang for
    /// other reasons.
    constexpr double mostUnexplained = 1;
    constexpr double varianceWeight = 0.02;
    /// Of the logarithm of the work, until it is known: a spread of 0.4, a third and what is slow untold.
    constexpr double startVariance = 0.16;
    /// Bound of the curve, in standard errors. 1: limits stay past a knee.
    constexpr double boundWidth = 0.5;
    /// Each level is taken to have seen so many calls of the usual length: one that saw none would have no
    /// bound.
    constexpr double priorCalls = 0.5;
    /// An answer that is late is worth next to nothing; it tells which way is better where all are late.
    constexpr double lateWorth = 0.1;
    /// Where fewer calls than this part are in time, fewer at once are tried, each time so many of those
    /// before.
    constexpr double fewInTime = 0.5;
    constexpr double stepBelow = 0.7;
    /// Bins of the slack: from this logarithm on, each so wide.
    constexpr double firstBin = -1;
    constexpr double binWidth = 0.1;
    constexpr Duration leastWork = 100us; ///< shorter ones are not told apart

} // namespace

LearntLimit::LearntLimit(std::uint32_t slots)
    : m_slots(slots)
    , m_levels(std::min<std::size_t>(slots, mostLevels))
    , m_level(0)
    , m_variance(startVariance)
{
    require(slots > 0, "LearntLimit: there are slots");
    const auto start = static_cast<std::size_t>(startShare * static_cast<double>(m_levels.size()));
    m_level = std::max<std::size_t>(start, 1) - 1;
}

std::uint32_t LearntLimit::limitOf(std::size_t level) const
{
    return static_cast<std::uint32_t>((level + 1) * m_slots / m_levels.size());
}

std::size_t LearntLimit::levelOf(std::uint32_t inUse) const
{
    const auto n = std::clamp<std::size_t>(inUse, 1, m_slots);
    return (n * m_levels.size() + m_slots - 1) / m_slots - 1;
}

double LearntLimit::unexplained(const RunSample& sample, std::size_t level)
{
    const double work = std::log(toSeconds(std::max(sample.work, leastWork)));
    auto& ofClass = m_ofClass[sample.callClass];
    const double rest = work - m_atPresent - m_levels[level].longer;
    if (ofClass.seen == 0)
        ofClass.work = rest;
    const double out = std::clamp(rest - ofClass.work, -mostUnexplained, mostUnexplained);
    ofClass.seen = std::min(ofClass.seen + 1, classMemory);
    ofClass.work += out / ofClass.seen;
    return out;
}

void LearntLimit::ended(const RunSample& sample)
{
    const auto level = levelOf(sample.inUse);
    auto& it = m_levels[level];
    const double rest = unexplained(sample, level);
    // One that ran out of time shows only that it takes at least so long.
    if (sample.result == RunResult::Answered || rest > 0) {
        for (auto& other : m_levels)
            other.seen *= 1 - 1 / memory;
        ++it.seen;
        it.longer += rest / std::min(it.seen, curveMemory);
        m_atPresent += rest / presentMemory - m_atPresent / longestPresent;
        m_variance += varianceWeight * (rest * rest - m_variance);
    }
    noteSlack(sample, it.longer);
    if (++m_sinceChoice < chooseEvery)
        return;
    m_sinceChoice = 0;
    fitBounds();
    choose();
}

void LearntLimit::noteSlack(const RunSample& sample, double longer)
{
    for (auto& it : m_slack)
        it *= 1 - 1 / memory;
    const double work = toSeconds(std::max(sample.work, leastWork));
    const double slack = sample.timely == Duration::max()
        ? bins
        : std::log(std::max(toSeconds(sample.timely), 1e-6) / work) + longer;
    const double bin = std::clamp((slack - firstBin) / binWidth, 0.0, double(bins - 1));
    ++m_slack[static_cast<std::size_t>(bin)];
}

double LearntLimit::inTime(double longer) const
{
    double all = 0;
    double in = 0;
    for (std::size_t i = 0; i < bins; ++i) {
        all += m_slack[i];
        const double upper = firstBin + binWidth * double(i + 1);
        in += m_slack[i] * std::clamp((upper - longer) / binWidth, 0.0, 1.0);
    }
    return all > 0 ? in / all : 1;
}

double LearntLimit::meanLonger() const
{
    double seen = 0;
    double longer = 0;
    for (const auto& it : m_levels) {
        seen += it.seen;
        longer += it.seen * it.longer;
    }
    return seen > 0 ? longer / seen : 0;
}

void LearntLimit::fitBounds()
{
    // Pool adjacent violators: levels at which calls seem to take less long than at a lower one share their
    // mean.
    struct Block {
        double seen;
        double longer;
        std::size_t levels;
    };
    std::vector<Block> blocks;
    const double usual = meanLonger();
    for (const auto& level : m_levels) {
        const double seen = level.seen + priorCalls;
        blocks.push_back({ seen, (level.longer * level.seen + usual * priorCalls) / seen, 1 });
        while (blocks.size() > 1 && blocks.back().longer < blocks[blocks.size() - 2].longer) {
            const auto upper = blocks.back();
            blocks.pop_back();
            auto& lower = blocks.back();
            const double seen = lower.seen + upper.seen;
            lower.longer = (lower.longer * lower.seen + upper.longer * upper.seen) / seen;
            lower.seen = seen;
            lower.levels += upper.levels;
        }
    }
    double bound = -1e9;
    std::size_t i = 0;
    for (const auto& block : blocks) {
        bound = std::max(bound, block.longer - boundWidth * std::sqrt(m_variance / block.seen));
        for (std::size_t n = 0; n < block.levels; ++n)
            m_levels[i++].bound = bound;
    }
}

std::optional<std::size_t> LearntLimit::lookBelow(std::size_t level) const
{
    if (inTime(m_levels[level].bound) >= fewInTime)
        return std::nullopt;
    while (level > 0) {
        level = static_cast<std::size_t>(static_cast<double>(level) * stepBelow);
        if (m_levels[level].seen < enough)
            return level;
    }
    return std::nullopt;
}

void LearntLimit::choose()
{
    std::size_t best = 0;
    double most = 0;
    std::size_t highestKnown = 0;
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        const double longer = m_levels[i].bound;
        const double share = inTime(longer);
        const double value = limitOf(i) * std::exp(-longer) * (share + lateWorth * (1 - share));
        if (value > most) {
            most = value;
            best = i;
        }
        if (m_levels[i].seen >= enough)
            highestKnown = i;
    }
    m_level = lookBelow(best).value_or(std::min(best, std::max(highestKnown + 1, m_level)));
}

} // namespace robinrun
