#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Once/Ticket.h"
#include "Queueing/Refusal.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief What a call with a ticket came to. A repeat gets the same.
struct RecordedAnswer {
    bool isOutcomeKnown = false; ///< false: it was handed over and its outcome is not known, nor ever will be
    int statusCode = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// \brief What the owner is to do with a call that carries a ticket.
enum class TicketAction {
    Run, ///< first use: run it
    Join, ///< it waits or runs already: answer this one with it
    Replay, ///< it has ended: answer with the record
    Refuse, ///< see the reason
};

/// \brief The owner's memory of tickets: each is run at most once, in this incarnation only.
///
/// Nothing is stored for a ticket until it is used. Its epoch says when it was minted on the owner's own
/// clock; a record is kept until `keptEpochs` epochs after that, and a ticket that is older is refused as
/// unknown whether or not it was used. When the table is full, new tickets are refused as not run: a live
/// record is never dropped. Cost: O(1); memory of a record is its body plus about 300 bytes, at most
/// `maxBytes` in all.
class TicketTable {
public:
    struct Options {
        Duration epochLength = 60s;
        std::uint64_t retainedEpochs = 10;
        std::size_t maxBytes = 16U << 20U;
    };

    struct Decision {
        TicketAction action = TicketAction::Refuse;
        Reason reason = Reason::None; ///< of a refusal
        bool isNotRun = false; ///< whether a refusal proves that the call was not run
        std::shared_ptr<const RecordedAnswer> answer; ///< of a replay
        std::uint64_t firstCallId = 0; ///< of a join: the call that was told to run
    };

    TicketTable(std::string upstream, std::uint64_t incarnation, Options options, Instant startTime);
    virtual ~TicketTable() = default;

    Ticket mint(Random& random, Instant now) const;

    /// \brief A call with a ticket came. \param fingerprint of group, method, target and body: a ticket is
    /// good for one request only. \param id of the call, for later joins.
    virtual Decision beginCall(const Ticket& ticket, Hash128 fingerprint, std::uint64_t callId, Instant now);

    /// \brief The call that was told to run has ended, after it was handed to the backend server.
    void recordAnswer(Hash128 nonce, RecordedAnswer answer);

    /// \brief The call that was told to run was given up before it was handed over; the ticket is unused
    /// again.
    void releaseTicket(Hash128 nonce);

    std::size_t size() const { return m_entries.size(); }
    std::size_t usedBytes() const { return m_usedBytes; }

private:
    struct Entry {
        Hash128 fingerprint;
        std::uint64_t epoch = 0;
        std::uint64_t firstCallId = 0;
        std::shared_ptr<const RecordedAnswer> answer; ///< null while it waits or runs
    };

    std::uint64_t epochAt(Instant now) const;
    void evictEpochsBefore(std::uint64_t epoch);
    void eraseEntry(Hash128 nonce);

    std::string m_upstream;
    std::uint64_t m_incarnation;
    Options m_options;
    Instant m_startTime;
    std::size_t m_usedBytes = 0;
    std::unordered_map<Hash128, Entry, Hash128Hasher> m_entries;
    std::set<std::pair<std::uint64_t, Hash128>> m_noncesByEpoch;
};

} // namespace robinrun
