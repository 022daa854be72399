#include "Control/ConfigDisseminator.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// The readers, and with them the tree roots, change over time. Beyond this number most tracked roots are
    /// former ones, and all are dropped.
    constexpr std::size_t maxTrackedRoots = 64;

} // namespace

ConfigDisseminator::ConfigDisseminator(Options options, HostEntry self, std::uint64_t seed, Instant now)
    : m_options(options)
    , m_self(std::move(self))
    , m_hallRanking(m_self.name, m_self.dataHall)
    , m_random(seed)
    , m_fallbackReadBudget(options.fallbackReadsPerSecond, 1, 1, now)
    , m_startTime(now)
    , m_lastConfirmedAt(now)
    , m_nextDigestAt(now)
    , m_nextHostFetchAt(now)
{
}

Duration ConfigDisseminator::applyJitter(Duration interval)
{
    return fromSeconds(toSeconds(interval) * (0.5 + m_random.unit()));
}

bool ConfigDisseminator::isReader(const Membership& members, Instant now)
{
    std::size_t liveCount = 0;
    for (const auto& it : m_hallRanking.rankedHosts(members, now)) {
        if (it == m_self.name)
            return true;
        liveCount += !members.isSuspected(it, now);
        if (liveCount == m_options.readersPerHall)
            return false;
    }
    return false;
}

std::string ConfigDisseminator::pickRandomPeer(const Membership& members, Instant now)
{
    auto hall = m_self.dataHall;
    if (m_random.chance(m_options.crossHallDigestFraction)) {
        const auto halls = members.halls("");
        if (!halls.empty())
            hall = halls[m_random.below(halls.size())];
    }
    auto peers = members.liveHosts(hall, now);
    std::erase(peers, m_self.name);
    if (peers.empty() && hall == m_self.dataHall) {
        peers = members.hostNames();
        std::erase(peers, m_self.name);
    }
    return peers.empty() ? std::string() : peers[m_random.below(peers.size())];
}

DisseminationStep ConfigDisseminator::tick(
    const Membership& members, std::uint64_t nextOffset, bool isLogReadable, Instant now)
{
    DisseminationStep step;
    const bool isReaderNode = isReader(members, now);
    const bool isSilent = now - m_lastConfirmedAt > m_options.silenceTimeout;
    step.shouldReadLog = isReaderNode || (isSilent && m_fallbackReadBudget.tryTake(1, now));
    if (isReaderNode && isLogReadable)
        m_lastConfirmedAt = now;
    if (now >= m_nextDigestAt) {
        const bool isStarting = !nextOffset || now - m_startTime < m_options.startupPeriod;
        m_nextDigestAt
            = now + applyJitter(isStarting ? m_options.startupDigestInterval : m_options.digestInterval);
        auto peer = pickRandomPeer(members, now);
        if (!peer.empty())
            step.digestPeers.push_back(std::move(peer));
    }
    if (now >= m_nextHostFetchAt) {
        m_nextHostFetchAt = now
            + applyJitter(
                isReaderNode ? m_options.readerHostFetchInterval : m_options.nonReaderHostFetchInterval);
        step.shouldFetchHosts = true;
    }
    return step;
}

void ConfigDisseminator::appendForwards(const Membership& members, const std::string& parent,
    const RecordForward& forward, std::vector<RecordForward>& out, Instant now)
{
    const auto& rankedHosts = m_hallRanking.rankedHosts(members, now);
    for (const auto& it : treeChildren(rankedHosts, forward.treeRoot, parent, m_options.fanOut)) {
        // A suspected child may have recovered, so it gets the records, too; its children get them directly.
        out.push_back({ it, forward.treeRoot, forward.fromOffset });
        if (members.isSuspected(it, now))
            appendForwards(members, it, forward, out, now);
    }
}

std::vector<RecordForward> ConfigDisseminator::rerouteAround(
    const Membership& members, const RecordForward& unreachable, Instant now)
{
    std::vector<RecordForward> out;
    appendForwards(members, unreachable.peer, unreachable, out, now);
    return out;
}

std::vector<RecordForward> ConfigDisseminator::onOffsetAdvanced(const Membership& members,
    const std::string& treeRoot, std::uint64_t fromOffset, std::uint64_t nextOffset, Instant now)
{
    std::vector<RecordForward> out;
    const bool isOwnTree = treeRoot.empty() && isReader(members, now);
    if (treeRoot.empty() && !isOwnTree)
        return out;
    const auto& outgoingRoot = isOwnTree ? m_self.name : treeRoot;
    if (m_forwardedOffsets.size() > maxTrackedRoots)
        m_forwardedOffsets.clear();
    auto& forwardedOffset = m_forwardedOffsets.try_emplace(outgoingRoot, fromOffset).first->second;
    if (nextOffset <= forwardedOffset)
        return out;
    const auto firstOffset = std::min(fromOffset, forwardedOffset);
    forwardedOffset = nextOffset;
    appendForwards(members, m_self.name, { {}, outgoingRoot, firstOffset }, out, now);
    return out;
}

} // namespace robinrun
