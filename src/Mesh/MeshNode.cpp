#include "Mesh/MeshNode.h"

#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/CallMessages.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr Duration tickEvery = 50ms;
    constexpr double bytesPerMegabit = 125'000;
    /// A node that starts hears within so long which peers follow the configuration.
    constexpr Duration firstContacts = 1s;
    /// After a node has written its record it reads once more, for those that started at the same time: of
    /// two nodes the one that reads last sees the other.
    constexpr Duration nodesAfterWrite = 400ms;
    /// Wait of a read of the configuration while no other node is known. Where all nodes start at once, none
    /// knows another for seconds, and short waits cost most of the calls of the start.
    constexpr Duration waitWithoutPeers = 5s;
    /// The configuration is read this long after the start if the store has not answered with the nodes
    /// before.
    constexpr Duration longestConfigStart = 300ms;
    /// Reads of the nodes' topic a second, by all nodes together: peers tell each other of themselves at
    /// once, the store is for those that they don't reach.
    constexpr double nodesReadsPerSecond = 1;
    /// Between two reads by one node; few nodes would read without need otherwise.
    constexpr Duration leastNodesPause = 3s;
    /// Each link costs heartbeats; one that is needed again stands anew within a millisecond.
    constexpr Duration linkIdle = 5s;
    constexpr double neverConfirmed = -1; // in the metrics, for an age
    constexpr std::size_t adminBody = 64U << 10U;
    constexpr std::size_t adminHeaders = 16U << 10U;
    constexpr Duration adminIdle = 60s;

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
    , m_reach(m_context.settings.peers.forgetAfter)
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
        base, m_context.settings.backend, [this](const Announcement& found) {
            const auto now = monotonicNow();
            if (m_announced.applyHealthAnswer(found))
                onUpstreamChanged(now);
            // Unlike ill health, this holds whatever the server announces.
            if (found.saysLeaving && m_announced.markLeaving(found.life))
                onUpstreamChanged(now);
            if (found.remainingColdTime && found.life.key() == m_owner->upstream())
                m_owner->onHealthAnswerWarmUp(*found.remainingColdTime, now, now);
            if (found.rateLimit && found.life.key() == m_owner->upstream())
                m_owner->onHealthAnswerRateLimit(*found.rateLimit, now);
        });
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
        { listen.announcements, &m_announcements, [this](auto exchange) { onAnnouncement(*exchange); } },
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
    const auto longestRetry = [this] {
        return StoreReadTiming::maxRetryDelay(
            livingNodes(), m_share.mayRetrySlowly(monotonicNow()) || !m_group.isMember());
    };
    TopicFollower::Options config;
    config.topic = m_formats.configurationTopic;
    config.drawWait = [this] {
        if (livingNodes() <= 1)
            return waitWithoutPeers;
        return m_watch.nextWait(m_group.memberCount(), m_context.random.unit());
    };
    config.drawPause
        = [this] { return std::exchange(m_hasReadConfiguration, true) ? Duration::zero() : firstContacts; };
    config.mayStandBy
        = [this] { return isWatched(monotonicNow()) || restsAfterFirstConfiguration(monotonicNow()); };
    config.maxRetryDelay = longestRetry;
    config.onFollowingChanged = [this] { sendContacts(monotonicNow()); };
    m_configFeed = std::make_unique<TopicFollower>(
        base, *m_store, config,
        [this](const KeyedPage& page) { takeStoredConfiguration(page, monotonicNow()); }, m_context.random);
    TopicFollower::Options nodes;
    nodes.topic = m_formats.nodesTopic;
    nodes.drawPause = [this] { return nodesPause(); };
    nodes.maxRetryDelay = longestRetry;
    nodes.maySkipRead = [this] { return std::exchange(m_isReadForFew, false) && knowsManyNodes(); };
    m_nodesFeed = std::make_unique<TopicFollower>(
        base, *m_store, nodes,
        [this](const KeyedPage& page) {
            for (const auto& it : page.records)
                applyStoredNode(it, monotonicNow());
            onCrashRecordsChanged(monotonicNow());
            startConfigFeed(monotonicNow());
        },
        m_context.random);
    m_writer->onWritten([this] {
        // Where so many others are known already, one of them tells this node what it lacks.
        if (knowsManyNodes())
            m_hasReadNodesSince = true;
        if (m_hasReadNodesSince)
            return;
        m_hasReadNodesSince = m_nodesFeed->endPauseAfter(nodesAfterWrite);
        m_isReadForFew = m_hasReadNodesSince;
    });
    m_store->onReturn([this] { onStoreReturned(monotonicNow()); });
    m_nodesFeed->start();
    m_configStartTimer = Timer::once(base, longestConfigStart, [this] { startConfigFeed(monotonicNow()); });
}

