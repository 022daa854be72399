#pragma once

#include "Queueing/RunSample.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Finds how many calls a backend server should run at once: as many as get the most done in time.
///
/// Some servers slow down when close to full, others don't, and the best limit may lie before that
/// point, beyond it or at all slots. So no rise of work time is a reason by itself. What is learnt is a
/// curve: by how much calls take longer that start beside so many others. Each call gives one sample. A
/// server on a shared host is slow for some time whatever runs on it, and then more calls run on it as well;
/// so a call is compared with those that ended shortly before it, not with all. The curve never falls
/// (isotonic regression).
///
/// The limit is the one with the most calls in time, by the lower bound of the curve: limit / work x share of
/// calls that would be in time with that work. Beyond what was seen the curve is taken for flat, and the
/// limit goes up one step at a time until that is disproved. What was seen counts less with each call, so
/// that a curve that has changed is found. Nothing changes while no calls run.
///
/// What it buys, in calls answered in time as a part of those with the best fixed limit of the same load,
/// mean of 392 loads in virtual time (bench/limits): 0.88, where 0.8 of the slots gives 0.78, a gradient of
/// work time 0.76 and additive increase 0.76. Where the best share is known beforehand it costs 1.5 to 3.5 %.
///
/// Caveat: a server that slows all its running calls at once when one more starts is seen less well than one
/// that slows those which start then. Cost: O(levels + bins) a call; about 1 KB.
class LearntLimit {
public:
    /// \param slots of the backend server, at least 1.
    explicit LearntLimit(std::uint32_t slots);

    std::uint32_t limit() const { return limitAtLevel(m_currentLevel); }

    /// \brief A call has ended; not those that failed before their time.
    void addSample(const RunSample& sample);

private:
    struct Level {
        double decayedCalls = 0; ///< calls that started there, older ones counting less
        double logWorkRatio = 0; ///< natural logarithm of the factor by which they take longer
        double logWorkRatioBound = 0; ///< lower bound of the fitted factor's logarithm
    };
    struct ClassWork {
        double calls = 0;
        double meanLogWork = 0; ///< logarithm of seconds
    };
    /// Calls by the logarithm of the factor by which they could have taken longer and still be in time.
    static constexpr std::size_t slackBinCount = 40;

    std::uint32_t limitAtLevel(std::size_t level) const;
    std::size_t levelAtConcurrency(std::uint32_t concurrency) const;
    /// \returns the logarithm of the work less what is due to its class, the time and \a level.
    double addToClassMean(const RunSample& sample, std::size_t level);
    void addSlack(const RunSample& sample, double logWorkRatio);
    double shareInTime(double logWorkRatio) const;
    double meanLogWorkRatio() const;
    void fitLowerBounds();
    /// \returns a level below that is to be tried because most calls are late at \a level; nothing if none
    /// is.
    std::optional<std::size_t> unexploredLevelBelow(std::size_t level) const;
    void chooseLevel();

    std::uint32_t m_slots;
    std::vector<Level> m_levels;
    std::size_t m_currentLevel;
    std::unordered_map<std::uint32_t, ClassWork> m_workByClass;
    double m_currentLogSlowdown = 0; ///< logarithm of how much longer calls take just now
    double m_residualVariance; ///< of what is unexplained
    std::array<double, slackBinCount> m_slackHistogram {};
    std::uint32_t m_callsSinceChoice = 0;
};

} // namespace robinrun
