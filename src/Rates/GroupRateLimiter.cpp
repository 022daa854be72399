#include "Rates/GroupRateLimiter.h"

#include <utility>

namespace robinrun {

GroupRateLimiter::GroupRateLimiter(Options options, SendFunction send)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_lender(m_options.tolerance, m_options.timing)
    , m_borrower(m_options.nodeName, m_lenderAssignment, m_options.timing)
{
}

void GroupRateLimiter::setNodes(std::vector<LenderAssignment::Node> nodes)
{
    if (!m_lenderAssignment.setNodes(std::move(nodes)))
        return;
    m_lender.dropPartsUnless([this](const std::string& group, std::uint32_t part) {
        return m_lenderAssignment.lenderOf(group, part) == m_options.nodeName;
    });
}

CreditBorrower::Decision GroupRateLimiter::acquire(const std::string& group, Instant now)
{
    const auto rate = m_rates.find(group);
    if (rate == m_rates.end())
        return {};
    auto out = m_borrower.acquire(group, ratePartCount(rate->second), now);
    if (out.verdict != CreditBorrower::Verdict::Wait)
        return out;
    sendDueRequests(now);
    return m_borrower.retryAfterRequest(group, now); // If this node is the lender, it has answered already.
}

proto::CreditGrants GroupRateLimiter::lendCredits(
    std::uint64_t incarnation, const proto::CreditAsk& request, Instant now)
{
    proto::CreditGrants out;
    out.set_number(request.number());
    for (const auto& it : request.accounts()) {
        const auto rate = m_rates.find(it.group());
        // An ingress may pick the wrong lender until it knows the same nodes as this one.
        const bool isLender = it.part() < maxRateParts
            && m_lenderAssignment.lenderOf(it.group(), it.part()) == m_options.nodeName;
        if (isLender && rate != m_rates.end())
            *out.add_grants() = m_lender.lendCredits(incarnation, it, rate->second, now);
    }
    return out;
}

void GroupRateLimiter::addGrants(const std::string& lender, const proto::CreditGrants& grants, Instant now)
{
    const auto groups = m_borrower.addGrants(lender, grants, now);
    if (groups.empty() || !m_creditsChangedHandler)
        return;
    m_creditsChangedHandler(groups, now);
    sendDueRequests(now); // For the calls that still wait.
}

void GroupRateLimiter::tick(Instant now)
{
    m_lender.closeSilentAccounts(now);
    sendDueRequests(now);
}

void GroupRateLimiter::sendDueRequests(Instant now)
{
    for (auto& it : m_borrower.collectDueRequests(now)) {
        ++m_requestCount;
        if (it.lender == m_options.nodeName) {
            (void)m_borrower.addGrants(it.lender, lendCredits(m_options.incarnation, it.message, now), now);
            continue;
        }
        proto::PeerMessage message;
        *message.mutable_credit_ask() = it.message;
        if (!m_send(it.lender, message, now))
            m_borrower.onRequestNotSent(it);
    }
}

} // namespace robinrun
