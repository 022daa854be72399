#pragma once

#include "Queueing/RunSample.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Finds the number of concurrent calls at which a backend server answers the most calls in time.
///
/// Some servers slow down when nearly all slots are in use, others don't. The best limit may lie below the
/// knee of the work time, above it, or at all slots, so a longer work time alone is no reason to lower the
/// limit. The class learns a curve: the logarithm of the factor by which work takes longer, as a function of
/// the concurrency at the start of a call. Each call gives one sample. A server on a shared host has slow
/// periods that don't depend on its own load, and during these more calls run at once. Therefore a call is
/// compared with the calls that ended shortly before it, not with all calls. The curve is fitted to be
/// non-decreasing (isotonic regression).
///
/// The limit chosen has the most calls in time, computed from a lower confidence bound of the curve: limit /
/// work time x share of the calls that would end in time with that work time. Beyond the highest level with
/// enough samples the curve is assumed to be flat, and the limit rises one level at a time until samples
/// contradict that. Old samples decay with each new call, so that a changed curve is found. The state does
/// not change while no calls run.
///
/// Compared with the best fixed limit for the same load, the share of calls answered in time is 0.88 (mean of
/// 392 loads in virtual time, bench/limits). A fixed limit of 0.8 of the slots gives 0.78, GradientLimit 0.76
/// and AimdLimit 0.76. If the best limit is known in advance, learning it costs 1.5 to 3.5 % of these calls.
///
/// Caveat: a server that slows down all running calls when one more starts is modelled less accurately than a
/// server that slows down only the calls that start then. Cost: O(levels + bins) per call; about 1 KB.
class LearntLimit {
public:
    /// \param slots of the backend server, at least 1.
    explicit LearntLimit(std::uint32_t slots);

    std::uint32_t limit() const { return limitAtLevel(m_currentLevel); }

    /// \brief Learns from a call that was answered or timed out. Calls that failed earlier are not passed.
    void addSample(const RunSample& sample);

private:
    struct Level {
        double decayedCalls = 0; ///< calls that started at this level, older calls weighted less
        double logWorkRatio
            = 0; ///< natural logarithm of the work time of these calls over the usual one of their class
        double logWorkRatioBound = 0; ///< lower confidence bound of the fitted `logWorkRatio`
    };
    struct ClassWork {
        double calls = 0;
        double meanLogWork = 0; ///< mean of the natural logarithm of the work time in seconds
    };
    /// Bins of the slack histogram. The slack of a call is the logarithm of the factor by which its work
    /// could take longer with the answer still in time.
    static constexpr std::size_t slackBinCount = 40;

    std::uint32_t limitAtLevel(std::size_t level) const;
    std::size_t levelAtConcurrency(std::uint32_t concurrency) const;
    /// \brief Adds a sample to the mean of its class.
    /// \returns the part of the log work time that class, current slowdown and \a level don't explain.
    double addToClassMean(const RunSample& sample, std::size_t level);
    void addSlack(const RunSample& sample, double logWorkRatio);
    double shareInTime(double logWorkRatio) const;
    double meanLogWorkRatio() const;
    void fitLowerBounds();
    /// \returns a lower level without enough samples to try, if most calls would be late at \a level;
    /// otherwise nothing.
    std::optional<std::size_t> unexploredLevelBelow(std::size_t level) const;
    void chooseLevel();

    std::uint32_t m_slots;
    std::vector<Level> m_levels;
    std::size_t m_currentLevel;
    std::unordered_map<std::uint32_t, ClassWork> m_workByClass;
    double m_currentLogSlowdown = 0; ///< log of the factor by which calls of any level currently take longer
    double m_residualVariance; ///< variance of the value that addToClassMean() returns
    std::array<double, slackBinCount> m_slackHistogram {};
    std::uint32_t m_callsSinceChoice = 0;
};

} // namespace robinrun
