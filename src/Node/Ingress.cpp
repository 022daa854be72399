#include "Node/Ingress.h"

#include "Core/Hash.h"
#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"
#include "Node/CallReply.h"
#include "Once/KeyAge.h"
#include "Routing/Subset.h"
#include "Wire/TicketCodec.h"

#include <algorithm>

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr std::uint32_t drainingRetryMs = 100;
    constexpr double permille = 1000;
    constexpr Duration connectRetry = 2ms;

    Reason reasonOf(const proto::Answer& answer)
    {
        return answer.reason() < countOf<Reason>() ? static_cast<Reason>(answer.reason()) : Reason::None;
    }

    bool isWhole(const proto::Answer& answer)
    {
        return answer.body().size() == answer.body_length() && hash64(answer.body()) == answer.body_hash();
    }

    /// \returns whether a refusal says that this owner is no place for the call, whatever it asks for.
    bool isAboutOwner(Reason reason)
    {
        return reason == Reason::Leaving || reason == Reason::WrongOwner;
    }

} // namespace

Ingress::Ingress(
    NodeContext& context, Owner& owner, ClaimService& claims, const Membership& members, SendToPeer send)
    : m_context(&context)
    , m_owner(&owner)
    , m_claims(&claims)
    , m_members(&members)
    , m_send(std::move(send))
{
}

Ingress::~Ingress() = default;

void Ingress::configure(Instant now)
{
    const auto& settings = m_context->settings;
    auto hosts = m_members->names();
    for (const auto& [id, info] : m_context->directory.services()) {
        auto& router = m_routers[id];
        if (!router) {
            ServiceRouter::Options options;
            options.kind = settings.choice.kind;
            options.retryFraction = info.config.retry_fraction();
            router = std::make_unique<ServiceRouter>(options);
        }
        router->setRetryFraction(info.config.retry_fraction());
        std::vector<std::string> names;
        for (const auto& it : info.upstreams)
            names.push_back(it.id);
        std::vector<RouteTarget> targets;
        for (const auto i : chooseSubset(names, hosts, settings.name, settings.choice.subset)) {
            const auto& config = info.upstreams[i].config;
            Duration roundTrip = config.region() == settings.region ? settings.choice.hallRoundTrip
                                                                    : settings.choice.regionRoundTrip;
            if (config.data_hall() == settings.dataHall)
                roundTrip = Duration::zero();
            if (!config.leaving())
                targets.push_back({ info.upstreams[i].id, config.slots(), roundTrip });
        }
        router->setUpstreams(targets, now);
    }
    // Routers of removed services stay: calls in progress still end through them.
}

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
    CallSample sample;
    sample.group = error.group;
    sample.callClass = "none";
    sample.outcome = CallOutcome::Rejected;
    m_context->metrics.call(sample);
    exchange.reply(replies::rejected(error.status, error.message));
}

void Ingress::take(std::unique_ptr<HttpExchange> exchange, Instant now)
{
    if (m_calls.size() >= m_context->settings.limits.calls)
        return reject(*exchange, { unavailable, "this node has too many calls in progress" });
    auto request = CallRequest::parse(exchange->request(), m_context->directory);
    if (!request)
        return reject(*exchange, request.error());
    const auto id = ++m_lastCall;
    auto& call = m_calls[id];
    call.request = std::move(request.value());
    call.exchange = std::move(exchange);
    call.state = m_context->charts.call.initial();
    call.arrived = now;
    call.deadline = now + call.request.allowed;
    call.attemptsLeft = call.request.attempts;
    call.ticket = call.request.ticket;
    call.exchange->onHangUp([this, id] { hungUp(id); });
    call.deadlineTimer
        = Timer::once(m_context->base, call.request.allowed, [this, id] { deadlineReached(id); });
    if (m_isDraining) {
        call.retryAfterMs = drainingRetryMs;
        return finishNotRun(id, call, Reason::Leaving, now);
    }
    m_routers.at(call.request.service)->firstAttempt(call.request.groupNumber);
    call.isMinting = call.request.key || call.request.wantsTicket;
    step(call, call.request.key ? CallEvent::NeedsClaim : CallEvent::NeedsNoClaim);
    proceed(id, now);
}

void Ingress::step(Call& call, CallEvent event)
{
    if (const auto next = m_context->charts.call.next(call.state, event))
        call.state = *next;
}

