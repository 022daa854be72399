#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Mesh/NodeRegistry.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace robinrun {

/// \brief Spreads the records of nodes from contact to contact, and repairs what got lost on the way.
///
/// A node sends its own changed record to all its contacts, and each node passes what is news to it on to a
/// few of its own, once; so it reaches nearly all in about log(nodes) steps over links that stand anyway.
/// Contacts tell each other a digest of all they know; where it differs, they compare digests of buckets and
/// exchange the records of those that differ, both ways. The store is read for nodes that no contact knows.
/// Cost: a change is contacts + relays x nodes small messages in all; without changes nothing beyond the
/// regular contact.
/// \sa docs/design/platform.md
class Gossip {
public:
    using SendFunction
        = std::function<void(const std::string& address, proto::PeerMessage& message, Instant now)>;
    /// \brief Answers the peer that a message came from, along the same link.
    using ReplyFunction = std::function<void(proto::PeerMessage& message)>;

    struct Options {
        std::size_t maxContacts = 16;
        std::size_t maxRelays = 3; ///< contacts that are passed on what came from others; the rest repair it
        Duration repairInterval = 1s; ///< at most one comparison with a peer known before in so long
    };

    /// \param self name of this node. \param registry must outlive this.
    Gossip(const NodeRegistry& registry, std::string self, Options options, SendFunction send);

    /// \brief Sends this node's own record to all contacts.
    void publish(const proto::NodeRecord& own, Instant now);

    /// \brief Keeps \a record, news that came from the node \a sender, to be passed on by flush().
    void queueRelay(const proto::NodeRecord& record, const std::string& sender);

    /// \brief Passes on what spread() has kept, to some contacts drawn by \a random.
    void sendRelays(Random& random, Instant now);

    /// \brief Tells all contacts \a contact.
    void sendContact(const proto::NodeContact& contact, Instant now);

    /// \brief A peer tells the digest of all that it knows. Asks for the buckets that differ if \a digest is
    /// another one than the own: at once if this life of the peer is new here (\a isNewPeer), else at most
    /// once each Options::repairEvery.
    void onDigest(std::uint64_t digest, bool isNewPeer, const ReplyFunction& reply, Instant now);

    /// \brief A peer asks for the buckets that differ from its own.
    void answerDigests(const proto::RegistryDigests& peerDigests, const ReplyFunction& reply) const;

    /// \brief A peer has sent all that it knows of some buckets, and \a records was taken in: sends back what
    /// it lacks.
    void sendMissingRecords(const proto::NodeRecords& records, const ReplyFunction& reply) const;

private:
    struct PendingRelay {
        proto::NodeRecord record;
        std::string sender;
    };

    void sendToContacts(const proto::PeerMessage& message, Instant now);

    const NodeRegistry* m_registry;
    std::string m_self;
    Options m_options;
    SendFunction m_send;
    std::map<std::string, PendingRelay> m_pendingRelays; ///< by node; to be passed on
    Instant m_nextRepairAt {};
};

} // namespace robinrun
