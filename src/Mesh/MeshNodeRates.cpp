#include "Core/Log.h"
#include "Mesh/MeshNode.h"

#include <algorithm>

/// \file How a mesh node wires the keeping of rates to its links, its configuration and its registry.

namespace robinrun {
namespace {

    /// A link that is being opened is tried again after so long.
    constexpr Duration openingLink = 3ms;

} // namespace

RateTolerance MeshNode::rateTolerance() const
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
    metrics.gauge("robinrun_nodes_unreachable", [this] { return double(m_succession.markedCount()); });
    metrics.gauge(
        "robinrun_lenders_succeeded", [this] { return double(m_succession.succeededNodes().size()); });
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
    m_rates->setTolerance(rateTolerance());
}

void MeshNode::setLenders()
{
    std::vector<LenderAssignment::Node> nodes;
    for (const auto& [name, record] : m_registry.nodes()) {
        if (!record.gone() && !m_succession.succeededNodes().contains(name))
            nodes.push_back({ name, record.capacity() });
    }
    m_rates->setNodes(std::move(nodes));
}

void MeshNode::updateSuccession(Instant now)
{
    const auto& nodes = m_registry.nodes();
    const auto isPresent = [](const auto& it) { return !it.second.gone(); };
    const auto count = static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), isPresent));
    const auto before = m_succession.succeededNodes();
    m_succession.update(reach(now), count, now);
    m_rates->setReachableFraction(m_succession.reachableFraction());
    m_rates->setMayBeSucceeded(m_succession.mayBeSucceeded(now));
    if (m_succession.succeededNodes() == before)
        return;
    log(LogLevel::Info, "lenders-succeeded",
        { { "nodes", std::uint64_t { m_succession.succeededNodes().size() } },
            { "unreachable", std::uint64_t { m_succession.markedCount() } } });
    setLenders();
}

void MeshNode::takeMarkBack(Instant now)
{
    log(LogLevel::Warning, "taken-for-unreachable", { { "sequence", m_record.sequence() } });
    m_rates->restartLending();
    gossipRecord(now);
}

std::optional<double> MeshNode::reachOf(const std::vector<std::string>& names) const
{
    if (names.empty())
        return std::nullopt;
    const auto isReached = [this](const std::string& it) {
        return !m_lostPeers.contains(m_registry.find(it)->peer_address());
    };
    const auto n = std::count_if(names.begin(), names.end(), isReached);
    return static_cast<double>(n) / static_cast<double>(names.size());
}

std::optional<double> MeshNode::ownFarReach() const
{
    std::vector<std::string> names;
    const auto& settings = m_context.settings;
    for (const auto& [hall, far] : m_registry.contactsOf(settings.name, settings.peers.contacts).far)
        names.insert(names.end(), far.begin(), far.end());
    return reachOf(names);
}

double MeshNode::reach(Instant now) const
{
    const auto& settings = m_context.settings;
    const double nearReach
        = reachOf(m_registry.contactsOf(settings.name, settings.peers.contacts).near).value_or(1);
    const auto isNear = [&](const auto& it) { return it.second.data_hall() == settings.dataHall; };
    const auto& nodes = m_registry.nodes();
    const double nearPart = static_cast<double>(std::count_if(nodes.begin(), nodes.end(), isNear))
        / static_cast<double>(std::max<std::size_t>(nodes.size(), 1));
    return m_reachEstimate.fraction(nearReach, ownFarReach(), nearPart, now);
}

void MeshNode::onCreditRequest(const PeerSocket::Sender& sender, const proto::CreditAsk& ask, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_credit_grants() = m_rates->lendCredits(sender.life(), ask, now);
    m_peers->answer(sender, message, now);
}

} // namespace robinrun
