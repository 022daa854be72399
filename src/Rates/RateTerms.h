#pragma once

#include "Core/Time.h"
#include "Rates/GroupRate.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

/// \brief How exactly the rates of groups are kept over all nodes.
struct RateTerms {
    Duration window = 5s; ///< any of this length counts
    double over = 0.1; ///< part of what a group may make in it, on top of that
    double slack = 20; ///< calls on top of that

    /// \returns the most calls that a group may make in any window.
    double bound(const GroupRate& rate) const
    {
        return (rate.perSecond * toSeconds(window) + rate.burst) * (1 + over) + slack;
    }
};

/// \brief The rate of a group is divided into at most so many equal parts, each lent by a node of its own:
/// where one is lost, three quarters are left, which is still more than what a group usually asks for.
inline constexpr std::uint32_t mostRateParts = 4;

/// \returns the parts that the rate of a group is divided into. Small ones have fewer, as credits are whole.
inline std::uint32_t ratePartsOf(const GroupRate& rate)
{
    constexpr double smallPerSecond = 40;
    constexpr std::uint32_t smallParts = 2;
    return rate.perSecond < smallPerSecond ? smallParts : mostRateParts;
}

/// \brief One part of a group's rate, as its lender keeps it.
struct RatePart {
    double perSecond = 0;
    double most = 0; ///< credits saved up and lent together, at most

    /// \brief What the terms allow on top is lent but for a part, which is for lenders that change and start
    /// anew.
    static RatePart of(const GroupRate& rate, const RateTerms& terms)
    {
        constexpr double lentOver = 0.5;
        constexpr double lentSlack = 0.7;
        const double extra = lentOver * terms.over * rate.perSecond * toSeconds(terms.window);
        const double parts = ratePartsOf(rate);
        const double most = (rate.burst + extra + lentSlack * terms.slack) / parts;
        return { rate.perSecond / parts, std::max(most, 1.0) };
    }
};

} // namespace robinrun