void Ingress::proceed(CallId id, Instant now)
{
    auto& call = m_calls.at(id);
    auto& router = *m_routers.at(call.request.service);
    if (call.ticket && !call.isMinting) {
        // A ticket is good at one owner only.
        if (!upstreamOf(call.request.service, call.ticket->upstream))
            return finishUnknown(id, call, Reason::TicketUnknown, now);
        const auto result = sendTo(id, call, call.ticket->upstream, now);
        if (result == SendResult::Connecting)
            return tryAgainSoon(id, call);
        // An earlier request with this ticket may have run there, so "not run" would mislead.
        if (result == SendResult::Unreachable)
            finishUnknown(id, call, Reason::OwnerLost, now);
        return;
    }
    // Links that don't stand yet are passed over while another one does.
    std::vector<std::string> connecting;
    while (true) {
        auto excluded = call.tried;
        excluded.insert(excluded.end(), connecting.begin(), connecting.end());
        const auto upstream = router.pick(excluded, call.request.groupNumber, now, m_context->random);
        if (!upstream)
            break;
        const auto result = sendTo(id, call, *upstream, now);
        if (result == SendResult::Sent)
            return;
        if (result == SendResult::Connecting) {
            connecting.push_back(*upstream);
            continue;
        }
        // The message could not go out, so it costs no attempt.
        router.sent(*upstream, call.request.groupNumber);
        router.lost(*upstream, call.request.groupNumber, now);
        call.tried.push_back(*upstream);
    }
    if (!connecting.empty())
        return tryAgainSoon(id, call);
    finishNotRun(id, call, call.lastReason == Reason::None ? Reason::NoUpstream : call.lastReason, now);
}

void Ingress::tryAgainSoon(CallId id, Call& call)
{
    call.connectTimer
        = Timer::once(m_context->base, connectRetry, [this, id] { proceed(id, monotonicNow()); });
}

proto::Call Ingress::envelope(
    const Call& call, const UpstreamInfo& upstream, Duration elsewhere, Instant now) const
{
    const auto& request = call.exchange->request();
    proto::Call out;
    out.set_upstream(upstream.id);
    const auto left = std::max<std::int64_t>((call.deadline - now).count(), 0);
    out.set_remaining_us(static_cast<std::uint32_t>(std::min<std::int64_t>(left, UINT32_MAX)));
    out.set_group(call.request.group);
    out.set_service(call.request.service);
    out.set_call_class(call.request.callClass.name);
    out.set_attempts_left(call.attemptsLeft);
    out.set_elsewhere_us(static_cast<std::uint32_t>(std::min<std::int64_t>(elsewhere.count(), UINT32_MAX)));
    const auto clock = m_ownerClocks.find(upstream.id);
    if (clock != m_ownerClocks.end()) {
        out.set_owner_incarnation(clock->second.incarnation);
        const auto since = (now - clock->second.heard).count();
        out.set_owner_deadline_us(clock->second.ownerUs + static_cast<std::uint64_t>(since + left));
    }
    if (call.isMinting) {
        out.set_mint_ticket(true);
        out.set_body_hash(hash64(""));
        return out;
    }
    out.set_method(request.method);
    out.set_target(call.request.target);
    for (const auto& [name, value] : request.headers) {
        if (isHopByHop(name) || headers::isForUs(name))
            continue;
        auto& header = *out.add_headers();
        header.set_name(name);
        header.set_value(value);
    }
    out.set_body(request.body);
    out.set_body_hash(hash64(request.body));
    if (call.ticket)
        encode(*call.ticket, *out.mutable_ticket());
    return out;
}

