#pragma once

namespace robinrun {

/// \returns whether a factor by which work takes longer, as a backend server tells it, is more than chance.
/// Half again as long is: calm servers of the users' machines tell 1.0, slowed ones 4.0.
constexpr bool isSlow(double slowdown)
{
    constexpr double slowFrom = 1.5;
    return slowdown >= slowFrom;
}

} // namespace robinrun
