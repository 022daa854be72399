#pragma once

#include "Core/Random.h"
#include "Mesh/ContactSelection.h"
#include "Mesh/FollowerSelection.h"
#include "Mesh/StoreReadTiming.h"
#include "Mesh/WatchGroup.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \returns the addresses of \a n nodes.
inline std::vector<std::string> nodeAddresses(std::size_t n)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7620");
    return out;
}

/// \brief Simulates nodes that watch a store for each other in virtual time, in steps of 50 ms: waiting
/// reads, standby, contact rounds, network partitions and lost messages.
///
/// The state of the store is a version that increases. A node that hears of a newer version has it 50 ms
/// later. The model measures from outside how long a node's version has been replaced in the store.
class WatchModel {
public:
    static constexpr std::size_t contactCount = 16;
    static constexpr Duration stepLength = 50ms;
    static constexpr Duration contactInterval = 1s;
    /// Links to nodes that do not answer close after two missed heartbeats.
    static constexpr Duration linkTimeout = 500ms;

    struct Options {
        std::size_t nodes = 295;
        Duration changeInterval = 300ms;
        double lossRate = 0.02; ///< fraction of lost messages between nodes
        Duration storeLatency = 5ms; ///< time that the store takes to answer
        std::size_t halls = 0; ///< data halls by which contacts are selected; 0: they are random
    };

    WatchModel(std::uint64_t seed, Options options)
        : m_options(options)
        , m_random(seed)
        , m_addresses(nodeAddresses(options.nodes))
        , m_nodes(options.nodes)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& it = m_nodes[i];
            it.group.emplace(m_addresses[i], WatchGroup::Options {});
            it.group->setNodes(m_addresses);
            it.followerSelection.emplace(m_addresses[i], FollowerSelection::Options {});
            it.nextContactAt = m_now + m_random.below(1000) * 1ms;
            it.readEndsAt = m_now + m_random.below(300) * 1ms;
            for (std::size_t k = 0; k < contactCount && !options.halls; ++k)
                it.peers.push_back(m_random.below(m_nodes.size()));
        }
        if (options.halls)
            selectPeers();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].group->isMember())
                m_members.push_back(i);
        }
    }

    const std::vector<std::size_t>& members() const { return m_members; }
    std::size_t size() const { return m_nodes.size(); }

    /// \brief Moves a node to a partition of the network. Nodes in different partitions receive no messages
    /// from each other.
    void setPartition(std::size_t node, int partition)
    {
        m_nodes[node].partition = partition;
        m_nodes[node].partitionedAt = m_now;
    }
    /// \brief Sets whether all messages of a node are lost from now on.
    void setMuted(std::size_t node, bool isMuted) { m_nodes[node].isMuted = isMuted; }
    /// \brief Sets whether the store answers a node.
    void setStoreReachable(std::size_t node, bool isReachable) { m_nodes[node].canReachStore = isReachable; }
    /// \brief Stops a node until \a end.
    void freeze(std::size_t node, Instant end) { m_nodes[node].frozenUntil = end; }
    void setStoreLatency(Duration storeLatency) { m_options.storeLatency = storeLatency; }

    Instant now() const { return m_now; }
    std::uint64_t readCount() const { return m_readCount; }
    /// \returns the maximum number of reads that started in one step.
    std::uint64_t maxReadsPerStep() const { return m_maxReadsPerStep; }
    void resetReadCounts() { m_readCount = m_maxReadsPerStep = 0; }

    /// \brief Runs the simulation for \a length.
    /// \returns the longest time for which a running node that reaches the store had a version that was
    /// replaced.
    Duration run(Duration length)
    {
        Duration longestStaleness {};
        for (const auto end = m_now + length; m_now < end; m_now += stepLength) {
            writeDueVersion();
            const auto before = m_readCount;
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                tick(i);
            m_maxReadsPerStep = std::max(m_maxReadsPerStep, m_readCount - before);
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const auto& it = m_nodes[i];
                if (it.canReachStore && it.frozenUntil <= m_now)
                    longestStaleness = std::max(longestStaleness, staleness(it));
            }
        }
        return longestStaleness;
    }

