#pragma once

#include "Chart/Leaving.h"
#include "Core/BackendLife.h"
#include "Crashes/CrashDetector.h"
#include "Crashes/RecentSuccesses.h"
#include "Http/HeldBody.h"
#include "Http/HttpPool.h"
#include "Node/BackendReply.h"
#include "Node/NodeContext.h"
#include "Node/Prober.h"
#include "Node/RequestTrail.h"
#include "Node/Timer.h"
#include "Once/TicketTable.h"
#include "Queueing/Admission.h"
#include "Queueing/WorkClock.h"
#include "Wire/PeerSocket.h"
#include "Wire/SeenCalls.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Admits calls to the backend server beside this node, and alone does so.
///
/// Every call gets exactly one answer: answered, not run (given up before it was handed over) or unknown
/// (handed over, and no whole reply came). What it holds is in memory only; after a restart nothing of it is
/// left, and calls meant for the former incarnation are refused.
class Owner {
public:
    /// \brief The sender of a call; answers, cancels and duplicates are matched by its incarnation.
    using Sender = PeerSocket::Sender;
    using Reply = std::function<void(proto::Answer)>;
    /// \brief Informs an ingress that the upstream is leaving or stays.
    using Announce = std::function<void(const Sender& to, bool isLeaving)>;
    /// \brief Informs an ingress that none of its calls with a number above \a highest is run here.
    using SayLast = std::function<void(const Sender& to, std::uint64_t highest)>;
    /// \brief Sends an ingress a load that has changed much.
    using TellLoad = std::function<void(const std::string& address, proto::LoadNews& news)>;

    /// \brief Handles the report of a crash of the backend server, which the CrashTracker already has.
    using TellCrash = std::function<void(const proto::CrashReport& report)>;
    /// \brief Handles an acquittal by a good end, which the CrashTracker already has.
    using TellAcquittal = std::function<void(const proto::CrashAcquittal& acquittal)>;

    /// \brief A run at the backend server that has ended.
    struct EndedRun {
        std::string callClass;
        Duration length {};
        bool isAnswered = false; ///< otherwise it was given up before the server answered
        bool isFailure = false; ///< the server answered with an error of its own
        bool startedCold = false; ///< the server may still have been warming up
    };

    Owner(NodeContext& context, Instant now);
    ~Owner();
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;

    void onAnnounce(Announce announce) { m_announce = std::move(announce); }
    void onLastWord(SayLast say) { m_sayLast = std::move(say); }
    void onLoadChanged(TellLoad tell) { m_tellLoad = std::move(tell); }

    /// \brief Sets a function that is called when the backend server states in an answer that it leaves.
    void onServerLeaving(std::function<void()> tell) { m_tellServerLeaving = std::move(tell); }
    void onCrash(TellCrash tell) { m_tellCrash = std::move(tell); }
    void onAcquittal(TellAcquittal tell) { m_tellAcquittal = std::move(tell); }

    /// \brief Logs which contents are held back after a change of the CrashTracker, and refuses waiting calls
    /// with such a content.
    void onCrashesChanged(Instant now);

    /// Longer bodies are not part of the message: the owner asks for them once it has room.
    static constexpr std::size_t longestInlineBody = 64U << 10U;

    /// \brief Handles a call. \a reply is called with exactly one answer, possibly before this returns;
    /// before that it may be called to ask for parts of the body (`wanted_bytes`).
    /// \param body where the message has none because the ingress is beside this owner.
    void take(const proto::Call& call, const Sender& sender, Reply reply, Instant now,
        const SharedBody& body = nullptr);

    /// \brief Handles a part of a call's body.
    void takeBodyPart(const Sender& sender, const proto::BodyPart& part, Instant now);

    /// \brief Handles the cancellation of a call: frees its place in the queue, and its slot if the run may
    /// be cut off.
    void cancel(const Sender& sender, std::uint64_t number, Instant now);

    /// \brief Announces that this node will stop at \a end: calls that may run beyond that are refused as not
    /// run, the others are admitted until beginEnd().
    void setEnd(Instant end) { m_end = end; }

    /// \brief Stops running calls that arrive from now on and informs the ingresses. This cannot be undone in
    /// this incarnation of the node, because ingresses rely on it.
    void beginEnd(Instant now);

    /// \brief Answers all calls now, those that run as unknown.
    void endCalls(Instant now);

    /// \brief Applies a changed configuration.
    void configure(Instant now);

    /// \brief Sets or clears a sign of leaving.
    void setSign(LeavingSign sign, bool isSet, Instant now);