void MeshNode::startConfigFeed(Instant now)
{
    if (!m_configStartTimer.isSet())
        return;
    m_configStartTimer = Timer();
    watchAmongNodes();
    // In a large system others watch the store for this node, and one of its contacts has the configuration.
    if (m_group.isMember() || !knowsManyNodes())
        return m_configFeed->start();
    m_restUntil = now + firstContacts;
    m_configFeed->startOnStandby();
}

bool MeshNode::restsAfterFirstConfiguration(Instant now)
{
    const bool mayRest = m_startedWithoutConfiguration && m_config.hasConfiguration() && livingNodes() <= 1;
    if (!mayRest)
        return false;
    m_startedWithoutConfiguration = false;
    m_isFirstRest = true;
    m_restUntil = now + waitWithoutPeers;
    return true;
}

bool MeshNode::knowsManyNodes() const
{
    return livingNodes() > m_context.settings.peers.contacts;
}

std::size_t MeshNode::livingNodes() const
{
    const auto& nodes = m_registry.nodes();
    const auto isLiving = [](const auto& it) { return !it.second.gone(); };
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), isLiving));
}

Duration MeshNode::nodesPause()
{
    if (m_writer->isWritten() && m_writer->calls() > 0 && !std::exchange(m_hasReadNodesSince, true)) {
        m_isReadForFew = true;
        return nodesAfterWrite;
    }
    m_isReadForFew = !knowsManyNodes();
    const auto nodes = static_cast<double>(m_registry.nodes().size());
    const auto mean = std::max(toSeconds(leastNodesPause), nodes / nodesReadsPerSecond);
    // From half of the mean to one and a half: nodes that start together don't go on to read together.
    return fromSeconds(mean * (0.5 + m_context.random.unit()));
}

template <class Calls> void MeshNode::addStoreGauges(const std::string& kind, const Calls& calls)
{
    auto& metrics = m_context.metrics;
    const std::string total = "robinrun_store_calls_total{kind=\"" + kind + "\",outcome=";
    metrics.gauge(total + "\"done\"}", [&calls] { return double(calls.calls() - calls.failures()); });
    metrics.gauge(total + "\"failed\"}", [&calls] { return double(calls.failures()); });
}

void MeshNode::addBackendGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_backend_cold_seconds",
        [this] { return toSeconds(m_owner->load(monotonicNow()).remainingWarmUp); });
    metrics.gauge(
        "robinrun_slots_in_use", [this] { return double(m_owner->load(monotonicNow()).slotsInUse); });
    metrics.gauge(
        "robinrun_calls_waiting", [this] { return double(m_owner->load(monotonicNow()).waitingCalls); });
    metrics.gauge("robinrun_backend_slowdown", [this] { return m_owner->load(monotonicNow()).slowdown; });
    metrics.gauge("robinrun_server_limit_per_second",
        [this] { return m_owner->serverLimit().value_or(Owner::noServerLimit); });
    metrics.gauge("robinrun_backend_down", [this] { return m_owner->isBackendDown() ? 1.0 : 0.0; });
    metrics.gauge(
        "robinrun_backend_connections_total", [this] { return double(m_owner->connectionsOpened()); });
}

