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
    std::uint64_t request = 0;
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
        std::size_t maxBatch = 200;
        Duration gather = 3ms; ///< how long a claim waits for others
        Duration decideWithin = 2s; ///< then it is given up as undecided
    };

    ClaimBatcher(Options options, std::uint64_t incarnation, const std::string& stream);

    /// \brief A claim to decide. \param request number by which decisions() names it.
    void request(std::uint64_t request, const Claim& claim, Instant now);

    /// \brief Whether a batch is due: something waits and the oldest has waited long enough.
    bool isDue(Instant now) const;

    /// \brief Makes the next batch to append. The caller keeps the rate of appends.
    std::optional<ClaimBatch> nextBatch(Instant now);

    /// \brief The append of batch \a id failed for certain (never taken): its claims wait for the next batch.
    void appendFailed(const std::string& id, Instant now);

    /// \brief The stream was read further: decides what \a fold now shows. \a batches are the ids just read.
    void streamAdvanced(const ClaimFold& fold, const std::vector<std::string>& batches, std::int64_t wallMs);

    /// \brief Gives up claims that have waited too long.
    void expire(Instant now);

    /// \returns decisions made since the last call.
    std::vector<ClaimDecision> takeDecisions();

    std::size_t waiting() const { return m_unsent.size() + m_sent.size(); }

private:
    struct Pending {
        Claim claim;
        Instant since;
        std::string batch;
    };
    using PendingMap = std::map<std::uint64_t, Pending>;

    bool decide(std::uint64_t request, const Claim& claim, const ClaimFold& fold, std::int64_t wallMs);
    void expireIn(PendingMap& pending, Instant now);

    Options m_options;
    std::string m_prefix;
    std::uint64_t m_batches = 0;
    PendingMap m_unsent;
    PendingMap m_sent;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace robinrun
