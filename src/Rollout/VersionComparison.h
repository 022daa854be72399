#pragma once

#include "Rollout/VersionEvidence.h"

#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief How the target version of a roll-out compares with the former one.
enum class VersionVerdict {
    Undecided, ///< too few calls were run by the target version
    Comparable, ///< no sign that the target version is worse
    Suspect, ///< signs that it is worse, too weak to be sure
    Worse,
};

struct VersionComparison {
    VersionVerdict verdict = VersionVerdict::Undecided;
    std::string cause; ///< of `Worse` and `Suspect`: the route, and what is worse there
    std::uint64_t targetRuns = 0;
};

/// Counts of one backend server, by route.
using ServerCounts = std::map<std::string, RouteCounts>;

/// \brief Compares two versions by the calls that their backend servers ran at the same time.
///
/// Each route is compared by itself and all routes together, so a fault of one route shows. A version is
/// worse if its share of failures is too large to be chance under the other version's share, or if its time
/// per call is a multiple. Both are bounded at a probability of 1e-6 per look under the hypothesis that the
/// versions are equal, so that hundreds of looks at a dozen routes call a good version worse less than once
/// in a hundred roll-outs. A difference that vanishes without the worst server of the target version is a
/// fault of that server and does not count, except where that is the version's only server.
/// Cost: O(servers * routes).
VersionComparison compareVersions(
    const std::vector<ServerCounts>& former, const std::vector<ServerCounts>& target);

namespace internal {

    /// \returns an upper bound on the logarithm of the probability of at least \a k successes among \a n
    /// independent trials that each succeed with probability \a p; 0 where the bound tells nothing. (Chernoff
    /// bound in its relative-entropy form.)
    double logBinomialTailBound(double k, double n, double p);

} // namespace internal

} // namespace robinrun
