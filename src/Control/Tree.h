#pragma once

#include "Control/Membership.h"
#include "Core/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace robinrun {

/// \returns \a names ordered by the hash of name and \a salt (rendezvous hashing). The first host takes the
/// role that \a salt stands for; if it fails, the next one takes over without any message. Different salts
/// give different orders, which spreads the roles over the hosts. O(n log n).
std::vector<std::string> rankByHash(std::vector<std::string> names, std::string_view salt);

/// \returns the first \a n of \a names in the order of rankByHash(). O(names).
std::vector<std::string> topRankedByHash(
    const std::vector<std::string>& names, std::string_view salt, std::size_t n);

/// \returns the children of \a self in the tree over \a rankedHosts with the root \a root. The root need not
/// be among the ranked hosts; a \a self that is neither ranked nor the root has no children.
///
/// Each node computes its place from its own view of the members. Where two views differ, a node may get
/// records twice or not at all; digests then bring it the missing records.
std::vector<std::string> treeChildren(const std::vector<std::string>& rankedHosts, const std::string& root,
    const std::string& self, std::size_t fanOut);

/// \brief Caches the hosts of one data hall by rank: the listed hosts that aren't leaving, and this node.
///
/// Ranking is O(n log n), and ticks, messages and counts all need it; it is therefore redone at most twice
/// per second, except when the host list changes.
class HallRanking {
public:
    /// \param self name of this node; \param hall its data hall.
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

/// \brief The place of this node in the tree that carries counts upwards, computed from the node's own view
/// of the members.
///
/// The views of two nodes may differ. A report may then go to a node that doesn't need it or not reach one
/// that does; reports are repeated, so later ones correct the sum.
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

    /// \returns the name of the node that this node's counts go to: up the hall's tree, from its root to the
    /// root of the region's first hall with a live host, from there to that of the first region. Empty at the
    /// top.
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
