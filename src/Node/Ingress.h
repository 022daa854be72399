#pragma once

#include "Chart/Charts.h"
#include "Control/Membership.h"
#include "Http/HeldBody.h"
#include "Http/HttpServer.h"
#include "Node/BackendNotices.h"
#include "Node/CallRequest.h"
#include "Node/ClaimService.h"
#include "Node/LastWords.h"
#include "Node/NodeContext.h"
#include "Node/Owner.h"
#include "Node/PeerLinks.h"
#include "Node/RequestTrail.h"
#include "Node/Timer.h"
#include "Rates/GroupRateLimiter.h"
#include "Rollout/ServerVersions.h"
#include "Routing/CallSizeEstimate.h"
#include "Routing/NestedCallEstimate.h"
#include "Routing/OwnerClock.h"
#include "Routing/ServiceRouter.h"
#include "peer.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Accepts calls, chooses upstreams and answers each caller with the answer to its own call.
///
/// The states of a call are those of the state chart `call`. A call is answered "not run" only if no attempt
/// is pending that may have reached a backend server: each attempt ends with its owner's answer or is lost,
/// and a lost attempt makes the outcome unknown unless the call may be repeated.
class Ingress {
public:
    /// \param claims null where callers give no idempotency keys. \param members null where each node may
    /// keep connections to all upstreams.
    Ingress(
        NodeContext& context, Owner& owner, ClaimService* claims, const Membership* members, SendToPeer send);
    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    /// \brief Handles a complete request of a caller.
    void take(std::unique_ptr<HttpExchange> exchange, Instant now);

    /// \brief Handles an owner's answer from the node \a node.
    void takeAnswer(const std::string& node, proto::Answer& answer, Instant now);

    /// \brief Handles an owner's message that its upstream leaves or stays.
    void takeLeaving(const proto::Leaving& leaving, Instant now);

    /// \brief Handles the last word of the owner \a sender: which calls of this ingress it has received.
    void takeLastWord(const Owner::Sender& sender, const proto::LastWord& word);

    /// \brief Handles a load report that an owner sent without a call.
    void takeLoad(const proto::LoadNews& news, Instant now);

    /// \brief Handles the end of the link to the node at \a address: attempts pending there get no answer.
    void peerLost(const std::string& address, Instant now);

    /// \brief Makes an upstream available whose node has restarted or can be reached again.
    void reactivate(const std::string& upstream, Instant now);

    /// \brief Applies a change of the configuration or of the members.
    void configure(Instant now);

    /// \brief Until there is a configuration, calls are refused as not run.
    void setConfigured(bool isConfigured) { m_isConfigured = isConfigured; }

    /// \brief Calls of groups with a rate need a credit from \a rates, which must outlive this.
    void setRateLimiter(GroupRateLimiter& rates);

    /// \brief How many retries one service of this node may save up.
    void setRetryBurst(double burst) { m_retryBurst = burst; }

    /// \brief While draining, new calls are refused as not run, but for those that runs in progress at the
    /// backend server beside this node make.
    void setDraining(bool isDraining) { m_isDraining = isDraining; }

    /// \brief Announces that this node answers all its calls by \a end: those that are not likely to end
    /// before are refused as not run.
    void setEnd(Instant end) { m_end = end; }

    /// \brief Answers all calls now, those that have provably not run as not run.
    void endCalls(Instant now);

