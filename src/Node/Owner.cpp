#include "Node/Owner.h"

#include "Core/Hash.h"
#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/BackendReply.h"
#include "Node/CallHeaders.h"
#include "Wire/TicketCodec.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr Duration forgetSenders = 120s;
    /// A kept connection that rested longer is not used for what must not be repeated: the server may have
    /// forgotten it.
    constexpr Duration longestRest = 1s;
    constexpr Duration anyRest = 1h;
    /// Connections that can't be made in a row, after which the backend server is taken for down.
    constexpr unsigned unreachedLimit = 2;
    constexpr Duration probeWhileDown = 250ms;
    /// While a backend server is slow it gets few calls, and so would not be heard to be well again.
    constexpr Duration probeWhileSlow = 60ms;
    constexpr double slowFrom = 1.5;
    constexpr Duration connectTimeout = 300ms;
    /// Ingresses are told of a slow-down that has changed by this factor.
    constexpr double tellFactor = 1.5;
    /// Ingresses that sent a call within this time are told of a changed load.
    constexpr Duration tellMemory = 3s;
    constexpr std::uint32_t priorityOfNested = 0;
    constexpr Duration ingressMemory = 30s;
    constexpr double errorSampleWeight = 0.05;
    using namespace httpStatus;
    constexpr double permille = 1000;
    constexpr double percent = 100;

    Hash128 fingerprintOf(const proto::Call& call)
    {
        return hash128(call.group() + '\n' + call.method() + '\n' + call.target() + '\n' + call.body());
    }

    bool isOnceTicket(const proto::Call& call)
    {
        return call.has_ticket();
    }

} // namespace

Owner::Owner(NodeContext& context, Instant now)
    : m_context(&context)
    , m_admission(Admission::Options {})
    , m_tickets(context.settings.upstream, context.incarnation,
          { 60s, 10, context.settings.limits.ticketMemory }, now)
    , m_seen(forgetSenders)
    , m_leaving(context.charts.upstream)
    , m_prober({ 0, 0, 1 }, now)
    , m_errors(errorSampleWeight)
{
}

Owner::~Owner() = default;

const ServiceInfo* Owner::service() const
{
    return m_context->directory.service(m_serviceId);
}

void Owner::configure(Instant now)
{
    const auto* info = m_context->directory.upstream(upstream());
    if (!info) {
        // Taken out of the configuration: as good as the operator's word, once it was there.
        setSign(LeavingSign::Operator, m_pool != nullptr, now);
        return;
    }
    m_serviceId = info->config.service();
    const auto& serviceInfo = *service();
    const auto slots = info->config.slots();
    const double usable = m_context->settings.admission.usableShare * slots;
    m_admission.setSlots(std::max(static_cast<std::uint32_t>(usable), 1U));
    m_admission.setQueueLimit(serviceInfo.config.queue_limit());
    for (const auto& it : m_context->directory.groups())
        m_admission.setWeight(it.number, it.weightIn(m_serviceId));
    if (m_backendAddress != info->config.address() || m_boundUpstream != info->id) {
        m_backendAddress = info->config.address();
        m_boundUpstream = info->id;
        m_isDown = false;
        m_unreached = 0;
        m_admission.setSlowdown(m_toldSlowdown = 1);
        HttpPool::Options options;
        options.address = m_backendAddress;
        options.maxConnections = info->config.connections();
        options.connectTimeout = connectTimeout;
        // Calls that run at the former address end there.
        if (m_pool)
            m_formerPools.push_back(std::move(m_pool));
        m_pool = std::make_unique<HttpPool>(m_context->base, options);
    }
    m_prober.setPath(serviceInfo.config.health_path(), m_context->headers);
    m_prober.setOptions(
        { serviceInfo.config.probes_per_s(), serviceInfo.config.probe_slot_share(), slots }, now);
    setSign(LeavingSign::Operator, info->config.leaving(), now);
}

void Owner::setSign(LeavingSign sign, bool isSet, Instant now)
{
    if (m_leaving.hasSign(sign) == isSet)
        return;
    log(LogLevel::Info, "upstream-sign",
        { { "upstream", upstream() }, { "sign", nameOf(sign) }, { "set", isSet } });
    if (const auto state = m_leaving.set(sign, isSet))
        lifeChanged(*state, now);
}

