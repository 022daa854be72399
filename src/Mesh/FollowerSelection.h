#pragma once

#include "Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace robinrun {

/// \brief Decides whether this node follows the configuration in the store itself, or stands by and receives
/// it from peers.
///
/// Each call to the store has a cost, and peers receive what one node reads within milliseconds. So a node
/// stands by while it regularly hears from enough followers of lower rank, where the rank of a node is a hash
/// of its address. There is no election: a node that hears from too few followers, for whatever reason,
/// follows. If each node has c contacts, about `targetFollowers` of every c nodes follow.
/// Cost: O(peers); about 100 bytes per peer.
class FollowerSelection {
public:
    struct Options {
        /// Followers that each node hears from. The simultaneous loss of all of them is rare.
        std::size_t targetFollowers = 4;
        Duration peerTimeout = 1300ms; ///< a peer that has been silent for longer is not counted
        /// Nodes of lower rank take over first. Each further group of `targetFollowers` nodes waits this much
        /// longer.
        Duration takeOverStagger = 150ms;
    };

    /// \param self address of this node's peer socket.
    FollowerSelection(const std::string& self, Options options);

    /// \brief Records whether the node at \a address follows the configuration and gets answers from the
    /// store.
    void onPeerStatus(const std::string& address, bool isFollowing, Instant now);

    /// \brief Removes the node at \a address because the link to it has closed.
    void onLinkClosed(const std::string& address) { m_peers.erase(address); }

    /// \returns whether any peer has reported its status over a link that is still open.
    bool hasPeers() const { return !m_peers.empty(); }

    /// \returns whether enough nodes of lower rank follow.
    bool mayStandBy(Instant now) const;

    /// \returns the delay before this node takes over following when there are too few followers. The delay
    /// increases with the number of live nodes of lower rank.
    Duration takeOverDelay(Instant now) const;

    /// \returns whether enough nodes of lower rank are alive, whatever the store answers them. During an
    /// outage of the store those nodes detect its recovery first, so this node may retry less often.
    bool mayRetrySlowly(Instant now) const;

private:
    struct PeerStatus {
        std::uint64_t rank = 0;
        bool isFollowing = false;
        Instant heardAt {};
    };

    /// \returns the number of recently heard nodes of lower rank that \a matches accepts.
    template <class Predicate> std::size_t countLowerRanked(Instant now, Predicate matches) const;

    Options m_options;
    std::uint64_t m_rank;
    std::map<std::string, PeerStatus> m_peers; ///< by address
};

} // namespace robinrun
