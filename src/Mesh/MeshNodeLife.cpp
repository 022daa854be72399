#include "Core/Log.h"
#include "Mesh/MeshNode.h"
#include "Routing/NodeRetryBounds.h"

#include <algorithm>
#include <utility>

/// \file A mesh node's configuration, readiness and end.

namespace robinrun {
namespace {

    /// How old a proof is, is noted with each tick.
    constexpr Duration proofSlack = 100ms;
    /// Changes that come together are applied together.
    constexpr Duration changeDelay = 3ms;
    /// A node whose store can't be reached counts as ready this long after its start if it has a
    /// configuration.
    constexpr Duration readyAnyway = 1500ms;
    /// A claim of a peer that is false costs a read of the store in so long.
    constexpr Duration betweenOverdueReads = 1s;
    /// Time in which the first read of the members of the watch group is confirmed to the other nodes.
    constexpr Duration firstConfirmation = 1500ms;
    /// Of the writes that the store takes a second, what records that are written again may use.
    constexpr double rewriteShare = 0.5;
    /// Entries have to be back two seconds after the store is; half of that is for the news and the write.
    constexpr Duration longestRewriteDelay = 1s;

} // namespace

bool MeshNode::isReady() const
{
    if (m_isStopping || !m_config.hasConfiguration())
        return false;
    return m_nodesFeed->isCaughtUp() || monotonicNow() - m_started > readyAnyway;
}

void MeshNode::offerConfiguration(std::string_view text, std::string_view source, Instant now)
{
    ConfigVersionText former { m_config.version(), m_config.text() };
    if (m_config.adoptIfNewer(text, source, m_formats))
        configurationAdopted(std::move(former), now);
}

void MeshNode::takeStoredConfiguration(const KeyedPage& page, Instant now)
{
    // Before the configuration: a node that gets its first one must know which halls it may use.
    if (m_halls.applyPage(page, m_formats.parseEmptiedHall))
        onHallsChanged(now);
    applyStoredRollouts(page, now);
    m_startedWithoutConfiguration
        = m_startedWithoutConfiguration || (page.isWhole && !m_hasReadConfiguration && page.records.empty());
    const auto& records = page.records;
    // What the store has just confirmed is told while it is fresh: of 300 nodes none has to read for itself
    // then, and 25 at once had to now and then where followers told it up to a second later.
    if (m_nextContact - now < m_context.settings.peers.contactEvery / 2)
        m_nextContact = now;
    if (records.empty())
        return;
    ConfigVersionText former { m_config.version(), m_config.text() };
    if (m_config.adoptNewest(records, "store", m_formats))
        configurationAdopted(std::move(former), now);
}

void MeshNode::configurationAdopted(ConfigVersionText former, Instant now)
{
    if (former.version)
        m_copies.addFormerText(std::move(former));
    m_fetch.onAdopted();
    m_adopted = now;
    m_pulls.onAdopted(m_config.version(), now);
    m_group.onAdopted(m_config.version());
    const auto& limits = m_config.current()->limits;
    m_callers->setLimits(
        limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout);
    rebuild();
    onCrashRecordsChanged(now);
    step(NodeEvent::Configured);
    sendContacts(now);
}

void MeshNode::onHallsChanged(Instant now)
{
    rebuildUpstreams();
    sendContacts(now);
}

void MeshNode::onStoreReturned(Instant now)
{
    m_context.metrics.count("robinrun_store_returns_total");
    m_writer->rewriteAfter(rewriteDelay());
    m_context.rollouts.forgetWrittenStatus();
    sendContacts(now);
}

Duration MeshNode::rewriteDelay()
{
    const auto rate = rewriteShare * m_context.settings.store.writesPerSecond;
    const auto all = fromSeconds(static_cast<double>(livingNodes()) / std::max(rate, 1.0));
    return fromSeconds(toSeconds(std::min(all, longestRewriteDelay)) * m_context.random.unit());
}

void MeshNode::rebuildSoon()
{
    if (std::exchange(m_isRebuildPending, true))
        return;
    m_rebuildTimer = Timer::once(m_context.base, changeDelay, [this] { rebuildUpstreams(); });
}

void MeshNode::watchAmongNodes()
{
    std::vector<std::string> addresses;
    for (const auto& [name, record] : m_registry.nodes()) {
        if (!record.gone())
            addresses.push_back(record.peer_address());
    }
    m_group.setNodes(addresses);
}

std::vector<proto::Resource> MeshNode::usableUpstreams() const
{
    const auto& settings = m_context.settings;
    std::vector<proto::Resource> out;
    for (auto& it : m_registry.upstreams()) {
        // What a former life of this node owned is not owned by it until it is found or announced again.
        const bool isOwn = it.upstream().host() == settings.name;
        if (isOwn && it.name() != "upstreams/" + settings.upstream)
            continue;
        it.mutable_upstream()->set_connections(static_cast<std::uint32_t>(settings.limits.calls));
        out.push_back(std::move(it));
    }
    return out;
}

void MeshNode::rebuild()
{
    if (!m_config.hasConfiguration())
        return;
    auto resources = m_config.current()->resources;
    for (auto& it : resources) {
        if (it.has_service())
            it.mutable_service()->set_retry_fraction(nodeRetryFraction(m_context.settings.retries.ratio));
    }
    m_context.directory.rebuild(resources);
    m_context.configVersion = m_config.version();
    setRates();
    rebuildUpstreams();
}

void MeshNode::rebuildUpstreams()
{
    m_isRebuildPending = false;
    m_rebuildTimer = Timer();
    watchAmongNodes();
    if (!m_config.hasConfiguration())
        return;
    const auto now = monotonicNow();
    m_context.directory.setEmptiedHalls(m_halls.emptiedHalls());
    m_context.directory.replaceUpstreams(usableUpstreams());
    m_ingress->setRetryBurst(retryBurst());
    // First: the owner may answer callers, whose next requests may go to services that are new.
    m_ingress->configure(now);
    m_owner->configure(now);
    setLenders();
    if (!m_announced.current())
        startDiscovery();
}

double MeshNode::retryBurst() const
{
    // A node that knows few others yet would take most of the slack for itself, at each of its starts.
    if (!m_nodesFeed->isCaughtUp())
        return minRetryBurst;
    return nodeRetryBurst(m_context.settings.retries.slack, m_registry.nodes().size());
}

void MeshNode::detectStandstill()
{
    const auto reading = SuspensionWatch::Reading::take();
    const auto now = reading.now;
    m_context.noteTime(reading);
    const auto standstill = m_context.standstill.wakingFrom(now);
    if (!standstill || standstill->ended != now)
        return;
    log(LogLevel::Warning, "stood-still",
        { { "for_ms", toMilliseconds(standstill->length()) },
            { "in_progress", std::uint64_t { m_ingress->inProgress() } } });
    m_context.metrics.count("robinrun_standstills_total");
    m_owner->markWarmUpUncertain(now);
    m_nextContact = now; // what happened meanwhile is heard in the answers
}

void MeshNode::updateConfigProof(Instant now)
{
    const auto age = m_group.confirmationAge(now);
    m_context.isConfigProven = age && *age + proofSlack < m_context.settings.credentials.revokeWithin;
}

void MeshNode::tick()
{
    const auto now = monotonicNow();
    detectStandstill();
    updateConfigProof(now);
    m_context.crashes.forgetOldReports(now);
    onCrashRecordsChanged(now);
    m_owner->tick(now);
    m_rates->tick(now);
    if (m_halls.expireFormerEras(m_store->era().era(), now))
        onHallsChanged(now);
    acknowledgeOverdue(now);
    tickRollouts(now);
    m_peers->closeIdle(now);
    flushLog();
    if (now >= m_nextContact)
        sendContacts(now);
    followIfNeeded(now);
    pullIfDue(now);
    if (m_state == NodeState::Draining)
        endIfDone(now);
}

void MeshNode::endIfDone(Instant now)
{
    DrainEnd::Work work;
    work.hasCalls = m_ingress->inProgress() > 0 || !m_owner->isIdle();
    work.hasUnwritten = m_peers->holdsAnswers();
    for (const auto* it : { m_callers.get(), m_announcements.get() })
        work.hasUnwritten = work.hasUnwritten || (it && it->hasUnwritten());
    // Only the word that the node is gone has to be written first: a store that is down must not hold a
    // restart up.
    work.hasUnsaid = m_record.gone() && !m_writer->isWritten();
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

void MeshNode::followIfNeeded(Instant now)
{
    // Peers claim to follow, and to have a version, that none of them gives: the store has it.
    if (m_configFeed->isOnStandby() && m_pulls.isOverdue(now) && now >= m_nextOverdueRead) {
        m_nextOverdueRead = now + betweenOverdueReads;
        return m_configFeed->resume();
    }
    if (!m_configFeed->isOnStandby() || isWatched(now)) {
        m_restUntil = now + (m_group.isMember() ? m_share.takeOverDelay(now) : m_group.takeOverDelay());
        return;
    }
    if (now < m_restUntil)
        return;
    // The members of the watch group, which have rested as long, read first.
    if (std::exchange(m_isFirstRest, false) && !m_group.isMember()) {
        m_restUntil = now + firstConfirmation;
        return;
    }
    m_configFeed->resume(); // contacts are told once the store has answered, so that the next ones need not
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
    const auto& settings = m_context.settings;
    m_drainLimit = monotonicNow() + settings.drainTimeout;
    m_owner->setEnd(m_drainLimit);
    m_ingress->setEnd(m_drainLimit);
    m_lameDuckTimer = Timer::once(m_context.base, std::min(settings.lameDuck, settings.drainTimeout),
        [this] { step(NodeEvent::StopAsked); });
}

void MeshNode::beginLeaving()
{
    const auto now = monotonicNow();
    m_drainEnd.begin(m_drainLimit, now);
    m_ingress->setDraining(true);
    m_owner->beginEnd(now);
    if (!m_announced.isLeaving())
        return;
    // The backend server has left before: this node will not be back.
    m_record.set_gone(true);
    m_gossip.publish(m_record, now);
    m_writer->setValue("");
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
    if (m_state == NodeState::Stopped) {
        m_peers->setLinger(m_drainEnd.lingerFor(monotonicNow()));
        event_base_loopexit(m_context.base, nullptr);
    }
}

} // namespace robinrun
