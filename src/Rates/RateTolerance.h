#pragma once

#include "Core/Time.h"
#include "Rates/GroupRate.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

/// \brief How exactly the rates of groups are kept over all nodes.
struct RateTolerance {
    Duration window = 5s; ///< any of this length counts
    double overshootFraction = 0.1; ///< part of what a group may make in it, on top of that
    double slackCalls = 20; ///< calls on top of that

    /// \returns the most calls that a group may make in any window.
    double maxCallsPerWindow(const GroupRate& rate) const
    {
        return (rate.callsPerSecond * toSeconds(window) + rate.burst) * (1 + overshootFraction) + slackCalls;
    }
};

/// \brief The rate of a group is divided into at most so many equal parts, each lent by a node of its own:
/// where one is lost, three quarters are left, which is still more than what a group usually asks for.
inline constexpr std::uint32_t maxRateParts = 4;

/// \returns the parts that the rate of a group is divided into. Small ones have fewer, as credits are whole.
inline std::uint32_t ratePartCount(const GroupRate& rate)
{
    constexpr double smallRatePerSecond = 40;
    constexpr std::uint32_t smallRateParts = 2;
    return rate.callsPerSecond < smallRatePerSecond ? smallRateParts : maxRateParts;
}

/// \brief One part of a group's rate, as its lender keeps it.
struct RatePart {
    double creditsPerSecond = 0;
    double maxCredits = 0; ///< credits saved up and lent together, at most

    /// \brief What the terms allow on top is lent but for a part, which is for lenders that change and start
    /// anew.
    static RatePart of(const GroupRate& rate, const RateTolerance& tolerance)
    {
        constexpr double lentOvershootFraction = 0.5;
        constexpr double lentSlackFraction = 0.7;
        const double overshootCalls = lentOvershootFraction * tolerance.overshootFraction
            * rate.callsPerSecond * toSeconds(tolerance.window);
        const double partCount = ratePartCount(rate);
        const double maxCredits
            = (rate.burst + overshootCalls + lentSlackFraction * tolerance.slackCalls) / partCount;
        return { rate.callsPerSecond / partCount, std::max(maxCredits, 1.0) };
    }
};

} // namespace robinrun
