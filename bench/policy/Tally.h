#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace robinrun::bench {

/// \brief What came of the calls of one group.
struct GroupTally {
    std::vector<std::int64_t> latencyUs; ///< a call that failed counts as its whole deadline
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< error or no answer
    Duration slotTime {}; ///< of answered calls
    Duration demand {}; ///< slot time it would have taken to serve all its calls

    /// \returns the quantile in milliseconds.
    double quantileMs(double q)
    {
        if (latencyUs.empty())
            return 0;
        const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(latencyUs.size() - 1));
        std::nth_element(latencyUs.begin(), latencyUs.begin() + at, latencyUs.end());
        return static_cast<double>(latencyUs[static_cast<std::size_t>(at)]) / 1000;
    }
};

/// \brief What came of a run.
struct RunTally {
    std::vector<GroupTally> groups;
    std::uint64_t probes = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t newWorkAfterDrain = 0; ///< calls handed to a draining server more than 2 s after it began

    /// \returns all groups as one, or only the watched one.
    GroupTally merged(const std::vector<bool>& isCounted) const
    {
        GroupTally all;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            if (!isCounted[i])
                continue;
            const auto& it = groups[i];
            all.latencyUs.insert(all.latencyUs.end(), it.latencyUs.begin(), it.latencyUs.end());
            all.answered += it.answered;
            all.refused += it.refused;
            all.failed += it.failed;
        }
        return all;
    }
};

} // namespace robinrun::bench