void Owner::lifeChanged(LifeState state, Instant now)
{
    log(LogLevel::Info, "upstream-life", { { "upstream", upstream() }, { "state", nameOf(state) } });
    if (state == LifeState::Drained)
        return;
    act(m_admission.setLeaving(m_leaving.isLeaving(), now), now);
    for (const auto& [node, ingress] : m_ingresses) {
        if (m_announce)
            m_announce(ingress.address, m_leaving.isLeaving());
    }
}

void Owner::tick(Instant now)
{
    if (m_leaving.isLeaving() && m_admission.isIdle()) {
        if (const auto state = m_leaving.idle())
            lifeChanged(*state, now);
    }
    m_seen.forgetSilent(now);
    std::erase_if(m_ingresses, [&](const auto& it) { return now - it.second.lastCall > ingressMemory; });
    std::erase_if(m_formerPools, [](const auto& it) { return it->isIdle(); });
    if (m_pool)
        probeBackend(now);
}

void Owner::probeBackend(Instant now)
{
    if (m_isDown) {
        if (now < m_nextProbe)
            return;
        m_nextProbe = now + probeWhileDown;
        probe([](const ProbeNews&) {}, now);
        return;
    }
    const auto load = m_admission.load(now);
    if (load.slowdown >= slowFrom && now - m_loadHeard >= probeWhileSlow) {
        probe([](const ProbeNews&) {}, now);
        return;
    }
    const auto freeSlots = load.slots > load.inUse ? load.slots - load.inUse : 0;
    const bool isStarted
        = m_prober.tryProbe(*m_pool, freeSlots, load.waiting, now, [this](ProbeNews news, Duration) {
              const auto end = monotonicNow();
              act(m_admission.releaseSlot(end), end);
              if (news.isReachable)
                  setSign(LeavingSign::BackendServer, news.isDraining, end);
          });
    if (!isStarted)
        return;
    m_admission.holdSlot();
    m_context->metrics.count("robinrun_probes_total");
}

void Owner::probe(std::function<void(const ProbeNews&)> done, Instant now)
{
    if (!m_pool)
        return;
    const bool isStarted
        = m_prober.probe(*m_pool, now, [this, done = std::move(done)](ProbeNews news, Duration) {
              const auto end = monotonicNow();
              setDown(!news.isReachable, end);
              if (news.slowdown)
                  setSlowdown(*news.slowdown, end);
              done(news);
          });
    if (isStarted)
        m_context->metrics.count("robinrun_probes_total");
}

void Owner::setDown(bool isDown, Instant now)
{
    if (!isDown)
        m_unreached = 0;
    if (m_isDown == isDown)
        return;
    m_isDown = isDown;
    m_nextProbe = now + probeWhileDown;
    log(LogLevel::Warning, isDown ? "backend-down" : "backend-up",
        { { "upstream", upstream() }, { "unreached", m_unreached } });
    tellLoad(now);
}

void Owner::setSlowdown(double slowdown, Instant now)
{
    m_loadHeard = now;
    m_admission.setSlowdown(slowdown);
    const double change = slowdown / m_toldSlowdown;
    if (change < tellFactor && change > 1 / tellFactor)
        return;
    m_toldSlowdown = slowdown;
    tellLoad(now);
}

void Owner::tellLoad(Instant now)
{
    if (!m_tellLoad)
        return;
    for (const auto& [node, ingress] : m_ingresses) {
        if (now - ingress.lastCall > tellMemory)
            continue;
        proto::Answer answer;
        fillNews(answer, { node, ingress.address, ingress.incarnation }, ingress.group, now);
        proto::LoadNews news;
        news.set_upstream(upstream());
        news.set_incarnation(m_context->incarnation);
        news.mutable_load()->Swap(answer.mutable_load());
        m_tellLoad(ingress.address, news);
    }
}

