#include "Mesh/WatchGroup.h"

#include "Core/Hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace robinrun {
namespace {

    /// Versions that are heard of before they are fetched: a change each 0.3 s, and 1 s to fetch one.
    constexpr std::size_t mostAhead = 8;

} // namespace

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
    const auto n = std::min(m_options.size, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end());
    ranked.resize(n);
    m_isMember = false;
    m_others.clear();
    m_memberRanks.clear();
    for (auto& [rank, address] : ranked) {
        m_memberRanks.insert(rank);
        if (address == m_self)
            m_isMember = true;
        else
            m_others.push_back(std::move(address));
    }
}

void WatchGroup::adopted(std::uint64_t version)
{
    m_version = std::max(m_version, version);
    while (!m_ahead.empty() && m_ahead.begin()->first <= m_version) {
        takeHeard(m_ahead.begin()->second);
        m_ahead.erase(m_ahead.begin());
    }
}

bool WatchGroup::heard(std::uint64_t version, const Confirmation& confirmation)
{
    if (confirmation.by >= m_rank)
        return false;
    if (version <= m_version)
        return takeHeard(confirmation);
    auto& ahead = m_ahead[version];
    if (confirmation.at > ahead.at)
        ahead = confirmation;
    if (m_ahead.size() > mostAhead)
        m_ahead.erase(m_ahead.begin());
    return false;
}

bool WatchGroup::takeHeard(const Confirmation& confirmation)
{
    const bool isFresher = !m_heard || confirmation.at > m_heard->at;
    if (isFresher)
        m_heard = confirmation;
    return isFresher;
}

void WatchGroup::read(Instant at)
{
    if (!m_read || at > m_read->at)
        m_read = Confirmation { m_rank, at };
}

void WatchGroup::heardOutage(const Confirmation& outage)
{
    const bool isLater = !m_outage || outage.at > m_outage->at;
    if (isLater && m_memberRanks.contains(outage.by))
        m_outage = outage;
}

void WatchGroup::readFailed(Instant at)
{
    heardOutage({ m_rank, at });
}

std::optional<Confirmation> WatchGroup::confirmation() const
{
    if (!m_heard || !m_read)
        return m_heard ? m_heard : m_read;
    return m_heard->at > m_read->at ? m_heard : m_read;
}

std::optional<Duration> WatchGroup::age(Instant now) const
{
    const auto known = confirmation();
    return known ? std::optional(now - known->at) : std::nullopt;
}

bool WatchGroup::isWatched(Instant now) const
{
    const bool isFresh = m_heard && now - m_heard->at <= m_options.oldest;
    const bool isOut = m_outage && now - m_outage->at <= m_options.oldestOutage;
    return !m_isMember && (isFresh || isOut);
}

Duration WatchGroup::takeOverDelay() const
{
    const double part
        = static_cast<double>(m_rank) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return fromSeconds(part * toSeconds(m_options.takeOverSpread));
}

} // namespace robinrun
