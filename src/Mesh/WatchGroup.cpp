#include "Mesh/WatchGroup.h"

#include "Core/Hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace robinrun {

WatchGroup::WatchGroup(const std::string& self, Options options)
    : m_options(options)
    , m_self(self)
    , m_rank(hash64(self))
{
}

void WatchGroup::setNodes(std::span<const std::string> addresses)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked { { m_rank, m_self } };
    for (const auto& it : addresses) {
        if (it != m_self)
            ranked.emplace_back(hash64(it), it);
    }
    m_nodes = ranked.size();
    const auto n = std::min(m_options.size, m_nodes);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end());
    ranked.resize(n);
    m_isMember = false;
    m_others.clear();
    for (auto& [rank, address] : ranked) {
        if (address == m_self)
            m_isMember = true;
        else
            m_others.push_back(std::move(address));
    }
}

void WatchGroup::heard(Duration age, Instant now)
{
    const auto lived = now - age;
    m_lastKnown = m_lastKnown ? std::max(*m_lastKnown, lived) : lived;
}

std::optional<Duration> WatchGroup::age(Instant now) const
{
    if (m_isMember)
        return Duration::zero();
    return m_lastKnown ? std::optional(now - *m_lastKnown) : std::nullopt;
}

bool WatchGroup::isWatched(Instant now) const
{
    const auto known = age(now);
    return !m_isMember && known && *known <= patience();
}

Duration WatchGroup::patience() const
{
    // Members tell their contacts, about size x contacts nodes; each further hop reaches `contacts` times as
    // many. One hop more, as some of them tell the same node.
    auto reached = m_options.size * m_options.contacts;
    auto out = 2 * m_options.hop;
    while (reached < m_nodes) {
        reached *= std::max<std::size_t>(m_options.contacts, 2);
        out += m_options.hop;
    }
    return out;
}

Duration WatchGroup::takeOverDelay() const
{
    const double part
        = static_cast<double>(m_rank) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return fromSeconds(part * static_cast<double>(m_nodes) / m_options.takeOversPerSecond);
}

} // namespace robinrun
