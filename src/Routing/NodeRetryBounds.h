#pragma once

#include <algorithm>
#include <cstddef>

namespace robinrun {

/// \brief Least burst of a node's retry budget: with less than one token a node could never send a retry.
inline constexpr double minRetryBurst = 1;

/// \returns the part of a retry that each call earns at its node, so that the retries of all nodes together
/// stay below \a ratio of the calls in a window. The result is less than \a ratio because a retry may be sent
/// seconds after the calls that earned it, in a window with fewer calls.
inline double nodeRetryFraction(double ratio)
{
    constexpr double plannedShare = 0.75;
    return plannedShare * ratio;
}

/// \returns the burst of the retry budget of each of \a nodes nodes, where the retries of all nodes together
/// may exceed the ratio by \a slack. Only a part of \a slack is distributed; the rest covers the tokens that
/// restarted nodes begin with.
inline double nodeRetryBurst(double slack, std::size_t nodes)
{
    constexpr double plannedShare = 0.5;
    return std::max(
        minRetryBurst, plannedShare * slack / static_cast<double>(std::max<std::size_t>(nodes, 1)));
}

} // namespace robinrun
