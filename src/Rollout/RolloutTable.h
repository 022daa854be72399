#pragma once

#include "Core/Result.h"
#include "Rollout/RolloutOrder.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief The newest roll-out of each service, as one node knows it.
///
/// Orders come from the store or from other nodes, in any order: the newest by its position in the store is
/// valid. The phases of one order only advance, so all nodes reach the same state whatever messages are
/// lost, late or doubled. RolloutPhase::Completed is taken only from a node that has read or written it in
/// the store, where a roll-out ends once: so it counts above a roll-back that the store does not hold.
/// Cost: O(log services) per look-up; about 300 bytes per service that ever had a roll-out.
class RolloutTable {
public:
    struct Entry {
        RolloutOrder order;
        RolloutPhase phase = RolloutPhase::Observing;
        Instant orderedAt {}; ///< as early as any node knows
        Instant phaseSince {};
        double observedShare = 0; ///< share of calls for the target version while it is observed
        bool isStatusWritten = false; ///< the store holds the outcome of this phase
        std::string cause; ///< why the roll-out was rolled back; ""

        /// \returns whether \a version is the target version. A server whose version is not known counts as
        /// one of the target version, which gets fewer calls.
        bool isTarget(std::string_view version) const
        {
            return version.empty() || version == order.targetVersion;
        }
        /// \returns the share of the service's calls that the target version gets now.
        double shareAt(Instant now) const;
    };

    /// How the store's records are read; see MeshFormats.
    struct Parsers {
        /// \returns the service that the record with this key orders a roll-out of; nothing for other
        /// records.
        std::function<std::optional<std::string>(std::string_view key)> parseKey;
        std::function<Result<RolloutOrder, std::string>(const std::string& service, std::string_view text)>
            readOrder;
        /// Called for each order that cannot be read, with the service and the error.
        std::function<void(const std::string& service, const std::string& error)> onUnreadable;
    };

    /// Former servers get no calls for this long after a roll-out was completed; then they have stopped.
    static constexpr Duration completedRestriction = 15s;
    /// Roll-outs that have ended are sent to contacts for this long.
    static constexpr Duration finalTellTime = 10s;

    explicit RolloutTable(RolloutBounds bounds = {})
        : m_bounds(bounds)
    {
    }

    /// \brief Applies a page of records from the store.
    /// \returns whether any roll-out has changed.
    bool applyPage(const KeyedPage& page, const Parsers& parsers, Instant now);

    /// \brief Applies a record of another node.
    /// \returns whether any roll-out has changed.
    bool applyRecord(const proto::RolloutRecord& record, Instant now);

    /// \brief Brings the roll-out \a id to \a phase. Does nothing if it is there, beyond it or replaced.
    /// \returns whether it has changed.
    bool advance(std::uint64_t id, RolloutPhase phase, const std::string& cause, Instant now);

    /// \brief Raises the share of the calls for the target version while the roll-out \a id is observed. The
    /// largest share of all nodes is valid.
    void raiseObservedShare(std::uint64_t id, double share);

    /// \brief Notes that the store holds \a outcome of the roll-out \a id, which may differ from what this
    /// node has decided.
    /// \returns whether the phase has changed.
    bool setStatusWritten(std::uint64_t id, RolloutOutcome outcome, Instant now);

    /// \brief Makes the status of all roll-outs due again, since the store has been restored from an older
    /// copy.
    void forgetWrittenStatus();

    /// \returns the newest roll-out of \a service; null if there is none.
    const Entry* find(std::string_view service) const;
    const Entry* find(std::uint64_t id) const;
    /// \returns the roll-out of \a service if it restricts which servers get calls; null otherwise.
    const Entry* findRestricting(std::string_view service, Instant now) const;
    const std::map<std::string, Entry, std::less<>>& entries() const { return m_entries; }
    bool hasRunning() const;

    /// \returns a digest of all roll-outs and their phases, never 0. Equal digests mean equal roll-outs.
    /// Cost: O(roll-outs).
    std::uint64_t digest() const;

    /// \returns the roll-outs for another node: \a isWhole all, otherwise those that run or ended a moment
    /// ago.
    proto::RolloutRecords records(bool isWhole, Instant now) const;

private:
    bool replace(const RolloutOrder& order, Instant orderedAt, Instant now);
    bool withdraw(Entry& entry, Instant now);
    Entry* findEntry(std::uint64_t id);
    static void setPhase(Entry& entry, RolloutPhase phase, const std::string& cause, Instant since);

    RolloutBounds m_bounds;
    std::map<std::string, Entry, std::less<>> m_entries; ///< by service
};

} // namespace robinrun