void MeshNode::addGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_config_version", [this] { return double(m_config.version()); });
    metrics.gauge("robinrun_config_age_seconds", [this] { return toSeconds(monotonicNow() - m_adopted); });
    metrics.gauge("robinrun_config_confirmed_age_seconds", [this] {
        const auto age = m_group.confirmationAge(monotonicNow());
        return age ? toSeconds(*age) : neverConfirmed;
    });
    metrics.gauge("robinrun_store_era", [this] { return double(m_store->era().era()); });
    metrics.gauge("robinrun_store_era_age_seconds", [this] {
        const auto since = m_store->era().since();
        return since ? toSeconds(monotonicNow() - *since) : neverConfirmed;
    });
    metrics.gauge("robinrun_store_era_faults_total", [this] { return double(m_store->era().faults()); });
    metrics.gauge("robinrun_halls_emptied", [this] { return double(m_halls.emptiedHalls().size()); });
    metrics.gauge("robinrun_own_hall_emptied",
        [this] { return m_halls.isEmptied(m_context.settings.dataHall) ? 1.0 : 0.0; });
    metrics.gauge("robinrun_retries_saved", [this] { return m_ingress->savedRetries(); });
    metrics.gauge("robinrun_upstream_news_age_seconds",
        [this] { return toSeconds(m_ingress->meanNewsAge(monotonicNow())); });
    metrics.gauge("robinrun_requests_held", [this] { return double(m_context.crashes.holds().size()); });
    metrics.gauge("robinrun_crash_reports", [this] { return double(m_context.crashes.reportCount()); });
    addCallerGauges();
    addBackendGauges();
    addRolloutGauges();
    metrics.gauge("robinrun_ready", [this] { return isReady() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_calls_in_progress", [this] { return double(m_ingress->inProgress()); });
    metrics.gauge("robinrun_peer_links", [this] { return double(m_peers->links()); });
    metrics.gauge("robinrun_nodes_known", [this] { return double(m_registry.nodes().size()); });
    metrics.gauge("robinrun_store_connected", [this] { return m_configFeed->isConnected() ? 1.0 : 0.0; });
    metrics.gauge(
        "robinrun_follows_configuration", [this] { return m_configFeed->isFollowing() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_store_read_seconds{kind=\"read-configuration\"}",
        [this] { return toSeconds(m_configFeed->currentReadDuration(monotonicNow())); });
    metrics.gauge("robinrun_store_read_seconds{kind=\"read-nodes\"}",
        [this] { return toSeconds(m_nodesFeed->currentReadDuration(monotonicNow())); });
    metrics.gauge("robinrun_store_entries_unreadable",
        [this] { return double(m_configFeed->unreadableEntries() + m_nodesFeed->unreadableEntries()); });
    addStoreGauges("read-configuration", *m_configFeed);
    addStoreGauges("read-nodes", *m_nodesFeed);
    addStoreGauges("write-node", *m_writer);
}

void MeshNode::answerReadiness(HttpExchange& exchange) const
{
    const bool isAsked = exchange.request().target == m_formats.readinessPath;
    exchange.reply({ !isAsked ? notFound : isReady() ? ok : unavailable, {}, {} });
}

void MeshNode::answerMetrics(HttpExchange& exchange) const
{
    if (exchange.request().target != m_formats.metricsPath)
        return exchange.reply({ notFound, {}, {} });
    exchange.reply({ ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.text() });
}

Result<Announcement, std::string> MeshNode::readAnnouncement(const HttpRequest& request) const
{
    auto out = m_formats.readAnnouncement(request);
    const auto& own = m_context.settings.service;
    const bool isOther = out && out.value().state != AnnouncedState::Gone && out.value().service != own;
    if (isOther)
        return failure("service: '" + out.value().service + "' is not that of this host, '" + own + "'");
    return out;
}

void MeshNode::onAnnouncement(HttpExchange& exchange)
{
    const auto now = monotonicNow();
    const auto read = readAnnouncement(exchange.request());
    if (!read) {
        logForeignEntry("announcement", exchange.request().target, read.error());
        return exchange.reply({ badRequest, {}, read.error() + "\n" });
    }
    m_finder->stop();
    if (m_announced.applyAnnouncement(read.value()))
        onUpstreamChanged(now);
    const auto& told = read.value();
    if (told.life.key() == m_owner->upstream()) {
        m_owner->onSignOfLife(now);
        const bool isLatest = told.sequence == m_announced.current()->sequence;
        if (told.remainingColdTime && isLatest)
            m_owner->onAnnouncedWarmUp(*told.remainingColdTime, now);
    }
    // Only now: from here on nothing new goes to a server that has said it leaves.
    exchange.reply({ ok, { { "Content-Type", "application/json" } }, "{}" });
}

void MeshNode::onUpstreamChanged(Instant now)
{
    const auto& current = *m_announced.current();
    log(LogLevel::Info, "upstream-announced",
        { { "upstream", current.life.key() }, { "state", nameOf(current.state) }, { "slots", current.slots },
            { "sequence", current.sequence } });
    const bool isNew = m_context.settings.upstream != current.life.key();
    m_context.settings.upstream = current.life.key();
    m_record.set_upstream(current.life.id());
    m_record.set_born(current.life.born());
    m_record.set_slots(current.slots);
    if (isNew || !current.version.empty())
        setBackendVersion(current.version);
    if (const auto* former = m_registry.find(m_context.settings.name); isNew && former)
        adoptFormerVersion(*former, now);
    const auto* rollout = m_context.rollouts.find(m_context.settings.service);
    m_rolloutReports.follow(
        rollout && !isFinal(rollout->phase) ? rollout : nullptr, m_context.settings.upstream);
    m_record.set_leaving(m_announced.isLeaving());
    // The announcement that follows completes the record: one write of the store serves both.
    if (m_announced.isProvisional() && !m_announced.isLeaving() && knowsManyNodes())
        publishProvisional(now);
    else
        publish(now);
    if (isNew)
        rebuildUpstreams();
    m_owner->setSign(LeavingSign::BackendServer, m_announced.isLeaving(), now);
}

} // namespace robinrun
