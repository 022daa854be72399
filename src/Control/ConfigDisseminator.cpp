#include "Control/ConfigDisseminator.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Roots come and go with the readers; more than this many remembered ones means that most are gone.
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

Duration ConfigDisseminator::applyJitter(Duration d)
{
    return fromSeconds(toSeconds(d) * (0.5 + m_random.unit()));
}

bool ConfigDisseminator::isReader(const Membership& members, Instant now)
{
    std::size_t live = 0;
    for (const auto& it : m_hallRanking.rankedHosts(members, now)) {
        if (it == m_self.name)
            return true;
        live += !members.isSuspected(it, now);
        if (live == m_options.readersPerHall)
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
    const Membership& members, std::uint64_t nextOffset, bool isLogRead, Instant now)
{
    DisseminationStep step;
    const bool isReading = isReader(members, now);
    const bool isQuiet = now - m_lastConfirmedAt > m_options.silenceTimeout;
    step.shouldReadLog = isReading || (isQuiet && m_fallbackReadBudget.tryTake(1, now));
    if (isReading && isLogRead)
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
                isReading ? m_options.readerHostFetchInterval : m_options.nonReaderHostFetchInterval);
        step.shouldFetchHosts = true;
    }
    return step;
}

void ConfigDisseminator::appendForwards(const Membership& members, const std::string& node,
    const RecordForward& what, std::vector<RecordForward>& out, Instant now)
{
    const auto& ranks = m_hallRanking.rankedHosts(members, now);
    for (const auto& it : treeChildren(ranks, what.treeRoot, node, m_options.fanOut)) {
        // A suspected child may be back and is tried all the same; those below it are served in its place.
        out.push_back({ it, what.treeRoot, what.fromOffset });
        if (members.isSuspected(it, now))
            appendForwards(members, it, what, out, now);
    }
}

std::vector<RecordForward> ConfigDisseminator::rerouteAround(
    const Membership& members, const RecordForward& unreached, Instant now)
{
    std::vector<RecordForward> out;
    appendForwards(members, unreached.peer, unreached, out, now);
    return out;
}

std::vector<RecordForward> ConfigDisseminator::onOffsetAdvanced(const Membership& members,
    const std::string& root, std::uint64_t from, std::uint64_t nextOffset, Instant now)
{
    std::vector<RecordForward> out;
    const bool isOwn = root.empty() && isReader(members, now);
    if (root.empty() && !isOwn)
        return out;
    const auto& tree = isOwn ? m_self.name : root;
    if (m_forwardedOffsets.size() > maxTrackedRoots)
        m_forwardedOffsets.clear();
    auto& passed = m_forwardedOffsets.try_emplace(tree, from).first->second;
    if (nextOffset <= passed)
        return out;
    const auto start = std::min(from, passed);
    passed = nextOffset;
    appendForwards(members, m_self.name, { {}, tree, start }, out, now);
    return out;
}

} // namespace robinrun
