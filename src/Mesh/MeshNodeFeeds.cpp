#include "Mesh/MeshNode.h"

#include <algorithm>
#include <utility>

/// \file When a mesh node reads the topics of the store, and when it leaves that to other nodes.

namespace robinrun {
namespace {

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

} // namespace

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
            rewriteIfOlder(page);
            m_formerLeaves.onStoreRead(m_nodesFeed->failures() == 0);
            onCrashRecordsChanged(monotonicNow());
            startConfigFeed(monotonicNow());
        },
        m_context.random);
    m_writer->onWritten([this] {
        if (isRecordStored())
            m_acknowledgements.sendAll();
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

} // namespace robinrun
