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

/// \brief The rate of each group is divided into so many equal parts, each lent by a node of its own: where one is
/// lost, three quarters are left, which is still more than what a group usually asks for.
inline constexpr std::uint32_t ratePartCount = 4;

/// \brief One part of a group's rate, as its lender keeps it.
struct RatePart {
    double perSecond = 0;
    double most = 0; ///< credits saved up and lent together, at most

    /// \brief Half of what the terms allow on top is lent; the rest is for lenders that change and start anew.
    static RatePart of(const GroupRate& rate, const RateTerms& terms)
    {
        constexpr double lentOver = 0.5;
        constexpr double lentSlack = 0.25;
        const double extra = lentOver * terms.over * rate.perSecond * toSeconds(terms.window);
        const double most = (rate.burst + extra + lentSlack * terms.slack) / ratePartCount;
        return { rate.perSecond / ratePartCount, std::max(most, 1.0) };
    }
};

} // namespace robinrun