    /// \brief Marks the backend server as reachable because of something else than an answered call.
    void onSignOfLife(Instant now) { setDown(false, now); }
    /// \brief Handles the remaining cold time \a left in an announcement of the current life; zero: it is
    /// warm.
    void onAnnouncedWarmUp(Duration left, Instant now);
    /// \brief As onAnnouncedWarmUp(), from the answer to a health request that was sent at \a asked.
    void onHealthAnswerWarmUp(Duration left, Instant asked, Instant now);
    /// \brief Handles the \a limit in requests per second that the health answer names by which the server
    /// was found.
    void onHealthAnswerRateLimit(double limit, Instant now);
    /// \brief Treats the server as cold until a health answer says otherwise, and sends a health request: the
    /// server may have turned cold while this node stood still.
    void markWarmUpUncertain(Instant now);
    bool isBackendDown() const { return m_isDown; }

    /// \returns connections to the backend server opened so far.
    std::uint64_t connectionsOpened() const { return m_pool ? m_pool->opened() : 0; }

    /// \brief Timed work: probes, the end of a drain, forgetting.
    void tick(Instant now);

    bool isIdle() const { return m_admission.isIdle(); }

    /// \returns the running call with the caller's id \a requestId; null if there is none.
    const proto::Call* running(const std::string& requestId) const;

    /// \brief Counts a call to \a service that the backend server makes for the running call with the
    /// caller's id \a requestId. \returns whether such a call runs.
    bool countNestedCall(const std::string& requestId, const std::string& service);
    /// \returns how many calls its backend server has made so far for the running call of \a requestId.
    std::uint32_t nestedCalls(const std::string& requestId) const;
    LifeState lifeState() const { return m_leaving.state(); }
    /// In logs and metrics: the backend server names no limit.
    static constexpr double noServerLimit = -1;
    /// \returns the requests per second that the backend server accepts; nothing if it names no limit.
    std::optional<double> serverLimit() const { return m_admission.rateLimit().requestsPerSecond(); }
    LoadReport load(Instant now) const { return m_admission.load(now); }
    const std::string& upstream() const { return m_context->settings.upstream; }
    /// \returns the calls that run or wait here.
    std::size_t callsInHand() const { return m_calls.size(); }

    /// \brief Sets a function that is called at the end of each run at the current life of the backend
    /// server.
    void onRunEnded(std::function<void(const EndedRun&)> f) { m_runEnded = std::move(f); }

private:
    /// Of one answer in the share of failed ones: the last 20 or so count.
    static constexpr double errorSampleWeight = 0.05;

    using CallKey = std::pair<std::uint64_t, std::uint64_t>; ///< sender's life, its number of the call

    struct CallRecord {
        proto::Call call;
        SharedBody body; ///< null if the call has it
        Sender sender;
        std::vector<std::pair<Sender, Reply>> replies; ///< more than one where a ticket was repeated
        std::vector<std::uint64_t> numbers; ///< the call number each reply answers
        Instant arrived {};
        Instant started {};
        Instant deadline {};
        bool isRunning = false;
        bool startedCold = false; ///< see EndedRun
        bool isRepeatable = true;
        bool isByRoute = false;
        /// Calls that the backend server made for it, by service.
        std::map<std::string, std::uint32_t> nested;
        RequestTrail trail;
        HttpPool* pool = nullptr; ///< while running
        std::uint64_t request = 0; ///< its number there
    };