Reason Owner::faultOf(const proto::Call& call, const Sender& sender, Instant now)
{
    if (call.upstream() != upstream() || !m_pool)
        return Reason::WrongOwner;
    if (call.owner_incarnation() && call.owner_incarnation() != m_context->incarnation)
        return Reason::WrongIncarnation;
    if (!m_seen.isNew(sender.incarnation, call.number(), now))
        return Reason::Duplicate;
    if (m_isDown)
        return Reason::BackendUnreachable;
    if (hash64(call.body()) != call.body_hash())
        return Reason::Damaged;
    const Instant deadline { Duration(static_cast<std::int64_t>(call.owner_deadline_us())) };
    if (call.owner_deadline_us() && now >= deadline)
        return Reason::DeadlinePassed;
    return Reason::None;
}

void Owner::take(const proto::Call& call, const Sender& sender, Reply reply, Instant now)
{
    m_ingresses[sender.node] = { sender.address, now, sender.incarnation, call.group() };
    const auto fault = faultOf(call, sender, now);
    if (fault == Reason::Duplicate) {
        // The first delivery is answered under the same number; an answer to the double could overtake it.
        log(LogLevel::Warning, "call-doubled", { { "from", sender.node }, { "number", call.number() } });
        return;
    }
    if (fault != Reason::None)
        return refuseAtOnce(call, sender, reply, fault, true, now);
    if (call.mint_ticket())
        return mint(call, sender, reply, now);
    if (isOnceTicket(call))
        return takeTicket(call, sender, std::move(reply), now);
    admit(call, sender, std::move(reply), now);
}

void Owner::mint(const proto::Call& call, const Sender& sender, const Reply& reply, Instant now)
{
    if (m_leaving.isLeaving())
        return refuseAtOnce(call, sender, reply, Reason::Leaving, true, now);
    proto::Answer answer;
    answer.set_number(call.number());
    encode(m_tickets.mint(m_context->random, now), *answer.mutable_ticket());
    fillNews(answer, sender, call.group(), now);
    reply(std::move(answer));
}

void Owner::takeTicket(const proto::Call& call, const Sender& sender, Reply reply, Instant now)
{
    const auto begin = m_tickets.begin(decode(call.ticket()), fingerprintOf(call), m_lastId + 1, now);
    switch (begin.step) {
    case TicketStep::Run:
        return admit(call, sender, std::move(reply), now);
    case TicketStep::Refuse:
        return refuseAtOnce(call, sender, reply, begin.reason, begin.isNotRun, now);
    case TicketStep::Join: {
        auto& record = m_calls.at(begin.firstId);
        record.replies.emplace_back(sender, std::move(reply));
        record.numbers.push_back(call.number());
        return;
    }
    case TicketStep::Replay:
        break;
    }
    proto::Answer answer;
    answer.set_number(call.number());
    answer.set_outcome(begin.record->isKnown ? proto::ANSWERED : proto::UNKNOWN);
    answer.set_reason(
        static_cast<std::uint32_t>(begin.record->isKnown ? Reason::None : Reason::BackendFailed));
    answer.set_status(static_cast<std::uint32_t>(begin.record->status));
    for (const auto& [name, value] : begin.record->headers) {
        auto& header = *answer.add_headers();
        header.set_name(name);
        header.set_value(value);
    }
    answer.set_body(begin.record->body);
    answer.set_body_length(begin.record->body.size());
    answer.set_body_hash(hash64(begin.record->body));
    fillNews(answer, sender, call.group(), now);
    reply(std::move(answer));
}

void Owner::admit(const proto::Call& call, const Sender& sender, Reply reply, Instant now)
{
    const auto id = ++m_lastId;
    const auto& callClass = service()->classOf(call.target());
    CallRecord record;
    record.call = call;
    record.sender = sender;
    record.replies.emplace_back(sender, std::move(reply));
    record.numbers.push_back(call.number());
    record.arrived = now;
    record.deadline = now + Duration(call.remaining_us());
    if (call.owner_deadline_us())
        record.deadline = std::min(
            record.deadline, Instant(Duration(static_cast<std::int64_t>(call.owner_deadline_us()))));
    record.isByRoute = call.has_terms();
    record.isRepeatable
        = record.isByRoute ? call.terms().repeatable() : callClass.isRepeatable && !isOnceTicket(call);
    const auto offer = offerOf(id, record, now);
    const auto load = m_admission.load(now);
    record.trail.add({ RequestEvent::Queued, now, upstream(), call.number(), Reason::None,
        { { "in_use", load.inUse }, { "slots", load.slots }, { "queued", load.waiting },
            { "priority", offer.priority }, { "left_ms", (record.deadline - now).count() / 1000 },
            { "slowdown_percent", static_cast<std::int64_t>(load.slowdown * percent) },
            { "news_age_ms", (now - m_loadHeard).count() / 1000 } } });
    m_calls.emplace(id, std::move(record));
    m_idByKey[{ sender.incarnation, call.number() }] = id;
    ++m_bySender[{ sender.incarnation, call.group() }];
    act(m_admission.offer(offer, now), now);
}

