#include "Control/Spread.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Roots come and go with the readers; more than this many remembered ones means that most are gone.
    constexpr std::size_t maxRemembered = 64;

} // namespace

Spread::Spread(Options options, HostEntry self, std::uint64_t seed, Instant now)
    : m_options(options)
    , m_self(std::move(self))
    , m_hallRanks(m_self.name, m_self.dataHall)
    , m_random(seed)
    , m_ownReads(options.ownReadsPerSecond, 1, 1, now)
    , m_started(now)
    , m_lastHeard(now)
    , m_nextDigest(now)
    , m_nextHosts(now)
{
}

Duration Spread::jittered(Duration d)
{
    return fromSeconds(toSeconds(d) * (0.5 + m_random.unit()));
}

bool Spread::isReader(const Membership& members, Instant now)
{
    std::size_t live = 0;
    for (const auto& it : m_hallRanks.get(members, now)) {
        if (it == m_self.name)
            return true;
        live += !members.isSuspected(it, now);
        if (live == m_options.readers)
            return false;
    }
    return false;
}

std::string Spread::randomPeer(const Membership& members, Instant now)
{
    auto hall = m_self.dataHall;
    if (m_random.chance(m_options.digestAbroad)) {
        const auto halls = members.halls("");
        if (!halls.empty())
            hall = halls[m_random.below(halls.size())];
    }
    auto peers = members.liveIn(hall, now);
    std::erase(peers, m_self.name);
    if (peers.empty() && hall == m_self.dataHall) {
        peers = members.names();
        std::erase(peers, m_self.name);
    }
    return peers.empty() ? std::string() : peers[m_random.below(peers.size())];
}

SpreadStep Spread::tick(const Membership& members, std::uint64_t nextOffset, bool isLogRead, Instant now)
{
    SpreadStep step;
    const bool isReading = isReader(members, now);
    const bool isQuiet = now - m_lastHeard > m_options.quietLimit;
    step.readLog = isReading || (isQuiet && m_ownReads.tryTake(1, now));
    if (isReading && isLogRead)
        m_lastHeard = now;
    if (now >= m_nextDigest) {
        const bool isStarting = !nextOffset || now - m_started < m_options.startPhase;
        m_nextDigest = now + jittered(isStarting ? m_options.digestAtStart : m_options.digestEvery);
        auto peer = randomPeer(members, now);
        if (!peer.empty())
            step.digests.push_back(std::move(peer));
    }
    if (now >= m_nextHosts) {
        m_nextHosts = now + jittered(isReading ? m_options.hostsEvery : m_options.hostsEveryOthers);
        step.fetchHosts = true;
    }
    return step;
}

void Spread::passTo(const Membership& members, const std::string& node, const PassOn& what,
    std::vector<PassOn>& out, Instant now)
{
    const auto& ranks = m_hallRanks.get(members, now);
    for (const auto& it : treeChildren(ranks, what.root, node, m_options.fanOut)) {
        // A suspected child may be back and is tried all the same; those below it are served in its place.
        out.push_back({ it, what.root, what.from });
        if (members.isSuspected(it, now))
            passTo(members, it, what, out, now);
    }
}

std::vector<PassOn> Spread::below(const Membership& members, const PassOn& unreached, Instant now)
{
    std::vector<PassOn> out;
    passTo(members, unreached.peer, unreached, out, now);
    return out;
}

std::vector<PassOn> Spread::advanced(const Membership& members, const std::string& root, std::uint64_t from,
    std::uint64_t nextOffset, Instant now)
{
    std::vector<PassOn> out;
    const bool isOwn = root.empty() && isReader(members, now);
    if (root.empty() && !isOwn)
        return out;
    const auto& tree = isOwn ? m_self.name : root;
    if (m_passedOn.size() > maxRemembered)
        m_passedOn.clear();
    auto& passed = m_passedOn.try_emplace(tree, from).first->second;
    if (nextOffset <= passed)
        return out;
    const auto start = std::min(from, passed);
    passed = nextOffset;
    passTo(members, m_self.name, { {}, tree, start }, out, now);
    return out;
}

} // namespace robinrun
