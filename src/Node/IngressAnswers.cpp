#include "Core/Hash.h"
#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/Ingress.h"
#include "Once/KeyCreationTime.h"
#include "Wire/TicketCodec.h"

#include <algorithm>

/// \file Answers, refusals and losses of attempts: what an ingress learns of them and does next.

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr double permille = 1000;
    /// Owners ask for less.
    constexpr std::size_t longestBodyPart = 1U << 20U;
    /// Owners asked beyond the first one while none has asked its backend server; each costs a round trip.
    constexpr std::uint32_t maxFreeRefusals = 2;

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
        return reason == Reason::Leaving || reason == Reason::WrongOwner || reason == Reason::VersionWithheld;
    }

    OwnerReport reportOf(const proto::Load& load, Instant now)
    {
        OwnerReport report;
        report.load = { load.slots(), load.in_use(), load.waiting(), Duration(load.service_us()) };
        report.load.slowdown = load.slowdown_permille() ? load.slowdown_permille() / permille : 1;
        report.load.isUnreachable = load.down();
        report.load.remainingWarmUp = std::chrono::milliseconds(load.cold_ms());
        report.load.warmUpCallsPerSecond = load.cold_per_s();
        report.load.timeToNextStart = Duration(load.next_start_us());
        if (load.limited())
            report.load.serverLimit = std::max(load.limit_per_s(), 0.0);
        report.callsOfThisIngress = load.yours();
        report.queuedCalls = load.queued();
        report.errorShare = load.error_permille() / permille;
        report.receivedAt = now;
        return report;
    }

} // namespace

void Ingress::learnClock(const Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now)
{
    const Instant answered { Duration(static_cast<std::int64_t>(answer.owner_now_us())) };
    // A call with a ticket may have joined one that its owner has had for longer: it was received since.
    const bool mayHaveJoined = call.ticket && !call.isMinting;
    const auto spent = Duration(answer.queued_us()) + Duration(answer.held_us());
    const auto received = mayHaveJoined ? answered : answered - spent;
    const OwnerClock::Sample sample { answer.incarnation(), attempt.sent, received, answered, now };
    m_ownerClocks.try_emplace(attempt.upstream, sample).first->second.addSample(sample);
}

void Ingress::learnStatement(const Attempt& attempt, const proto::Answer& answer, Instant now)
{
    if (answer.outcome() != proto::ANSWERED)
        return;
    HttpHeaders fields;
    for (const auto& it : answer.headers()) {
        if (m_context->headers.isStatement(it.name()))
            fields.emplace_back(it.name(), it.value());
    }
    const auto statement = readStatement(fields, m_context->headers);
    if (m_notices.add(attempt.upstream, statement, now))
        configure(now);
}

