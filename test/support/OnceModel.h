#pragma once

#include "Core/Random.h"
#include "FakeLog.h"
#include "Once/ClaimBatcher.h"
#include "Once/ClaimFold.h"
#include "Once/TicketTable.h"
#include "VirtualLoop.h"
#include "Wire/SeenCalls.h"
#include "peer.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief The result of one run of OnceModel.
struct OnceVerdict {
    int keysRunTwice = 0; ///< must be 0
    int falseNotRun = 0; ///< attempts that ran and were reported as not run; must be 0
    int foreignAnswers = 0; ///< attempts that got the answer of another key; must be 0
    int answered = 0;
    int notRun = 0;
    int unknown = 0;

    bool hasNoViolation() const { return !keysRunTwice && !falseNotRun && !foreignAnswers; }
};

/// \brief Runs the real ticket tables, claim folds and claim batchers over a fake network and a fake log,
/// under one random schedule of calls and faults.
///
/// Callers repeat calls with an idempotency key or a ticket through several ingresses. Messages are delayed,
/// lost, duplicated and reordered. Homes (the nodes that decide claims) are paused and restarted, and both
/// decide claims of the same stream. Owners restart. The log has outages, loses replies, applies appends late
/// and drops records. The same seed gives the same schedule.
class OnceModel {
public:
    /// \brief Factories of the parts under test. A test passes faulty ones to check that the verdict detects
    /// them.
    struct Parts {
        std::function<std::unique_ptr<TicketTable>(
            std::string upstream, std::uint64_t incarnation, Instant now)>
            makeTable;
        std::function<std::unique_ptr<ClaimFold>()> makeFold;
    };
    /// \returns factories of the real parts.
    static Parts correctParts();

    OnceModel(std::uint64_t seed, Parts parts);
    OnceVerdict run();

private:
    struct Owner {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<TicketTable> table;
        SeenCalls seenCalls { 60s };
        /// The attempts to answer when a call has ended, by the id of the call.
        std::map<std::uint64_t, std::vector<int>> waitingAttempts;
    };
    /// \brief A node that decides claims.
    struct Home {
        std::unique_ptr<ClaimFold> fold;
        std::unique_ptr<ClaimBatcher> batcher;
        std::map<std::uint64_t, std::function<void(ClaimDecision)>> decisionCallbacks;
        std::uint64_t lastRequestId = 0;
        std::uint64_t restartCount = 0; ///< callbacks of a former process compare it and return
        Instant pausedUntil {};
        bool isReadInFlight = false;
    };
    /// \brief One request of a caller for a call; a repeat of the call is another attempt.
    struct Attempt {
        int keyIndex = 0;
        bool isAnswered = false;
        bool isTold = false;
        bool wasReportedNotRun = false;
        bool isSentToOwner = false; ///< after that the call may have run
        bool hasRun = false;
    };
    /// \brief A call that callers repeat with the same idempotency key, or with the same ticket.
    struct KeyState {
        bool usesTicket = false;
        std::optional<Ticket> ticket;
        std::int64_t keyCreatedMs = 0;
        int runCount = 0;
    };

    // Attempts and keys are passed as indices of m_attempts and m_keys.

    Duration networkDelay();
    /// \brief Sends a message: runs \a f after a random delay, or never, or twice.
    void deliverUnreliably(const std::function<void()>& f);
    void scheduleCallsAndFaults();
    void startAttempt(int keyIndex);
    void requestClaim(int attempt, const Ticket& minted);
    void requestDecision(Home& home, const Claim& claim, std::function<void(ClaimDecision)> decided);
    void tickHome(std::size_t index);
    void readClaimStream(Home& home);
    void sendCall(int attempt, const Ticket& ticket);
    void receiveCall(Owner& owner, int attempt, const Ticket& ticket);
    void runCall(Owner& owner, std::uint64_t callId, int attempt, const Ticket& ticket);
    void sendAnswer(int attempt, proto::Outcome outcome, int answeredKey);
    void reportOutcome(int attempt, proto::Outcome outcome);
    void restart(Owner& owner);
    void restart(Home& home);
    Hash128 keyHash(int keyIndex) const;
    Owner* findOwner(const Ticket& ticket);

    VirtualLoop m_loop;
    Random m_random;
    Parts m_parts;
    FakeLog m_log;
    std::vector<Owner> m_owners;
    std::vector<Home> m_homes;
    std::vector<KeyState> m_keys;
    std::vector<Attempt> m_attempts;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastCallId = 0;
    OnceVerdict m_verdict;
};

} // namespace robinrun::support
