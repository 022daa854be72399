#include "Node/Node.h"

#include "Core/Log.h"
#include "Node/CallMessages.h"
#include "Platform/HttpPlatform.h"

namespace robinrun {
namespace {

    constexpr Duration fastTick = 2ms;
    constexpr Duration slowTick = 100ms;
    /// Changes to the configuration that come together are applied together.
    constexpr Duration changeDelay = 5ms;
    /// After a rebuild the next one waits so many times as long as that took: it never takes more than 2.5 %
    /// of a core.
    constexpr int rebuildShare = 40;

} // namespace

Node::Node(event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation)
    : m_context(NodeContext::forNode(std::move(settings), std::move(charts), base, incarnation))
    , m_state(m_context.charts.node.initial())
{
}

Node::~Node() = default;

Result<std::unique_ptr<Node>, std::string> Node::start(
    event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation)
{
    std::unique_ptr<Node> node(new Node(base, std::move(settings), std::move(charts), incarnation));
    auto bound = node->bind();
    if (!bound)
        return failure(bound.error());
    return node;
}

SendToPeer Node::sender()
{
    return [this](const std::string& address, proto::PeerMessage& message, Instant now) {
        return m_peers->send(address, message, now);
    };
}

Result<void, std::string> Node::bind()
{
    const auto now = monotonicNow();
    auto* base = m_context.base;
    const auto& settings = m_context.settings;
    PeerSocket::Options peerOptions;
    peerOptions.address = settings.listen.peers;
    peerOptions.bindAddress = settings.listen.peersBind;
    peerOptions.node = settings.name;
    peerOptions.incarnation = m_context.incarnation;
    auto peers = PeerSocket::bind(base, peerOptions,
        [this](const PeerSocket::Sender& from, proto::PeerMessage& message) { onMessage(from, message); });
    if (!peers)
        return failure(peers.error());
    m_peers = std::move(peers.value());
    m_log = std::make_unique<HttpAppendLog>(base, settings.platform.log, settings.platform.timeout);
    m_hosts = std::make_unique<HttpHostList>(base, settings.platform.hosts, settings.platform.timeout);
    const auto answer = [this](const PeerSocket::Sender& to, proto::PeerMessage& message, Instant at) {
        return m_peers->answer(to, message, at);
    };
    m_control
        = std::make_unique<ControlPlane>(m_context, *m_log, *m_hosts, PeerLinks { sender(), answer }, now);
    m_owner = std::make_unique<Owner>(m_context, now);
    m_claims = std::make_unique<ClaimService>(m_context, *m_log, m_control->members(), sender(), now);
    m_ingress
        = std::make_unique<Ingress>(m_context, *m_owner, m_claims.get(), &m_control->members(), sender());
    m_api = std::make_unique<OperatorApi>(m_context, *m_control, *m_log, [this] { return facts(); });
    m_control->onChanged([this] { configurationChanged(); });
    m_news = std::make_unique<LeavingNews>(base, PeerLinks { sender(), answer });
    m_owner->onAnnounce([this](const PeerSocket::Sender& to, bool isLeaving) {
        m_news->tell(to, leavingMessage(*m_owner, m_context.incarnation, isLeaving), monotonicNow());
    });
    m_owner->onLastWord([this](const PeerSocket::Sender& to, std::uint64_t highest) {
        auto message = lastWord(m_context.incarnation, to, highest);
        m_peers->answer(to, message, monotonicNow());
    });

    HttpServer::Options callers { settings.listen.callers, settings.limits.body, settings.limits.headers,
        60s };
    callers.bodies = m_context.bodies;
    callers.maxConnections = settings.callerConnections();
    auto server = HttpServer::listen(base, callers, [this](std::unique_ptr<HttpExchange> exchange) {
        m_ingress->take(std::move(exchange), monotonicNow());
    });
    if (!server)
        return failure(server.error());
    m_callers = std::move(server.value());
    HttpServer::Options operators { settings.listen.operators, settings.limits.body, settings.limits.headers,
        60s };
    server = HttpServer::listen(base, operators,
        [this](std::unique_ptr<HttpExchange> exchange) { m_api->take(std::move(exchange), monotonicNow()); });
    if (!server)
        return failure(server.error());
    m_operators = std::move(server.value());
    m_claims->onBusy([this] { m_fast = Timer::once(m_context.base, fastTick, [this] { tickFast(); }); });
    m_slow = Timer::repeating(base, slowTick, [this] { tickSlow(); });
    addGauges();
    tickSlow();
    return boost::outcome_v2::success();
}

void Node::addGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_applied_offset", [this] { return double(m_control->follower().nextOffset()); });
    metrics.gauge("robinrun_calls_in_progress", [this] { return double(m_ingress->inProgress()); });
    metrics.gauge(
        "robinrun_slots_in_use", [this] { return double(m_owner->load(monotonicNow()).slotsInUse); });
    metrics.gauge(
        "robinrun_calls_waiting", [this] { return double(m_owner->load(monotonicNow()).waitingCalls); });
    metrics.gauge("robinrun_server_limit_per_second",
        [this] { return m_owner->serverLimit().value_or(Owner::noServerLimit); });
    metrics.gauge("robinrun_peer_links", [this] { return double(m_peers->links()); });
    metrics.gauge("robinrun_claim_appends_total", [this] { return double(m_claims->appends()); });
    const auto* kinds = proto::PeerMessage::descriptor()->FindOneofByName("body");
    for (int i = 0; i < kinds->field_count(); ++i) {
        const int number = kinds->field(i)->number();
        const auto label = "{kind=\"" + kinds->field(i)->name() + "\"}";
        const auto read = [number](const auto& table, auto member) {
            const auto it = table.find(number);
            return it == table.end() ? 0.0 : double(it->second.*member);
        };
        metrics.gauge("robinrun_peer_sent_bytes" + label,
            [this, read] { return read(m_peers->sentByKind(), &Traffic::bytes); });
        metrics.gauge("robinrun_peer_sent_messages" + label,
            [this, read] { return read(m_peers->sentByKind(), &Traffic::messages); });
        metrics.gauge("robinrun_peer_received_bytes" + label,
            [this, read] { return read(m_peers->receivedByKind(), &Traffic::bytes); });
    }
}