SendResult Ingress::sendTo(CallId id, Call& call, const std::string& upstream, Instant now)
{
    const auto* info = upstreamOf(call.request.service, upstream);
    if (!info)
        return SendResult::Unreachable;
    auto& router = *m_routers.at(call.request.service);
    const auto number = ++m_lastNumber;
    const auto elsewhere = router.sent(upstream, call.request.groupNumber);
    proto::PeerMessage message;
    *message.mutable_call() = envelope(call, *info, elsewhere, now);
    message.mutable_call()->set_number(number);
    const bool isOwn = upstream == m_owner->upstream();
    // The owner may answer inside take(): the attempt must stand before that.
    call.out.push_back({ number, upstream, info->config.host(), message.call().owner_incarnation(), now });
    call.tried.push_back(upstream);
    m_callByNumber[number] = id;
    step(call, CallEvent::Sent);
    if (isOwn) {
        const Owner::Sender self { m_context->settings.name, m_context->settings.listen.peers,
            m_context->incarnation };
        const auto& node = m_context->settings.name;
        m_owner->take(
            message.call(), self,
            [this, node](proto::Answer answer) { takeAnswer(node, answer, monotonicNow()); }, now);
        return SendResult::Sent;
    }
    const auto result = m_send(info->config.node_address(), message, now);
    if (result == SendResult::Sent) {
        const auto longest = m_context->settings.choice.attemptTimeout;
        const auto patience = std::min(router.hedgeDelay().value_or(longest), longest);
        call.attemptTimer
            = Timer::once(m_context->base, patience, [this, id, number] { attemptTimedOut(id, number); });
        return result;
    }
    router.abandoned(upstream, call.request.groupNumber);
    call.out.pop_back();
    call.tried.pop_back();
    m_callByNumber.erase(number);
    step(call, CallEvent::Refused);
    return result;
}

void Ingress::learn(const Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now)
{
    auto& router = *m_routers.at(call.request.service);
    m_ownerClocks[attempt.upstream] = { answer.incarnation(), answer.owner_now_us(), now };
    const auto& load = answer.load();
    Report report;
    report.load = { load.slots(), load.in_use(), load.waiting(), Duration(load.service_us()) };
    report.yours = load.yours();
    report.queued = load.queued();
    report.errorShare = load.error_permille() / permille;
    report.heard = now;
    const bool isFailure = answer.outcome() == proto::UNKNOWN
        || (answer.outcome() == proto::ANSWERED && answer.status() >= firstServerError)
        || reasonOf(answer) == Reason::BackendUnreachable;
    const Duration held(answer.held_us());
    router.answered(attempt.upstream, call.request.groupNumber, report, held, isFailure, now);
    const bool isLeaving = load.state() == static_cast<std::uint32_t>(UpstreamState::Leaving);
    router.setLeaving(attempt.upstream, isLeaving, now);
    if (answer.outcome() == proto::ANSWERED) {
        const auto network = (now - attempt.sent) - held - Duration(answer.queued_us());
        router.measuredRoundTrip(attempt.upstream, std::max(network, Duration::zero()));
    }
}

void Ingress::takeAnswer(const std::string& node, proto::Answer& answer, Instant now)
{
    const auto found = m_callByNumber.find(answer.number());
    if (found == m_callByNumber.end())
        return; // given up before; nobody waits for it
    const auto id = found->second;
    auto& call = m_calls.at(id);
    const auto it = std::find_if(call.out.begin(), call.out.end(),
        [&](const auto& attempt) { return attempt.number == answer.number(); });
    // An answer counts only from the node that was asked, for this incarnation of this node.
    const bool isForeign = it->node != node || answer.caller_incarnation() != m_context->incarnation;
    if (isForeign) {
        log(LogLevel::Error, "answer-foreign", { { "from", node }, { "number", answer.number() } });
        m_context->metrics.count("robinrun_foreign_answers_total");
        return;
    }
    const Attempt attempt = *it;
    call.out.erase(it);
    m_callByNumber.erase(found);
    learn(call, attempt, answer, now);
    if (answer.outcome() == proto::NOT_RUN)
        return refused(id, call, attempt, answer, now);
    if (call.isMinting)
        return ticketMinted(id, call, decode(answer.ticket()), now);
    const bool isRepeatable = call.request.callClass.isRepeatable && !call.ticket;
    if (answer.outcome() == proto::ANSWERED && isWhole(answer)) {
        const bool isGood = answer.status() < firstServerError;
        const bool mayReplace
            = !isGood && isRepeatable && now < call.deadline && (!call.out.empty() || mayTryAgain(call));
        if (!mayReplace) {
            m_routers.at(call.request.service)->measuredLatency(now - call.arrived);
            step(call, CallEvent::Answered);
            return finishAnswered(id, call, answer, now);
        }
        call.failedAnswer = std::make_unique<proto::Answer>(std::move(answer));
        if (!call.out.empty())
            return;
        step(call, CallEvent::Refused);
        return proceed(id, now);
    }
    const auto reason = answer.outcome() == proto::ANSWERED ? Reason::Damaged : reasonOf(answer);
    call.wasLost = true;
    call.lastReason = reason;
    if (isRepeatable && now < call.deadline && mayTryAgain(call)) {
        step(call, CallEvent::Refused);
        return proceed(id, now);
    }
    if (call.out.empty())
        finishUnknown(id, call, reason, now);
}

