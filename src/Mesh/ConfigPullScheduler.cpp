#include "Mesh/ConfigPullScheduler.h"

namespace robinrun {

void ConfigPullScheduler::onPeerVersion(
    const std::string& address, std::uint64_t version, bool isInOwnHall, Instant now)
{
    if (version < m_newestVersion)
        return;
    if (version > m_newestVersion) {
        // The head starts and the overdue time begin with the first newer version that was heard. A still
        // newer version does not restart them.
        if (m_newestVersion == 0) {
            m_firstHeardAt = now;
            m_lastProgressAt = now;
        }
        m_newestVersion = version;
        m_ownHallPeers.clear();
        m_otherHallPeers.clear();
    }
    auto& peers = isInOwnHall ? m_ownHallPeers : m_otherHallPeers;
    std::erase(peers, address);
    peers.push_back(address);
}

void ConfigPullScheduler::onAdopted(std::uint64_t version, Instant now)
{
    // The answer to the last request has arrived, so a still newer version can be requested at once.
    m_answerDeadline = {};
    m_lastProgressAt = now;
    if (version < m_newestVersion)
        return;
    m_newestVersion = 0;
    m_ownHallPeers.clear();
    m_otherHallPeers.clear();
}

std::optional<std::string> ConfigPullScheduler::peerToAsk(bool readsStore, Instant now) const
{
    if (m_newestVersion == 0 || now < m_answerDeadline)
        return std::nullopt;
    const auto waited = now - m_firstHeardAt;
    const auto storeDelay = readsStore ? m_options.storeHeadStart : Duration::zero();
    const bool hasOwnHallPeer = !m_ownHallPeers.empty();
    if (waited < storeDelay + (hasOwnHallPeer ? Duration::zero() : m_options.ownHallHeadStart))
        return std::nullopt;
    const auto& candidates = hasOwnHallPeer ? m_ownHallPeers : m_otherHallPeers;
    return candidates.empty() ? std::nullopt : std::optional(candidates.back());
}

void ConfigPullScheduler::onRequestSent(const std::string& address, Instant now)
{
    m_answerDeadline = now + m_options.partTimeout;
    removePeer(address);
}

void ConfigPullScheduler::removePeer(const std::string& address)
{
    std::erase(m_ownHallPeers, address);
    std::erase(m_otherHallPeers, address);
}

void ConfigPullScheduler::onPartReceived(Instant now)
{
    m_answerDeadline = now + m_options.partTimeout;
    m_lastProgressAt = now;
}

} // namespace robinrun
