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

/// \brief What a schedule of faults came to.
struct OnceVerdict {
    int keysRunTwice = 0; ///< must be 0
    int falseNotRun = 0; ///< attempts told "not run" that ran; must be 0
    int foreignAnswers = 0; ///< answers of another key's run; must be 0
    int answered = 0;
    int notRun = 0;
    int unknown = 0;

    bool hasNoViolation() const { return !keysRunTwice && !falseNotRun && !foreignAnswers; }
};

/// \brief The at-most-once parts under one random schedule: real tables, folds and batchers; fake network and
/// log.
///
/// Several callers repeat their keyed or ticketed calls through several ingresses; messages are delayed,
/// lost, doubled and reordered; homes are paused, doubled and restarted; owners restart; the log has outages,
/// loses replies, takes appends late and forgets. The same seed gives the same schedule.
class OnceModel {
public:
    /// \brief Makes the parts; a test may hand in broken ones to see that the verdict catches them.
    struct Parts {
        std::function<std::unique_ptr<TicketTable>(
            std::string upstream, std::uint64_t incarnation, Instant now)>
            makeTable;
        std::function<std::unique_ptr<ClaimFold>()> makeFold;
    };
    static Parts correctParts();

    OnceModel(std::uint64_t seed, Parts parts);
    OnceVerdict run();

private:
    struct Owner {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<TicketTable> table;
        SeenCalls seenCalls { 60s };
        std::map<std::uint64_t, std::vector<int>> waitingAttempts; ///< call in hand: attempts to answer
    };
    struct Home {
        std::unique_ptr<ClaimFold> fold;
        std::unique_ptr<ClaimBatcher> batcher;
        std::map<std::uint64_t, std::function<void(ClaimDecision)>> decisionCallbacks;
        std::uint64_t lastRequestId = 0;
        std::uint64_t restartCount = 0; ///< rises with each restart
        Instant pausedUntil {};
        bool isReadInFlight = false;
    };
    /// One sending of a call by its caller.
    struct Attempt {
        int keyIndex = 0;
        bool isAnswered = false;
        bool isTold = false;
        bool wasReportedNotRun = false;
        bool isSentToOwner = false; ///< sent to an owner: no longer provably not run
        bool hasRun = false;
    };
    struct KeyState {
        bool usesTicket = false;
        std::optional<Ticket> ticket;
        std::int64_t keyCreatedMs = 0;
        int runCount = 0;
    };

    Duration networkDelay();
    /// \brief Delivers \a f after a random delay; perhaps never, perhaps twice.
    void deliverUnreliably(const std::function<void()>& f);
    void scheduleCallsAndFaults();
    void startAttempt(int key);
    void requestClaim(int attempt, const Ticket& minted);
    void requestDecision(Home& home, const Claim& claim, std::function<void(ClaimDecision)> decided);
    void tickHome(std::size_t index);
    void readClaimStream(Home& home);
    void sendCall(int attempt, const Ticket& ticket);
    void receiveCall(Owner& owner, int attempt, const Ticket& ticket);
    void runCall(Owner& owner, std::uint64_t id, int attempt, const Ticket& ticket);
    void sendAnswer(int attempt, proto::Outcome outcome, int answeredKey);
    void reportOutcome(int attempt, proto::Outcome outcome);
    void restart(Owner& owner);
    void restart(Home& home);
    Hash128 keyHash(int key) const;
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
