#include "Mesh/FollowShare.h"

#include "Core/Hash.h"

namespace robinrun {
namespace {

    /// Counts each node that was heard, whether it follows or not.
    constexpr auto isAlive = [](const auto&) { return true; };

} // namespace

FollowShare::FollowShare(const std::string& self, Options options)
    : m_options(options)
    , m_rank(hash64(self))
{
}

void FollowShare::heard(const std::string& address, bool isFollowing, Instant now)
{
    std::erase_if(m_heard, [&](const auto& it) { return now - it.second.at > m_options.memory; });
    m_heard[address] = { hash64(address), isFollowing, now };
}

template <class Counts> std::size_t FollowShare::countBefore(Instant now, Counts counts) const
{
    std::size_t n = 0;
    for (const auto& [address, it] : m_heard)
        n += it.rank < m_rank && now - it.at <= m_options.memory && counts(it);
    return n;
}

bool FollowShare::mayRest(Instant now) const
{
    return countBefore(now, [](const Heard& it) { return it.isFollowing; }) >= m_options.enough;
}

Duration FollowShare::takeOverDelay(Instant now) const
{
    const auto before = countBefore(now, isAlive);
    return static_cast<std::int64_t>(before / m_options.enough) * m_options.stagger;
}

bool FollowShare::mayLag(Instant now) const
{
    return countBefore(now, isAlive) >= m_options.enough;
}

} // namespace robinrun
