#include "Node/Owner.h"

#include "Core/Hash.h"
#include "Core/Log.h"
#include "Wire/TicketCodec.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr Duration forgetSenders = 120s;
    constexpr std::uint32_t priorityOfNested = 0;
    constexpr std::uint32_t mostPriorities = 256; // lower ones share the last place
    constexpr Duration ingressMemory = 30s;
    constexpr double percent = 100;
    constexpr std::int64_t neverHeard = -1; // in the log, for an age

    /// Of what the deployment allows on top of a cold server's pace: questions for its health may count too.
    constexpr double spareStarts = 2;

    WarmUpSettings warmUpTerms(const proto::Service& service, double factor, double burst)
    {
        WarmUpSettings out;
        out.duration = std::chrono::milliseconds(service.warm_up_ms());
        out.rateLimit.callsPerSecond = factor * service.warm_up_per_s();
        out.rateLimit.burstCalls = std::max(burst - spareStarts, 0.0);
        return out;
    }

    /// \returns the place over all groups of a call that isn't nested: the group's priority goes before the
    /// route's.
    std::uint32_t rankOf(const proto::RouteTerms& terms)
    {
        const auto group = std::min(terms.group_priority(), mostPriorities - 1);
        const auto route = std::min(terms.priority(), mostPriorities - 1);
        return 1 + group * mostPriorities + route;
    }

    Hash128 fingerprintOf(const proto::Call& call, const SharedBody& body)
    {
        const auto ofBody = hash128(body ? body->bytes : call.body());
        return hash128(call.group() + '\n' + call.method() + '\n' + call.target() + '\n'
            + std::to_string(ofBody.high) + '\n' + std::to_string(ofBody.low));
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
    m_admission.setSlots(slots);
    m_admission.setLimitKind(m_context->settings.admission.limit, m_context->settings.admission.usableShare);
    m_admission.setQueueLimit(serviceInfo.config.queue_limit());
    const auto& admission = m_context->settings.admission;
    m_admission.warmUp().setPacerKind(admission.coldPace);
    m_admission.warmUp().setSettings(
        warmUpTerms(serviceInfo.config, admission.coldFactor, admission.coldBurst));
    for (const auto& it : m_context->directory.groups())
        m_admission.setGroupWeight(it.number, it.weightIn(m_serviceId));
    // Before another life is turned to: that asks the server for its health.
    m_prober.setPath(serviceInfo.config.health_path(), m_context->headers);
    m_prober.setOptions(
        { serviceInfo.config.probes_per_s(), serviceInfo.config.probe_slot_share(), slots }, now);
    if (m_backendAddress != info->config.address() || m_boundUpstream != info->id)
        turnTo(*info, now);
    setSign(LeavingSign::Operator, info->config.leaving(), now);
}

void Owner::setSign(LeavingSign sign, bool isSet, Instant now)
{
    if (m_leaving.hasSign(sign) == isSet)
        return;
    log(LogLevel::Info, "upstream-sign",
        { { "upstream", upstream() }, { "sign", nameOf(sign) }, { "set", isSet } });
    // A hall is given back while its servers may have turned cold.
    if (sign == LeavingSign::Operator && !isSet)
        markWarmUpUncertain(now);
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
            m_announce(ingress.sender, m_leaving.isLeaving());
    }
}

void Owner::tick(Instant now)
{
    if (m_leaving.isLeaving() && m_admission.isIdle()) {
        if (const auto state = m_leaving.idle())
            lifeChanged(*state, now);
    }
    refuseGivenUp(now);
    giveUpSilentBodies(now);
    onWarmUpChanged(now);
    m_seen.forgetSilent(now);
    std::erase_if(m_ingresses, [&](const auto& it) { return now - it.second.lastCall > ingressMemory; });
    std::erase_if(m_formerPools, [](const auto& it) { return it->isIdle(); });
    if (m_context->settings.experiments.isOn(Mechanism::GiveUpHopeless))
        act(m_admission.refuseCallsMissingDeadline(now), now);
    act(m_admission.startReadyCalls(now), now); // what was held back for calls that did not come
    if (m_pool)
        probeBackend(now);
}

Reason Owner::faultOf(const proto::Call& call, const Sender& sender, bool isBodyShared, Instant now)
{
    if (!isMeantBy(call.upstream()) || !m_pool)
        return Reason::WrongOwner;
    if (call.owner_incarnation() && call.owner_incarnation() != m_context->incarnation)
        return Reason::WrongIncarnation;
    if (!m_seen.isNew(sender.life(), call.number(), now))
        return Reason::Duplicate;
    if (!service())
        return Reason::WrongOwner;
    if (isVersionWithheld(call, now))
        return Reason::VersionWithheld;
    if (m_isDown)
        return Reason::BackendUnreachable;
    const bool isWhole = call.body_length() == 0 && !isBodyShared;
    if (isWhole && hash64(call.body()) != call.body_hash())
        return Reason::Damaged;
    const Instant deadline { Duration(static_cast<std::int64_t>(call.owner_deadline_us())) };
    if (call.owner_deadline_us() && now >= deadline)
        return Reason::DeadlinePassed;
    if (m_end && deadlineOf(call, now) > *m_end)
        return Reason::Leaving;
    return isGivenUp(call, sender, now) ? Reason::GivenUpMeanwhile : Reason::None;
}

