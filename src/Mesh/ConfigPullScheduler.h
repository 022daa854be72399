#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Schedules requests to peers for a newer configuration.
///
/// A configuration may be large, and traffic between data halls is expensive. Therefore only one peer is
/// asked at a time, preferably one in the same data hall if such a peer soon has the version. A node that
/// reads the store gives the store a head start.
/// Cost: O(contacts that have the version).
class ConfigPullScheduler {
public:
    struct Options {
        /// For a node that reads the store, which usually delivers the version within this time.
        Duration storeHeadStart = 150ms;
        Duration ownHallHeadStart = 100ms; ///< time for a peer in the same data hall to get the version
        /// Time to wait for a part before another peer is asked. It is twice the time that a part takes if 16
        /// peers ask one peer with a link of 10 Mbit/s. A change must be in force within 2 s, in which four
        /// peers can be asked.
        Duration partTimeout = 400ms;
        /// Time for two peers to answer before this node reads the store although other nodes follow it.
        Duration overdueTimeout = 800ms;
    };

    ConfigPullScheduler() = default;
    explicit ConfigPullScheduler(Options options)
        : m_options(options)
    {
    }

    /// \brief Records that the peer at \a address has \a version, which is newer than the version in force
    /// here.
    void onPeerVersion(const std::string& address, std::uint64_t version, bool isInOwnHall, Instant now);

    /// \brief Records that \a version is now in force at this node.
    void onAdopted(std::uint64_t version, Instant now);

    /// \param readsStore whether this node reads the store itself.
    /// \param now the current time.
    /// \returns the address of the peer to ask now, if any. The result stays the same until onRequestSent()
    /// or removePeer() is called.
    std::optional<std::string> peerToAsk(bool readsStore, Instant now) const;

    /// \returns the newest version that a peer has; 0 if none is newer than the version in force here.
    std::uint64_t newestPeerVersion() const { return m_newestVersion; }

    /// \brief Records that the peer at \a address was asked. If it does not answer, the next peer with the
    /// version is asked.
    void onRequestSent(const std::string& address, Instant now);

    /// \brief Removes a peer that cannot be reached, so that the next peer with the version is asked.
    void removePeer(const std::string& address);

    /// \returns whether a newer version is known and nothing has arrived for so long that peers cannot be
    /// relied on to send it.
    bool isOverdue(Instant now) const
    {
        return m_newestVersion != 0 && now - m_lastProgressAt > m_options.overdueTimeout;
    }

    /// \brief Records that a part has arrived and that its sender was asked for the next part.
    void onPartReceived(Instant now);

private:
    Options m_options;
    std::uint64_t m_newestVersion = 0; ///< newest version that a peer has; 0 if there is nothing to request
    /// Addresses of the peers that have the version, the most recently heard last.
    std::vector<std::string> m_ownHallPeers;
    std::vector<std::string> m_otherHallPeers;
    Instant m_firstHeardAt {};
    Instant m_lastProgressAt {}; ///< when the last part or version arrived since m_firstHeardAt; equals
                                 ///< m_firstHeardAt if none has
    Instant m_answerDeadline {}; ///< an answer may arrive until then
};

} // namespace robinrun
