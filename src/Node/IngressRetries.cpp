#include "Node/Ingress.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

/// \file Second attempts: when one is worth it, and what it costs the budgets of retries.

namespace robinrun {
namespace {

    /// A second attempt is made if so many times its expected time is left: work varies by a third.
    constexpr double secondAttemptMargin = 1.2;
    /// A call that has taken so many times its usual work is stuck, whatever is told of its upstream.
    constexpr double stuckWorks = 2;

    RetryPriority claimOf(bool isNested, bool isLastNested)
    {
        if (!isNested)
            return RetryPriority::Outside;
        return isLastNested ? RetryPriority::LastNested : RetryPriority::Nested;
    }

} // namespace

bool Ingress::mayTryAgain(Call& call, Instant now)
{
    const bool isPaid = payRetry(call, claimOf(call.request.isNested(), call.isLastNested), now);
    if (isPaid)
        m_context->metrics.count("robinrun_retries_total");
    return isPaid;
}

void Ingress::countRetries(std::string_view name, const std::string& service, double n)
{
    m_context->metrics.count(
        "robinrun_retries_" + std::string(name) + "_total{service=\"" + service + "\"}", n);
}

std::optional<RetryDenial> Ingress::denyRetry(const Call& call, RetryPriority claim, Instant now)
{
    if (call.attemptsLeft <= 1)
        return RetryDenial::AttemptsUsed;
    const auto group = call.request.groupNumber;
    auto& router = *m_routers.at(call.request.service);
    if (router.isRetryReservedForHigher(group, claim, now))
        return RetryDenial::HigherPriority;
    for (const auto& [service, calls] : m_nestedCalls.meanCounts(call.request.callClass.name)) {
        const auto nested = m_routers.find(service);
        if (nested == m_routers.end())
            continue;
        if (nested->second->isRetryReservedForHigher(group, claim, now))
            return RetryDenial::HigherPriority;
        if (!nested->second->hasRetriesLeft(group))
            return RetryDenial::NestedBudgetEmpty;
    }
    if (!router.trySpendRetry(group, claim, now))
        return RetryDenial::OwnBudgetEmpty;
    return std::nullopt;
}

bool Ingress::payRetry(Call& call, RetryPriority claim, Instant now)
{
    // One that was given up before any backend server was asked to run it.
    if (call.paid)
        return true;
    const auto& service = call.request.service;
    call.retryDenied = denyRetry(call, claim, now);
    if (call.retryDenied) {
        m_context->metrics.count("robinrun_retries_denied_total{service=\"" + service + "\",cause=\""
            + std::string(nameOf(*call.retryDenied)) + "\"}");
        return false;
    }
    countRetries("paid", service);
    call.paid = PaidRetry { chargeNested(call) };
    --call.attemptsLeft;
    return true;
}

std::map<std::string, double> Ingress::chargeNested(const Call& call)
{
    std::map<std::string, double> out;
    for (const auto& [service, calls] : m_nestedCalls.meanCounts(call.request.callClass.name)) {
        out[service] = calls.value();
        chargeNested(call, service, calls.value());
    }
    return out;
}

void Ingress::chargeNested(const Call& call, const std::string& service, double n)
{
    const auto router = m_routers.find(service);
    if (router == m_routers.end())
        return;
    router->second->chargeRetries(call.request.groupNumber, n);
    countRetries(n > 0 ? "charged_nested" : "taken_back_nested", service, std::abs(n));
}

void Ingress::settleNestedCalls(const Call& call, PaidRetry& paid, const proto::Answer& answer)
{
    if (answer.outcome() == proto::UNKNOWN)
        return;
    std::map<std::string, double> made;
    if (answer.outcome() == proto::ANSWERED) {
        for (const auto& it : answer.nested())
            made[it.service()] = it.calls();
    }
    for (const auto& [service, n] : paid.nested)
        chargeNested(call, service, -n);
    for (const auto& [service, n] : made)
        chargeNested(call, service, n);
    paid.nested = std::move(made);
}

void Ingress::refundRetry(Call& call, const PaidRetry& paid)
{
    const auto& service = call.request.service;
    m_routers.at(service)->chargeRetries(call.request.groupNumber, -1);
    countRetries("taken_back", service);
    for (const auto& [nested, n] : paid.nested)
        chargeNested(call, nested, -n);
    ++call.attemptsLeft;
}

void Ingress::releaseUnsentRetry(Call& call, Attempt& attempt)
{
    auto freed = std::exchange(attempt.paid, std::nullopt);
    for (auto it = call.out.begin(); !freed && it != call.out.end(); ++it)
        freed = std::exchange(it->paid, std::nullopt);
    if (!freed && !call.spent.empty()) {
        freed = std::move(call.spent.back());
        call.spent.pop_back();
    }
    if (!freed)
        return;
    if (call.out.empty() && !call.paid)
        call.paid = std::move(freed);
    else
        refundRetry(call, *freed);
}

std::optional<std::string> Ingress::pickSecond(Call& call, Instant now)
{
    if (!isStillCalling(call))
        return std::nullopt;
    auto excluded = call.tried;
    excludeOtherRegions(call, excluded);
    excludeVersions(call, excluded, now);
    return m_routers.at(call.request.service)
        ->pickUpstream(excluded, needsOf(call, now), now, m_context->random);
}

bool Ingress::isWorthwhile(const Call& call, const std::string& upstream, Instant now)
{
    const auto needs = needsOf(call, now);
    const auto expected = m_routers.at(call.request.service)->expectedResponseTime(upstream, needs, now);
    return fromSeconds(secondAttemptMargin * toSeconds(expected)) < needs.remainingTargetLatency;
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
    router.onAttemptLate(it->upstream, now);
    call.trail.setNotable();
    call.trail.add({ RequestEvent::AttemptLate, now, it->upstream, number, Reason::None,
        { { "after_ms", (now - it->sent).count() / 1000 }, { "attempts_left", call.attemptsLeft } } });
    if (!mayHedge(call, now) || (call.request.isByRoute && isOnItsWay(call, *it, now)))
        return;
    // The late attempt stays out; the first whole answer is taken.
    const auto upstream = pickSecond(call, now);
    if (!upstream || (call.request.isByRoute && !isWorthwhile(call, *upstream, now)))
        return;
    sendSecond(id, call, *upstream, now);
}

Duration Ingress::workDone(const Call& call, const Attempt& attempt, Instant now) const
{
    return m_routers.at(call.request.service)->workClockReading(attempt.upstream, now) - attempt.workClock;
}

bool Ingress::isOnItsWay(const Call& call, const Attempt& attempt, Instant now) const
{
    auto& router = *m_routers.at(call.request.service);
    const auto& callClass = call.request.callClass.name;
    const auto done = workDone(call, attempt, now);
    const auto usual = router.expectedRemainingTime(attempt.upstream, callClass, Duration::zero());
    if (toSeconds(done) > stuckWorks * toSeconds(usual))
        return false;
    return router.expectedRemainingTime(attempt.upstream, callClass, done)
        <= needsOf(call, now).remainingTargetLatency;
}

bool Ingress::mayHedge(Call& call, Instant now) const
{
    return m_context->settings.experiments.isOn(Mechanism::SecondAttempts) && isRepeatable(call)
        && !call.isMinting && call.attemptsLeft > 1 && now < call.deadline
        && verdictOf(call, now) == CrashTracker::Verdict::Free;
}

void Ingress::sendSecond(CallId id, Call& call, const std::string& upstream, Instant now)
{
    if (outlivesNode(call, usualTime(call, upstream, now), now))
        return;
    // With one paid for already, another attempt is about to go out.
    if (call.paid || !payRetry(call, RetryPriority::Outside, now))
        return;
    const auto result = sendTo(id, call, upstream, now);
    if (result == SendResult::Sent)
        return m_context->metrics.count("robinrun_retries_total");
    refundRetry(call, *std::exchange(call.paid, std::nullopt));
    if (result == SendResult::Connecting)
        call.secondTimer
            = Timer::once(m_context->base, connectRetry, [this, id, upstream] { secondAgain(id, upstream); });
}

void Ingress::secondAgain(CallId id, const std::string& upstream)
{
    auto& call = m_calls.at(id);
    const auto now = monotonicNow();
    const bool wasTried = std::find(call.tried.begin(), call.tried.end(), upstream) != call.tried.end();
    if (call.out.size() == 1 && !wasTried && !m_notices.isLeaving(upstream) && mayHedge(call, now)
        && isWorthwhile(call, upstream, now))
        sendSecond(id, call, upstream, now);
}

void Ingress::upstreamSlowed(const std::string& upstream, Instant now)
{
    std::vector<std::pair<CallId, std::uint64_t>> slowed;
    for (auto& [id, call] : m_calls) {
        const bool isOnly = call.out.size() == 1 && call.out.front().upstream == upstream;
        if (isOnly && call.request.isByRoute && mayHedge(call, now))
            slowed.emplace_back(id, call.out.front().number);
    }
    for (const auto& [id, number] : slowed) {
        const auto it = m_calls.find(id);
        if (it != m_calls.end() && it->second.out.size() == 1 && it->second.out.front().number == number)
            attemptSlowed(id, it->second, it->second.out.front(), now);
    }
}

void Ingress::attemptSlowed(CallId id, Call& call, const Attempt& attempt, Instant now)
{
    auto& router = *m_routers.at(call.request.service);
    const auto needs = needsOf(call, now);
    const auto done = workDone(call, attempt, now);
    const auto here = router.expectedRemainingTime(attempt.upstream, call.request.callClass.name, done);
    if (here <= needs.remainingTargetLatency)
        return;
    const auto upstream = pickSecond(call, now);
    if (!upstream || !isWorthwhile(call, *upstream, now))
        return;
    call.trail.setNotable();
    call.trail.add({ RequestEvent::AttemptSlowed, now, attempt.upstream, attempt.number, Reason::None,
        { { "expected_ms", here.count() / 1000 }, { "work_done_ms", done.count() / 1000 },
            { "target_left_ms", needs.remainingTargetLatency.count() / 1000 },
            { "attempts_left", call.attemptsLeft } } });
    sendSecond(id, call, *upstream, now);
}

} // namespace robinrun