private:
    /// \brief Gives each node the contacts that it has in a system of several data halls.
    void selectPeers()
    {
        std::map<std::string, proto::NodeRecord> records;
        std::map<std::string, std::size_t> indexes;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& record = records[m_addresses[i]];
            record.set_node(m_addresses[i]);
            record.set_data_hall("hall-" + std::to_string(i % m_options.halls));
            indexes[m_addresses[i]] = i;
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            for (const auto& it : selectContacts(records, m_addresses[i], contactCount).all())
                m_nodes[i].peers.push_back(indexes.at(it));
        }
    }

    struct Node {
        std::optional<WatchGroup> group;
        std::optional<FollowerSelection> followerSelection;
        std::vector<std::size_t> peers;
        Instant nextContactAt {};
        Instant frozenUntil {};
        Instant partitionedAt { -1h };
        int partition = 0;
        bool isMuted = false;
        bool canReachStore = true;
        bool isOnStandby = false;
        bool isFollowing = false;
        Instant standbyUntil {};
        Instant readSentAt {}; ///< when the current read was sent
        Duration readWait {};
        Instant readEndsAt {};
        std::uint64_t version = 0;
        std::uint64_t fetchingVersion = 0; ///< a version known from a contact
        Instant fetchedAt {};
    };

    void writeDueVersion()
    {
        if (m_options.changeInterval <= Duration::zero()
            || m_now - m_versionTimes.back() < m_options.changeInterval)
            return;
        m_versionTimes.push_back(m_now);
    }

    std::uint64_t versionAt(Instant at) const
    {
        return static_cast<std::uint64_t>(
            std::upper_bound(m_versionTimes.begin(), m_versionTimes.end(), at) - m_versionTimes.begin());
    }

    /// \returns the time since the version after the node's own version was written.
    Duration staleness(const Node& node) const
    {
        return node.version < m_versionTimes.size() ? m_now - m_versionTimes[node.version] : Duration::zero();
    }

    bool mayStandBy(const Node& node) const
    {
        return node.group->isMember() ? node.followerSelection->mayStandBy(m_now)
                                      : node.group->mayStandBy(m_now);
    }

    void startRead(Node& node, Duration readWait)
    {
        ++m_readCount;
        node.readSentAt = m_now;
        node.readWait = readWait;
        const auto timeout = readWait + 1s;
        if (!node.canReachStore) {
            node.readEndsAt = m_now + timeout;
            return;
        }
        // A waiting read is answered as soon as there is a newer version.
        const auto hasNewVersion = versionAt(m_now) > node.version;
        const auto nextVersionAt = m_options.changeInterval > Duration::zero()
            ? m_versionTimes.back() + m_options.changeInterval
            : Instant::max();
        node.readEndsAt = (hasNewVersion ? m_now : std::min(m_now + readWait, std::max(nextVersionAt, m_now)))
            + m_options.storeLatency;
    }

    void finishRead(Node& node)
    {
        if (!node.canReachStore) {
            node.isFollowing = false;
            node.group->onReadFailed(m_now);
            node.readEndsAt = m_now + 1s; // delay before the next retry
            node.readWait = {};
            if (mayStandBy(node))
                enterStandby(node);
            return;
        }
        const auto readVersion = versionAt(m_now - m_options.storeLatency);
        const bool hasNewVersion = node.readWait > Duration::zero() && readVersion > node.version;
        adopt(node, readVersion);
        node.group->onRead(hasNewVersion ? m_now - m_options.storeLatency
                                         : std::min(node.readSentAt + node.readWait, m_now));
        const bool isFirst = !std::exchange(node.isFollowing, true);
        if (isFirst || node.nextContactAt - m_now < contactInterval / 2)
            node.nextContactAt = m_now;
        if (mayStandBy(node))
            return enterStandby(node);
        startRead(node, m_readTiming.nextWait(WatchGroup::Options {}.maxMembers, m_random.unit()));
    }

    void enterStandby(Node& node)
    {
        node.isOnStandby = true;
        node.isFollowing = false;
    }

    void adopt(Node& node, std::uint64_t version)
    {
        if (version <= node.version)
            return;
        node.version = version;
        node.group->onAdopted(version);
        node.nextContactAt = m_now;
    }

    void tick(std::size_t i)
    {
        auto& node = m_nodes[i];
        if (node.frozenUntil > m_now)
            return;
        if (node.fetchingVersion > node.version && node.fetchedAt <= m_now)
            adopt(node, node.fetchingVersion);
        closeCutLinks(i);
        if (node.isOnStandby) {
            if (mayStandBy(node))
                node.standbyUntil = m_now
                    + (node.group->isMember() ? node.followerSelection->takeOverDelay(m_now)
                                              : node.group->takeOverDelay());
            else if (m_now >= node.standbyUntil) {
                node.isOnStandby = false;
                startRead(node, Duration::zero());
            }
        } else if (m_now >= node.readEndsAt) {
            finishRead(node);
        }
        if (m_now >= node.nextContactAt)
            sendContacts(i);
    }

    /// \brief Closes the links to all peers of other partitions a moment after the partition.
    void closeCutLinks(std::size_t i)
    {
        auto& node = m_nodes[i];
        if (m_now - node.partitionedAt < linkTimeout
            || m_now - node.partitionedAt >= linkTimeout + stepLength)
            return;
        for (std::size_t k = 0; k < m_nodes.size(); ++k) {
            if (m_nodes[k].partition != node.partition)
                node.followerSelection->onLinkClosed(m_addresses[k]);
        }
        if (!node.followerSelection->hasPeers())
            node.group->onContactsLost();
    }

    void sendContacts(std::size_t i)
    {
        auto& node = m_nodes[i];
        node.nextContactAt = m_now + contactInterval;
        for (const auto to : node.peers)
            sendContact(i, to);
        if (!node.group->isMember())
            return;
        for (const auto to : m_members) {
            if (to != i)
                sendContact(i, to);
        }
    }

    void sendContact(std::size_t from, std::size_t to)
    {
        const auto& a = m_nodes[from];
        auto& b = m_nodes[to];
        const bool isLost = a.isMuted || a.partition != b.partition || m_random.unit() < m_options.lossRate;
        if (isLost || b.frozenUntil > m_now || from == to)
            return;
        b.followerSelection->onPeerStatus(m_addresses[from], a.isFollowing, m_now);
        if (const auto& outage = a.group->outage())
            b.group->onOutage(*outage);
        const auto before = b.group->confirmationAge(m_now);
        if (const auto known = a.group->confirmation()) {
            if (b.group->onPeerConfirmation(a.version, *known) && before && *before > 1800ms)
                b.nextContactAt = m_now;
        }
        if (a.version > b.version && a.version > b.fetchingVersion) {
            b.fetchingVersion = a.version;
            b.fetchedAt = m_now + stepLength;
        }
    }

    Options m_options;
    Random m_random;
    std::vector<std::string> m_addresses;
    std::vector<Node> m_nodes;
    std::vector<std::size_t> m_members;
    StoreReadTiming m_readTiming { { 4, contactCount } };
    Instant m_now { 1h };
    std::vector<Instant> m_versionTimes { Instant(1h) - 1min }; ///< when each version was written
    std::uint64_t m_readCount = 0;
    std::uint64_t m_maxReadsPerStep = 0;
};

} // namespace robinrun::support
