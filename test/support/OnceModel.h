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

    bool isGood() const { return !keysRunTwice && !falseNotRun && !foreignAnswers; }
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
            table;
        std::function<std::unique_ptr<ClaimFold>()> fold;
    };
    static Parts soundParts();

    OnceModel(std::uint64_t seed, Parts parts);
    OnceVerdict run();

private:
    struct Owner {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<TicketTable> table;
        SeenCalls seen { 60s };
        std::map<std::uint64_t, std::vector<int>> waiting; ///< call in hand: attempts to answer
    };
    struct Home {
        std::unique_ptr<ClaimFold> fold;
        std::unique_ptr<ClaimBatcher> batcher;
        std::map<std::uint64_t, std::function<void(ClaimDecision)>> deciders;
        std::uint64_t lastRequest = 0;
        std::uint64_t life = 0; ///< rises with each restart
        Instant pausedUntil {};
        bool isReading = false;
    };
    /// One sending of a call by its caller.
    struct Attempt {
        int key = 0;
        bool isOver = false;
        bool isTold = false;
        bool wasToldNotRun = false;
        bool isOut = false; ///< sent to an owner: no longer provably not run
        bool hasRun = false;
    };
    struct Key {
        bool usesTicket = false;
        std::optional<Ticket> ticket;
        std::int64_t bornMs = 0;
        int runs = 0;
    };

    Duration networkDelay();
    /// \brief Delivers \a f after a random delay; perhaps never, perhaps twice.
    void network(const std::function<void()>& f);
    void schedule();
    void begin(int key);
    void claim(int attempt, const Ticket& minted);
    void decideAt(Home& home, const Claim& claim, std::function<void(ClaimDecision)> decided);
    void tickHome(std::size_t index);
    void readHome(Home& home);
    void sendCall(int attempt, const Ticket& ticket);
    void takeCall(Owner& owner, int attempt, const Ticket& ticket);
    void runCall(Owner& owner, std::uint64_t id, int attempt, const Ticket& ticket);
    void answerAttempt(int attempt, proto::Outcome outcome, int ofKey);
    void tell(int attempt, proto::Outcome outcome);
    void restart(Owner& owner);
    void restart(Home& home);
    Hash128 hashOf(int key) const;
    Owner* ownerOf(const Ticket& ticket);

    VirtualLoop m_loop;
    Random m_random;
    Parts m_parts;
    FakeLog m_log;
    std::vector<Owner> m_owners;
    std::vector<Home> m_homes;
    std::vector<Key> m_keys;
    std::vector<Attempt> m_attempts;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastCall = 0;
    OnceVerdict m_verdict;
};

} // namespace robinrun::support
