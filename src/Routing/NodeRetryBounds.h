#pragma once

#include <algorithm>
#include <cstddef>

namespace robinrun {

/// \brief Retries that a node may save up at least: with fewer it could never send one.
inline constexpr double minRetryBurst = 1;

/// \returns what each call earns at its node, where all nodes together are bound to \a ratio of the calls of
/// a window. A retry may arrive seconds after the calls that earned it, in a window with fewer of them.
inline double nodeRetryFraction(double ratio)
{
    constexpr double plannedShare = 0.75;
    return plannedShare * ratio;
}

/// \returns what each of \a nodes may save up, where all together may exceed that bound by \a slack. The rest
/// of it is for what nodes that start anew have from the beginning.
inline double nodeRetryBurst(double slack, std::size_t nodes)
{
    constexpr double plannedShare = 0.5;
    return std::max(
        minRetryBurst, plannedShare * slack / static_cast<double>(std::max<std::size_t>(nodes, 1)));
}

} // namespace robinrun
