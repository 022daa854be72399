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

/// \brief The fate of one claim, for the node that asked.
struct ClaimDecision {
    enum class Kind {
        Won, ///< `winner` holds the key: the asker's own ticket or an earlier one
        TooOld,
        Undecided, ///< the log is out or slow, or over budget
    };
    std::uint64_t requestId = 0;
    Kind kind = Kind::Undecided;
    Ticket winner;
};

/// \brief Gathers the claims of many calls into few appends to one claim stream, and decides them from the
/// stream.
///
/// Only the fold decides: a claim is answered when the stream itself shows who won its key. Two batchers on
/// one stream, a paused one, a lost reply or a record that shows up late change nothing but the number of
/// appends. Cost: O(1) a claim, O(batch) an append.
class ClaimBatcher {
public:
    struct Options {
        std::size_t maxClaimsPerBatch = 200;
        Duration maxBatchDelay = 3ms; ///< how long a claim waits for others
        Duration decisionTimeout = 2s; ///< then it is given up as undecided
    };

    ClaimBatcher(Options options, std::uint64_t incarnation, const std::string& stream);

    /// \brief A claim to decide. \param request number by which decisions() names it.
    void addClaim(std::uint64_t requestId, const Claim& claim, Instant now);

    /// \brief Whether a batch is due: something waits and the oldest has waited long enough.
    bool isBatchDue(Instant now) const;

    /// \brief Makes the next batch to append. The caller keeps the rate of appends.
    std::optional<ClaimBatch> takeNextBatch(Instant now);

    /// \brief The append of batch \a id failed for certain (never taken): its claims wait for the next batch.
    void onAppendFailed(const std::string& batchId, Instant now);

    /// \brief The stream was read further: decides what \a fold now shows. \a batches are the ids just read.
    void onStreamRead(const ClaimFold& fold, const std::vector<std::string>& batchIds, std::int64_t wallMs);

    /// \brief Gives up claims that have waited too long.
    void expireOldClaims(Instant now);

    /// \returns decisions made since the last call.
    std::vector<ClaimDecision> takeDecisions();

    std::size_t pendingCount() const { return m_unsent.size() + m_sent.size(); }

private:
    struct PendingClaim {
        Claim claim;
        Instant requestedAt;
        std::string batchId;
    };
    using PendingClaimMap = std::map<std::uint64_t, PendingClaim>;

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