Offer Owner::offerOf(std::uint64_t id, const CallRecord& record, Instant now)
{
    const auto& call = record.call;
    Offer offer;
    offer.id = id;
    offer.group = m_context->directory.groupNumber(call.group());
    offer.deadline = record.deadline;
    offer.elsewhere = Duration(call.elsewhere_us());
    if (!record.isByRoute) {
        const auto& callClass = service()->classOf(call.target());
        offer.callClass = m_classNumbers(callClass.name);
        offer.priority = callClass.priority;
        return offer;
    }
    const auto& terms = call.terms();
    offer.callClass = m_classNumbers(call.call_class());
    // A call made for another one goes first: that one holds a slot while it waits, and its work is done.
    offer.priority = terms.nested() ? priorityOfNested : terms.priority() + 1;
    if (!terms.nested())
        offer.inTimeUntil = now + Duration(terms.target_latency_us());
    else
        offer.inTimeUntil = offer.deadline;
    return offer;
}

void Owner::act(const Dispatch& dispatch, Instant now)
{
    for (const auto& it : dispatch.refused)
        refuse(it, now);
    for (const auto id : dispatch.run)
        run(id, now);
}

HttpRequest Owner::requestOf(const CallRecord& record, Instant now) const
{
    HttpRequest request;
    request.method = record.call.method();
    request.target = record.call.target();
    for (const auto& it : record.call.headers())
        request.headers.emplace_back(it.name(), it.value());
    const auto left = std::max<std::int64_t>((record.deadline - now).count() / 1000, 1);
    const auto& names = m_context->headers;
    request.headers.emplace_back(names.deadline, std::to_string(left));
    if (record.isByRoute) {
        request.headers.emplace_back(names.expectedUpstream, upstream());
        request.headers.emplace_back(names.callerService, record.call.caller_service());
    } else {
        request.headers.emplace_back(headers::attempts, std::to_string(record.call.attempts_left()));
        request.headers.emplace_back(headers::group, record.call.group());
    }
    request.body = record.call.body();
    return request;
}

void Owner::run(std::uint64_t id, Instant now)
{
    auto& record = m_calls.at(id);
    record.isRunning = true;
    record.started = now;
    m_runningRequests.insert(record.call.request_id());
    record.pool = m_pool.get();
    record.trail.add({ RequestEvent::SentToBackend, now, upstream(), record.call.number(), Reason::None,
        { { "waited_ms", (now - record.arrived).count() / 1000 },
            { "left_ms", (record.deadline - now).count() / 1000 } } });
    HttpPool::SendOptions options;
    options.timeout = record.deadline - now;
    options.longestRest = record.isRepeatable ? anyRest : longestRest;
    if (!record.call.request_id().empty()) {
        options.isOurs
            = [name = m_context->headers.requestId, own = record.call.request_id()](const HttpReply& reply) {
                  const auto told = findHeader(reply.headers, name);
                  return !told || *told == own;
              };
    }
    record.request = m_pool->send(requestOf(record, now), std::move(options),
        [this, id](Result<HttpReply, HttpError> result) { ended(id, std::move(result), monotonicNow()); });
}

void Owner::learn(const HttpReply& reply, Instant now)
{
    setDown(false, now);
    if (const auto state = findHeader(reply.headers, headers::backendState))
        setSign(LeavingSign::BackendServer, *state == "draining", now);
    const auto text = findHeader(reply.headers, m_context->headers.load);
    const auto load = text ? parseLoad(*text) : std::nullopt;
    if (load)
        setSlowdown(load->slowdown, now);
}

