#pragma once

namespace robinrun {

/// \brief Rate limit of a calling group over all nodes together.
struct GroupRate {
    double callsPerSecond = 0; ///< 0 means no limit.
    double burst = 0; ///< Calls allowed in addition to callsPerSecond x time.

    bool isBounded() const { return callsPerSecond > 0; }
    bool operator==(const GroupRate&) const = default;
};

} // namespace robinrun
