#include "Rates/RateKeeper.h"

#include <utility>

namespace robinrun {

RateKeeper::RateKeeper(Options options, Send send)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_lender(m_options.terms, m_options.timing)
    , m_purse(m_options.node, m_homes, m_options.timing)
{
}

CreditPurse::Decision RateKeeper::spend(const std::string& group, Instant now)
{
    const auto rate = m_rates.find(group);
    if (rate == m_rates.end())
        return {};
    auto out = m_purse.spend(group, ratePartsOf(rate->second), now);
    if (out.verdict != CreditPurse::Verdict::Wait)
        return out;
    ask(now);
    return m_purse.again(group, now); // this node itself may have lent some
}

proto::CreditGrants RateKeeper::takeAsk(std::uint64_t life, const proto::CreditAsk& ask, Instant now)
{
    proto::CreditGrants out;
    out.set_number(ask.number());
    for (const auto& it : ask.accounts()) {
        const auto rate = m_rates.find(it.group());
        // Who knows other nodes asks another one soon.
        const bool isHome
            = it.part() < mostRateParts && m_homes.homeOf(it.group(), it.part()) == m_options.node;
        if (isHome && rate != m_rates.end())
            *out.add_grants() = m_lender.take(life, it, rate->second, now);
    }
    return out;
}

void RateKeeper::takeGrants(const std::string& node, const proto::CreditGrants& grants, Instant now)
{
    const auto groups = m_purse.take(node, grants, now);
    if (groups.empty() || !m_changed)
        return;
    m_changed(groups, now);
    ask(now); // for those that wait still
}

void RateKeeper::tick(Instant now)
{
    m_lender.tick(now);
    ask(now);
}

void RateKeeper::ask(Instant now)
{
    for (auto& it : m_purse.asks(now)) {
        ++m_asks;
        if (it.home == m_options.node) {
            (void)m_purse.take(it.home, takeAsk(m_options.life, it.message, now), now);
            continue;
        }
        proto::PeerMessage message;
        *message.mutable_credit_ask() = it.message;
        if (!m_send(it.home, message, now))
            m_purse.unsent(it);
    }
}

} // namespace robinrun
