#pragma once

#include "Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace robinrun {

/// \brief The result of a node's read of the store and its time: either that there was nothing newer, or that
/// the read failed.
struct StoreObservation {
    std::uint64_t readerRank = 0; ///< rank of the node that read the store
    Instant observedAt {};
};

/// \brief Limits the reads of the store to a few nodes, the members, whatever the size of the system, and
/// ensures that the configuration of the other nodes is not outdated.
///
/// Members are the nodes whose addresses have the lowest hashes (ranks). Each node finds them by its registry
/// without an election, and FollowerSelection decides which members read. All other nodes do not read the
/// store as long as they know that their configuration was the newest a moment ago: each contact sends its
/// version and the time since the store confirmed it, and a confirmation keeps its age over any number of
/// hops. A node whose confirmation is too old, for whatever reason, reads the store itself and thereby
/// confirms the configuration of the nodes that hear from it.
///
/// During an outage of the store only members try to read it. They report failed reads in the same way, and
/// the other nodes then do not read either. Caveat: if the store refuses all members and serves other nodes,
/// no node reads it.
///
/// A node accepts only confirmations by nodes of lower rank. So in a partition of the network the node of
/// lowest rank continues to read, and no two nodes can rely on each other's confirmations.
///
/// The rate of reads does not increase with the number of nodes: with 16 contacts per second each, a read by
/// a member reaches all of 7,200 nodes within 2.5 s (`WatchGroupTest`). In a system of at most
/// `maxMembers` nodes all are members.
/// Cost: setNodes() is O(nodes), the rest O(1). A member sends `maxMembers` messages more than to its
/// contacts.
class WatchGroup {
public:
    struct Options {
        /// If half of the nodes fail, the chance that all members are among them is below one in 10,000
        /// (0.55^16).
        std::size_t maxMembers = 16;
        /// A configuration that was confirmed longer ago is read again. Together with `takeOverSpread` and a
        /// read of some ms, no node that reaches the store uses a configuration that was replaced more than
        /// 2.5 s ago.
        Duration maxConfirmationAge = 2s;
        /// During an outage a member tries to read the store every 2 s (a timeout of 1 s and a delay), and
        /// its report reaches all nodes in 1.5 s. After an outage a change must be in force once the store
        /// has been available for 3 s.
        Duration maxOutageAge = 3500ms;
        /// Nodes that miss the members at the same moment start to read at times spread over this duration,
        /// so that the first of them are heard before most have started.
        Duration takeOverSpread = 300ms;
    };

    /// \param self address of this node's peer socket.
    WatchGroup(const std::string& self, Options options);

    /// \brief Sets the addresses of all known nodes that are not gone. This node may be missing among them.
    void setNodes(std::span<const std::string> addresses);

    bool isMember() const { return m_isMember; }

    /// \returns the addresses of all members except this node.
    const std::vector<std::string>& otherMembers() const { return m_otherMembers; }

    /// \returns the number of members: all nodes in a small system.
    std::size_t memberCount() const { return m_otherMembers.size() + (m_isMember ? 1 : 0); }

    /// \brief Records that \a version is now in force at this node.
    void onAdopted(std::uint64_t version);

    /// \brief Handles a contact's report that the store had nothing newer than \a version. The report counts
    /// as soon as this node has that version.
    /// \returns whether this node's confirmation is newer than before.
    bool onPeerConfirmation(std::uint64_t version, const StoreObservation& confirmation);

    /// \brief Records that this node has read the store, which had nothing newer at the time \a at.
    void onRead(Instant at);

    /// \brief Handles a contact's report of a failed read. It counts only if a member has read.
    void onOutage(const StoreObservation& outage);

    /// \brief Records that a read by this node failed at the time \a at.
    void onReadFailed(Instant at);

    /// \brief Discards the reports of contacts, because no contact can be reached any more to renew them.
    void onContactsLost()
    {
        m_peerConfirmation.reset();
        m_outage.reset();
    }

    /// \returns the most recent confirmation of this node's configuration, to be sent to contacts; nothing if
    /// there is none.
    std::optional<StoreObservation> confirmation() const;

    /// \returns the last known failed read by a member, to be sent to contacts; nothing if there is none.
    const std::optional<StoreObservation>& outage() const { return m_outage; }

    /// \returns the time since this node's configuration was confirmed; nothing if it never was.
    std::optional<Duration> confirmationAge(Instant now) const;

    /// \returns whether this node may leave reading the store to other nodes.
    bool mayStandBy(Instant now) const;

    /// \returns the delay before this node reads the store once mayStandBy() no longer holds.
    Duration takeOverDelay() const;

private:
    /// \returns whether \a confirmation is more recent than the previous one.
    bool updatePeerConfirmation(const StoreObservation& confirmation);

    Options m_options;
    std::string m_self;
    std::uint64_t m_rank;
    bool m_isMember = true;
    std::vector<std::string> m_otherMembers;
    std::set<std::uint64_t> m_memberRanks;
    std::uint64_t m_version = 0;
    std::optional<StoreObservation> m_peerConfirmation; ///< by a read of a node of lower rank
    std::optional<StoreObservation> m_ownConfirmation; ///< by a read of this node
    std::optional<StoreObservation> m_outage; ///< by a read of a member
    /// By version, for versions that this node does not have yet.
    std::map<std::uint64_t, StoreObservation> m_futureConfirmations;
};

} // namespace robinrun
