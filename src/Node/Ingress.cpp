#include "Node/Ingress.h"

#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"
#include "Node/CallReply.h"

#include <algorithm>

namespace robinrun {
namespace {

    using namespace httpStatus;
    /// A node that has just started usually has its configuration within so long.
    constexpr std::uint32_t notReadyRetryMs = 200;
    /// Contacts tell of a newer configuration, and of how fresh it is, within about so long.
    constexpr std::uint32_t unprovenRetryMs = 500;
    /// A link stands after three round trips or so; a worse upstream whose link stands costs more than that.
    constexpr Duration linkPatience = 12ms;
    /// News of a backend server that has started again is at all nodes within so long: a few ways of the
    /// network, and the changes that are applied together.
    constexpr Duration nextLifePatience = 50ms;
    /// Owners asked to run a call at once before it may wait in a queue. What an ingress knows of loads is as
    /// old as its last answer from there; an owner knows, and asking costs a round trip.
    constexpr std::uint32_t maxAsks = 2;
    /// A nested call is short beside a slow phase, and a run holds its slot while it waits for it.
    constexpr std::uint32_t maxNestedAsks = 4;
    /// Backend servers name a call that they make by the id of the call it is for, this, and an id of its
    /// own.
    constexpr char nestedMark = '.';
    /// A second attempt is in time if it gets this many usual slot times of what is left of the target.
    constexpr double secondAttemptWorks = 1.3;
    /// No answer is late before this many usual slot times.
    constexpr double leastPatienceWorks = 1.5;

} // namespace

Ingress::Ingress(
    NodeContext& context, Owner& owner, ClaimService* claims, const Membership* members, SendToPeer send)
    : m_context(&context)
    , m_owner(&owner)
    , m_claims(claims)
    , m_members(members)
    , m_send(std::move(send))
    , m_turns(context.random.bits())
{
}

Ingress::~Ingress() = default;

const UpstreamInfo* Ingress::upstreamOf(const std::string& service, const std::string& id) const
{
    const auto* info = m_context->directory.service(service);
    if (!info)
        return nullptr;
    const auto it = std::find_if(info->upstreams.begin(), info->upstreams.end(),
        [&](const auto& upstream) { return upstream.id == id; });
    return it == info->upstreams.end() ? nullptr : &*it;
}

void Ingress::reject(HttpExchange& exchange, const CallRequestError& error)
{
    if (error.reason == Reason::None)
        return reject(exchange, error, replies::rejected(error.status, error.message));
    reject(exchange, error, replies::notRun(error.reason, unprovenRetryMs, false, m_context->headers));
}

void Ingress::reject(HttpExchange& exchange, const CallRequestError& error, const HttpReply& reply)
{
    CallSample sample;
    sample.group = error.group;
    sample.callClass = "none";
    sample.outcome = CallOutcome::Rejected;
    m_context->metrics.call(sample);
    const auto id = findHeader(exchange.request().headers, m_context->headers.requestId);
    if (id)
        log(LogLevel::Info, "request-rejected",
            { { "request", *id }, { "status", reply.status }, { "why", error.message } });
    exchange.reply(reply);
}

void Ingress::take(std::unique_ptr<HttpExchange> exchange, Instant now)
{
    if (m_calls.size() >= m_context->settings.limits.calls)
        return reject(*exchange, { unavailable, "this node has too many calls in progress" });
    if (!m_isConfigured) {
        reject(*exchange, { unavailable, "this node has no configuration yet" },
            replies::notRun(Reason::NotReady, notReadyRetryMs, false, m_context->headers));
        return;
    }
    auto request = CallRequest::parse(exchange->request(), m_context->directory, m_context->headers, m_turns,
        callerOf(exchange->request()));
    if (!request)
        return reject(*exchange, request.error());
    begin(std::move(exchange), std::move(request.value()), now);
}

void Ingress::begin(std::unique_ptr<HttpExchange> exchange, CallRequest request, Instant now)
{
    const auto id = ++m_lastCall;
    auto& call = m_calls[id];
    call.request = std::move(request);
    if (const auto& parent = call.request.parent) {
        (void)m_owner->countNestedCall(parent->requestId, call.request.service);
        call.isLastNested = isLastNested(call.request);
    }
    call.exchange = std::move(exchange);
    call.body = std::make_shared<const HeldBody>(call.exchange->takeBody());
    call.state = m_context->charts.call.initial();
    call.configVersion = m_context->configVersion;
    call.arrived = now;
    // A request that waited unread while this node stood still may have been there from the beginning.
    const auto age = m_context->standstill.backlogAge(now);
    const auto allowed = std::max(call.request.allowed - age, Duration::zero());
    call.deadline = now + allowed;
    call.attemptsLeft = call.request.attempts;
    call.ticket = call.request.ticket;
    if (call.request.isByRoute && call.request.callClass.targetLatency > Duration::zero())
        call.asksLeft = asksFor(call);
    logRoute(call, now);
    call.exchange->onHangUp([this, id] { hungUp(id); });
    // It may as well have come just now: what its server answers until then is passed on.
    call.deadlineTimer
        = Timer::once(m_context->base, call.request.allowed, [this, id] { deadlineReached(id); });
    // Runs in progress beside this node fail without the calls that they make.
    if ((m_isDraining && !call.request.isNested()) || (m_end && now >= *m_end))
        return finishLeaving(id, call, now);
    if (allowed == Duration::zero())
        return finishNotRun(id, call, Reason::DeadlinePassed, now);
    call.wasUnread = age > Duration::zero();
    if (m_rates && call.request.rate.isBounded())
        return applyRateDecision(id, call, m_rates->acquire(call.request.group, now), now);
    admitCall(id, call, now);
}

void Ingress::admitCall(CallId id, Call& call, Instant now)
{
    m_routers.at(call.request.service)->recordFirstAttempt(call.request.groupNumber);
    call.isMinting = call.request.key || call.request.wantsTicket;
    step(call, call.request.key ? CallEvent::NeedsClaim : CallEvent::NeedsNoClaim);
    // Its caller may have left meanwhile, which the next turn of the loop shows.
    if (call.wasUnread)
        return tryAgainSoon(id, call);
    proceed(id, now);
}

bool Ingress::isLastNested(const CallRequest& request) const
{
    const auto& parentId = request.parent->requestId;
    const auto* parent = m_owner->running(parentId);
    if (!parent)
        return false;
    double usual = 0;
    for (const auto& [service, calls] : m_nestedCalls.meanCounts(parent->call_class()))
        usual += calls.value();
    return usual > 0 && m_owner->nestedCalls(parentId) >= usual;
}

std::uint32_t Ingress::asksFor(const Call& call)
{
    const auto& experiments = m_context->settings.experiments;
    if (!experiments.isOn(Mechanism::AskFirst))
        return 0;
    // Owners take a nested call into their queues if it goes next there, and are busy for it only while
    // slowed down.
    if (call.request.isNested() && experiments.isOn(Mechanism::NextInLine))
        return maxNestedAsks;
    if (!experiments.isOn(Mechanism::AskWhereWorth))
        return maxAsks;
    return m_routers.at(call.request.service)
        ->immediateAttemptPolicy()
        .attemptsForNextCall(maxAsks, m_context->random);
}

void Ingress::logRoute(Call& call, Instant now) const
{
    call.trail.add({ RequestEvent::RouteChosen, now, {}, 0, Reason::None,
        { { "version", static_cast<std::int64_t>(m_context->configVersion) },
            { "allowed_ms", call.request.allowed.count() / 1000 },
            { "target_ms", call.request.callClass.targetLatency.count() / 1000 },
            { "nested", call.request.isNested() } },
        call.request.callClass.name + " " + call.request.service });
}

void Ingress::step(Call& call, CallEvent event)
{
    if (const auto next = m_context->charts.call.next(call.state, event))
        call.state = *next;
}

void Ingress::proceed(CallId id, Instant now)
{
    auto& call = m_calls.at(id);
    if (now >= call.deadline)
        return deadlineReached(id);
    if (!isStillCalling(call))
        return finishUncalled(id, call, now);
    // After a standstill, what ended meanwhile is noticed before anything is sent.
    if (m_context->standstill.isFirstTurn(now))
        return tryAgainSoon(id, call);
    switch (verdictOf(call, now)) {
    case CrashTracker::Verdict::Free:
        break;
    case CrashTracker::Verdict::Trial:
        return sendTrial(id, call, now);
    case CrashTracker::Verdict::Held:
        return finishHeld(id, call, now);
    }
    if (call.ticket && !call.isMinting)
        return sendToTicketOwner(id, call, now);
    auto& router = *m_routers.at(call.request.service);
    // Links that don't stand after a moment are passed over while another one does.
    std::vector<std::string> connecting;
    while (const auto upstream = pickFor(call, connecting, now)) {
        if (outlivesNode(call, usualTime(call, *upstream, now), now))
            return finishLeaving(id, call, now);
        if (isHopeless(call, *upstream, now)) {
            if (call.freeRefusals)
                break;
            return finishPaced(id, call, *upstream, now);
        }
        const auto result = sendTo(id, call, *upstream, now);
        if (result == SendResult::Sent)
            return;
        if (result == SendResult::Connecting) {
            if (awaitsLink(call, *upstream, now))
                return tryAgainSoon(id, call);
            connecting.push_back(*upstream);
            continue;
        }
        // The message could not go out, so it costs no attempt.
        router.onAttemptSent(*upstream, call.request.groupNumber);
        router.onAttemptLost(*upstream, call.request.groupNumber, now);
        call.tried.push_back(*upstream);
    }
    // Lost where there was no other, it may go to the next life of the same backend server.
    const bool awaitsNextLife = call.wasLost && isRepeatable(call) && now - call.lostAt < nextLifePatience;
    if (!connecting.empty() || awaitsNextLife)
        return tryAgainSoon(id, call);
    finishNotRun(id, call, call.lastReason == Reason::None ? Reason::NoUpstream : call.lastReason, now);
}

void Ingress::sendToTicketOwner(CallId id, Call& call, Instant now)
{
    if (!upstreamOf(call.request.service, call.ticket->upstream))
        return finishUnknown(id, call, Reason::TicketUnknown, now);
    const auto result = sendTo(id, call, call.ticket->upstream, now);
    if (result == SendResult::Connecting)
        return tryAgainSoon(id, call);
    // An earlier request with this ticket may have run there, so "not run" would mislead.
    if (result == SendResult::Unreachable)
        finishUnknown(id, call, Reason::OwnerLost, now);
}

std::optional<std::string> Ingress::pickFor(
    Call& call, const std::vector<std::string>& connecting, Instant now)
{
    if (!call.awaitedLink.empty() && !m_notices.isLeaving(call.awaitedLink))
        return call.awaitedLink;
    call.awaitedLink.clear();
    auto& router = *m_routers.at(call.request.service);
    auto excluded = call.tried;
    excluded.insert(excluded.end(), connecting.begin(), connecting.end());
    excludeOtherRegions(call, excluded);
    const auto excludedByAll = excluded.size();
    excludeVersions(call, excluded, now);
    auto upstream = router.pickUpstream(excluded, needsOf(call, now), now, m_context->random);
    if (!upstream && mayChangeVersion(call, now)) {
        excluded.resize(excludedByAll);
        excludeVersions(call, excluded, now);
        upstream = router.pickUpstream(excluded, needsOf(call, now), now, m_context->random);
    }
    // Better than any other although it is busy: the call may wait there.
    if (upstream && std::find(call.busy.begin(), call.busy.end(), *upstream) != call.busy.end())
        call.asksLeft = 0;
    return upstream;
}

void Ingress::excludeOtherRegions(const Call& call, std::vector<std::string>& excluded) const
{
    const auto& regions = call.request.regions;
    const auto* service = m_context->directory.service(call.request.service);
    if (regions.empty() || !service)
        return;
    for (const auto& it : service->upstreams) {
        if (std::find(regions.begin(), regions.end(), it.config.region()) == regions.end())
            excluded.push_back(it.id);
    }
}

bool Ingress::awaitsLink(Call& call, const std::string& upstream, Instant now)
{
    if (call.awaitedLink.empty()) {
        call.awaitedLink = upstream;
        call.linkAwaitedUntil = now + linkPatience;
    }
    if (now < call.linkAwaitedUntil)
        return true;
    call.awaitedLink.clear();
    return false;
}

void Ingress::tryAgainSoon(CallId id, Call& call)
{
    call.connectTimer
        = Timer::once(m_context->base, connectRetry, [this, id] { proceed(id, monotonicNow()); });
}

CallerContext Ingress::callerOf(const HttpRequest& request) const
{
    CallerContext out;
    out.isConfigProven = m_context->isConfigProven;
    out.isStrict = m_context->settings.credentials.isStrict;
    const auto id = findHeader(request.headers, m_context->headers.requestId).value_or("");
    const auto end = id.rfind(nestedMark);
    if (end == std::string_view::npos)
        return out;
    const std::string parentId(id.substr(0, end));
    if (const auto* parent = m_owner->running(parentId)) {
        const auto& terms = parent->terms();
        out.parent = { parentId, parent->group(), terms.group_priority(), terms.priority() };
    }
    return out;
}

bool Ingress::isStillCalling(Call& call) const
{
    if (!call.request.hasCredential || call.configVersion == m_context->configVersion)
        return true;
    const auto credential = credentialOf(call.exchange->request(), m_context->headers);
    if (!credential || !credential.value())
        return false;
    const auto* group = m_context->directory.groupByCredential(*credential.value());
    if (!group || group->id != call.request.group)
        return false;
    call.configVersion = m_context->configVersion;
    return true;
}

CallProfile Ingress::needsOf(const Call& call, Instant now) const
{
    const auto& callClass = call.request.callClass;
    CallProfile needs { call.request.groupNumber, callClass.name, {},
        m_callBytes.relativeBytes(callClass.name) };
    if (callClass.targetLatency > Duration::zero())
        needs.remainingTargetLatency = std::max(callClass.targetLatency - (now - call.arrived), Duration(1));
    return needs;
}

Duration Ingress::patienceFor(const Call& call, const ServiceRouter& router) const
{
    const auto& callClass = call.request.callClass;
    if (callClass.targetLatency > Duration::zero()) {
        const double work = toSeconds(router.expectedSlotTime(callClass.name, callClass.targetLatency));
        const double latest = toSeconds(callClass.targetLatency) - secondAttemptWorks * work;
        return fromSeconds(std::max(latest, leastPatienceWorks * work));
    }
    const auto longest = m_context->settings.choice.attemptTimeout;
    return std::min(router.hedgeDelay().value_or(longest), longest);
}

bool Ingress::isRepeatable(const Call& call) const
{
    return call.request.callClass.isRepeatable && !call.ticket;
}

void Ingress::logChoice(Call& call, const std::string& upstream, std::uint64_t attempt, Instant now)
{
    auto& router = *m_routers.at(call.request.service);
    const auto* view = router.findView(upstream);
    RequestTrail::Entry entry { RequestEvent::UpstreamChosen, now, upstream, attempt };
    entry.numbers
        = { { "left_ms", (call.deadline - now).count() / 1000 }, { "attempts_left", call.attemptsLeft },
              { "candidates", static_cast<std::int64_t>(router.views().size()) } };
    if (view) {
        entry.numbers.emplace_back("in_flight", view->inFlight());
        entry.numbers.emplace_back("far", view->isFar());
    }
    if (view && view->report()) {
        const auto& report = *view->report();
        entry.numbers.emplace_back("news_age_ms", (now - report.receivedAt).count() / 1000);
        entry.numbers.emplace_back("told_in_use", report.load.slotsInUse);
        entry.numbers.emplace_back("told_queued", report.queuedCalls);
        entry.numbers.emplace_back(
            "told_slowdown_percent", static_cast<std::int64_t>(report.load.slowdown * 100));
    }
    call.trail.add(std::move(entry));
}

void Ingress::watchAttempt(CallId id, Call& call, std::uint64_t number)
{
    const auto patience = patienceFor(call, *m_routers.at(call.request.service));
    call.attemptTimer
        = Timer::once(m_context->base, patience, [this, id, number] { attemptTimedOut(id, number); });
}

Owner::Sender Ingress::selfAsSender() const
{
    return { m_context->settings.name, m_context->settings.listen.peers, m_context->incarnation };
}

SendResult Ingress::sendTo(CallId id, Call& call, const std::string& upstream, Instant now)
{
    const auto* info = upstreamOf(call.request.service, upstream);
    if (!info) {
        call.awaitedLink.clear();
        return SendResult::Unreachable;
    }
    auto& router = *m_routers.at(call.request.service);
    const auto number = ++m_lastNumber;
    const auto expected = router.expectedResponseTime(upstream, needsOf(call, now), now);
    const auto elsewhere = router.onAttemptSent(upstream, call.request.groupNumber);
    proto::PeerMessage message;
    *message.mutable_call() = envelope(call, *info, elsewhere, now);
    message.mutable_call()->set_number(number);
    const bool isOwn = upstream == m_owner->upstream();
    // The owner may answer inside take(): the attempt must stand before that.
    const auto address = isOwn ? std::string() : info->config.node_address();
    call.out.push_back({ number, upstream, info->config.host(), address, message.call().owner_incarnation(),
        now, router.reportedSlowdown(upstream), router.workClockReading(upstream, now), expected,
        call.asksLeft > 0, std::exchange(call.paid, std::nullopt) });
    call.tried.push_back(upstream);
    if (isOwn)
        logChoice(call, upstream, number, now);
    m_callByNumber[number] = id;
    step(call, CallEvent::Sent);
    if (isOwn) {
        call.connectTimer = Timer();
        watchAttempt(id, call, number);
        const auto& node = m_context->settings.name;
        m_owner->take(
            message.call(), selfAsSender(),
            [this, node](proto::Answer answer) { takeAnswer(node, answer, monotonicNow()); }, now,
            call.isMinting ? nullptr : call.body);
        return SendResult::Sent;
    }
    const auto result = m_send(info->config.node_address(), message, now);
    if (result != SendResult::Connecting)
        call.awaitedLink.clear();
    if (result == SendResult::Sent) {
        call.connectTimer = Timer();
        logChoice(call, upstream, number, now);
        watchAttempt(id, call, number);
        return result;
    }
    router.onAttemptAbandoned(upstream, call.request.groupNumber);
    call.paid = std::move(call.out.back().paid);
    call.out.pop_back();
    call.tried.pop_back();
    m_callByNumber.erase(number);
    step(call, CallEvent::Refused);
    return result;
}

} // namespace robinrun
