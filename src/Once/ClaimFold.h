#pragma once

#include "Core/Hash.h"
#include "Core/Time.h"
#include "Once/Ticket.h"
#include "Platform/AppendLog.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief A request to bind an idempotency key to a ticket. The claim of a key with the lowest offset in the
/// claim stream wins on every node, permanently.
struct Claim {
    Hash128 keyHash; ///< hash of group, service and the caller's idempotency key
    std::int64_t keyCreatedMs = 0; ///< when the key was created, ms since 1970; read from the key itself
    Ticket ticket;
};

/// \brief One record of a claim stream: the claims of several calls.
struct ClaimBatch {
    std::string id; ///< chosen by the writer, unique
    std::vector<Claim> claims;

    std::string serialize() const;
    /// \returns nothing if \a record is not a valid ClaimBatch message.
    static std::optional<ClaimBatch> parse(std::string_view record);
};

/// \brief The state of an idempotency key according to a claim stream.
struct ClaimStatus {
    enum class Kind {
        Unclaimed, ///< the stream holds no claim of the key, and none can have been dropped
        Won, ///< the key is bound to `winner`
        TooOld, ///< undecidable: a claim may have been dropped, or the key's creation time is not plausible
    };
    Kind kind = Kind::TooOld;
    Ticket winner; ///< set if `kind` is Won
};

/// \brief Folds the records of one claim stream in the order of offsets.
///
/// All nodes that fold the same records agree on each key's winner. A key that was created before the start
/// of the history that the fold has seen completely is `TooOld`: the log may have dropped an earlier claim of
/// it. The fold drops claims from memory once their keys have passed `keyLifetime`. Cost: O(1) per claim;
/// about 180 bytes per key.
class ClaimFold {
public:
    struct Options {
        Duration keyLifetime = 600s; ///< keys older than this are refused
        Duration maxClockSkew = 2s; ///< largest difference between any two wall clocks
    };

    explicit ClaimFold(Options options)
        : m_options(options)
    {
    }
    virtual ~ClaimFold() = default;

    /// \brief Applies a page that was read from nextOffset() on. Records that were applied before are
    /// skipped. \param wallMs wall-clock time, ms since 1970. \returns the ids of the batches applied.
    std::vector<std::string> applyPage(const LogPage& page, std::int64_t wallMs);

    /// \param keyCreatedMs when the key was created; \param wallMs the wall-clock time; both in ms since
    /// 1970.
    ClaimStatus status(Hash128 keyHash, std::int64_t keyCreatedMs, std::int64_t wallMs) const;

    /// \returns the offset to read the stream from.
    std::uint64_t nextOffset() const { return m_nextOffset; }
    bool hasAppliedPage() const { return m_hasAppliedPage; }
    /// \returns the number of keys with a winner in memory.
    std::size_t size() const { return m_winners.size(); }

protected:
    /// \brief Records a claim unless its key already has a winner. Virtual so that tests can replace it by a
    /// faulty version.
    virtual void recordClaim(const Claim& claim);

    struct Winner {
        Ticket ticket;
        std::int64_t keyCreatedMs;
    };
    std::unordered_map<Hash128, Winner, Hash128Hasher> m_winners;

private:
    /// \brief Updates the read position and the start of the complete history: skips records that the log has
    /// dropped, and starts over if the log was replaced.
    void updateReadPosition(const LogPage& page, std::int64_t wallMs);
    /// \returns whether the fold has seen every claim that a key created at this time can have.
    bool hasCompleteHistoryFor(std::int64_t keyCreatedMs) const;
    void evictExpiredClaims(std::int64_t wallMs);
    std::int64_t keyLifetimeMs() const;
    std::int64_t maxClockSkewMs() const;

    Options m_options;
    std::string m_logId;
    std::uint64_t m_nextOffset = 0;
    bool m_hasAppliedPage = false;
    std::int64_t m_historyCompleteSinceMs = 0; ///< every record appended since this wall-clock time was seen
    std::int64_t m_lastEvictionMs = 0;
};

} // namespace robinrun
