#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Once/ClaimFold.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief The result of one claim, for the node that requested it.
struct ClaimDecision {
    enum class Kind {
        Won, ///< `winner` holds the key: the requester's own ticket or an earlier one
        TooOld, ///< the key can't be decided, see ClaimStatus::Kind::TooOld
        Undecided, ///< the claim timed out: the log is unreachable or slow, or appends are over their budget
    };
    std::uint64_t requestId = 0;
    Kind kind = Kind::Undecided;
    Ticket winner; ///< set if `kind` is Won
};

/// \brief Batches the claims of many calls into few appends to one claim stream, and decides them from what
/// is read back from the stream.
///
/// Only the ClaimFold decides: a claim is answered when the stream itself shows which claim won its key. Two
/// batchers on one stream, a paused batcher, a lost reply to an append or a record that appears late
/// therefore change only the number of appends, never a decision. Cost: O(1) per claim, O(batch) per append.
class ClaimBatcher {
public:
    struct Options {
        std::size_t maxClaimsPerBatch = 200;
        Duration maxBatchDelay = 3ms; ///< the longest time that a claim waits for others to share its batch
        Duration decisionTimeout = 2s; ///< a claim without a decision after this time becomes Undecided
    };

    /// \param incarnation of this node, and \param stream name of the claim stream; both go into the ids of
    /// batches, so that no two batchers use the same id.
    ClaimBatcher(Options options, std::uint64_t incarnation, const std::string& stream);

    /// \brief Adds a claim to decide. \param requestId identifies the claim in takeDecisions(); unique among
    /// pending claims.
    void addClaim(std::uint64_t requestId, const Claim& claim, Instant now);

    /// \returns whether a batch should be appended now: enough claims are unsent for a full batch, or the
    /// first of them has waited for `maxBatchDelay`.
    bool isBatchDue(Instant now) const;

    /// \returns the next batch to append, or nothing if none is due. The caller limits the rate of appends.
    std::optional<ClaimBatch> takeNextBatch(Instant now);

    /// \brief Returns the claims of batch \a batchId to the unsent ones. To be called only if the append
    /// certainly took no effect.
    void onAppendFailed(const std::string& batchId, Instant now);

    /// \brief Decides the pending claims after more of the stream has been read.
    /// \param fold the state after that read.
    /// \param batchIds ids of the batches just read.
    /// \param wallMs wall-clock time, ms since 1970.
    void onStreamRead(const ClaimFold& fold, const std::vector<std::string>& batchIds, std::int64_t wallMs);

    /// \brief Decides all claims older than `decisionTimeout` as Undecided.
    void expireOldClaims(Instant now);

    /// \returns the decisions made since the last call.
    std::vector<ClaimDecision> takeDecisions();

    /// \returns the number of claims without a decision.
    std::size_t pendingCount() const { return m_unsent.size() + m_sent.size(); }

private:
    struct PendingClaim {
        Claim claim;
        Instant requestedAt;
        std::string batchId; ///< empty until the claim is sent
    };
    using PendingClaimMap = std::map<std::uint64_t, PendingClaim>; ///< by request id

    /// \returns whether \a fold decides the claim; the decision is then queued.
    bool tryDecide(std::uint64_t requestId, const Claim& claim, const ClaimFold& fold, std::int64_t wallMs);
    void expirePending(PendingClaimMap& pending, Instant now);

    Options m_options;
    std::string m_batchIdPrefix;
    std::uint64_t m_batchCount = 0;
    PendingClaimMap m_unsent;
    PendingClaimMap m_sent;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace robinrun
