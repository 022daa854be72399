#include "Mesh/FollowShare.h"

#include "Core/Hash.h"

namespace robinrun {

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

template <class Counts> bool FollowShare::hasEnough(Instant now, Counts counts) const
{
    std::size_t n = 0;
    for (const auto& [address, it] : m_heard)
        n += it.rank < m_rank && now - it.at <= m_options.memory && counts(it);
    return n >= m_options.enough;
}

bool FollowShare::mayRest(Instant now) const
{
    return hasEnough(now, [](const Heard& it) { return it.isFollowing; });
}

bool FollowShare::mayLag(Instant now) const
{
    return hasEnough(now, [](const Heard&) { return true; });
}

} // namespace robinrun
