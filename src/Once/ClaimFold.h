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

/// \brief Binds an idempotency key to a ticket. The first claim of a key by offset wins, for everybody, for
/// ever.
struct Claim {
    Hash128 keyHash; ///< hash of group, service and the caller's key
    std::int64_t keyCreatedMs = 0; ///< from the key itself
    Ticket ticket;
};

/// \brief One record of a claim stream: claims of several calls.
struct ClaimBatch {
    std::string id; ///< chosen by its writer
    std::vector<Claim> claims;

    std::string serialize() const;
    static std::optional<ClaimBatch> parse(std::string_view record);
};

/// \brief What a claim stream says of a key.
struct ClaimStatus {
    enum class Kind {
        Unclaimed, ///< no claim so far, and none was forgotten
        Won, ///< by `winner`
        TooOld, ///< a claim may have been forgotten
    };
    Kind kind = Kind::TooOld;
    Ticket winner;
};

/// \brief Folds one claim stream, record by record in the order of offsets.
///
/// All nodes that fold the same records agree. A key that is older than what the fold has seen in full is
/// `TooOld`: its claim may have been made and forgotten. Claims are dropped from memory once their keys are
/// `TooOld` by age. Cost: O(1) a claim; about 180 bytes a key.
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

    /// \brief Takes what was read from nextOffset() on. \returns ids of the batches in it.
    std::vector<std::string> applyPage(const LogPage& page, std::int64_t wallMs);

    ClaimStatus status(Hash128 keyHash, std::int64_t keyCreatedMs, std::int64_t wallMs) const;

    std::uint64_t nextOffset() const { return m_nextOffset; }
    bool hasAppliedPage() const { return m_hasAppliedPage; }
    std::size_t size() const { return m_winners.size(); }

protected:
    /// \brief Enters a claim unless its key has one already. Virtual for tests that break it on purpose.
    virtual void recordClaim(const Claim& claim);

    struct Winner {
        Ticket ticket;
        std::int64_t keyCreatedMs;
    };
    std::unordered_map<Hash128, Winner, Hash128Hasher> m_winners;

private:
    void updateReadPosition(const LogPage& page, std::int64_t wallMs);
    bool hasCompleteHistoryFor(std::int64_t keyCreatedMs) const;
    void evictExpiredClaims(std::int64_t wallMs);
    std::int64_t keyLifetimeMs() const;
    std::int64_t maxClockSkewMs() const;

    Options m_options;
    std::string m_logId;
    std::uint64_t m_nextOffset = 0;
    bool m_hasAppliedPage = false;
    std::int64_t m_historyCompleteSinceMs = 0;
    std::int64_t m_lastEvictionMs = 0;
};

} // namespace robinrun