void Ingress::learn(const Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now)
{
    auto& router = *m_routers.at(call.request.service);
    learnClock(call, attempt, answer, now);
    learnStatement(attempt, answer, now);
    const auto& load = answer.load();
    const auto report = reportOf(load, now);
    const bool isFailure = answer.outcome() == proto::UNKNOWN
        || (answer.outcome() == proto::ANSWERED && answer.status() >= firstServerError)
        || reasonOf(answer) == Reason::BackendUnreachable;
    const Duration held(answer.held_us());
    router.onAttemptAnswered(attempt.upstream, call.request.groupNumber, report, held, isFailure, now);
    const bool isLeaving = load.state() == static_cast<std::uint32_t>(UpstreamState::Leaving);
    router.setLeaving(attempt.upstream, isLeaving, now);
    if (load.down())
        router.onLoadReport(attempt.upstream, report, now);
    if (answer.outcome() == proto::ANSWERED && answer.status() < firstError) {
        const auto& callClass = call.request.callClass.name;
        m_callBytes.addCall(callClass, call.body->bytes.size() + answer.body().size());
        router.recordSlotTime(callClass, held, attempt.slowdown);
        router.recordResponseTime(callClass, now - attempt.sent, attempt.expected);
        // Time in the owner's queue was no work.
        const double ran = toSeconds(held) / std::max(toSeconds(now - attempt.sent), toSeconds(held));
        const double work = toSeconds(workDone(call, attempt, now));
        router.recordCompletedWork(callClass, fromSeconds(work * std::min(ran, 1.0)));
        NestedCallEstimate::Counts nested;
        for (const auto& it : answer.nested())
            nested[it.service()] = it.calls();
        m_nestedCalls.addRun(callClass, nested);
    }
    // The way of a body that was asked for part by part is no round trip.
    if (answer.outcome() == proto::ANSWERED && call.body->bytes.size() <= Owner::longestInlineBody) {
        const auto network = (now - attempt.sent) - held - Duration(answer.queued_us());
        router.recordRoundTrip(attempt.upstream, std::max(network, Duration::zero()));
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
    if (answer.wanted_bytes())
        return sendBodyPart(call, *it, answer, now);
    Attempt attempt = std::move(*it);
    call.out.erase(it);
    m_callByNumber.erase(found);
    auto& router = *m_routers.at(call.request.service);
    if (attempt.isAsk)
        router.immediateAttemptPolicy().recordAnswer(
            answer.outcome() == proto::NOT_RUN && reasonOf(answer) == Reason::Busy);
    const bool wasSlow = isSlow(router.reportedSlowdown(attempt.upstream));
    learn(call, attempt, answer, now);
    const bool isUnsent = answer.outcome() == proto::NOT_RUN && !answer.offered() && call.request.isByRoute;
    if (isUnsent)
        releaseUnsentRetry(call, attempt);
    else if (attempt.paid) {
        settleNestedCalls(call, *attempt.paid, answer);
        call.spent.push_back(std::move(*attempt.paid));
    }
    if (answer.offered() && ++call.arrivals > 1)
        countRetries("arrived", call.request.service);
    if (!wasSlow && isSlow(router.reportedSlowdown(attempt.upstream)))
        upstreamSlowed(attempt.upstream, now);
    if (answer.outcome() == proto::NOT_RUN)
        return refused(id, call, attempt, answer, now);
    if (call.isMinting)
        return ticketMinted(id, call, decode(answer.ticket()), now);
    if (answer.outcome() == proto::ANSWERED && isWhole(answer))
        return answered(id, call, answer, now);
    attemptLost(id, call, answer.outcome() == proto::ANSWERED ? Reason::Damaged : reasonOf(answer), now);
}

void Ingress::sendBodyPart(const Call& call, const Attempt& attempt, const proto::Answer& asked, Instant now)
{
    const std::string_view bytes = call.body->bytes;
    const auto n = std::min<std::size_t>(asked.wanted_bytes(), longestBodyPart);
    if (asked.wanted_from() >= bytes.size())
        return log(LogLevel::Warning, "body-part-unknown",
            { { "from", asked.wanted_from() }, { "bytes", std::uint64_t { bytes.size() } } });
    proto::PeerMessage message;
    auto& part = *message.mutable_body_part();
    part.set_number(attempt.number);
    part.set_from(asked.wanted_from());
    part.set_bytes(std::string(bytes.substr(asked.wanted_from(), n)));
    // The owner gives the call up if the part doesn't come.
    const auto result = m_send(attempt.address, message, now);
    if (result != SendResult::Sent)
        log(LogLevel::Warning, "body-part-unsent",
            { { "peer", attempt.address }, { "result", nameOf(result) } });
}

void Ingress::answered(CallId id, Call& call, proto::Answer& answer, Instant now)
{
    const bool isGood = answer.status() < firstServerError;
    const bool mayReplace = !isGood && isRepeatable(call) && now < call.deadline
        && (!call.out.empty() || mayTryAgain(call, now));
    if (!mayReplace) {
        m_routers.at(call.request.service)->recordCallLatency(now - call.arrived);
        step(call, CallEvent::Answered);
        return finishAnswered(id, call, answer, now);
    }
    call.failedAnswer = std::make_unique<proto::Answer>(std::move(answer));
    if (!call.out.empty())
        return;
    step(call, CallEvent::Refused);
    proceed(id, now);
}

void Ingress::attemptLost(CallId id, Call& call, Reason reason, Instant now)
{
    call.wasLost = true;
    call.lostAt = now;
    call.lastReason = reason;
    call.trail.setNotable();
    call.trail.add({ RequestEvent::AttemptLost, now, {}, 0, reason,
        { { "repeatable", isRepeatable(call) }, { "attempts_left", call.attemptsLeft },
            { "others_out", static_cast<std::int64_t>(call.out.size()) } } });
    if (!call.out.empty())
        return; // another attempt is still out
    if (isRepeatable(call) && now < call.deadline && mayTryAgain(call, now)) {
        step(call, CallEvent::Refused);
        return proceed(id, now);
    }
    finishUnknown(id, call, reason, now);
}

void Ingress::ownerBusy(CallId id, Call& call, const Attempt& attempt, Instant now)
{
    // With what its owner has just told, it may still be the best choice.
    std::erase(call.tried, attempt.upstream);
    call.busy.push_back(attempt.upstream);
    call.asksLeft -= call.asksLeft ? 1 : 0;
    // The other attempt goes on.
    if (!call.out.empty())
        return;
    step(call, CallEvent::Refused);
    proceed(id, now);
}

bool Ingress::mayMoveOn(Call& call, const proto::Answer& answer, Instant now)
{
    // Moving on from an owner that is leaving is no overload: it costs no retry.
    if (isAboutOwner(call.lastReason) || call.lastReason == Reason::WrongIncarnation)
        return true;
    // Nor does it load any backend server to ask another owner, but that has an end too.
    if (call.request.isByRoute && !answer.offered())
        return ++call.freeRefusals <= maxFreeRefusals;
    return mayTryAgain(call, now);
}

void Ingress::refused(CallId id, Call& call, const Attempt& attempt, const proto::Answer& answer, Instant now)
{
    const auto reason = reasonOf(answer);
    call.trail.add({ RequestEvent::OwnerRefused, now, attempt.upstream, attempt.number, reason,
        { { "told_in_use", answer.load().in_use() }, { "told_queued", answer.load().queued() },
            { "retry_after_ms", answer.retry_after_ms() }, { "backend_asked", answer.offered() } } });
    if (reason == Reason::Busy)
        return ownerBusy(id, call, attempt, now);
    call.lastReason = reason;
    call.trail.setNotable();
    if (reason == Reason::CrashesServers)
        call.retryAfterMs = 0; // what other owners said is not the time to come back
    const bool isSooner = !call.retryAfterMs || answer.retry_after_ms() < call.retryAfterMs;
    if (isSooner || !call.request.isByRoute)
        call.retryAfterMs = answer.retry_after_ms();
    if (!call.out.empty())
        return; // another attempt is still out
    step(call, CallEvent::Refused);
    if ((call.ticket && !call.isMinting) || reason == Reason::CrashesServers)
        return finishNotRun(id, call, call.lastReason, now);
    // An owner that restarted is as good as before under its new incarnation.
    if (call.lastReason == Reason::WrongIncarnation)
        std::erase(call.tried, attempt.upstream);
    if (call.lastReason == Reason::DeadlinePassed || now >= call.deadline || !mayMoveOn(call, answer, now))
        return finishNotRun(id, call, call.lastReason, now);
    proceed(id, now);
}

void Ingress::ticketMinted(CallId id, Call& call, const Ticket& ticket, Instant now)
{
    call.ticket = ticket;
    if (call.request.wantsTicket)
        return finishTicket(id, call, now);
    const auto key = hash128(call.request.group + '\n' + call.request.service + '\n' + *call.request.key);
    const Claim claim { key, *keyCreationTimeMs(*call.request.key), ticket };
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
    giveUp(id, Reason::DeadlinePassed, monotonicNow());
}

void Ingress::endCalls(Instant now)
{
    std::vector<CallId> ids;
    for (const auto& [id, call] : m_calls)
        ids.push_back(id);
    if (!ids.empty())
        log(LogLevel::Warning, "calls-given-up", { { "in_progress", std::uint64_t { ids.size() } } });
    for (const auto id : ids) {
        if (m_calls.contains(id))
            giveUp(id, Reason::Leaving, now);
    }
}

void Ingress::giveUp(CallId id, Reason reason, Instant now)
{
    auto& call = m_calls.at(id);
    const bool isOut = !call.out.empty() && !call.isMinting;
    const bool mayHaveRunEarlier = call.ticket && !call.isMinting;
    giveUpAttempts(call, now, true);
    if (isOut || call.wasLost || mayHaveRunEarlier)
        return finishUnknown(id, call, reason, now);
    const bool isClaiming = call.state == CallState::Claiming;
    finishNotRun(id, call, isClaiming ? Reason::ClaimUndecided : reason, now);
}

void Ingress::peerLost(const std::string& address, Instant now)
{
    std::vector<std::pair<CallId, std::uint64_t>> lost;
    for (const auto& [id, call] : m_calls) {
        for (const auto& it : call.out) {
            if (it.address == address)
                lost.emplace_back(id, it.number);
        }
    }
    for (const auto& [id, number] : lost) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            continue;
        auto& call = found->second;
        const auto it = std::find_if(
            call.out.begin(), call.out.end(), [&, n = number](const auto& out) { return out.number == n; });
        if (it == call.out.end())
            continue;
        auto attempt = std::move(*it);
        m_routers.at(call.request.service)->onAttemptLost(attempt.upstream, call.request.groupNumber, now);
        call.out.erase(it);
        m_callByNumber.erase(number);
        if (!wasNeverRun(call, attempt)) {
            if (attempt.paid)
                call.spent.push_back(std::move(*attempt.paid));
            attemptLost(id, call, Reason::OwnerLost, now);
            continue;
        }
        if (call.request.isByRoute)
            releaseUnsentRetry(call, attempt);
        proto::Answer answer;
        answer.set_outcome(proto::NOT_RUN);
        answer.set_reason(static_cast<std::uint32_t>(Reason::Leaving));
        refused(id, call, attempt, answer, now);
    }
}

