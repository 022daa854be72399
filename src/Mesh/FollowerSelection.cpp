#include "Mesh/FollowerSelection.h"

#include "Core/Hash.h"

namespace robinrun {
namespace {

    /// Accepts every peer, following or not.
    constexpr auto acceptAll = [](const auto&) { return true; };

} // namespace

FollowerSelection::FollowerSelection(const std::string& self, Options options)
    : m_options(options)
    , m_rank(hash64(self))
{
}

void FollowerSelection::onPeerStatus(const std::string& address, bool isFollowing, Instant now)
{
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.heardAt > m_options.peerTimeout; });
    m_peers[address] = { hash64(address), isFollowing, now };
}

template <class Predicate>
std::size_t FollowerSelection::countLowerRanked(Instant now, Predicate matches) const
{
    std::size_t n = 0;
    for (const auto& [address, it] : m_peers)
        n += it.rank < m_rank && now - it.heardAt <= m_options.peerTimeout && matches(it);
    return n;
}

bool FollowerSelection::mayStandBy(Instant now) const
{
    return countLowerRanked(now, [](const PeerStatus& it) { return it.isFollowing; })
        >= m_options.targetFollowers;
}

Duration FollowerSelection::takeOverDelay(Instant now) const
{
    const auto lowerRanked = countLowerRanked(now, acceptAll);
    return static_cast<std::int64_t>(lowerRanked / m_options.targetFollowers) * m_options.takeOverStagger;
}

bool FollowerSelection::mayRetrySlowly(Instant now) const
{
    return countLowerRanked(now, acceptAll) >= m_options.targetFollowers;
}

} // namespace robinrun
