#include "Core/Hash.h"
#include "Http/HttpStatus.h"
#include "Node/BackendReply.h"
#include "Node/CallMessages.h"
#include "Node/Owner.h"
#include "Wire/TicketCodec.h"

#include <algorithm>

/// \file How an owner answers: what became of a call, and its own load with each answer.

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr double permille = 1000;

} // namespace

proto::Answer Owner::answerOf(HttpReply& reply, const CallRecord& record, Instant now)
{
    proto::Answer answer;
    answer.set_offered(true);
    setDown(false, now);
    const auto verdict = judge(reply, m_context->headers);
    const bool isOfServer = verdict == BackendVerdict::Answered || verdict == BackendVerdict::NotRun;
    const bool isOfThisLife = isOfServer && record.pool == m_pool.get();
    if (isOfThisLife)
        learn(reply, record, now);
    if (verdict != BackendVerdict::Answered) {
        const bool isNotRun = verdict != BackendVerdict::Foreign;
        answer.set_outcome(isNotRun ? proto::NOT_RUN : proto::UNKNOWN);
        answer.set_reason(static_cast<std::uint32_t>(isNotRun ? Reason::BackendRefused : Reason::Damaged));
        const auto retryAfter = findHeader(reply.headers, "Retry-After");
        if (const auto delay = retryAfter && isOfThisLife ? parseRetryAfter(*retryAfter) : std::nullopt)
            answer.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(*delay)));
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

void Owner::recordTicket(const CallRecord& record, const proto::Answer& answer)
{
    if (!record.call.has_ticket())
        return;
    const auto nonce = decode(record.call.ticket()).nonce;
    if (answer.outcome() == proto::NOT_RUN)
        return m_tickets.releaseTicket(nonce);
    RecordedAnswer recorded;
    recorded.isOutcomeKnown = answer.outcome() == proto::ANSWERED;
    recorded.statusCode = static_cast<int>(answer.status());
    recorded.body = answer.body();
    for (const auto& it : answer.headers())
        recorded.headers.emplace_back(it.name(), it.value());
    m_tickets.recordAnswer(nonce, std::move(recorded));
}

void Owner::refuse(const Refusal& refusal, Instant now)
{
    auto& record = m_calls.at(refusal.id);
    if (refusal.reason == Reason::ServerLimit)
        m_context->metrics.count("robinrun_server_limited_calls_total{outcome=\"refused\"}");
    proto::Answer answer;
    answer.set_outcome(proto::NOT_RUN);
    answer.set_reason(static_cast<std::uint32_t>(refusal.reason));
    answer.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(refusal.retryAfter)));
    answer.set_queued_us(static_cast<std::uint32_t>((now - record.arrived).count()));
    recordTicket(record, answer);
    answerAll(record, std::move(answer), now);
}

void Owner::answerAll(CallRecord& record, proto::Answer answer, Instant now)
{
    const auto key = CallKey { record.sender.life(), record.call.number() };
    const auto replies = std::move(record.replies);
    const auto numbers = std::move(record.numbers);
    const auto id = m_idByKey.find(key);
    const auto group = record.call.group();
    noteEnd(record, answer, now);
    const auto [begin, end] = m_runningRequests.equal_range(record.call.request_id());
    const auto running = std::find_if(begin, end, [&](const auto& it) { return it.second == id->second; });
    if (running != end)
        m_runningRequests.erase(running);
    const auto bySender = m_bySender.find({ record.sender.life(), group });
    if (--bySender->second == 0)
        m_bySender.erase(bySender);
    m_calls.erase(id->second);
    m_idByKey.erase(id);
    for (std::size_t i = 0; i < replies.size(); ++i) {
        // Each gets one of its own: whoever is first may take it apart.
        proto::Answer own;
        if (i + 1 < replies.size())
            own = answer;
        else
            own.Swap(&answer);
        own.set_number(numbers[i]);
        addLoad(own, replies[i].first, group, now);
        replies[i].second(std::move(own));
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
    RequestTrail::Entry entry { event, now, upstream(), record.call.number(), reason,
        { { "status", answer.status() }, { "queued_ms", answer.queued_us() / 1000 },
            { "held_ms", answer.held_us() / 1000 }, { "in_use", load.slotsInUse },
            { "queued", load.waitingCalls }, { "retry_after_ms", answer.retry_after_ms() },
            { "not_run", answer.outcome() == proto::NOT_RUN } } };
    if (event == RequestEvent::BackendFailed)
        entry.numbers.emplace_back(
            "content", static_cast<std::int64_t>(contentIdOf(contentOf(record.call, record.body))));
    record.trail.add(std::move(entry));
    record.trail.write(
        record.call.request_id(), record.sender.node, m_context->settings.log.sampleOneIn, now);
}

proto::Load Owner::makeLoad(std::uint64_t senderLife, const std::string& group, Instant now) const
{
    const auto load = m_admission.loadForGroup(m_context->directory.groupNumber(group), now);
    proto::Load out;
    out.set_slots(load.slotLimit);
    out.set_in_use(load.slotsInUse);
    out.set_waiting(load.waitingCalls);
    out.set_queued(m_admission.load(now).waitingCalls);
    out.set_service_us(static_cast<std::uint32_t>(load.meanSlotTime.count()));
    out.set_state(
        static_cast<std::uint32_t>(m_leaving.isLeaving() ? UpstreamState::Leaving : UpstreamState::Active));
    out.set_slowdown_permille(static_cast<std::uint32_t>(load.slowdown * permille));
    out.set_down(m_isDown);
    out.set_cold_ms(static_cast<std::uint32_t>(toMilliseconds(load.remainingWarmUp)));
    out.set_cold_per_s(load.warmUpCallsPerSecond);
    out.set_next_start_us(static_cast<std::uint32_t>(load.timeToNextStart.count()));
    out.set_limited(load.serverLimit.has_value());
    out.set_limit_per_s(load.serverLimit.value_or(0));
    const auto it = m_bySender.find({ senderLife, group });
    out.set_yours(it == m_bySender.end() ? 0 : it->second);
    out.set_error_permille(static_cast<std::uint32_t>(m_errors.value() * permille));
    return out;
}

void Owner::addLoad(proto::Answer& answer, const Sender& sender, const std::string& group, Instant now) const
{
    *answer.mutable_load() = makeLoad(sender.life(), group, now);
    answer.set_incarnation(m_context->incarnation);
    answer.set_caller_incarnation(sender.incarnation);
    answer.set_owner_now_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

void Owner::refuseAtOnce(const proto::Call& call, const Sender& sender, const Reply& reply, Reason reason,
    bool isNotRun, Instant now, Duration retryAfter)
{
    proto::Answer answer;
    answer.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(retryAfter)));
    answer.set_number(call.number());
    answer.set_outcome(isNotRun ? proto::NOT_RUN : proto::UNKNOWN);
    answer.set_reason(static_cast<std::uint32_t>(reason));
    addLoad(answer, sender, call.group(), now);
    reply(std::move(answer));
}

} // namespace robinrun