    std::size_t inProgress() const { return m_calls.size(); }
    /// \returns the retries that all services' budgets have saved up.
    double savedRetries() const;
    /// \returns how old the last news of an upstream is, on average over those that were heard of.
    Duration meanNewsAge(Instant now) const;
    const std::unordered_map<std::string, std::unique_ptr<ServiceRouter>>& routers() const
    {
        return m_routers;
    }

private:
    /// A retry that the budgets have paid for; given back once at most, since it is in one place at a time.
    struct PaidRetry {
        std::map<std::string, double> nested; ///< calls charged to other services, by service
    };
    /// One message to one owner.
    struct Attempt {
        std::uint64_t number = 0;
        std::string upstream;
        std::string node; ///< the host whose answer counts
        std::string address; ///< of that node; "" for this one
        std::uint64_t ownerIncarnation = 0;
        Instant sent {};
        double slowdown = 1; ///< of the upstream, as known when sent
        Duration workClock {}; ///< of the upstream, when sent
        Duration expected {}; ///< time until the answer, as it was expected when sent
        bool isAsk = false; ///< to run at once or not at all
        std::optional<PaidRetry> paid; ///< nothing for the first attempt, and for those that cost nothing
    };
    struct Call {
        std::unique_ptr<HttpExchange> exchange;
        SharedBody body;
        CallState state {};
        CallRequest request;
        std::uint64_t configVersion = 0; ///< by which its credential was looked up last
        Instant arrived {};
        bool wasUnread = false; ///< it waited unread while this node stood still
        Instant deadline {}; ///< at the earliest: the caller may have sent it while this node stood still
        std::uint32_t attemptsLeft = 0;
        bool isLastNested = false; ///< likely the last call that its parent needs
        std::vector<std::string> tried;
        std::vector<Attempt> out;
        std::uint32_t brokenOff = 0; ///< attempts given up without an answer of theirs
        std::uint32_t arrivals = 0; ///< attempts known to have reached a backend server
        std::optional<PaidRetry> paid; ///< the next attempt's, until that is sent
        std::vector<PaidRetry> spent; ///< of attempts that have ended and may have reached a backend server
        std::optional<RetryDenial> retryDenied; ///< why the last retry asked for was not made
        std::uint32_t freeRefusals = 0; ///< by owners that had not asked their backend server
        std::uint32_t asksLeft = 0; ///< owners still to be asked to run it at once or not at all
        std::vector<std::string> busy; ///< upstreams that could not; chosen again, the call waits there
        std::string awaitedLink; ///< upstream that is waited for while its link is opened; "" for none
        Instant linkAwaitedUntil {};
        bool wasLost = false; ///< an attempt was lost: the outcome may be unknown
        Instant lostAt {}; ///< when the last one was
        Reason lastReason = Reason::None;
        std::uint32_t retryAfterMs = 0;
        std::unique_ptr<proto::Answer>
            failedAnswer; ///< an error of a backend server, kept while others are tried
        std::optional<Ticket> ticket;
        std::optional<CreditBorrower::Credit> credit; ///< by which its group's rate lets it through
        RequestTrail trail;
        bool isMinting = false; ///< the attempt asks for a ticket only
        /// Whether the call is for the target version of a roll-out; nothing until that was drawn.
        std::optional<bool> isForTarget;
        std::optional<ContentId> content; ///< computed where crashes are known
        Timer creditTimer; ///< while it waits for a credit
        Timer deadlineTimer;
        Timer attemptTimer;
        Timer connectTimer;
        Timer secondTimer; ///< of a second attempt whose link is being opened
    };
    using CallId = std::uint64_t;

