#pragma once

#include "Control/Membership.h"
#include "Core/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace robinrun {

/// \returns \a names ordered by the hash of name and \a salt (rendezvous hashing): the first is the one to
/// take a role, the next one takes over without any message, and each role falls on another host. O(n log n).
std::vector<std::string> rankByHash(std::vector<std::string> names, std::string_view salt);

/// \returns the first \a n of \a names by that order. O(names).
std::vector<std::string> topRankedByHash(
    const std::vector<std::string>& names, std::string_view salt, std::size_t n);

/// \returns the children of \a self in the tree over \a ranked that starts at \a root. A root that isn't
/// ranked comes first; a self that isn't ranked has no children.
std::vector<std::string> treeChildren(const std::vector<std::string>& rankedHosts, const std::string& root,
    const std::string& self, std::size_t fanOut);

/// \brief The live hosts of one data hall by rank, this node included; made anew at most twice a second, as
/// each making is O(n log n) and ticks, messages and counts ask for it.
class HallRanking {
public:
    /// \param self name of this node; \a hall its data hall.
    HallRanking(std::string self, std::string hall)
        : m_self(std::move(self))
        , m_hall(std::move(hall))
    {
    }

    const std::vector<std::string>& rankedHosts(const Membership& members, Instant now);

private:
    std::string m_self;
    std::string m_hall;
    std::vector<std::string> m_rankedHosts;
    std::uint64_t m_membersVersion = 0;
    Instant m_validUntil {};
};

/// \brief Places in the trees that carry control traffic, computed by each node from its own view of the
/// members.
///
/// Views may differ: then a message goes to a node that doesn't need it, or one is missed and digests fill it
/// in.
class CountingTree {
public:
    CountingTree(
        const Membership& members, const HostEntry& self, HallRanking& hallRanking, std::size_t fanOut)
        : m_members(&members)
        , m_self(&self)
        , m_hallRanking(&hallRanking)
        , m_fanOut(fanOut)
    {
    }

    /// \returns where this node's counts go: up the hall's tree, then to the region's first hall, then to the
    /// first region. Empty at the top.
    std::string parent(Instant now) const;

private:
    std::string hallRoot(const std::string& hall, Instant now) const;
    std::string regionRoot(const std::string& region, Instant now) const;
    std::string parentAboveHall(Instant now) const;

    const Membership* m_members;
    const HostEntry* m_self;
    HallRanking* m_hallRanking;
    std::size_t m_fanOut;
};

} // namespace robinrun
