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
    , m_lastHeard(now)
    , m_nextDigest(now)
    , m_nextHosts(now)
    , m_started(now)
    , m_nextHello(now)
{
}

Duration Spread::jittered(Duration d)
{
    return fromSeconds(toSeconds(d) * (0.5 + m_random.unit()));
}

bool Spread::isReader(const Membership& members, Instant now)
{
    const auto& ranks = m_hallRanks.get(members, now);
    const auto n = std::min(m_options.readers, ranks.size());
    const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(n);
    return std::find(ranks.begin(), end, m_self.name) != end;
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
        m_nextDigest = now + jittered(nextOffset ? m_options.digestEvery : m_options.digestAtStart);
        auto peer = randomPeer(members, now);
        if (!peer.empty())
            step.digests.push_back(std::move(peer));
    }
    sayHello(members, step, now);
    if (now >= m_nextHosts) {
        m_nextHosts = now + jittered(isReading ? m_options.hostsEvery : m_options.hostsEveryOthers);
        step.fetchHosts = true;
    }
    return step;
}

void Spread::sayHello(const Membership& members, SpreadStep& step, Instant now)
{
    if (now - m_started > m_options.helloFor || now < m_nextHello || !members.size())
        return;
    m_nextHello = now + m_options.helloEvery;
    // Whoever could not reach the former incarnation still passes this node over; hearing from it ends that.
    const auto& ranks = m_hallRanks.get(members, now);
    for (std::size_t i = 0; i < std::min(m_options.readers, ranks.size()); ++i) {
        auto parent = treeParent(ranks, ranks[i], m_self.name, m_options.fanOut);
        if (!parent.empty())
            step.digests.push_back(std::move(parent));
    }
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
    const auto& ranks = m_hallRanks.get(members, now);
    for (auto& it : treeChildren(ranks, tree, m_self.name, m_options.fanOut))
        out.push_back({ std::move(it), tree, std::max(start, std::uint64_t { 0 }) });
    return out;
}

} // namespace robinrun