    /// \returns whether this owner's backend server is the life that \a key names, or any of its id.
    bool isMeantBy(const std::string& key) const;
    /// \brief Switches to another address or another life of the backend server and discards what was learnt
    /// of the former one.
    void turnTo(const UpstreamInfo& info, Instant now);
    /// \param isBodyShared whether the body was handed over beside the message.
    Reason faultOf(const proto::Call& call, const Sender& sender, bool isBodyShared, Instant now);
    /// \returns whether a roll-out of the service withholds this server's version from \a call.
    bool isVersionWithheld(const proto::Call& call, Instant now) const;
    void reportRunEnd(const CallRecord& record, bool isAnswered, bool isFailure, Instant now) const;
    /// \returns when the time of \a call is over, if it arrives at \a now.
    static Instant deadlineOf(const proto::Call& call, Instant now);
    /// \returns the standstill that this node wakes from, if it was so long that peers have given its links
    /// up, and with them all calls that were out to it.
    std::optional<Standstill> lostLinksIn(Instant now) const;
    /// \returns whether \a call was under way when its sender gave the link up.
    bool isGivenUp(const proto::Call& call, const Sender& sender, Instant now) const;
    /// \brief Refuses calls that waited here while their senders closed the links: their answers are not
    /// awaited any more.
    void refuseGivenUp(Instant now);
    CrashSuspect suspectOf(const CallRecord& record, Instant now) const;
    /// \returns what runs on the backend server over \a pool.
    std::vector<CrashSuspect> runningOn(const HttpPool& pool, Instant now) const;
    /// \brief Updates crash detection and recent successes after the end of a run.
    void noteRunEnd(const CallRecord& record, const Result<HttpReply, HttpError>& result,
        const proto::Answer& answer, Instant now);
    /// \brief Refuses waiting calls whose content is held back.
    void refuseHeld(Instant now);
    void onRunBroken(const CallRecord& record, Instant now);
    /// \brief Handles that nothing listens at the backend server's address.
    void backendRefused(Instant now);
    void onRunSucceeded(const CallRecord& record, Instant now);
    /// \param life of the backend server that has crashed.
    void reportCrash(const std::string& life, const std::vector<CrashSuspect>& suspects, Instant now);
    /// \returns how long \a call is held back for crashes of servers that ran the same; nothing if it may run
    /// here.
    std::optional<Duration> heldBack(const proto::Call& call, const SharedBody& body, Instant now) const;
    /// \returns whether this owner is the one that tries \a content, and does not yet.
    bool mayTry(ContentId content) const;
    /// \brief Ends the calls that run at a former life of the server as unknown.
    void endRuns(HttpPool& pool, Instant now);
    /// \returns whether a call would run at once, on a backend server that isn't slowed down.
    bool isReadyAtOnce(Instant now) const;
    /// \returns whether a call that is to run at once or not at all is better off with the next slot that
    /// comes free here than asked for elsewhere: nothing goes before it, while others would get the slot
    /// meanwhile.
    bool goesNext(const proto::Call& call, Instant now) const;
    /// Where a call by route goes in the queue.
    struct Place {
        std::uint32_t rank = 0;
        std::uint32_t priority = 0;
    };
    Place placeOf(const proto::RouteTerms& terms) const;
    /// A call whose body is on its way.
    struct AwaitedBody {
        proto::Call call;
        Sender sender;
        Reply reply;
        Instant deadline {};
        Instant asked {}; ///< for its next part
        HeldBody body;
    };
    /// \brief Takes room for the body of \a call and asks for it.
    void awaitBody(const proto::Call& call, const Sender& sender, Reply reply, Instant now);
    static void askForPart(AwaitedBody& awaited, Instant now, std::uint64_t incarnation);
    /// \brief Refuses a call whose body is awaited.
    void giveUpBody(const CallKey& key, Reason reason, Instant now);
    void giveUpBodies(Reason reason, Instant now);
    /// \brief Gives up the bodies of which no part has come in time.
    void giveUpSilentBodies(Instant now);
    /// \returns why a call whose body has come is not run now.
    Reason faultOf(const AwaitedBody& awaited, Instant now) const;
    /// \brief Handles a call that is there whole and without fault.
    void takeWhole(
        const proto::Call& call, const Sender& sender, Reply reply, const SharedBody& body, Instant now);
    void mint(const proto::Call& call, const Sender& sender, const Reply& reply, Instant now);
    void takeTicket(
        const proto::Call& call, const Sender& sender, Reply reply, const SharedBody& body, Instant now);
    /// \brief Answers a repeated ticket with the recorded answer of its call.
    void replay(const proto::Call& call, const Sender& sender, const Reply& reply,
        const RecordedAnswer& recorded, Instant now);
    void admit(
        const proto::Call& call, const Sender& sender, Reply reply, const SharedBody& body, Instant now);
    CallRecord recordOf(const proto::Call& call, const Sender& sender, Reply reply, Instant now) const;
    void noteQueued(CallRecord& record, const OfferedCall& offer, Instant now) const;
    void act(const AdmissionResult& dispatch, Instant now);
    OfferedCall offerOf(std::uint64_t id, const CallRecord& record, Instant now);
    void noteEnd(CallRecord& record, const proto::Answer& answer, Instant now);
    void run(std::uint64_t id, Instant now);
    /// \param record of the call that \a reply answers.
    proto::Answer answerOf(HttpReply& reply, const CallRecord& record, Instant now);
    static proto::Answer answerOf(HttpError error);
    /// \brief Applies what a reply of the current life of the backend server states about the server.
    void learn(const HttpReply& reply, const CallRecord& record, Instant now);
    /// \brief The answer to a request that carries a statement of the backend server.
    struct StatementOrigin {
        RateLimitSource source = RateLimitSource::CallAnswer;
        Instant askedAt {}; ///< when the request was sent
        std::string_view requestId; ///< "" for health requests
    };
    /// \brief Takes what the current life of the backend server states about itself.
    void takeStatement(const BackendStatement& statement, const StatementOrigin& origin, Instant now);
    /// \brief Takes the statement of a health answer that came over \a pool, unless another life gave it.
    void takeHealthStatement(const ProbeNews& news, const HttpPool* pool, Instant askedAt, Instant now);
    /// \brief Takes the limit that the ingress of \a call heard from the backend server, possibly before this
    /// incarnation of the owner began.
    void takeReportedLimit(const proto::Call& call, Instant now);
    void logHeaderFaults(const BackendStatement& statement, std::string_view requestId);
    /// \brief Sends the changed limit to ingresses, and refuses or starts waiting calls accordingly.
    void rateLimitChanged(std::optional<double> before, const StatementOrigin& origin, Instant now);
    void logRateLimit(std::optional<double> before, const StatementOrigin& origin) const;
    /// \brief The backend server states that it will stop.
    void serverLeaves(const StatementOrigin& origin, Instant now);
    void setSlowdown(double slowdown, Instant now);
    void setDown(bool isDown, Instant now);
    /// \brief Logs that the server has turned cold or warm, tells ingresses and starts what may start.
    void onWarmUpChanged(Instant now);
    /// \brief Schedules the start of calls that wait for a cold server.
    void resumeInTime(Instant now);
    /// \returns whether a health request is due because nothing else shows the server's state.
    bool asksHealth(const LoadReport& load, Instant now) const;
    /// \brief Logs the limit on calls that run at once, if it has changed.
    void logLimit();
    void sendLoad(Instant now);
    void probeBackend(Instant now);
    /// \brief Sends a health request to the backend server. Needs a pool.
    void probe(Instant now);
    void ended(std::uint64_t id, Result<HttpReply, HttpError> result, Instant now);
    /// \brief Cuts off a run whose answer is not awaited any more.
    void breakOff(std::uint64_t id, Reason reason, Instant now);
    void refuse(const Refusal& refusal, Instant now);
    void refuseAtOnce(const proto::Call& call, const Sender& sender, const Reply& reply, Reason reason,
        bool isNotRun, Instant now, Duration retryAfter = {});
    void answerAll(CallRecord& record, proto::Answer answer, Instant now);
    /// \returns the load report for the node incarnation \a senderLife and its calls of \a group.
    proto::Load makeLoad(std::uint64_t senderLife, const std::string& group, Instant now) const;
    void addLoad(proto::Answer& answer, const Sender& sender, const std::string& group, Instant now) const;
    void recordTicket(const CallRecord& record, const proto::Answer& answer);
    void lifeChanged(LifeState state, Instant now);
    /// \brief Sends the last word to \a to, once per incarnation of it.
    void sendLastWord(const Sender& to);
    const ServiceInfo* service() const;
    HttpRequest requestOf(const CallRecord& record, Instant now) const;

