#include "Mesh/MeshNode.h"

#include "Core/Log.h"
#include "Http/HttpStatus.h"

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr Duration tickEvery = 50ms;
    /// Changes that come together are applied together.
    constexpr Duration changeDelay = 3ms;
    /// After a peer says that it has a newer configuration, the store has so long to deliver it first.
    constexpr Duration pullDelay = 150ms;
    /// After its last call is answered a stopping node waits so long for another one on its way.
    constexpr Duration lingering = 200ms;
    /// A node whose store can't be reached counts as ready this long after its start if it has a
    /// configuration.
    constexpr Duration readyAnyway = 1500ms;
    /// Of the deployment's bound on retries, what is planned with: calls that retries make are not seen here.
    constexpr double plannedPart = 0.5;
    /// A read that a store held and forgot is noticed after so long; changes have to be in force in 2 s.
    constexpr Duration configurationWait = 12s;
    /// Peers tell each other of themselves at once; the store is for those that they don't reach.
    constexpr Duration gatherNodes = 400ms;
    /// Of n nodes each reads what each writes: n x n calls, but for this.
    constexpr Duration longestGatherNodes = 3s;
    constexpr std::size_t adminBody = 64U << 10U;
    constexpr std::size_t adminHeaders = 16U << 10U;
    constexpr Duration adminIdle = 60s;

    Owner::Sender senderOf(const PeerSocket::Sender& sender)
    {
        return { sender.node, sender.address, sender.incarnation };
    }

} // namespace

MeshNode::MeshNode(event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation,
    MeshFormats formats, std::unique_ptr<RecordStore> store)
    : m_context { std::move(settings), std::move(charts), base, incarnation, {}, {}, Random(incarnation),
        monotonicNow, wallClockMs, formats.headers }
    , m_formats(std::move(formats))
    , m_state(m_context.charts.node.initial())
    , m_started(monotonicNow())
    , m_store(std::move(store))
{
    const auto& own = m_context.settings;
    m_record.set_node(own.name);
    m_record.set_peer_address(own.listen.peers);
    m_record.set_data_hall(own.dataHall);
    m_record.set_region(own.region);
    m_record.set_incarnation(incarnation);
    m_record.set_service(own.service);
    m_record.set_address(own.backend);
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
    auto* base = m_context.base;
    auto peers = bindPeers();
    if (!peers)
        return peers;
    m_owner = std::make_unique<Owner>(m_context, m_started);
    const auto send = [this](const std::string& address, proto::PeerMessage& message, Instant now) {
        return m_peers->send(address, message, now);
    };
    m_ingress = std::make_unique<Ingress>(m_context, *m_owner, nullptr, nullptr, send);
    m_ingress->setConfigured(false);
    m_owner->onAnnounce([this](const std::string& address, bool isLeaving) {
        proto::PeerMessage message;
        message.mutable_leaving()->set_upstream(m_owner->upstream());
        message.mutable_leaving()->set_incarnation(m_context.incarnation);
        message.mutable_leaving()->set_undone(!isLeaving);
        m_peers->send(address, message, monotonicNow());
    });
    m_owner->onLoadChanged([this](const std::string& address, proto::LoadNews& news) {
        if (address == m_context.settings.listen.peers)
            return m_ingress->takeLoad(news, monotonicNow());
        proto::PeerMessage message;
        message.mutable_load_news()->Swap(&news);
        m_peers->send(address, message, monotonicNow());
    });
    auto servers = bindServers();
    if (!servers)
        return servers;
    m_writer = std::make_unique<RecordWriter>(base, *m_store, m_formats.nodesTopic, m_context.settings.name);
    m_finder = std::make_unique<BackendFinder>(
        base, m_context.settings.backend, [this](const Announcement& found) {
            if (m_announced.found(found))
                upstreamChanged(monotonicNow());
        });
    startFeeds();
    addGauges();
    m_tickTimer = Timer::repeating(base, tickEvery, [this] { tick(); });
    return boost::outcome_v2::success();
}

