#include "Mesh/MeshNode.h"

#include "Core/Log.h"
#include "Node/CallMessages.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    constexpr Duration tickEvery = 50ms;
    constexpr double bytesPerMegabit = 125'000;
    /// Each link costs heartbeats; one that is needed again stands anew within a millisecond.
    constexpr Duration linkIdle = 5s;
    /// A bridge that was not heard for longer tells nothing of what can be reached now.
    constexpr Duration farReachLifetime = 3s;
    constexpr std::size_t adminBody = 64U << 10U;
    constexpr std::size_t adminHeaders = 16U << 10U;
    constexpr Duration adminIdle = 60s;
    /// Of the platform, the backend server beside this node and those who read the metrics, on each port.
    constexpr std::size_t adminConnections = 64;

} // namespace

MeshNode::MeshNode(event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation,
    MeshFormats formats, std::unique_ptr<RecordStore> store)
    : m_context(
        NodeContext::forNode(std::move(settings), std::move(charts), base, incarnation, formats.headers))
    , m_formats(std::move(formats))
    , m_state(m_context.charts.node.initial())
    , m_started(monotonicNow())
    , m_store(std::move(store))
    , m_gossip(m_registry, m_context.settings.name, { m_context.settings.peers.contacts },
          [this](const std::string& address, proto::PeerMessage& message, Instant now) {
              sendToContact(address, message, now);
          })
    , m_share(m_context.settings.listen.peers, { m_context.settings.peers.followers })
    , m_watch({ m_context.settings.peers.followers, m_context.settings.peers.contacts })
    , m_group(m_context.settings.listen.peers, {})
    , m_formerLeaves(m_started)
    , m_reach(m_context.settings.peers.forgetAfter)
    , m_reachEstimate(farReachLifetime)
    , m_unreached(m_context.settings.peers.unreachableAfter)
{
    const auto& own = m_context.settings;
    m_record.set_node(own.name);
    m_record.set_peer_address(own.listen.peers);
    m_record.set_data_hall(own.dataHall);
    m_record.set_region(own.region);
    m_record.set_incarnation(incarnation);
    m_record.set_service(own.service);
    m_record.set_address(own.backend);
    m_record.set_capacity(own.capacity);
    m_context.rollouts = RolloutTable(rolloutBounds());
}

MeshNode::~MeshNode() = default;

Result<std::unique_ptr<MeshNode>, std::string> MeshNode::start(event_base* base, NodeSettings settings,
    Charts charts, std::uint64_t incarnation, MeshFormats formats, std::unique_ptr<RecordStore> store)
{
    std::unique_ptr<MeshNode> node(new MeshNode(
        base, std::move(settings), std::move(charts), incarnation, std::move(formats), std::move(store)));
    auto bound = node->bind();
    if (!bound)
        return failure(bound.error());
    return node;
}

Result<void, std::string> MeshNode::bind()
{
    auto peers = bindPeers();
    if (!peers)
        return peers;
    makeParts();
    auto servers = bindServers();
    if (!servers)
        return servers;
    startFeeds();
    addGauges();
    m_tickTimer = Timer::repeating(m_context.base, tickEvery, [this] { tick(); });
    return boost::outcome_v2::success();
}