bool Ingress::finishWithFailure(CallId id, Call& call, Instant now)
{
    if (!call.failedAnswer)
        return false;
    const auto answer = std::move(call.failedAnswer);
    step(call, CallEvent::Answered);
    finishAnswered(id, call, *answer, now);
    return true;
}

bool Ingress::mayTryAgain(Call& call)
{
    if (call.attemptsLeft <= 1
        || !m_routers.at(call.request.service)->trySpendRetry(call.request.groupNumber))
        return false;
    --call.attemptsLeft;
    m_context->metrics.count("robinrun_retries_total");
    return true;
}

void Ingress::refused(CallId id, Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now)
{
    call.lastReason = reasonOf(answer);
    call.retryAfterMs = answer.retry_after_ms();
    if (!call.out.empty())
        return; // another attempt is still out
    step(call, CallEvent::Refused);
    if (call.ticket && !call.isMinting)
        return finishNotRun(id, call, call.lastReason, now);
    // An owner that restarted is as good as before under its new incarnation.
    if (call.lastReason == Reason::WrongIncarnation)
        std::erase(call.tried, attempt.upstream);
    // Moving on from an owner that is leaving is no overload: it costs no retry.
    const bool isFree = isAboutOwner(call.lastReason) || call.lastReason == Reason::WrongIncarnation;
    if (call.lastReason == Reason::DeadlinePassed || now >= call.deadline || (!isFree && !mayTryAgain(call)))
        return finishNotRun(id, call, call.lastReason, now);
    proceed(id, now);
}

void Ingress::ticketMinted(CallId id, Call& call, const Ticket& ticket, Instant now)
{
    call.ticket = ticket;
    if (call.request.wantsTicket)
        return finishTicket(id, call, now);
    const auto key = hash128(call.request.group + '\n' + call.request.service + '\n' + *call.request.key);
    const Claim claim { key, *keyBornMs(*call.request.key), ticket };
    m_claims->claim(
        claim, [this, id](const ClaimDecision& decision) { claimDecided(id, decision); }, now);
}

void Ingress::claimDecided(CallId id, const ClaimDecision& decision)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto& call = it->second;
    const auto now = monotonicNow();
    call.isMinting = false;
    call.tried.clear();
    switch (decision.kind) {
    case ClaimDecision::Kind::Won:
        step(call, CallEvent::ClaimDecided);
        call.ticket = decision.winner;
        return proceed(id, now);
    case ClaimDecision::Kind::TooOld:
        return finishUnknown(id, call, Reason::KeyTooOld, now);
    case ClaimDecision::Kind::Undecided:
        step(call, CallEvent::ClaimUndecided);
        return finishNotRun(id, call, Reason::ClaimUndecided, now);
    }
}

void Ingress::deadlineReached(CallId id)
{
    auto& call = m_calls.at(id);
    const auto now = monotonicNow();
    const bool isOut = !call.out.empty() && !call.isMinting;
    const bool mayHaveRunEarlier = call.ticket && !call.isMinting;
    giveUpAttempts(call, now, true);
    if (isOut || call.wasLost || mayHaveRunEarlier)
        return finishUnknown(id, call, Reason::DeadlinePassed, now);
    const bool isClaiming = call.state == CallState::Claiming;
    finishNotRun(id, call, isClaiming ? Reason::ClaimUndecided : Reason::DeadlinePassed, now);
}

void Ingress::attemptTimedOut(CallId id, std::uint64_t number)
{
    auto& call = m_calls.at(id);
    const auto now = monotonicNow();
    const auto it = std::find_if(
        call.out.begin(), call.out.end(), [&](const auto& attempt) { return attempt.number == number; });
    if (it == call.out.end())
        return;
    auto& router = *m_routers.at(call.request.service);
    router.attemptTimedOut(it->upstream, now);
    const bool mayHedge
        = call.request.callClass.isRepeatable && !call.isMinting && !call.ticket && call.attemptsLeft > 1;
    if (!mayHedge || now >= call.deadline)
        return;
    // The late attempt stays out; the first whole answer is taken.
    const auto upstream = router.pick(call.tried, call.request.groupNumber, now, m_context->random);
    if (upstream && mayTryAgain(call))
        sendTo(id, call, *upstream, now);
}