Result<void, std::string> MeshNode::bindPeers()
{
    const auto& settings = m_context.settings;
    PeerSocket::Options options;
    options.bindAddress = settings.listen.peers;
    options.node = settings.name;
    options.incarnation = m_context.incarnation;
    options.heartbeat = settings.peers.heartbeat;
    options.longestReconnect = settings.peers.longestReconnect;
    auto peers = PeerSocket::bind(m_context.base, options,
        [this](const PeerSocket::Sender& from, proto::PeerMessage& message) { takeMessage(from, message); });
    if (!peers)
        return failure(peers.error());
    m_peers = std::move(peers.value());
    m_peers->onLost([this](const std::string& address) {
        if (m_lostPeers.insert(address).second)
            log(LogLevel::Info, "peer-lost", { { "peer", address } });
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
        { listen.announcements, &m_announcements, [this](auto exchange) { takeAnnouncement(*exchange); } },
        { listen.metrics, &m_metrics, [this](auto exchange) { answerMetrics(*exchange); } },
    };
    for (const auto& it : listeners) {
        if (it.address.empty())
            continue;
        auto server = HttpServer::listen(
            m_context.base, { it.address, adminBody, adminHeaders, adminIdle }, it.handler);
        if (!server)
            return failure(server.error());
        *it.server = std::move(server.value());
    }
    return boost::outcome_v2::success();
}

void MeshNode::startFeeds()
{
    auto* base = m_context.base;
    TopicFollower::Options config;
    config.topic = m_formats.configurationTopic;
    config.wait = configurationWait;
    m_configFeed = std::make_unique<TopicFollower>(
        base, *m_store, config,
        [this](const KeyedRecord& record) {
            if (record.key == m_formats.configurationKey)
                offerConfiguration(record.value, "store", monotonicNow());
        },
        [](bool) {}, m_context.random);
    TopicFollower::Options nodes;
    nodes.topic = m_formats.nodesTopic;
    nodes.gather = gatherNodes;
    nodes.longestGather = longestGatherNodes;
    m_nodesFeed = std::make_unique<TopicFollower>(
        base, *m_store, nodes, [this](const KeyedRecord& record) { takeStoredNode(record, monotonicNow()); },
        [](bool) {}, m_context.random);
    m_configFeed->start();
    m_nodesFeed->start();
}

void MeshNode::addGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_config_version", [this] { return double(m_config.version()); });
    metrics.gauge("robinrun_ready", [this] { return isReady() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_calls_in_progress", [this] { return double(m_ingress->inProgress()); });
    metrics.gauge("robinrun_slots_in_use", [this] { return double(m_owner->load(monotonicNow()).inUse); });
    metrics.gauge("robinrun_calls_waiting", [this] { return double(m_owner->load(monotonicNow()).waiting); });
    metrics.gauge("robinrun_backend_slowdown", [this] { return m_owner->load(monotonicNow()).slowdown; });
    metrics.gauge("robinrun_backend_down", [this] { return m_owner->isBackendDown() ? 1.0 : 0.0; });
    metrics.gauge(
        "robinrun_backend_connections_total", [this] { return double(m_owner->connectionsOpened()); });
    metrics.gauge("robinrun_peer_links", [this] { return double(m_peers->links()); });
    metrics.gauge("robinrun_nodes_known", [this] { return double(m_registry.nodes().size()); });
    metrics.gauge("robinrun_store_connected", [this] { return m_configFeed->isConnected() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_store_calls_total{kind=\"read-configuration\"}",
        [this] { return double(m_configFeed->calls()); });
    metrics.gauge(
        "robinrun_store_calls_total{kind=\"read-nodes\"}", [this] { return double(m_nodesFeed->calls()); });
    metrics.gauge(
        "robinrun_store_calls_total{kind=\"write-node\"}", [this] { return double(m_writer->calls()); });
}

bool MeshNode::isReady() const
{
    if (m_isStopping || !m_config.hasAny())
        return false;
    return m_nodesFeed->isCaughtUp() || monotonicNow() - m_started > readyAnyway;
}

void MeshNode::answerReadiness(HttpExchange& exchange)
{
    const bool isAsked = exchange.request().target == m_formats.readinessPath;
    exchange.reply({ !isAsked ? notFound : isReady() ? ok : unavailable, {}, {} });
}

void MeshNode::answerMetrics(HttpExchange& exchange)
{
    if (exchange.request().target != m_formats.metricsPath)
        return exchange.reply({ notFound, {}, {} });
    exchange.reply({ ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.text() });
}

void MeshNode::takeAnnouncement(HttpExchange& exchange)
{
    const auto now = monotonicNow();
    const auto read = m_formats.readAnnouncement(exchange.request());
    if (!read) {
        log(LogLevel::Warning, "announcement-refused",
            { { "target", exchange.request().target }, { "error", read.error() } });
        return exchange.reply({ badRequest, {}, read.error() + "\n" });
    }
    m_finder->stop();
    if (m_announced.take(read.value()))
        upstreamChanged(now);
    if (read.value().upstream == m_owner->upstream())
        m_owner->heardFromBackend(now);
    // Only now: from here on nothing new goes to a server that has said it leaves.
    exchange.reply({ ok, { { "Content-Type", "application/json" } }, "{}" });
}

void MeshNode::upstreamChanged(Instant now)
{
    const auto& current = *m_announced.current();
    log(LogLevel::Info, "upstream-announced",
        { { "upstream", current.upstream }, { "state", nameOf(current.state) }, { "slots", current.slots },
            { "sequence", current.sequence } });
    const bool isNew = m_context.settings.upstream != current.upstream;
    m_context.settings.upstream = current.upstream;
    m_record.set_upstream(current.upstream);
    m_record.set_slots(current.slots);
    m_record.set_leaving(m_announced.isLeaving());
    publish(now);
    if (isNew)
        rebuild();
    m_owner->setSign(LeavingSign::BackendServer, m_announced.isLeaving(), now);
}

void MeshNode::publish(Instant now)
{
    m_record.set_sequence(m_record.sequence() + 1);
    m_registry.take(m_record);
    m_writer->set(m_record.SerializeAsString());
    rebuildSoon();
    tellContacts(now);
}

void MeshNode::tellContacts(Instant now)
{
    m_nextContact = now + m_context.settings.peers.contactEvery;
    const auto& settings = m_context.settings;
    for (const auto& it : m_registry.contactsOf(settings.name, settings.peers.contacts))
        sendRecord(m_registry.find(it)->peer_address(), now);
}

void MeshNode::sendRecord(const std::string& address, Instant now)
{
    m_record.set_config_version(m_config.version());
    proto::PeerMessage message;
    *message.mutable_node_record() = m_record;
    m_peers->send(address, message, now);
}

void MeshNode::takeMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message)
{
    const auto now = monotonicNow();
    if (m_lostPeers.erase(sender.address))
        log(LogLevel::Info, "peer-back", { { "peer", sender.address } });
    switch (message.body_case()) {
    case proto::PeerMessage::kCall:
        return takeCall(sender, message.call(), now);
    case proto::PeerMessage::kAnswer:
        return m_ingress->takeAnswer(sender.node, *message.mutable_answer(), now);
    case proto::PeerMessage::kCancel:
        return m_owner->cancel(sender.incarnation, message.cancel().number(), now);
    case proto::PeerMessage::kLeaving:
        return m_ingress->takeLeaving(message.leaving(), now);
    case proto::PeerMessage::kLoadNews:
        return m_ingress->takeLoad(message.load_news(), now);
    case proto::PeerMessage::kNodeRecord:
        return takeRecord(sender, message.node_record(), now);
    case proto::PeerMessage::kConfigRequest:
        return takeConfigRequest(sender, message.config_request(), now);
    case proto::PeerMessage::kConfigCopy:
        return offerConfiguration(message.config_copy().text(), sender.node, now);
    default:
        log(LogLevel::Warning, "peer-message-unknown",
            { { "from", sender.node }, { "kind", static_cast<int>(message.body_case()) } });
    }
}

void MeshNode::takeCall(const PeerSocket::Sender& sender, const proto::Call& call, Instant now)
{
    m_owner->take(
        call, senderOf(sender),
        [this, sender](proto::Answer answer) {
            proto::PeerMessage message;
            *message.mutable_answer() = std::move(answer);
            m_peers->answer(sender, message, monotonicNow());
        },
        now);
}

void MeshNode::registryChanged(const proto::NodeRecord& record, bool isNewLife, Instant now)
{
    rebuildSoon();
    if (isNewLife && !record.upstream().empty())
        m_ingress->revive(record.upstream(), now);
}

void MeshNode::takeRecord(const PeerSocket::Sender& sender, const proto::NodeRecord& record, Instant now)
{
    const auto* known = m_registry.find(record.node());
    const bool isNewLife = !known || known->incarnation() < record.incarnation();
    const auto change = m_registry.take(record);
    if (change == NodeRegistry::Change::Changed)
        registryChanged(record, isNewLife, now);
    if (isNewLife)
        sendRecord(sender.address, now);
    if (record.config_version() > m_config.version())
        pullSoon(sender.address, record.config_version());
}

void MeshNode::takeStoredNode(const KeyedRecord& stored, Instant now)
{
    proto::NodeRecord record;
    if (stored.value.empty())
        record.set_gone(true);
    else if (!record.ParseFromString(stored.value) || record.node() != stored.key)
        return log(LogLevel::Error, "node-record-malformed", { { "key", stored.key } });
    if (stored.value.empty()) {
        const auto* known = m_registry.find(stored.key);
        if (!known || stored.key == m_context.settings.name)
            return;
        record = *known;
        record.set_gone(true);
    }
    if (record.node() == m_context.settings.name) {
        // What a former life of this node has acknowledged binds this one too.
        if (record.incarnation() != m_context.incarnation && record.leaving()
            && m_announced.hasLeftBefore(record.upstream()))
            upstreamChanged(now);
        return;
    }
    const auto* known = m_registry.find(record.node());
    const bool isNewLife = !known || known->incarnation() < record.incarnation();
    if (m_registry.take(record) != NodeRegistry::Change::Changed)
        return;
    registryChanged(record, isNewLife, now);
    if (isNewLife && m_nodesFeed->isCaughtUp())
        sendRecord(record.peer_address(), now);
}

void MeshNode::takeConfigRequest(
    const PeerSocket::Sender& sender, const proto::ConfigRequest& request, Instant now)
{
    if (m_config.version() <= request.newer_than())
        return;
    proto::PeerMessage message;
    message.mutable_config_copy()->set_version(m_config.version());
    message.mutable_config_copy()->set_text(m_config.text());
    m_peers->answer(sender, message, now);
}

void MeshNode::pullSoon(const std::string& address, std::uint64_t version)
{
    if (m_isPullPending)
        return;
    m_isPullPending = true;
    const auto delay = m_config.hasAny() ? pullDelay : Duration::zero();
    m_pullTimer = Timer::once(m_context.base, delay, [this, address, version] {
        m_isPullPending = false;
        if (m_config.version() >= version)
            return;
        proto::PeerMessage message;
        message.mutable_config_request()->set_newer_than(m_config.version());
        m_peers->send(address, message, monotonicNow());
    });
}

void MeshNode::offerConfiguration(std::string_view text, std::string_view source, Instant now)
{
    if (!m_config.offer(text, source, m_formats))
        return;
    const auto& limits = m_config.current()->limits;
    m_callers->setLimits(limits.maxHeaders, limits.maxBody, limits.headerTimeout, limits.idleTimeout);
    rebuild();
    m_ingress->setConfigured(true);
    step(NodeEvent::Configured);
    tellContacts(now);
}

void MeshNode::rebuildSoon()
{
    if (std::exchange(m_isRebuildPending, true))
        return;
    m_rebuildTimer = Timer::once(m_context.base, changeDelay, [this] { rebuild(); });
}

void MeshNode::rebuild()
{
    m_isRebuildPending = false;
    if (!m_config.hasAny())
        return;
    const auto now = monotonicNow();
    const auto& settings = m_context.settings;
    auto resources = m_config.current()->resources;
    std::string healthPath;
    for (auto& it : resources) {
        if (!it.has_service())
            continue;
        it.mutable_service()->set_retry_fraction(plannedPart * settings.retries.ratio);
        if (it.name() == "services/" + settings.service)
            healthPath = it.service().health_path();
    }
    for (auto& it : m_registry.upstreams()) {
        it.mutable_upstream()->set_connections(static_cast<std::uint32_t>(settings.limits.calls));
        resources.push_back(std::move(it));
    }
    m_context.directory.rebuild(resources);
    m_context.configVersion = m_config.version();
    const double nodes = std::max<double>(1, static_cast<double>(m_registry.nodes().size()));
    m_ingress->setRetryBurst(std::max(1.0, plannedPart * settings.retries.slack / nodes));
    m_owner->configure(now);
    m_ingress->configure(now);
    if (!m_announced.current() && !m_finder->isRunning() && !settings.backend.empty() && !m_isStopping)
        m_finder->start(healthPath, m_context.headers);
}

void MeshNode::tick()
{
    const auto now = monotonicNow();
    m_owner->tick(now);
    m_peers->closeIdle(now);
    flushLog();
    if (now >= m_nextContact)
        tellContacts(now);
    if (m_ingress->inProgress() || !m_owner->isIdle())
        m_lastBusy = now;
    if (m_state == NodeState::Draining && now - m_lastBusy > lingering && m_writer->isWritten())
        step(NodeEvent::Drained);
}

void MeshNode::reload(const NodeSettings& settings)
{
    m_context.settings.log = settings.log;
    m_context.settings.admission = settings.admission;
    m_context.settings.retries = settings.retries;
    rebuild();
}

void MeshNode::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    log(LogLevel::Info, "stop-asked",
        { { "in_progress", std::uint64_t { m_ingress->inProgress() } },
            { "upstream_leaving", m_announced.isLeaving() } });
    m_callers->setClosing(true);
    m_finder->stop();
    m_lameDuckTimer
        = Timer::once(m_context.base, m_context.settings.lameDuck, [this] { step(NodeEvent::StopAsked); });
    m_drainLimit = Timer::once(
        m_context.base, m_context.settings.drainTimeout, [this] { step(NodeEvent::DrainTimeout); });
}

void MeshNode::beginLeaving()
{
    const auto now = monotonicNow();
    m_lastBusy = now;
    m_ingress->setDraining(true);
    m_owner->setSign(LeavingSign::NodeStop, true, now);
    if (!m_announced.isLeaving())
        return;
    // The backend server has left before: this node will not be back.
    m_record.set_gone(true);
    tellContacts(now);
    m_writer->set("");
}

void MeshNode::step(NodeEvent event)
{
    const auto next = m_context.charts.node.next(m_state, event);
    if (!next)
        return;
    m_state = *next;
    log(LogLevel::Info, "node-state", { { "state", nameOf(m_state) }, { "cause", nameOf(event) } });
    if (m_state == NodeState::Draining)
        beginLeaving();
    if (m_state == NodeState::Stopped)
        event_base_loopexit(m_context.base, nullptr);
}

} // namespace robinrun