proto::Answer Owner::answerOf(HttpReply& reply, Instant now)
{
    proto::Answer answer;
    answer.set_offered(true);
    learn(reply, now);
    const auto verdict = judge(reply, m_context->headers);
    if (verdict != BackendVerdict::Answered) {
        const bool isNotRun = verdict != BackendVerdict::Foreign;
        answer.set_outcome(isNotRun ? proto::NOT_RUN : proto::UNKNOWN);
        answer.set_reason(static_cast<std::uint32_t>(isNotRun ? Reason::BackendRefused : Reason::Damaged));
        return answer;
    }
    answer.set_outcome(proto::ANSWERED);
    answer.set_status(static_cast<std::uint32_t>(reply.status));
    for (const auto& [name, value] : reply.headers) {
        if (isHopByHop(name))
            continue;
        auto& header = *answer.add_headers();
        header.set_name(name);
        header.set_value(value);
    }
    answer.set_body_length(reply.body.size());
    answer.set_body_hash(hash64(reply.body));
    answer.set_body(std::move(reply.body));
    return answer;
}

proto::Answer Owner::answerOf(HttpError error)
{
    proto::Answer answer;
    const bool isNotSent
        = error.kind == HttpErrorKind::NotConnected || error.kind == HttpErrorKind::BadRequest;
    answer.set_offered(!isNotSent);
    answer.set_outcome(isNotSent ? proto::NOT_RUN : proto::UNKNOWN);
    answer.set_reason(
        static_cast<std::uint32_t>(isNotSent ? Reason::BackendUnreachable : Reason::BackendFailed));
    return answer;
}

void Owner::ended(std::uint64_t id, Result<HttpReply, HttpError> result, Instant now)
{
    // First of all: a drain told with this answer must stop the call that would get its slot.
    auto answer = result.has_value() ? answerOf(result.value(), now) : answerOf(result.error());
    if (!result.has_value() && result.error().kind == HttpErrorKind::NotConnected
        && ++m_unreached >= unreachedLimit)
        setDown(true, now);
    auto& record = m_calls.at(id);
    const auto next = m_admission.finished(id, now);
    answer.set_queued_us(static_cast<std::uint32_t>((record.started - record.arrived).count()));
    answer.set_held_us(static_cast<std::uint32_t>((now - record.started).count()));
    const bool isFailure = answer.outcome() != proto::ANSWERED
        || answer.status() >= static_cast<std::uint32_t>(firstServerError);
    m_errors.add(isFailure ? 1 : 0);
    recordTicket(record, answer);
    answerAll(record, answer, now);
    act(next, now);
}

void Owner::recordTicket(const CallRecord& record, const proto::Answer& answer)
{
    if (!isOnceTicket(record.call))
        return;
    const auto nonce = decode(record.call.ticket()).nonce;
    if (answer.outcome() == proto::NOT_RUN)
        return m_tickets.notRun(nonce);
    RecordedAnswer recorded;
    recorded.isKnown = answer.outcome() == proto::ANSWERED;
    recorded.status = static_cast<int>(answer.status());
    recorded.body = answer.body();
    for (const auto& it : answer.headers())
        recorded.headers.emplace_back(it.name(), it.value());
    m_tickets.ended(nonce, std::move(recorded));
}

void Owner::refuse(const Refusal& refusal, Instant now)
{
    auto& record = m_calls.at(refusal.id);
    proto::Answer answer;
    answer.set_outcome(proto::NOT_RUN);
    answer.set_reason(static_cast<std::uint32_t>(refusal.reason));
    answer.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(refusal.retryAfter)));
    answer.set_queued_us(static_cast<std::uint32_t>((now - record.arrived).count()));
    recordTicket(record, answer);
    answerAll(record, answer, now);
}

void Owner::answerAll(CallRecord& record, const proto::Answer& answer, Instant now)
{
    const auto key = CallKey { record.sender.incarnation, record.call.number() };
    const auto replies = std::move(record.replies);
    const auto numbers = std::move(record.numbers);
    const auto id = m_idByKey.find(key);
    const auto group = record.call.group();
    noteEnd(record, answer, now);
    if (const auto running = m_runningRequests.find(record.call.request_id());
        record.isRunning && running != m_runningRequests.end())
        m_runningRequests.erase(running);
    const auto bySender = m_bySender.find({ record.sender.incarnation, group });
    if (--bySender->second == 0)
        m_bySender.erase(bySender);
    m_calls.erase(id->second);
    m_idByKey.erase(id);
    for (std::size_t i = 0; i < replies.size(); ++i) {
        // Each gets a copy of its own: whoever is first may take it apart.
        auto copy = answer;
        copy.set_number(numbers[i]);
        fillNews(copy, replies[i].first, group, now);
        replies[i].second(std::move(copy));
    }
}

