#include "Node/Ingress.h"

#include <algorithm>

/// \file Calls of groups with a rate: each needs a credit before it goes on.

namespace robinrun {
namespace {

    /// A lender answers within a few ways of the network. A call waits for so long at least, and for as long
    /// as its answer may still be in time: a lender that is late has not refused.
    constexpr Duration leastCreditPatience = 100ms;
    /// Suggested to a call whose lenders have not answered.
    constexpr Duration creditRetryDelay = 100ms;

} // namespace

void Ingress::setRateLimiter(GroupRateLimiter& rates)
{
    m_rates = &rates;
    rates.setCreditsChangedHandler([this](const auto& groups, Instant now) { creditsChanged(groups, now); });
}

void Ingress::applyRateDecision(CallId id, Call& call, const CreditBorrower::Decision& decision, Instant now)
{
    switch (decision.verdict) {
    case CreditBorrower::Verdict::Allowed:
        call.credit = decision.credit;
        call.creditTimer = Timer();
        return admitCall(id, call, now);
    case CreditBorrower::Verdict::Refused:
        return refuseWithoutCredit(id, call, decision, now);
    case CreditBorrower::Verdict::Wait:
        break;
    }
    m_awaitingCredit[call.request.group].push_back(id);
    if (call.creditTimer.isSet())
        return;
    m_context->metrics.count("robinrun_credit_waits_total");
    const auto patience
        = std::max(leastCreditPatience, patienceFor(call, *m_routers.at(call.request.service)));
    call.creditTimer = Timer::once(m_context->base, patience, [this, id] {
        auto& late = m_calls.at(id);
        CreditBorrower::Decision decision;
        decision.verdict = CreditBorrower::Verdict::Wait;
        decision.retryAfter = creditRetryDelay;
        refuseWithoutCredit(id, late, decision, monotonicNow());
    });
}

void Ingress::creditsChanged(const std::vector<std::string>& groups, Instant now)
{
    for (const auto& group : groups) {
        const auto found = m_awaitingCredit.find(group);
        if (found == m_awaitingCredit.end())
            continue;
        const auto waiting = std::move(found->second);
        m_awaitingCredit.erase(found);
        for (const auto id : waiting) {
            const auto it = m_calls.find(id);
            if (it != m_calls.end() && !it->second.credit)
                applyRateDecision(id, it->second, m_rates->retryAcquire(group, now), now);
        }
    }
}

void Ingress::refuseWithoutCredit(
    CallId id, Call& call, const CreditBorrower::Decision& decision, Instant now)
{
    // Spread, so that those who come back don't meet the same few credits together.
    const auto spread = fromSeconds(toSeconds(decision.retryAfter) * m_context->random.unit());
    call.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(decision.retryAfter + spread));
    m_context->metrics.count(
        "robinrun_rate_refusals_total{cause=\"" + std::string(nameOf(decision.refusal())) + "\"}");
    const auto reason = decision.refusal() == RateRefusal::Short ? Reason::OverRate : Reason::RateUnknown;
    call.trail.add({ RequestEvent::RateRefused, now, {}, 0, reason,
        { { "retry_after_ms", call.retryAfterMs }, { "waited_ms", (now - call.arrived).count() / 1000 },
            { "lenders_short", decision.shortLenders }, { "lenders_silent", decision.silentLenders } },
        call.request.group });
    const auto waiting = m_awaitingCredit.find(call.request.group);
    if (waiting != m_awaitingCredit.end()) {
        std::erase(waiting->second, id);
        if (waiting->second.empty())
            m_awaitingCredit.erase(waiting);
    }
    finishNotRun(id, call, reason, now);
}

} // namespace robinrun