Instant Owner::deadlineOf(const proto::Call& call, Instant now)
{
    const auto out = now + Duration(call.remaining_us());
    if (!call.owner_deadline_us())
        return out;
    return std::min(out, Instant(Duration(static_cast<std::int64_t>(call.owner_deadline_us()))));
}

void Owner::take(
    const proto::Call& call, const Sender& sender, Reply reply, Instant now, const SharedBody& body)
{
    m_ingresses[sender.node] = { sender, now, call.group() };
    takeReportedLimit(call, now);
    if (m_isEnding)
        sendLastWord(sender);
    const auto fault = faultOf(call, sender, body != nullptr, now);
    if (fault == Reason::Duplicate) {
        // The first delivery is answered under the same number; an answer to the double could overtake it.
        log(LogLevel::Warning, "call-doubled", { { "from", sender.node }, { "number", call.number() } });
        return;
    }
    if (fault != Reason::None)
        return refuseAtOnce(call, sender, reply, fault, true, now);
    // A ticket's call may have run already, or run just now: its answer is still to be had.
    if (m_isEnding && !call.has_ticket())
        return refuseAtOnce(call, sender, reply, Reason::Leaving, true, now);
    if (call.mint_ticket())
        return mint(call, sender, reply, now);
    const bool isAtOnce = call.terms().only_at_once() && !call.has_ticket();
    if (isAtOnce && !isReadyAtOnce(now) && !goesNext(call, now))
        return refuseAtOnce(call, sender, reply, Reason::Busy, true, now);
    if (call.body_length() > 0)
        return awaitBody(call, sender, std::move(reply), now);
    takeWhole(call, sender, std::move(reply), body, now);
}

void Owner::takeWhole(
    const proto::Call& call, const Sender& sender, Reply reply, const SharedBody& body, Instant now)
{
    if (call.has_ticket())
        return takeTicket(call, sender, std::move(reply), body, now);
    admit(call, sender, std::move(reply), body, now);
}

bool Owner::isReadyAtOnce(Instant now) const
{
    return m_admission.hasFreeSlot(now) && !isSlow(m_admission.load(now).slowdown);
}

bool Owner::goesNext(const proto::Call& call, Instant now) const
{
    if (!m_context->settings.experiments.isOn(Mechanism::NextInLine)
        || isSlow(m_admission.load(now).slowdown))
        return false;
    const auto& terms = call.terms();
    if (!terms.nested() && !terms.ranked())
        return false;
    const auto place = placeOf(terms);
    return m_admission.wouldGetNextSlot(
        m_context->directory.knownGroupNumber(call.group()), place.rank, place.priority);
}

Owner::Place Owner::placeOf(const proto::RouteTerms& terms) const
{
    // A call made for another one goes first: that one holds a slot while it waits, and its work is done.
    if (terms.nested() && m_context->settings.experiments.isOn(Mechanism::NestedFirst))
        return { priorityOfNested, priorityOfNested };
    return { terms.ranked() ? rankOf(terms) : 0, terms.priority() + 1 };
}

void Owner::mint(const proto::Call& call, const Sender& sender, const Reply& reply, Instant now)
{
    if (m_leaving.isLeaving())
        return refuseAtOnce(call, sender, reply, Reason::Leaving, true, now);
    proto::Answer answer;
    answer.set_number(call.number());
    encode(m_tickets.mint(m_context->random, now), *answer.mutable_ticket());
    addLoad(answer, sender, call.group(), now);
    reply(std::move(answer));
}

void Owner::takeTicket(
    const proto::Call& call, const Sender& sender, Reply reply, const SharedBody& body, Instant now)
{
    const auto begin
        = m_tickets.beginCall(decode(call.ticket()), fingerprintOf(call, body), m_lastId + 1, now);
    switch (begin.action) {
    case TicketAction::Run:
        return admit(call, sender, std::move(reply), body, now);
    case TicketAction::Refuse:
        return refuseAtOnce(call, sender, reply, begin.reason, begin.isNotRun, now);
    case TicketAction::Join: {
        auto& record = m_calls.at(begin.firstCallId);
        record.replies.emplace_back(sender, std::move(reply));
        record.numbers.push_back(call.number());
        return;
    }
    case TicketAction::Replay:
        return replay(call, sender, reply, *begin.answer, now);
    }
}

