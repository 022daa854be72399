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

/// \brief The recorded outcome of a call with a ticket. Every repeat of the call gets the same one.
struct RecordedAnswer {
    /// False if the call was sent to the backend server and its outcome is unknown; it then stays unknown.
    bool isOutcomeKnown = false;
    int statusCode = 0; ///< of HTTP
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// \brief What the owner does with a call that carries a ticket.
enum class TicketAction {
    Run, ///< first use of the ticket: run the call
    Join, ///< the first call with the ticket is queued or running: answer this call together with it
    Replay, ///< the first call has ended: answer with its recorded answer
    Refuse, ///< refuse the call for Decision::reason
};

/// \brief The owner's record of used tickets: each ticket runs at most once, and only in the incarnation that
/// minted it.
///
/// A ticket takes no memory until it is used. Its epoch is the number of whole `epochLength`s between the
/// start of the table and the minting, on the owner's own clock. The record of a ticket is kept until
/// `retainedEpochs` epochs after that; an older ticket is refused as unknown, whether or not it was used.
/// When the table is full, new tickets are refused as not run; a record is never dropped early to make room.
/// Cost: O(1) per call; each record takes its body and headers plus about 300 bytes. New tickets are refused
/// once the records take `maxBytes`.
class TicketTable {
public:
    struct Options {
        Duration epochLength = 60s;
        std::uint64_t retainedEpochs = 10;
        std::size_t maxBytes = 16U << 20U;
    };

    struct Decision {
        TicketAction action = TicketAction::Refuse;
        Reason reason = Reason::None; ///< for Refuse
        bool isNotRun = false; ///< for Refuse: whether the call is known not to have run
        std::shared_ptr<const RecordedAnswer> answer; ///< for Replay
        std::uint64_t firstCallId = 0; ///< for Join: id of the call that got Run for this ticket
    };

    /// \param startTime when epoch 0 begins.
    TicketTable(std::string upstream, std::uint64_t incarnation, Options options, Instant startTime);
    virtual ~TicketTable() = default;

    Ticket mint(Random& random, Instant now) const;

    /// \brief Decides what to do with a call that carries \a ticket. Virtual so that tests can replace it by
    /// a faulty version. \param fingerprint hash of group, method, target and body. A ticket is valid for one
    /// request only: a call with another fingerprint is refused with Reason::TicketMismatch. \param callId
    /// identifies the call in the `firstCallId` of later ones.
    virtual Decision beginCall(const Ticket& ticket, Hash128 fingerprint, std::uint64_t callId, Instant now);

    /// \brief Records the outcome of the call that got Run and was sent to the backend server.
    void recordAnswer(Hash128 nonce, RecordedAnswer answer);

    /// \brief Makes a ticket unused again. To be called if the call that got Run was given up before it was
    /// sent to the backend server.
    void releaseTicket(Hash128 nonce);

    /// \returns the number of tickets with a record.
    std::size_t size() const { return m_entries.size(); }
    std::size_t usedBytes() const { return m_usedBytes; }

private:
    struct Entry {
        Hash128 fingerprint;
        std::uint64_t epoch = 0;
        std::uint64_t firstCallId = 0;
        std::shared_ptr<const RecordedAnswer> answer; ///< null while the call is queued or running
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
