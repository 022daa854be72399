#include "Mesh/WatchGroup.h"

#include "Core/Hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace robinrun {
namespace {

    /// Maximum number of versions that are known but not yet fetched: with a change every 0.3 s and 1 s to
    /// fetch a version, fewer are outstanding.
    constexpr std::size_t maxFutureVersions = 8;

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
    const auto n = std::min(m_options.maxMembers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end());
    ranked.resize(n);
    m_isMember = false;
    m_otherMembers.clear();
    m_memberRanks.clear();
    for (auto& [rank, address] : ranked) {
        m_memberRanks.insert(rank);
        if (address == m_self)
            m_isMember = true;
        else
            m_otherMembers.push_back(std::move(address));
    }
}

void WatchGroup::onAdopted(std::uint64_t version)
{
    m_version = std::max(m_version, version);
    while (!m_futureConfirmations.empty() && m_futureConfirmations.begin()->first <= m_version) {
        updatePeerConfirmation(m_futureConfirmations.begin()->second);
        m_futureConfirmations.erase(m_futureConfirmations.begin());
    }
}

bool WatchGroup::onPeerConfirmation(std::uint64_t version, const StoreObservation& confirmation)
{
    if (confirmation.readerRank >= m_rank)
        return false;
    if (version <= m_version)
        return updatePeerConfirmation(confirmation);
    auto& known = m_futureConfirmations[version];
    if (confirmation.observedAt > known.observedAt)
        known = confirmation;
    if (m_futureConfirmations.size() > maxFutureVersions)
        m_futureConfirmations.erase(m_futureConfirmations.begin());
    return false;
}

bool WatchGroup::updatePeerConfirmation(const StoreObservation& confirmation)
{
    const bool isFresher = !m_peerConfirmation || confirmation.observedAt > m_peerConfirmation->observedAt;
    if (isFresher)
        m_peerConfirmation = confirmation;
    return isFresher;
}

void WatchGroup::onRead(Instant at)
{
    if (!m_ownConfirmation || at > m_ownConfirmation->observedAt)
        m_ownConfirmation = StoreObservation { m_rank, at };
}

void WatchGroup::onOutage(const StoreObservation& outage)
{
    const bool isLater = !m_outage || outage.observedAt > m_outage->observedAt;
    if (isLater && m_memberRanks.contains(outage.readerRank))
        m_outage = outage;
}

void WatchGroup::onReadFailed(Instant at)
{
    onOutage({ m_rank, at });
}

std::optional<StoreObservation> WatchGroup::confirmation() const
{
    if (!m_peerConfirmation || !m_ownConfirmation)
        return m_peerConfirmation ? m_peerConfirmation : m_ownConfirmation;
    return m_peerConfirmation->observedAt > m_ownConfirmation->observedAt ? m_peerConfirmation
                                                                          : m_ownConfirmation;
}

std::optional<Duration> WatchGroup::confirmationAge(Instant now) const
{
    const auto known = confirmation();
    return known ? std::optional(now - known->observedAt) : std::nullopt;
}

bool WatchGroup::mayStandBy(Instant now) const
{
    const bool isFresh
        = m_peerConfirmation && now - m_peerConfirmation->observedAt <= m_options.maxConfirmationAge;
    const bool isOutageRecent = m_outage && now - m_outage->observedAt <= m_options.maxOutageAge;
    return !m_isMember && (isFresh || isOutageRecent);
}

Duration WatchGroup::takeOverDelay() const
{
    const double fraction
        = static_cast<double>(m_rank) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return fromSeconds(fraction * toSeconds(m_options.takeOverSpread));
}

} // namespace robinrun
