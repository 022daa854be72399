#include "Core/Check.h"
#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/CallReply.h"
#include "Node/Ingress.h"

#include <algorithm>

/// \file How an ingress ends calls: answered, not run, unknown, or the caller is gone.

namespace robinrun {
namespace {

    /// When to come back if nothing tells better: about the time in which a lost peer is noticed.
    constexpr std::uint32_t standardRetryMs = 150;
    /// Of what a caller has left, so that it can still be served then.
    constexpr double longestRetryAfterShare = 0.33;
    /// A limit so low that it admits a call only later than this may as well be lifted before.
    constexpr Duration longestLimitRetry = 10s;
    constexpr double secondsPerMinute = 60;
    /// Where a call may go that this node refuses because it stops.
    constexpr std::uint32_t leavingRetryMs = 100;
    /// A call is taken while so many times its usual time is left until the node ends. One that takes longer
    /// is broken off; one that is refused without need fails the run that it was made for.
    constexpr double usualTimesUntilEnd = 2;
    constexpr auto noneOut = "Ingress: a call ends without an answer only once no attempt is out";

} // namespace

bool Ingress::finishWithFailure(CallId id, Call& call, Instant now)
{
    if (!call.failedAnswer)
        return false;
    const auto answer = std::move(call.failedAnswer);
    step(call, CallEvent::Answered);
    finishAnswered(id, call, *answer, now);
    return true;
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
    call.brokenOff += static_cast<std::uint32_t>(call.out.size());
    for (const auto& it : std::exchange(call.out, {})) {
        m_callByNumber.erase(it.number);
        if (isLost)
            router.onAttemptLost(it.upstream, call.request.groupNumber, now);
        else
            router.onAttemptAbandoned(it.upstream, call.request.groupNumber);
        if (it.address.empty()) {
            m_owner->cancel(selfAsSender(), it.number, now);
            continue;
        }
        proto::PeerMessage message;
        message.mutable_cancel()->set_number(it.number);
        m_send(it.address, message, now);
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

std::uint32_t Ingress::retryAfterFor(const Call& call, Reason reason, Instant now) const
{
    // Until then it is refused everywhere, however little time its caller has left.
    const bool isRefusedUntilThen = reason == Reason::CrashesServers || reason == Reason::ServerLimit;
    if (!call.request.isByRoute || isRefusedUntilThen)
        return call.retryAfterMs;
    const auto left = toMilliseconds(std::max(call.deadline - now, Duration::zero()));
    const auto longest = static_cast<std::uint32_t>(left * longestRetryAfterShare);
    return std::min(call.retryAfterMs ? call.retryAfterMs : standardRetryMs, longest);
}

void Ingress::finishNotRun(CallId id, Call& call, Reason reason, Instant now)
{
    require(call.out.empty(), noneOut);
    if (finishWithFailure(id, call, now))
        return;
    if (call.wasLost)
        return finishUnknown(id, call, reason, now);
    step(call, CallEvent::GivenUp);
    const auto* service = m_context->directory.service(call.request.service);
    const bool advisesTicket
        = reason == Reason::ClaimUndecided && service && service->config.ticket_in_outage();
    const auto reply
        = replies::notRun(reason, retryAfterFor(call, reason, now), advisesTicket, m_context->headers);
    finish(id, call, reply, CallOutcome::NotRun, reason, now);
}

void Ingress::finishUncalled(CallId id, Call& call, Instant now)
{
    require(call.out.empty(), noneOut);
    if (finishWithFailure(id, call, now))
        return;
    if (call.wasLost)
        return finishUnknown(id, call, Reason::OwnerLost, now);
    step(call, CallEvent::GivenUp);
    const auto reply
        = replies::rejected(httpStatus::unauthorized, "the credential was taken away while the call waited");
    finish(id, call, reply, CallOutcome::Rejected, Reason::None, now);
}

bool Ingress::isHopeless(const Call& call, const std::string& upstream, Instant now)
{
    auto& router = *m_routers.at(call.request.service);
    const auto* view = router.findView(upstream);
    const bool isKnown = view && (view->pacingWait(now) > Duration::zero() || call.freeRefusals);
    if (!isKnown || !call.request.isByRoute)
        return false;
    const auto needs = needsOf(call, now);
    auto responseTime = router.expectedResponseTime(upstream, needs, now);
    // Only the owner knows whether the call goes before those that wait for the server's limit.
    if (!call.freeRefusals && view->coldStartWait(now) == Duration::zero())
        responseTime = view->leastServerLimitWait(now) + view->roundTrip()
            + router.expectedSlotTime(needs.callClass, needs.remainingTargetLatency);
    const auto target = call.request.callClass.targetLatency;
    const bool isTimely = call.request.isNested() || target == Duration::zero();
    return now + responseTime > (isTimely ? call.deadline : std::min(call.arrived + target, call.deadline));
}

Duration Ingress::usualTime(const Call& call, const std::string& upstream, Instant now)
{
    auto& router = *m_routers.at(call.request.service);
    const auto& callClass = call.request.callClass;
    if (router.hasSlotTime(callClass.name))
        return router.expectedResponseTime(upstream, needsOf(call, now), now);
    return callClass.targetLatency > Duration::zero() ? callClass.targetLatency : call.deadline - now;
}

bool Ingress::outlivesNode(const Call& call, Duration usual, Instant now) const
{
    if (!m_end || call.deadline <= *m_end)
        return false;
    return now + fromSeconds(usualTimesUntilEnd * toSeconds(usual)) >= *m_end;
}

Instant Ingress::answerLimit(const Call& call) const
{
    return m_end ? std::min(call.deadline, *m_end) : call.deadline;
}

void Ingress::finishLeaving(CallId id, Call& call, Instant now)
{
    call.retryAfterMs = leavingRetryMs;
    finishNotRun(id, call, Reason::Leaving, now);
}

void Ingress::finishPaced(CallId id, Call& call, const std::string& upstream, Instant now)
{
    const auto* view = m_routers.at(call.request.service)->findView(upstream);
    if (view->serverLimitWait(now) > view->coldStartWait(now))
        return finishLimited(id, call, *view, now);
    finishCold(id, call, upstream, now);
}

void Ingress::finishLimited(CallId id, Call& call, const UpstreamView& view, Instant now)
{
    const auto& report = *view.report();
    const auto wait = view.serverLimitWait(now);
    const auto interval
        = fromSeconds(1 / std::max(*report.load.serverLimit, 1 / toSeconds(longestLimitRetry)));
    call.trail.setNotable();
    call.trail.add({ RequestEvent::UpstreamLimited, now, view.name(), 0, Reason::ServerLimit,
        { { "wait_ms", wait.count() / 1000 },
            { "limit_per_min", static_cast<std::int64_t>(*report.load.serverLimit * secondsPerMinute) },
            { "news_age_ms", (now - report.receivedAt).count() / 1000 } } });
    // Spread, so that those who come back don't meet the same start together.
    const auto retryAfter
        = wait + fromSeconds(toSeconds(std::max(wait, interval)) * m_context->random.unit());
    call.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(std::min(retryAfter, longestLimitRetry)));
    finishNotRun(id, call, Reason::ServerLimit, now);
}

void Ingress::finishCold(CallId id, Call& call, const std::string& upstream, Instant now)
{
    const auto* view = m_routers.at(call.request.service)->findView(upstream);
    const auto& report = *view->report();
    const auto wait = view->coldStartWait(now);
    const auto coldLeft = std::max(report.load.remainingWarmUp - (now - report.receivedAt), wait);
    call.trail.setNotable();
    call.trail.add({ RequestEvent::UpstreamCold, now, upstream, 0, Reason::WarmingUp,
        { { "wait_ms", wait.count() / 1000 }, { "cold_ms", coldLeft.count() / 1000 },
            { "news_age_ms", (now - report.receivedAt).count() / 1000 } } });
    // Spread over what is left, so that those who come back don't meet the same pace together.
    const auto spread = fromSeconds(toSeconds(coldLeft - wait) * m_context->random.unit());
    call.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(wait + spread));
    finishNotRun(id, call, Reason::WarmingUp, now);
}

void Ingress::finishUnknown(CallId id, Call& call, Reason reason, Instant now)
{
    require(call.out.empty(), noneOut);
    if (finishWithFailure(id, call, now))
        return;
    step(call, CallEvent::Lost);
    finish(id, call, replies::unknown(reason), CallOutcome::Unknown, reason, now);
}

void Ingress::noteEnd(Call& call, CallOutcome outcome, Reason reason, int status, Instant now)
{
    const auto event = [&] {
        switch (outcome) {
        case CallOutcome::Answered:
            return RequestEvent::RequestAnswered;
        case CallOutcome::Unknown:
            return RequestEvent::RequestUnknown;
        case CallOutcome::HungUp:
            return RequestEvent::CallerGone;
        default:
            return RequestEvent::RequestRefused;
        }
    }();
    const auto total = now - call.arrived;
    const auto target = call.request.callClass.targetLatency;
    const bool isLate = target > Duration::zero() && total > target;
    if (outcome != CallOutcome::Answered || status >= httpStatus::firstServerError || isLate)
        call.trail.setNotable();
    call.trail.add({ event, now, {}, 0, reason,
        { { "status", status }, { "total_ms", total.count() / 1000 }, { "late", isLate },
            { "upstreams_tried", static_cast<std::int64_t>(call.tried.size()) },
            { "left_ms", (call.deadline - now).count() / 1000 }, { "broken_off", call.brokenOff } },
        {}, call.retryDenied });
    call.trail.write(call.request.id, "", m_context->settings.log.sampleOneIn, now);
}

void Ingress::finish(CallId id, Call& call, HttpReply reply, CallOutcome outcome, Reason reason, Instant now,
    const proto::Answer* answer)
{
    giveUpAttempts(call, now, false);
    if (call.paid)
        refundRetry(call, *std::exchange(call.paid, std::nullopt));
    const bool hasNotRun = outcome == CallOutcome::NotRun || outcome == CallOutcome::Rejected;
    if (call.credit && hasNotRun)
        m_rates->returnCredit(call.request.group, *call.credit, now);
    else if (call.credit)
        m_rates->onCallRan(call.request.group, *call.credit);
    CallSample sample;
    sample.group = call.request.group;
    sample.callClass = call.request.callClass.name;
    sample.outcome = outcome;
    sample.reason = reason;
    sample.isNested = call.request.isNested();
    sample.isServed = outcome == CallOutcome::Answered && reply.status < httpStatus::firstServerError;
    sample.total = now - call.arrived;
    if (answer) {
        sample.queued = Duration(answer->queued_us());
        sample.held = Duration(answer->held_us());
    }
    m_context->metrics.call(sample);
    if (call.brokenOff && outcome != CallOutcome::Answered)
        m_context->metrics.count("robinrun_attempts_broken_off_total{outcome=\""
                + std::string(nameOf(outcome)) + "\",reason=\"" + std::string(nameOf(reason)) + "\"}",
            call.brokenOff);
    if (m_context->settings.log.access) {
        log(LogLevel::Info, "call",
            { { "group", call.request.group }, { "service", call.request.service },
                { "class", call.request.callClass.name }, { "outcome", nameOf(outcome) },
                { "reason", nameOf(reason) }, { "status", reply.status },
                { "total_us", std::int64_t { sample.total.count() } },
                { "queued_us", std::int64_t { sample.queued.count() } },
                { "held_us", std::int64_t { sample.held.count() } } });
    }
    noteEnd(call, outcome, reason, reply.status, now);
    const auto exchange = std::move(call.exchange);
    m_calls.erase(id);
    if (outcome != CallOutcome::HungUp)
        exchange->reply(reply);
}

} // namespace robinrun