void Owner::replay(const proto::Call& call, const Sender& sender, const Reply& reply,
    const RecordedAnswer& recorded, Instant now)
{
    proto::Answer answer;
    answer.set_number(call.number());
    answer.set_outcome(recorded.isOutcomeKnown ? proto::ANSWERED : proto::UNKNOWN);
    answer.set_reason(
        static_cast<std::uint32_t>(recorded.isOutcomeKnown ? Reason::None : Reason::BackendFailed));
    answer.set_status(static_cast<std::uint32_t>(recorded.statusCode));
    for (const auto& [name, value] : recorded.headers) {
        auto& header = *answer.add_headers();
        header.set_name(name);
        header.set_value(value);
    }
    answer.set_body(recorded.body);
    answer.set_body_length(recorded.body.size());
    answer.set_body_hash(hash64(recorded.body));
    addLoad(answer, sender, call.group(), now);
    reply(std::move(answer));
}

void Owner::admit(
    const proto::Call& call, const Sender& sender, Reply reply, const SharedBody& body, Instant now)
{
    if (const auto length = heldBack(call, body, now)) {
        if (call.has_ticket())
            m_tickets.releaseTicket(decode(call.ticket()).nonce);
        return refuseAtOnce(call, sender, reply, Reason::CrashesServers, true, now, *length);
    }
    const auto id = ++m_lastId;
    auto record = recordOf(call, sender, std::move(reply), now);
    record.body = body;
    const auto offer = offerOf(id, record, now);
    noteQueued(record, offer, now);
    m_calls.emplace(id, std::move(record));
    m_idByKey[{ sender.life(), call.number() }] = id;
    ++m_bySender[{ sender.life(), call.group() }];
    act(m_admission.offer(offer, now), now);
}

Owner::CallRecord Owner::recordOf(
    const proto::Call& call, const Sender& sender, Reply reply, Instant now) const
{
    const auto& callClass = service()->classOf(call.target());
    CallRecord record;
    record.call = call;
    record.sender = sender;
    record.replies.emplace_back(sender, std::move(reply));
    record.numbers.push_back(call.number());
    record.arrived = now;
    record.deadline = deadlineOf(call, now);
    record.isByRoute = call.has_terms();
    record.isRepeatable
        = record.isByRoute ? call.terms().repeatable() : callClass.isRepeatable && !call.has_ticket();
    return record;
}

void Owner::noteQueued(CallRecord& record, const OfferedCall& offer, Instant now) const
{
    const auto load = m_admission.load(now);
    record.trail.add({ RequestEvent::Queued, now, upstream(), record.call.number(), Reason::None,
        { { "in_use", load.slotsInUse }, { "slots", load.slotLimit }, { "queued", load.waitingCalls },
            { "priority", offer.priority }, { "left_ms", (record.deadline - now).count() / 1000 },
            { "slowdown_percent", static_cast<std::int64_t>(load.slowdown * percent) },
            { "news_age_ms", m_loadHeard ? (now - *m_loadHeard).count() / 1000 : neverHeard } } });
}

OfferedCall Owner::offerOf(std::uint64_t id, const CallRecord& record, Instant now)
{
    const auto& call = record.call;
    OfferedCall offer;
    offer.id = id;
    offer.group = m_context->directory.groupNumber(call.group());
    offer.deadline = record.deadline;
    offer.slotTimeElsewhere = Duration(call.elsewhere_us());
    if (!record.isByRoute) {
        const auto& callClass = service()->classOf(call.target());
        offer.callClass = m_classNumbers(callClass.name);
        offer.priority = callClass.priority;
        return offer;
    }
    const auto& terms = call.terms();
    offer.callClass = m_classNumbers(call.call_class());
    offer.urgency = rankOf(terms);
    if (terms.nested() && m_context->settings.experiments.isOn(Mechanism::RoomForNested)) {
        offer.parentUrgency = offer.urgency;
        offer.urgency = 0;
    }
    const auto place = placeOf(terms);
    offer.rank = place.rank;
    offer.priority = place.priority;
    if (!terms.nested())
        offer.softDeadline = now + Duration(terms.target_latency_us());
    else
        offer.softDeadline = offer.deadline;
    return offer;
}

void Owner::act(const AdmissionResult& dispatch, Instant now)
{
    for (const auto& it : dispatch.refusals)
        refuse(it, now);
    for (const auto id : dispatch.callsToRun)
        run(id, now);
    resumeInTime(now);
}

void Owner::resumeInTime(Instant now)
{
    const auto next = m_admission.nextPacedStart(now);
    if (next == m_resumesAt)
        return;
    m_resumesAt = next;
    m_resumeTimer = Timer();
    if (!next)
        return;
    const auto delay = std::max(*next - now, Duration(1));
    m_resumeTimer = Timer::once(m_context->base, delay, [this] {
        const auto then = monotonicNow();
        m_resumesAt.reset();
        act(m_admission.startReadyCalls(then), then);
    });
}

} // namespace robinrun
