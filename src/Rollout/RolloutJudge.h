#pragma once

#include "Rollout/RolloutTable.h"
#include "Rollout/VersionComparison.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Decides on one roll-out from what the owners of the service's backend servers report.
///
/// Any node that gets the reports decides, without asking others. Owners report running totals, so a node
/// that begins to judge in the middle knows all that its predecessors knew after one report of each owner.
/// Cost: O(servers * routes) per decision; about 200 bytes per server and route.
class RolloutJudge {
public:
    /// A backend server of the service that has not left.
    struct Server {
        std::string upstream; ///< its life
        std::string version;
        std::uint32_t slots = 0;
        bool isReachable = true; ///< the link to its owner is not known to be lost
    };

    struct Decision {
        std::optional<RolloutPhase> phase; ///< to go on to; `Completed` once that may be written to the store
        Duration completableFor {}; ///< time since the phase `Completed` was first decided
        std::string cause;
        std::optional<double> observedShare; ///< to raise the share to
        VersionComparison comparison;
    };

    RolloutJudge(RolloutOrder order, RolloutBounds bounds)
        : m_order(std::move(order))
        , m_bounds(bounds)
    {
    }

    /// \brief Takes the totals of one owner. Those of an earlier life of its node are replaced.
    void addReport(const proto::VersionReport& report, Instant now);

    /// \returns what is to be done about the roll-out in the state \a entry.
    Decision decide(const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now);

    const RolloutOrder& order() const { return m_order; }

private:
    struct Report {
        ServerCounts routes;
        std::string version;
        std::uint32_t inFlight = 0;
        RolloutPhase phase = RolloutPhase::Observing;
        Instant receivedAt {};
    };

    VersionComparison compare() const;
    Decision decideObserving(const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now);
    /// \returns whether the servers of the target version can bear the service's calls.
    bool hasCapacity(const RolloutTable::Entry& entry, std::span<const Server> servers) const;
    /// \returns the share for the observation, once the service's calls a second are known; nothing before.
    std::optional<double> shareFor(
        const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now);
    /// \returns whether the former servers may stop.
    bool isCompletable(const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now) const;
    /// \returns whether no call is at a server of the former version and none can come there.
    bool isFormerIdle(const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now) const;

    RolloutOrder m_order;
    RolloutBounds m_bounds;
    std::map<std::string, Report> m_reports; ///< by upstream
    bool m_hasSetShare = false;
    std::optional<Instant> m_completableSince;
};

} // namespace robinrun
