#pragma once

#include "Core/Random.h"
#include "Mesh/FollowShare.h"
#include "Mesh/StoreWatch.h"
#include "Mesh/WatchGroup.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \returns addresses of \a n nodes.
inline std::vector<std::string> addressesOf(std::size_t n)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7620");
    return out;
}

/// \brief Nodes that watch a store for each other, in virtual time in steps of 50 ms: reads that wait, rests,
/// rounds of contact, links that are cut and messages that get lost.
///
/// The store's state is a version that rises; a node that hears of a newer one has it a moment later. What is
/// checked is told from outside: the time since the store last had no newer version than a node has.
class WatchModel {
public:
    static constexpr std::size_t contacts = 16;
    static constexpr Duration step = 50ms;
    static constexpr Duration round = 1s;
    /// Links to nodes that don't answer are ended after two heartbeats.
    static constexpr Duration linkLife = 500ms;

    struct Options {
        std::size_t nodes = 295;
        Duration changeEvery = 300ms;
        double loss = 0.02; ///< of messages between nodes
        Duration answer = 5ms; ///< of the store
    };

    WatchModel(std::uint64_t seed, Options options)
        : m_options(options)
        , m_random(seed)
        , m_addresses(addressesOf(options.nodes))
        , m_nodes(options.nodes)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& it = m_nodes[i];
            it.group.emplace(m_addresses[i], WatchGroup::Options {});
            it.group->setNodes(m_addresses);
            it.share.emplace(m_addresses[i], FollowShare::Options {});
            it.nextRound = m_now + m_random.below(1000) * 1ms;
            it.readEnds = m_now + m_random.below(300) * 1ms;
            for (std::size_t k = 0; k < contacts; ++k)
                it.peers.push_back(m_random.below(m_nodes.size()));
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].group->isMember())
                m_members.push_back(i);
        }
    }

    const std::vector<std::size_t>& members() const { return m_members; }
    std::size_t size() const { return m_nodes.size(); }

    /// \brief Nodes of different islands hear nothing of each other.
    void setIsland(std::size_t node, int island)
    {
        m_nodes[node].island = island;
        m_nodes[node].cutAt = m_now;
    }
    /// \brief What a node sends is lost from now on, or not any more.
    void setMute(std::size_t node, bool isMute) { m_nodes[node].isMute = isMute; }
    /// \brief The store answers a node nothing, or does again.
    void setStoreReached(std::size_t node, bool isReached) { m_nodes[node].reachesStore = isReached; }
    /// \brief A node does nothing until \a end.
    void freeze(std::size_t node, Instant end) { m_nodes[node].frozenUntil = end; }
    void setAnswer(Duration answer) { m_options.answer = answer; }

    Instant now() const { return m_now; }
    std::uint64_t reads() const { return m_totalReads; }
    /// \returns the most reads that were begun in one step.
    std::uint64_t mostReadsAtOnce() const { return m_mostReads; }
    void forgetReads() { m_totalReads = m_mostReads = 0; }

    /// \brief Runs for \a length. \returns the longest that a node which reaches the store, and is awake,
    /// went by a version that was overtaken.
    Duration run(Duration length)
    {
        Duration oldest {};
        for (const auto end = m_now + length; m_now < end; m_now += step) {
            change();
            const auto before = m_totalReads;
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                tick(i);
            m_mostReads = std::max(m_mostReads, m_totalReads - before);
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const auto& it = m_nodes[i];
                if (it.reachesStore && it.frozenUntil <= m_now)
                    oldest = std::max(oldest, staleness(it));
            }
        }
        return oldest;
    }

