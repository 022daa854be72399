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

/// \brief What a node has learnt of the store by a read, and when: that there was nothing newer, or that it
/// failed.
struct StoreObservation {
    std::uint64_t readerRank = 0; ///< rank of the node that read so
    Instant observedAt {};
};

/// \brief The few nodes that keep watch at the store for all, whatever the number of nodes, and how the
/// others know that what they have is not old.
///
/// Members are the nodes whose addresses hash least; each knows the others from the registry, so nobody
/// elects anybody, and FollowShare decides among them who reads. All others leave the store alone as long as
/// they know that their configuration was the newest a moment ago: each contact tells what version it has and
/// how long ago the store confirmed it, and what is passed on keeps its age, through however many hands. A
/// node whose confirmation grows too old, for whatever reason, reads for itself, and by that confirms what
/// the nodes have that hear it.
///
/// While the store is away it is tried by members alone: they tell of failed reads in the same way, and the
/// others leave it alone for that too. Caveat: where the store turns away all members and serves others,
/// nobody else reads.
///
/// Only what a node that goes before this one by rank has read counts here. So of an island of nodes that
/// hear only each other the first one goes on reading, and no two rest on what they have told each other.
///
/// The reads of the store don't grow with the nodes: with 16 contacts a second each, what the members read
/// has reached all of 7,200 nodes within the bound (`WatchGroupTest`). A system of no more than `size` nodes
/// has only members. Cost: setNodes() O(nodes); the rest O(1). A member tells `size` more peers than its
/// contacts.
class WatchGroup {
public:
    struct Options {
        /// All lost at once is rarer than once in 10,000 losses of half of the nodes (0.55^16).
        std::size_t maxMembers = 16;
        /// A configuration confirmed longer ago is read again. With `takeOverSpread` and a read of some ms no
        /// node that reaches the store goes by one that was overtaken 2.5 s ago.
        Duration maxConfirmationAge = 2s;
        /// A member tries a store that is away each 2 s (a timeout of 1 s and a pause), and what it tells
        /// takes a second and a half to reach all. After an outage a change has to be in force once the store
        /// was well for 3 s.
        Duration maxOutageAge = 3500ms;
        /// Nodes that miss the members at the same moment begin to read over so long, so that the first of
        /// them are heard before most have begun.
        Duration takeOverSpread = 300ms;
    };

    /// \param self address of this node's peer socket.
    WatchGroup(const std::string& self, Options options);

    /// \brief Sets the addresses of all nodes that are known and not gone. This node need not be among them.
    void setNodes(std::span<const std::string> addresses);

    bool isMember() const { return m_isMember; }

    /// \returns the addresses of the members but this node.
    const std::vector<std::string>& otherMembers() const { return m_otherMembers; }

    /// \returns how many nodes share the watch: all, where there are few.
    std::size_t memberCount() const { return m_otherMembers.size() + (m_isMember ? 1 : 0); }

    /// \brief This node has \a version in force now.
    void onAdopted(std::uint64_t version);

    /// \brief A contact tells that the store had nothing newer than \a version at a time. Counts as soon as
    /// this node has that version. \returns whether what is known is fresher by it.
    bool onPeerConfirmation(std::uint64_t version, const StoreObservation& confirmation);

    /// \brief This node has read the store, which had nothing newer at \a at.
    void onRead(Instant at);

    /// \brief A contact tells of a read that has failed. Counts only of a member.
    void onOutage(const StoreObservation& outage);

    /// \brief A read by this node has failed at \a at.
    void onReadFailed(Instant at);

    /// \brief No contact is in reach any more: what they said will not be renewed.
    void onContactsLost()
    {
        m_peerConfirmation.reset();
        m_outage.reset();
    }

    /// \returns the freshest confirmation of what this node has, to be passed on; nothing if there is none.
    std::optional<StoreObservation> confirmation() const;

    /// \returns the last failed read by a member that is known, to be passed on; nothing if there is none.
    const std::optional<StoreObservation>& outage() const { return m_outage; }

    /// \returns how long ago what this node has was confirmed.
    std::optional<Duration> confirmationAge(Instant now) const;

    /// \returns whether this node may leave the store to others.
    bool mayStandBy(Instant now) const;

    /// \returns how long this node waits before it reads the store once it is not watched any more.
    Duration takeOverDelay() const;

private:
    /// \returns whether it is fresher than what was heard before.
    bool updatePeerConfirmation(const StoreObservation& confirmation);

    Options m_options;
    std::string m_self;
    std::uint64_t m_rank;
    bool m_isMember = true;
    std::vector<std::string> m_otherMembers;
    std::set<std::uint64_t> m_memberRanks;
    std::uint64_t m_version = 0;
    std::optional<StoreObservation>
        m_peerConfirmation; ///< from contacts, by a node that goes before this one
    std::optional<StoreObservation> m_ownConfirmation; ///< by this node
    std::optional<StoreObservation> m_outage; ///< by a member
    std::map<std::uint64_t, StoreObservation>
        m_futureConfirmations; ///< of versions that this node does not have yet
};

} // namespace robinrun
