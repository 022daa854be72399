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
class FollowShare {
public:
    struct Options {
        std::size_t enough = 4; ///< nodes that follow, heard by each; their loss together is rare
        Duration memory = 1300ms; ///< a peer that was not heard for so long does not count
        /// Those that go first by hash take over first; each further `enough` nodes wait so much longer.
        Duration stagger = 150ms;
    };

    /// \param self address of this node's peer socket.
    FollowShare(const std::string& self, Options options);

    /// \brief The node at \a address says whether it follows and the store answers it.
    void heard(const std::string& address, bool isFollowing, Instant now);

    /// \brief The link to the node at \a address has ended.
    void lost(const std::string& address) { m_heard.erase(address); }

    /// \returns whether any peer was heard whose link has not ended since.
    bool hearsAny() const { return !m_heard.empty(); }

    /// \returns whether enough nodes follow that go before this one.
    bool mayRest(Instant now) const;

    /// \returns how long to wait before following where too few others do: longer, the more nodes that live
    /// go before this one.
    Duration takeOverDelay(Instant now) const;

    /// \returns whether enough nodes that go before this one live, whatever the store answers them: if the
    /// store is away, they notice its return first.
    bool mayLag(Instant now) const;

private:
    struct Heard {
        std::uint64_t rank = 0;
        bool isFollowing = false;
        Instant at {};
    };

    /// \returns the nodes heard of late that go before this one and of which \a counts holds.
    template <class Counts> std::size_t countBefore(Instant now, Counts counts) const;

    Options m_options;
    std::uint64_t m_rank;
    std::map<std::string, Heard> m_heard; ///< by address
};

} // namespace robinrun