    NodeContext* m_context;
    Admission m_admission;
    TicketTable m_tickets;
    SeenCalls m_seen;
    Leaving m_leaving;
    Prober m_prober; ///< declared before the pools, whose callbacks refer to it
    std::vector<std::unique_ptr<HttpPool>> m_formerPools;
    std::unique_ptr<HttpPool> m_pool;
    std::string m_backendAddress;
    std::string m_boundUpstream; ///< that the pool's connections are meant for
    CrashDetector m_crashWatch;
    RecentSuccesses m_goodEnds;
    std::set<ContentId> m_loggedHolds;
    std::function<void()> m_tellServerLeaving;
    std::function<void(const EndedRun&)> m_runEnded;
    TellCrash m_tellCrash;
    TellAcquittal m_tellAcquittal;
    Announce m_announce;
    TellLoad m_tellLoad;
    SayLast m_sayLast;
    bool m_isEnding = false;
    std::set<std::uint64_t> m_toldLast; ///< lives of ingresses that got the last word
    bool m_isDown = false;
    unsigned m_unreached = 0; ///< connections in a row that could not be made
    double m_toldSlowdown = 1;
    std::optional<double> m_toldServerLimit;
    bool m_isServerLeaving = false; ///< the current life has said so in an answer
    std::string m_loggedHeaderFaults; ///< fields and values of the last answer that had any
    std::uint32_t m_loggedLimit = 0;
    std::optional<Instant> m_end; ///< of this process, once it is known
    Instant m_nextProbe {};
    bool m_loggedCold = false;
    Timer m_resumeTimer; ///< until a call that waits for a cold server may start
    std::optional<Instant> m_resumesAt;
    std::optional<Instant> m_loadHeard; ///< when the backend server last told its slow-down
    std::string m_serviceId;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, CallRecord> m_calls;
    std::map<CallKey, std::uint64_t> m_idByKey;
    std::map<CallKey, AwaitedBody> m_awaitedBodies;
    std::map<std::pair<std::uint64_t, std::string>, std::uint32_t>
        m_bySender; ///< calls in hand, by sender and group
    struct Ingress {
        Sender sender;
        Instant lastCall {};
        std::string group;
    };
    std::unordered_map<std::string, Ingress> m_ingresses; ///< by node; told when this upstream leaves
    Ewma m_errors;
    Interner m_classNumbers;
    /// Ids here of the calls that run, by their callers' ids.
    std::unordered_multimap<std::string, std::uint64_t> m_runningRequests;
};

} // namespace robinrun