NodeFacts Node::facts() const
{
    return { m_state, std::string(nameOf(m_owner->lifeState())), m_owner->load(monotonicNow()),
        m_ingress->inProgress() };
}

void Node::onMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message)
{
    const auto now = monotonicNow();
    if (takeCallMessage(*m_owner, *m_ingress, *m_peers, sender, message, now))
        return;
    switch (message.body_case()) {
    case proto::PeerMessage::kClaimRequest:
        return takeClaim(sender, message.claim_request(), now);
    case proto::PeerMessage::kClaimReply:
        return m_claims->takeReply(message.claim_reply());
    default:
        m_control->take(sender, message, now);
    }
}

void Node::takeClaim(const PeerSocket::Sender& sender, const proto::ClaimRequest& request, Instant now)
{
    m_claims->takeRequest(
        request,
        [this, sender](proto::ClaimReply& reply) {
            proto::PeerMessage message;
            message.mutable_claim_reply()->Swap(&reply);
            m_peers->answer(sender, message, monotonicNow());
        },
        now);
}

void Node::configurationChanged()
{
    if (m_isChangePending)
        return;
    m_isChangePending = true;
    const auto delay = std::max(changeDelay, rebuildShare * m_lastRebuild);
    m_changes = Timer::once(m_context.base, delay, [this] { applyChanges(); });
}

void Node::applyChanges()
{
    m_isChangePending = false;
    const auto start = monotonicNow();
    m_context.directory.rebuild(m_control->follower().state());
    const auto now = monotonicNow();
    m_lastRebuild = now - start;
    log(LogLevel::Info, "applied", { { "offset", m_control->follower().nextOffset() } });
    // First: the owner may answer callers, whose next requests may go to services that are new.
    m_ingress->configure(now);
    m_owner->configure(now);
    const auto* host = m_control->members().find(m_context.settings.name);
    m_owner->setSign(LeavingSign::HostList, host && host->isLeaving, now);
    m_api->changed(now);
    if (m_control->follower().nextOffset() > 0)
        step(NodeEvent::Configured);
}

void Node::tickFast()
{
    m_claims->tick(monotonicNow());
    if (m_claims->isBusy())
        m_fast = Timer::once(m_context.base, fastTick, [this] { tickFast(); });
}

void Node::tickSlow()
{
    const auto now = monotonicNow();
    m_context.noteTime(SuspensionWatch::Reading::take());
    m_control->tick(now);
    m_owner->tick(now);
    m_api->tick(now);
    m_peers->closeIdle(now);
    flushLog();
    if (m_state == NodeState::Draining)
        endIfDone(now);
}

void Node::endIfDone(Instant now)
{
    DrainEnd::Work work;
    work.hasCalls = m_ingress->inProgress() > 0 || !m_owner->isIdle();
    work.hasUnwritten = m_callers->hasUnwritten();
    switch (m_drainEnd.next(work, now)) {
    case DrainEnd::Step::Stay:
        return;
    case DrainEnd::Step::AnswerAll:
        m_ingress->endCalls(now);
        return m_owner->endCalls(now);
    case DrainEnd::Step::Drained:
        return step(NodeEvent::Drained);
    case DrainEnd::Step::OutOfTime:
        return step(NodeEvent::DrainTimeout);
    }
}

void Node::step(NodeEvent event)
{
    const auto next = m_context.charts.node.next(m_state, event);
    if (!next)
        return;
    m_state = *next;
    log(LogLevel::Info, "node-state", { { "state", nameOf(m_state) } });
    const auto now = monotonicNow();
    if (m_state == NodeState::Draining) {
        const auto end = now + m_context.settings.drainTimeout;
        m_drainEnd.begin(end, now);
        m_ingress->setEnd(end);
        m_ingress->setDraining(true);
        m_owner->beginEnd(now);
        m_callers->stopAccepting();
        m_callers->setClosing(true);
    }
    if (m_state == NodeState::Stopped) {
        m_peers->setLinger(m_drainEnd.lingerFor(now));
        event_base_loopexit(m_context.base, nullptr);
    }
}

void Node::stop()
{
    step(NodeEvent::StopAsked);
}

} // namespace robinrun
