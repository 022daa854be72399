#pragma once

namespace robinrun {

/// \brief How many calls a group may make, over all nodes together.
struct GroupRate {
    double callsPerSecond = 0; ///< 0: not bounded
    double burst = 0; ///< calls on top of that

    bool isBounded() const { return callsPerSecond > 0; }
    bool operator==(const GroupRate&) const = default;
};

} // namespace robinrun
