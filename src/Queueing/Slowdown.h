#pragma once

namespace robinrun {

/// \returns whether \a slowdown, the factor by which work takes longer as reported by a backend server, is
/// beyond random variation. The threshold is 1.5: on the users' machines servers report 1.0 when calm and 4.0
/// when slowed down.
constexpr bool isSlow(double slowdown)
{
    constexpr double minSlowFactor = 1.5;
    return slowdown >= minSlowFactor;
}

} // namespace robinrun