void Ingress::hungUp(CallId id)
{
    auto& call = m_calls.at(id);
    const auto now = monotonicNow();
    giveUpAttempts(call, now, false);
    step(call, CallEvent::HungUp);
    finish(id, call, {}, CallOutcome::HungUp, Reason::Cancelled, now);
}

void Ingress::giveUpAttempts(Call& call, Instant now, bool isLost)
{
    auto& router = *m_routers.at(call.request.service);
    for (const auto& it : std::exchange(call.out, {})) {
        m_callByNumber.erase(it.number);
        if (isLost)
            router.lost(it.upstream, call.request.groupNumber, now);
        else
            router.abandoned(it.upstream, call.request.groupNumber);
        if (it.upstream == m_owner->upstream()) {
            m_owner->cancel(m_context->incarnation, it.number, now);
            continue;
        }
        const auto* info = upstreamOf(call.request.service, it.upstream);
        proto::PeerMessage message;
        message.mutable_cancel()->set_number(it.number);
        if (info)
            m_send(info->config.node_address(), message, now);
    }
}

void Ingress::finishAnswered(CallId id, Call& call, proto::Answer& answer, Instant now)
{
    finish(id, call, replies::answered(answer), CallOutcome::Answered, Reason::None, now, &answer);
}

void Ingress::finishTicket(CallId id, Call& call, Instant now)
{
    step(call, CallEvent::Answered);
    finish(id, call, replies::ticket(*call.ticket), CallOutcome::Answered, Reason::None, now);
}

void Ingress::finishNotRun(CallId id, Call& call, Reason reason, Instant now)
{
    if (finishWithFailure(id, call, now))
        return;
    if (call.wasLost)
        return finishUnknown(id, call, reason, now);
    step(call, CallEvent::GivenUp);
    const auto* service = m_context->directory.service(call.request.service);
    const bool advisesTicket
        = reason == Reason::ClaimUndecided && service && service->config.ticket_in_outage();
    const auto reply = replies::notRun(reason, call.retryAfterMs, advisesTicket);
    finish(id, call, reply, CallOutcome::NotRun, reason, now);
}

void Ingress::finishUnknown(CallId id, Call& call, Reason reason, Instant now)
{
    if (finishWithFailure(id, call, now))
        return;
    step(call, CallEvent::Lost);
    finish(id, call, replies::unknown(reason), CallOutcome::Unknown, reason, now);
}

void Ingress::finish(CallId id, Call& call, HttpReply reply, CallOutcome outcome, Reason reason, Instant now,
    const proto::Answer* answer)
{
    giveUpAttempts(call, now, false);
    CallSample sample;
    sample.group = call.request.group;
    sample.callClass = call.request.callClass.name;
    sample.outcome = outcome;
    sample.reason = reason;
    sample.total = now - call.arrived;
    if (answer) {
        sample.queued = Duration(answer->queued_us());
        sample.held = Duration(answer->held_us());
    }
    m_context->metrics.call(sample);
    if (m_context->settings.log.access) {
        log(LogLevel::Info, "call",
            { { "group", call.request.group }, { "service", call.request.service },
                { "class", call.request.callClass.name }, { "outcome", nameOf(outcome) },
                { "reason", nameOf(reason) }, { "status", reply.status },
                { "total_us", std::int64_t { sample.total.count() } },
                { "queued_us", std::int64_t { sample.queued.count() } },
                { "held_us", std::int64_t { sample.held.count() } } });
    }
    const auto exchange = std::move(call.exchange);
    m_calls.erase(id);
    if (outcome != CallOutcome::HungUp)
        exchange->reply(reply);
}

void Ingress::takeLeaving(const proto::Leaving& leaving, Instant now)
{
    for (auto& [service, router] : m_routers)
        router->setLeaving(leaving.upstream(), !leaving.undone(), now);
}

} // namespace robinrun
