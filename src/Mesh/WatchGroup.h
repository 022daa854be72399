#pragma once

#include "Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace robinrun {

/// \brief The few nodes that keep watch at the store for all, whatever the number of nodes.
///
/// Members are the nodes whose addresses hash least; each knows the others from the registry, so nobody
/// elects anybody, and FollowShare decides among them who reads. All others leave the store alone as long as
/// they know that members live. They know it from their contacts: each tells how long ago it last knew of one
/// (a member: now), so that the age is true however many hands it came through. Where no such news comes any
/// more, the others read the store themselves, one after the other.
///
/// So the reads of the store don't grow with the nodes, and a store that is away is tried by members alone. A
/// system of no more than `size` nodes has only members.
/// Cost: setNodes() O(nodes); the rest O(1). A member tells `size` more peers than its contacts.
class WatchGroup {
public:
    struct Options {
        /// All lost at once is rarer than once in 10,000 losses of half of the nodes (0.55^16).
        std::size_t size = 16;
        std::size_t contacts = 16; ///< peers that each node tells, each `hop` at most
        /// From one node to its contacts: the interval between two rounds, 1 s, and what a link may hold up.
        Duration hop = 1300ms;
        /// Nodes that miss the members at the same moment begin to read at this rate, so that the first of
        /// them are heard of before the others have begun.
        double takeOversPerSecond = 100;
    };

    /// \param self address of this node's peer socket.
    WatchGroup(const std::string& self, Options options);

    /// \brief Sets the addresses of all nodes that are known and not gone. This node need not be among them.
    void setNodes(std::span<const std::string> addresses);

    bool isMember() const { return m_isMember; }

    /// \returns the addresses of the members but this node.
    const std::vector<std::string>& others() const { return m_others; }

    /// \returns how many nodes share the watch: all, where there are few.
    std::size_t members() const { return m_others.size() + (m_isMember ? 1 : 0); }

    /// \brief A contact knew of a member that lived \a age ago.
    void heard(Duration age, Instant now);

    /// \returns how long ago a member was last known to live; nothing if none ever was.
    std::optional<Duration> age(Instant now) const;

    /// \returns whether this node may leave the store to the members.
    bool isWatched(Instant now) const;

    /// \returns how long this node waits before it reads the store where no member is heard of any more.
    Duration takeOverDelay() const;

private:
    /// \returns how old the news of a member that lives may be at the farthest node.
    Duration patience() const;

    Options m_options;
    std::string m_self;
    std::uint64_t m_rank;
    std::size_t m_nodes = 1;
    bool m_isMember = true;
    std::vector<std::string> m_others;
    std::optional<Instant> m_lastKnown; ///< moment at which a member lived
};

} // namespace robinrun