    /// \returns the upstreams to keep connections to, as places in the list of the service.
    std::vector<std::size_t> subsetOf(
        const ServiceInfo& service, const std::vector<std::string>& hosts) const;
    /// \returns of the upstreams at \a places in the list of the service, those to keep connections to.
    std::vector<std::size_t> subsetAmong(const ServiceInfo& service, const std::vector<std::size_t>& places,
        const std::vector<std::string>& hosts) const;
    /// \returns the names of the ingresses among which upstreams are shared out: all members, or those of the
    /// own data hall.
    std::vector<std::string> ingressesBeside() const;
    /// \returns those of them that don't leave, with what their router needs to know.
    std::vector<UpstreamConfig> targetsOf(
        const ServiceInfo& service, const std::vector<std::string>& hosts) const;
    ServiceRouter& routerFor(const ServiceInfo& service);
    /// \returns whether \a request, made for a call that runs here, is likely the last one which that needs.
    bool isLastNested(const CallRequest& request) const;
    /// \brief Registers a call.
    void begin(std::unique_ptr<HttpExchange> exchange, CallRequest request, Instant now);
    /// \brief Admits the call if its group's rate allows it; otherwise it waits for a credit or is refused.
    void applyRateDecision(CallId id, Call& call, const CreditBorrower::Decision& decision, Instant now);
    void creditsChanged(const std::vector<std::string>& groups, Instant now);
    /// \brief Refuses a call that got no credit: as over its rate if all lenders have answered, otherwise as
    /// unknown.
    void refuseWithoutCredit(CallId id, Call& call, const CreditBorrower::Decision& decision, Instant now);
    /// \brief Admits the call and sends it to an owner.
    void admitCall(CallId id, Call& call, Instant now);
    /// \returns how many owners to ask to run the call at once.
    std::uint32_t asksFor(const Call& call);
    void logRoute(Call& call, Instant now) const;
    void logChoice(Call& call, const std::string& upstream, std::uint64_t attempt, Instant now);
    void reject(HttpExchange& exchange, const CallRequestError& error);
    void reject(HttpExchange& exchange, const CallRequestError& error, const HttpReply& reply);
    CallerContext callerOf(const HttpRequest& request) const;
    /// \returns whether the credential of \a call still names its group.
    bool isStillCalling(Call& call) const;
    /// \brief Ends a call whose credential was revoked while it waited.
    void finishUncalled(CallId id, Call& call, Instant now);
    void addTerms(const Call& call, proto::Call& out, Instant now) const;
    void watchAttempt(CallId id, Call& call, std::uint64_t number);
    void proceed(CallId id, Instant now);
    /// \brief Sends a call with a ticket to the one owner that the ticket is good at.
    void sendToTicketOwner(CallId id, Call& call, Instant now);
    SendResult sendTo(CallId id, Call& call, const std::string& upstream, Instant now);
    /// \returns this node as the owner beside it knows it.
    Owner::Sender selfAsSender() const;
    /// \returns an upstream for the call; nothing if there is none. \param connecting those passed over.
    std::optional<std::string> pickFor(Call& call, const std::vector<std::string>& connecting, Instant now);
    /// \brief Divides the upstreams of the services that are rolled out by version.
    void divideVersions(Instant now);
    /// \brief Adds to \a excluded the upstreams whose version a roll-out withholds from \a call.
    void excludeVersions(Call& call, std::vector<std::string>& excluded, Instant now);
    /// \returns whether \a call, for which there is no upstream, may go to the other version instead.
    bool mayChangeVersion(Call& call, Instant now);
    /// \returns the upstreams of a service that is rolled out which calls may go to, as places in its list.
    std::vector<std::size_t> subsetOfVersions(const ServiceInfo& service, const ServerVersions& versions,
        const std::vector<std::string>& hosts) const;
    /// \brief Adds to \a excluded the upstreams in regions where \a call may not be run.
    void excludeOtherRegions(const Call& call, std::vector<std::string>& excluded) const;
    /// \returns whether to wait for the link to \a upstream, which is being opened.
    static bool awaitsLink(Call& call, const std::string& upstream, Instant now);
    void tryAgainSoon(CallId id, Call& call);
    /// \returns whether crashes of servers that ran the same hold \a call back.
    CrashTracker::Verdict verdictOf(Call& call, Instant now) const;
    /// \brief Sends a call that is held back to the one upstream that may try it.
    void sendTrial(CallId id, Call& call, Instant now);
    void finishHeld(CallId id, Call& call, Instant now);
    proto::Call envelope(
        const Call& call, const UpstreamInfo& upstream, Duration elsewhere, Instant now) const;
    /// \brief Adds the body to \a out, or its length if the owner is to ask for it.
    void addBody(const Call& call, proto::Call& out) const;
    /// \returns whether the budgets allow one more attempt, which is then paid for: at the service, and at
    /// those that its backend servers call for it.
    bool mayTryAgain(Call& call, Instant now);
    /// \returns why the budgets don't allow one more attempt; nothing if they do, and then the service's has
    /// paid for it.
    std::optional<RetryDenial> denyRetry(const Call& call, RetryPriority claim, Instant now);
    /// \brief Adds \a n to the count \a name of the service.
    void countRetries(std::string_view name, const std::string& service, double n = 1);
    /// \brief As mayTryAgain(), but leaves it to the caller to count the retry once it is sent.
    bool payRetry(Call& call, RetryPriority claim, Instant now);
    /// \brief Sends a second attempt beside the one that is out, if the budgets allow; it waits for a link
    /// that is being opened as long as it is worthwhile.
    void sendSecond(CallId id, Call& call, const std::string& upstream, Instant now);
    /// \brief The link to \a upstream may stand now: sends the second attempt, if it is still worthwhile.
    void secondAgain(CallId id, const std::string& upstream);
    /// \brief The run that \a paid was for has ended with \a answer, which tells what calls it made: those
    /// are charged instead of the usual number; that stays where it isn't known.
    void settleNestedCalls(const Call& call, PaidRetry& paid, const proto::Answer& answer);
    /// \brief Refunds the cost of \a paid to the budgets.
    void refundRetry(Call& call, const PaidRetry& paid);
    /// \brief No backend server was asked to run \a attempt, which has ended: what was paid for it, or for
    /// another one that so becomes the first to arrive, is free for the next attempt or given back.
    void releaseUnsentRetry(Call& call, Attempt& attempt);
    /// \brief Charges the services that a run of \a call calls in turn with the calls it usually makes there.
    /// \returns what was charged.
    std::map<std::string, double> chargeNested(const Call& call);
    /// \brief Charges \a service with \a n calls of \a call's group that a retry makes there; below 0 takes
    /// that back.
    void chargeNested(const Call& call, const std::string& service, double n);
    bool mayMoveOn(Call& call, const proto::Answer& answer, Instant now);
    /// \brief Handles a complete answer of a backend server: passes it to the caller, unless it is an error
    /// and another attempt may succeed.
    void answered(CallId id, Call& call, proto::Answer& answer, Instant now);
    void attemptLost(CallId id, Call& call, Reason reason, Instant now);
    /// \brief Sends the owner of \a attempt the part of the body that it has asked for.
    void sendBodyPart(const Call& call, const Attempt& attempt, const proto::Answer& asked, Instant now);
    /// \returns whether the owner that \a attempt was sent to has said that it doesn't run it.
    bool wasNeverRun(const Call& call, const Attempt& attempt) const;
    CallProfile needsOf(const Call& call, Instant now) const;
    /// \returns an upstream for a second attempt; nothing if there is none.
    std::optional<std::string> pickSecond(Call& call, Instant now);
    /// \returns whether a second attempt at \a upstream is likely to be in time.
    bool isWorthwhile(const Call& call, const std::string& upstream, Instant now);
    /// \brief An upstream has become slow: calls that run there and will be late for it may get a second
    /// attempt.
    void upstreamSlowed(const std::string& upstream, Instant now);
    void attemptSlowed(CallId id, Call& call, const Attempt& attempt, Instant now);
    /// \returns the work done on \a attempt so far, as time on a calm backend server.
    Duration workDone(const Call& call, const Attempt& attempt, Instant now) const;
    /// \returns whether the answer to \a attempt is expected in time.
    bool isOnItsWay(const Call& call, const Attempt& attempt, Instant now) const;
    /// \returns whether \a call may have a second attempt while the first one is out.
    bool mayHedge(Call& call, Instant now) const;
    Duration patienceFor(const Call& call, const ServiceRouter& router) const;
    bool isRepeatable(const Call& call) const;
    void refused(CallId id, Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now);
    /// \brief An owner that was to run the call at once or not at all could not: the next one is asked.
    /// \returns whether \a upstream, the best there is, is known to end the call too late, because it is cold
    /// or limited or because owners have refused the call and none is better: then no owner need be asked
    /// (again). What is known of one that was not heard of lately counts little, so it is asked.
    bool isHopeless(const Call& call, const std::string& upstream, Instant now);
    /// \returns whether this node is likely to end before \a call does, if that is sent now and usually takes
    /// \a usual.
    bool outlivesNode(const Call& call, Duration usual, Instant now) const;
    /// \returns the time that \a call usually takes at the upstream that suits it; what its caller or the
    /// operator expects where none has been measured.
    Duration usualTime(const Call& call, const std::string& upstream, Instant now);
    void finishLeaving(CallId id, Call& call, Instant now);
    /// \returns when the answer to \a call is of no use any more: at its deadline or the end of this node.
    Instant answerLimit(const Call& call) const;
    /// \brief Refuses a call that even the best \a upstream would start too late, as it is cold or names a
    /// limit.
    void finishPaced(CallId id, Call& call, const std::string& upstream, Instant now);
    void finishCold(CallId id, Call& call, const std::string& upstream, Instant now);
    void finishLimited(CallId id, Call& call, const UpstreamView& view, Instant now);
    void ownerBusy(CallId id, Call& call, const Attempt& attempt, Instant now);
    void ticketMinted(CallId id, Call& call, const Ticket& ticket, Instant now);
    void claimDecided(CallId id, const ClaimDecision& decision);
    void deadlineReached(CallId id);
    /// \brief Ends the call with what is known of its outcome, without waiting for pending attempts.
    void giveUp(CallId id, Reason reason, Instant now);
    void attemptTimedOut(CallId id, std::uint64_t number);
    bool finishWithFailure(CallId id, Call& call, Instant now);
    void hungUp(CallId id);
    void step(Call& call, CallEvent event);
    void finishAnswered(CallId id, Call& call, proto::Answer& answer, Instant now);
    void finishTicket(CallId id, Call& call, Instant now);
    void finishNotRun(CallId id, Call& call, Reason reason, Instant now);
    void finishUnknown(CallId id, Call& call, Reason reason, Instant now);
    void noteEnd(Call& call, CallOutcome outcome, Reason reason, int status, Instant now);
    std::uint32_t retryAfterFor(const Call& call, Reason reason, Instant now) const;
    void finish(CallId id, Call& call, HttpReply reply, CallOutcome outcome, Reason reason, Instant now,
        const proto::Answer* answer = nullptr);
    void giveUpAttempts(Call& call, Instant now, bool isLost);
    void learn(const Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now);
    /// \brief Applies what the backend server of \a attempt states about itself in an answer that is passed
    /// on.
    void learnStatement(const Attempt& attempt, const proto::Answer& answer, Instant now);
    void learnClock(const Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now);
    const UpstreamInfo* upstreamOf(const std::string& service, const std::string& id) const;

    NodeContext* m_context;
    Owner* m_owner;
    ClaimService* m_claims;
    const Membership* m_members;
    SendToPeer m_send;
    WeightedRoundRobin m_turns;
    NestedCallEstimate m_nestedCalls;
    CallSizeEstimate m_callBytes;
    bool m_isDraining = false;
    std::optional<Instant> m_end; ///< by which this node answers all its calls, once it stops
    bool m_isConfigured = true;
    std::optional<double> m_retryBurst;
    CallId m_lastCall = 0;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<std::uint64_t, CallId> m_callByNumber;
    std::unordered_map<std::string, std::unique_ptr<ServiceRouter>> m_routers;
    GroupRateLimiter* m_rates = nullptr;
    std::map<std::string, std::deque<CallId>> m_awaitingCredit; ///< by group
    LastWords m_lastWords;
    BackendNotices m_notices;
    std::map<std::string, ServerVersions, std::less<>> m_versions; ///< by service that is rolled out
    /// By upstream: to tell owners deadlines that a late delivery can't outlive.
    std::unordered_map<std::string, OwnerClock> m_ownerClocks;
};

} // namespace robinrun