private:
    struct Node {
        std::optional<WatchGroup> group;
        std::optional<FollowShare> share;
        std::vector<std::size_t> peers;
        Instant nextRound {};
        Instant frozenUntil {};
        Instant cutAt { -1h };
        int island = 0;
        bool isMute = false;
        bool reachesStore = true;
        bool isResting = false;
        bool isFollowing = false;
        Instant restUntil {};
        Instant sent {}; ///< of the read that is out
        Duration wait {};
        Instant readEnds {};
        std::uint64_t version = 0;
        std::uint64_t fetching = 0; ///< version that was heard of
        Instant fetched {};
    };

    void change()
    {
        if (m_options.changeEvery <= Duration::zero() || m_now - m_changes.back() < m_options.changeEvery)
            return;
        m_changes.push_back(m_now);
    }

    std::uint64_t versionAt(Instant at) const
    {
        return static_cast<std::uint64_t>(
            std::upper_bound(m_changes.begin(), m_changes.end(), at) - m_changes.begin());
    }

    /// \returns how long ago the version after the one that the node has was written.
    Duration staleness(const Node& node) const
    {
        return node.version < m_changes.size() ? m_now - m_changes[node.version] : Duration::zero();
    }

    bool isWatched(const Node& node) const
    {
        return node.group->isMember() ? node.share->mayRest(m_now) : node.group->isWatched(m_now);
    }

    void read(Node& node, Duration wait)
    {
        ++m_totalReads;
        node.sent = m_now;
        node.wait = wait;
        const auto timeout = wait + 1s;
        if (!node.reachesStore) {
            node.readEnds = m_now + timeout;
            return;
        }
        // A waiting read is answered when there is news.
        const auto isNews = versionAt(m_now) > node.version;
        const auto news = m_options.changeEvery > Duration::zero() ? m_changes.back() + m_options.changeEvery
                                                                   : Instant::max();
        node.readEnds = (isNews ? m_now : std::min(m_now + wait, std::max(news, m_now))) + m_options.answer;
    }

    void endRead(Node& node)
    {
        if (!node.reachesStore) {
            node.isFollowing = false;
            node.group->readFailed(m_now);
            node.readEnds = m_now + 1s; // a pause, then the next
            node.wait = {};
            if (isWatched(node))
                rest(node);
            return;
        }
        const auto brought = versionAt(m_now - m_options.answer);
        const bool isNews = node.wait > Duration::zero() && brought > node.version;
        adopt(node, brought);
        node.group->read(isNews ? m_now - m_options.answer : std::min(node.sent + node.wait, m_now));
        const bool isFirst = !std::exchange(node.isFollowing, true);
        if (isFirst || node.nextRound - m_now < round / 2)
            node.nextRound = m_now;
        if (isWatched(node))
            return rest(node);
        read(node, m_watch.wait(WatchGroup::Options {}.size, m_random.unit()));
    }

    void rest(Node& node)
    {
        node.isResting = true;
        node.isFollowing = false;
    }

    void adopt(Node& node, std::uint64_t version)
    {
        if (version <= node.version)
            return;
        node.version = version;
        node.group->adopted(version);
        node.nextRound = m_now;
    }

    void tick(std::size_t i)
    {
        auto& node = m_nodes[i];
        if (node.frozenUntil > m_now)
            return;
        if (node.fetching > node.version && node.fetched <= m_now)
            adopt(node, node.fetching);
        noticeCut(i);
        if (node.isResting) {
            if (isWatched(node))
                node.restUntil = m_now
                    + (node.group->isMember() ? node.share->takeOverDelay(m_now)
                                              : node.group->takeOverDelay());
            else if (m_now >= node.restUntil) {
                node.isResting = false;
                read(node, Duration::zero());
            }
        } else if (m_now >= node.readEnds) {
            endRead(node);
        }
        if (m_now >= node.nextRound)
            tell(i);
    }

    /// \brief Links to all peers of other islands end a moment after the cut.
    void noticeCut(std::size_t i)
    {
        auto& node = m_nodes[i];
        if (m_now - node.cutAt < linkLife || m_now - node.cutAt >= linkLife + step)
            return;
        for (std::size_t k = 0; k < m_nodes.size(); ++k) {
            if (m_nodes[k].island != node.island)
                node.share->lost(m_addresses[k]);
        }
        if (!node.share->hearsAny())
            node.group->loseContacts();
    }

    void tell(std::size_t i)
    {
        auto& node = m_nodes[i];
        node.nextRound = m_now + round;
        for (const auto to : node.peers)
            send(i, to);
        if (!node.group->isMember())
            return;
        for (const auto to : m_members) {
            if (to != i)
                send(i, to);
        }
    }

    void send(std::size_t from, std::size_t to)
    {
        const auto& a = m_nodes[from];
        auto& b = m_nodes[to];
        const bool isLost = a.isMute || a.island != b.island || m_random.unit() < m_options.loss;
        if (isLost || b.frozenUntil > m_now || from == to)
            return;
        b.share->heard(m_addresses[from], a.isFollowing, m_now);
        if (const auto& outage = a.group->outage())
            b.group->heardOutage(*outage);
        const auto before = b.group->age(m_now);
        if (const auto known = a.group->confirmation()) {
            if (b.group->heard(a.version, *known) && before && *before > 1800ms)
                b.nextRound = m_now;
        }
        if (a.version > b.version && a.version > b.fetching) {
            b.fetching = a.version;
            b.fetched = m_now + step;
        }
    }

    Options m_options;
    Random m_random;
    std::vector<std::string> m_addresses;
    std::vector<Node> m_nodes;
    std::vector<std::size_t> m_members;
    StoreWatch m_watch { { 4, contacts } };
    Instant m_now { 1h };
    std::vector<Instant> m_changes { Instant(1h) - 1min }; ///< when each version was written
    std::uint64_t m_totalReads = 0;
    std::uint64_t m_mostReads = 0;
};

} // namespace robinrun::support