void MeshNode::makeParts()
{
    auto* base = m_context.base;
    m_owner = std::make_unique<Owner>(m_context, m_started);
    m_owner->onLoadChanged(
        [this](const std::string& address, proto::LoadNews& news) { sendLoad(address, news); });
    m_owner->onServerLeaving([this] {
        // Announcements of this life that are still on their way don't undo it.
        if (m_announced.markLeaving(BackendLife::fromKey(m_owner->upstream())))
            onUpstreamChanged(monotonicNow());
    });
    m_owner->onCrash([this](const proto::CrashReport& report) { publishCrash(report); });
    m_owner->onAcquittal([this](const proto::CrashAcquittal& acquittal) { publishAcquittal(acquittal); });
    const auto send = [this](const std::string& address, proto::PeerMessage& message, Instant now) {
        return m_peers->send(address, message, now);
    };
    const auto answer = [this](const PeerSocket::Sender& to, proto::PeerMessage& message, Instant now) {
        return m_peers->answer(to, message, now);
    };
    m_news = std::make_unique<LeavingNews>(base, PeerLinks { send, answer });
    m_owner->onAnnounce([this](const PeerSocket::Sender& to, bool isLeaving) {
        m_news->tell(to, leavingMessage(*m_owner, m_context.incarnation, isLeaving), monotonicNow());
    });
    m_owner->onLastWord([this](const PeerSocket::Sender& to, std::uint64_t highest) {
        auto message = lastWord(m_context.incarnation, to, highest);
        m_peers->answer(to, message, monotonicNow());
    });
    m_ingress = std::make_unique<Ingress>(m_context, *m_owner, nullptr, nullptr, send);
    m_ingress->setConfigured(false);
    m_rates = std::make_unique<GroupRateLimiter>(
        GroupRateLimiter::Options { m_context.settings.name, m_context.incarnation, rateTolerance() },
        [this](const std::string& node, proto::PeerMessage& message, Instant now) {
            return sendToNode(node, message, now);
        });
    m_ingress->setRateLimiter(*m_rates);
    m_writer = std::make_unique<RecordWriter>(base, *m_store, m_formats.nodesTopic, m_context.settings.name);
    m_rolloutStatus = std::make_unique<RolloutStatusWriter>(
        m_formats, *m_store, [this](std::uint64_t id, RolloutOutcome outcome) {
            onRolloutStatusWritten(id, outcome, monotonicNow());
        });
    m_owner->onRunEnded([this](const Owner::EndedRun& run) { m_rolloutReports.recordRun(run); });
    m_finder = std::make_unique<BackendDiscovery>(
        base, m_context.settings.backend, [this](const Announcement& found) { onHealthAnswer(found); });
}

Result<void, std::string> MeshNode::bindPeers()
{
    const auto& settings = m_context.settings;
    PeerSocket::Options options;
    options.address = settings.listen.peers;
    options.bindAddress = settings.listen.peersBind;
    options.node = settings.name;
    options.incarnation = m_context.incarnation;
    options.heartbeat = settings.peers.heartbeat;
    if (settings.experiments.isOn(Mechanism::PaceAnswers))
        options.linkBytesPerSecond = settings.linkMegabits * bytesPerMegabit;
    options.idleTimeout = linkIdle;
    options.longestReconnect = settings.peers.longestReconnect;
    auto peers = PeerSocket::bind(m_context.base, options,
        [this](const PeerSocket::Sender& from, proto::PeerMessage& message) { onMessage(from, message); });
    if (!peers)
        return failure(peers.error());
    m_peers = std::move(peers.value());
    m_peers->onLost([this](const std::string& address) {
        if (m_lostPeers.insert(address).second)
            log(LogLevel::Info, "peer-lost", { { "peer", address } });
        m_share.onLinkClosed(address);
        if (!m_share.hasPeers())
            m_group.onContactsLost();
        m_ingress->peerLost(address, monotonicNow());
    });
    return boost::outcome_v2::success();
}

Result<void, std::string> MeshNode::bindServers()
{
    using Handler = HttpServer::Handler;
    struct Listener {
        std::string address;
        std::unique_ptr<HttpServer>* server;
        Handler handler;
    };
    const auto& listen = m_context.settings.listen;
    const Listener listeners[] = {
        { listen.callers, &m_callers,
            [this](auto exchange) { m_ingress->take(std::move(exchange), monotonicNow()); } },
        { listen.readiness, &m_readiness, [this](auto exchange) { answerReadiness(*exchange); } },
        { listen.announcements, &m_announcements,
            [this](auto exchange) { onAnnouncement(std::move(exchange)); } },
        { listen.metrics, &m_metrics, [this](auto exchange) { answerMetrics(*exchange); } },
    };
    for (const auto& it : listeners) {
        if (it.address.empty())
            continue;
        HttpServer::Options options { it.address, adminBody, adminHeaders, adminIdle };
        options.maxConnections = adminConnections;
        if (it.server == &m_callers) {
            options.bodies = m_context.bodies;
            options.maxConnections = m_context.settings.callerConnections();
        }
        auto server = HttpServer::listen(m_context.base, options, it.handler);
        if (!server)
            return failure(server.error());
        *it.server = std::move(server.value());
    }
    return boost::outcome_v2::success();
}

} // namespace robinrun
