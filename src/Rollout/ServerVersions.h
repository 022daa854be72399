#pragma once

#include "Core/Hash.h"
#include "Rollout/RolloutSchedule.h"
#include "Rollout/RolloutTable.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief The backend servers of one service during a roll-out, by version.
struct ServerVersions {
    std::uint64_t rollout = 0; ///< id of the order
    std::set<std::string> former;
    std::set<std::string> target;
    std::set<std::string> observed; ///< of the target version, those that get calls while it is observed

    /// \param servers name and version of each server that has not left.
    /// Cost: O(servers * log servers).
    static ServerVersions divide(
        const RolloutTable::Entry& entry, const std::vector<std::pair<std::string, std::string>>& servers)
    {
        ServerVersions out;
        out.rollout = entry.order.id();
        std::vector<std::pair<std::uint64_t, std::string>> ranked;
        for (const auto& [name, version] : servers) {
            if (!entry.isTarget(version)) {
                out.former.insert(name);
                continue;
            }
            out.target.insert(name);
            ranked.emplace_back(hash64(name, out.rollout), name);
        }
        // The same at all nodes that know the same servers.
        std::sort(ranked.begin(), ranked.end());
        const auto n = rolloutSchedule::observedServers(ranked.size(), entry.observedShare);
        for (std::size_t i = 0; i < n; ++i)
            out.observed.insert(ranked[i].second);
        return out;
    }

    /// \returns the servers that a call may not go to. \param isForTarget whether the call was drawn for the
    /// target version.
    std::vector<std::string> excluded(RolloutPhase phase, bool isForTarget) const
    {
        if (!isForTarget)
            return { target.begin(), target.end() };
        std::vector<std::string> out(former.begin(), former.end());
        if (phase == RolloutPhase::Observing)
            std::set_difference(
                target.begin(), target.end(), observed.begin(), observed.end(), std::back_inserter(out));
        return out;
    }
};

} // namespace robinrun