bool Ingress::wasNeverRun(const Call& call, const Attempt& attempt) const
{
    // An earlier request with the same ticket may have run.
    if (call.ticket && !call.isMinting)
        return false;
    return m_lastWords.wasNeverRun(attempt.node, attempt.ownerIncarnation, attempt.number);
}

void Ingress::takeLastWord(const Owner::Sender& sender, const proto::LastWord& word)
{
    if (word.caller_incarnation() == m_context->incarnation && word.incarnation() == sender.incarnation)
        m_lastWords.take(sender.node, { word.incarnation(), word.highest() });
}

void Ingress::reactivate(const std::string& upstream, Instant now)
{
    for (auto& [service, router] : m_routers)
        router->reactivate(upstream, now);
}

void Ingress::takeLoad(const proto::LoadNews& news, Instant now)
{
    const auto report = reportOf(news.load(), now);
    const bool isLeaving = news.load().state() == static_cast<std::uint32_t>(UpstreamState::Leaving);
    for (auto& [service, router] : m_routers) {
        router->onLoadReport(news.upstream(), report, now);
        router->setLeaving(news.upstream(), isLeaving, now);
    }
    if (isSlow(report.load.slowdown))
        upstreamSlowed(news.upstream(), now);
}

void Ingress::takeLeaving(const proto::Leaving& leaving, Instant now)
{
    for (auto& [service, router] : m_routers)
        router->setLeaving(leaving.upstream(), !leaving.undone(), now);
}

} // namespace robinrun
