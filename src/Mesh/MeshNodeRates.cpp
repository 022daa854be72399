#include "Mesh/MeshNode.h"

#include <algorithm>

/// \file How a mesh node wires the keeping of rates to its links, its configuration and its registry.

namespace robinrun {
namespace {

    /// A link that is being opened is tried again after so long.
    constexpr Duration openingLink = 3ms;

} // namespace

RateTolerance MeshNode::rateTerms() const
{
    const auto& rates = m_context.settings.rates;
    return { rates.window, rates.over, rates.slack };
}

void MeshNode::addCallerGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_config_faults",
        [this] { return m_config.hasConfiguration() ? double(m_config.current()->errors.size()) : 0.0; });
    metrics.gauge("robinrun_config_proven", [this] { return m_context.isConfigProven ? 1.0 : 0.0; });
    metrics.gauge("robinrun_rate_groups_held", [this] { return double(m_rates->groupCount()); });
    metrics.gauge("robinrun_rate_accounts", [this] { return double(m_rates->accountCount()); });
    metrics.gauge("robinrun_rate_credits_lent", [this] { return m_rates->outstandingCredits(); });
    metrics.gauge("robinrun_rate_asks_total", [this] { return double(m_rates->requestCount()); });
}

bool MeshNode::sendToNode(const std::string& node, proto::PeerMessage& message, Instant now)
{
    const auto* record = m_registry.find(node);
    if (!record)
        return true; // nobody is there to be tried again
    const auto result = m_peers->send(record->peer_address(), message, now);
    if (result == SendResult::Connecting)
        askForCreditsSoon();
    return result != SendResult::Connecting;
}

void MeshNode::askForCreditsSoon()
{
    if (m_creditTimer.isSet())
        return;
    m_creditTimer = Timer::once(m_context.base, openingLink, [this] {
        m_creditTimer = Timer();
        m_rates->tick(monotonicNow());
    });
}

void MeshNode::setRates()
{
    std::map<std::string, GroupRate> rates;
    for (const auto& it : m_context.directory.groups())
        rates.emplace(it.id, it.rate);
    m_rates->setRates(std::move(rates));
    m_rates->setTolerance(rateTerms());
}

void MeshNode::setLenders()
{
    std::vector<LenderAssignment::Node> nodes;
    for (const auto& [name, record] : m_registry.nodes()) {
        if (!record.gone())
            nodes.push_back({ name, record.capacity() });
    }
    m_rates->setNodes(std::move(nodes));
}

double MeshNode::reach() const
{
    const auto contacts = m_registry.contactsOf(m_context.settings.name, m_context.settings.peers.contacts);
    if (contacts.empty())
        return 1;
    const auto isReached = [this](const std::string& it) {
        return !m_lostPeers.contains(m_registry.find(it)->peer_address());
    };
    const auto n = std::count_if(contacts.begin(), contacts.end(), isReached);
    return static_cast<double>(n) / static_cast<double>(contacts.size());
}

void MeshNode::takeCreditAsk(const PeerSocket::Sender& sender, const proto::CreditAsk& ask, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_credit_grants() = m_rates->lendCredits(sender.life(), ask, now);
    m_peers->answer(sender, message, now);
}

} // namespace robinrun