void Owner::noteEnd(CallRecord& record, const proto::Answer& answer, Instant now)
{
    const auto reason = static_cast<Reason>(answer.reason());
    const bool isGood = answer.outcome() == proto::ANSWERED
        && answer.status() < static_cast<std::uint32_t>(firstServerError);
    if (!isGood)
        record.trail.setNotable();
    const auto event = [&] {
        if (answer.outcome() == proto::ANSWERED)
            return RequestEvent::BackendAnswered;
        if (reason == Reason::Cancelled)
            return RequestEvent::CancelTaken;
        return record.isRunning ? RequestEvent::BackendFailed : RequestEvent::OwnerGaveUp;
    }();
    const auto load = m_admission.load(now);
    record.trail.add({ event, now, upstream(), record.call.number(), reason,
        { { "status", answer.status() }, { "queued_ms", answer.queued_us() / 1000 },
            { "held_ms", answer.held_us() / 1000 }, { "in_use", load.inUse }, { "queued", load.waiting },
            { "retry_after_ms", answer.retry_after_ms() },
            { "not_run", answer.outcome() == proto::NOT_RUN } } });
    record.trail.write(
        record.call.request_id(), record.sender.node, m_context->settings.log.sampleOneIn, now);
}

void Owner::fillNews(proto::Answer& answer, const Sender& sender, const std::string& group, Instant now)
{
    const auto load = m_admission.loadFor(m_context->directory.groupNumber(group), now);
    auto& out = *answer.mutable_load();
    out.set_slots(load.slots);
    out.set_in_use(load.inUse);
    out.set_waiting(load.waiting);
    out.set_queued(m_admission.load(now).waiting);
    out.set_service_us(static_cast<std::uint32_t>(load.service.count()));
    out.set_state(
        static_cast<std::uint32_t>(m_leaving.isLeaving() ? UpstreamState::Leaving : UpstreamState::Active));
    out.set_slowdown_permille(static_cast<std::uint32_t>(load.slowdown * permille));
    out.set_down(m_isDown);
    const auto it = m_bySender.find({ sender.incarnation, group });
    out.set_yours(it == m_bySender.end() ? 0 : it->second);
    out.set_error_permille(static_cast<std::uint32_t>(m_errors.value() * permille));
    answer.set_incarnation(m_context->incarnation);
    answer.set_caller_incarnation(sender.incarnation);
    answer.set_owner_now_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

void Owner::refuseAtOnce(const proto::Call& call, const Sender& sender, const Reply& reply, Reason reason,
    bool isNotRun, Instant now)
{
    proto::Answer answer;
    answer.set_number(call.number());
    answer.set_outcome(isNotRun ? proto::NOT_RUN : proto::UNKNOWN);
    answer.set_reason(static_cast<std::uint32_t>(reason));
    fillNews(answer, sender, call.group(), now);
    reply(std::move(answer));
}

void Owner::cancel(std::uint64_t senderIncarnation, std::uint64_t number, Instant now)
{
    const auto found = m_idByKey.find({ senderIncarnation, number });
    if (found == m_idByKey.end())
        return;
    const auto id = found->second;
    auto& record = m_calls.at(id);
    if (record.replies.size() > 1)
        return; // others wait for the same ticket
    if (m_admission.cancelWaiting(id))
        return refuse({ id, Reason::Cancelled, {} }, now);
    if (!record.isRepeatable)
        return; // what must not be repeated is not cut off either
    record.pool->cancel(record.request);
    const auto next = m_admission.finished(id, now);
    proto::Answer answer;
    answer.set_outcome(proto::UNKNOWN);
    answer.set_reason(static_cast<std::uint32_t>(Reason::Cancelled));
    answerAll(record, answer, now);
    act(next, now);
}

} // namespace robinrun
