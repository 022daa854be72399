#pragma once

#include "Core/Time.h"
#include "Rates/GroupRate.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

/// \brief How far the calls of a group over all nodes may exceed the group's rate.
struct RateTolerance {
    Duration window = 5s; ///< The tolerance holds for every window of this length.
    double overshootFraction = 0.1; ///< Tolerated excess, as a fraction of the calls allowed in a window.
    double slackCalls = 20; ///< Tolerated excess in calls, in addition to the fraction.

    /// \returns the maximum number of calls that a group may make in any window.
    double maxCallsPerWindow(const GroupRate& rate) const
    {
        return (rate.callsPerSecond * toSeconds(window) + rate.burst) * (1 + overshootFraction) + slackCalls;
    }
};

/// \brief Maximum number of equal parts that the rate of a group is divided into, each lent by another node.
///
/// With four parts, the loss of a lender leaves three quarters of the rate, which is still more than a group
/// usually needs.
inline constexpr std::uint32_t maxRateParts = 4;

/// \returns the number of parts that the rate of a group is divided into. Small rates have fewer parts,
/// because credits are whole numbers.
inline std::uint32_t ratePartCount(const GroupRate& rate)
{
    constexpr double smallRatePerSecond = 40;
    constexpr std::uint32_t smallRateParts = 2;
    return rate.callsPerSecond < smallRatePerSecond ? smallRateParts : maxRateParts;
}

/// \brief One part of a group's rate, as its lender enforces it.
struct RatePart {
    double creditsPerSecond = 0;
    double maxCredits = 0; ///< Maximum of available and outstanding credits together.
    /// What may be lent beside another lender of the same part.
    double spareCreditsPerSecond = 0;

    /// \brief Computes a part of \a rate.
    ///
    /// Only a fraction of the tolerance is lent. The rest covers the credits that are lent twice when a part
    /// moves to another lender or a lender restarts.
    static RatePart of(const GroupRate& rate, const RateTolerance& tolerance)
    {
        constexpr double lentOvershootFraction = 0.5;
        constexpr double lentSlackFraction = 0.7;
        const double overshootCalls = lentOvershootFraction * tolerance.overshootFraction
            * rate.callsPerSecond * toSeconds(tolerance.window);
        const double partCount = ratePartCount(rate);
        const double maxCredits
            = (rate.burst + overshootCalls + lentSlackFraction * tolerance.slackCalls) / partCount;
        constexpr double spareFraction = 0.5; // The other half covers restarts and moves of parts.
        const double lentCalls = rate.callsPerSecond * toSeconds(tolerance.window) + partCount * maxCredits;
        const double spareCalls = spareFraction * (tolerance.maxCallsPerWindow(rate) - lentCalls);
        const double spareCreditsPerSecond
            = std::max(spareCalls, 0.0) / toSeconds(tolerance.window) / partCount;
        return { rate.callsPerSecond / partCount, std::max(maxCredits, 1.0), spareCreditsPerSecond };
    }
};

} // namespace robinrun
