#pragma once

#include "Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace robinrun {

/// \brief Decides whether this node follows the configuration in the store itself, or leaves that to peers
/// that tell it.
///
/// Each call to the store has its price, and what one node reads its peers hear of within milliseconds. So a
/// node rests while it hears regularly of enough nodes that follow and that go before it by a hash of their
/// addresses. Nobody elects anybody: a node that hears of too few, for whatever reason, follows. Where
/// each node hears c contacts, about `enough` of each c nodes follow.
/// Cost: O(peers heard); about 100 bytes each.
class FollowerSelection {
public:
    struct Options {
        std::size_t targetFollowers = 4; ///< nodes that follow, heard by each; their loss together is rare
        Duration peerTimeout = 1300ms; ///< a peer that was not heard for so long does not count
        /// Those that go first by hash take over first; each further `enough` nodes wait so much longer.
        Duration takeOverStagger = 150ms;
    };

    /// \param self address of this node's peer socket.
    FollowerSelection(const std::string& self, Options options);

    /// \brief The node at \a address says whether it follows and the store answers it.
    void onPeerStatus(const std::string& address, bool isFollowing, Instant now);

    /// \brief The link to the node at \a address has ended.
    void onLinkClosed(const std::string& address) { m_peers.erase(address); }

    /// \returns whether any peer was heard whose link has not ended since.
    bool hasPeers() const { return !m_peers.empty(); }

    /// \returns whether enough nodes follow that go before this one.
    bool mayStandBy(Instant now) const;

    /// \returns how long to wait before following where too few others do: longer, the more nodes that live
    /// go before this one.
    Duration takeOverDelay(Instant now) const;

    /// \returns whether enough nodes that go before this one live, whatever the store answers them: if the
    /// store is away, they notice its return first.
    bool mayRetrySlowly(Instant now) const;

private:
    struct PeerStatus {
        std::uint64_t rank = 0;
        bool isFollowing = false;
        Instant heardAt {};
    };

    /// \returns the nodes heard of late that go before this one and of which \a matches holds.
    template <class Predicate> std::size_t countLowerRanked(Instant now, Predicate matches) const;

    Options m_options;
    std::uint64_t m_rank;
    std::map<std::string, PeerStatus> m_peers; ///< by address
};

} // namespace robinrun
