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

/// \brief Spreads the records of nodes from contact to contact, and repairs lost messages by comparing
/// digests.
///
/// A node sends its own changed record to all its contacts, and each node relays a new record once to a few
/// of its own contacts. A change thus reaches nearly all nodes in about log(nodes) steps over links that are
/// open anyway. Contacts send each other a digest of all records. If the digests differ, the two nodes
/// compare digests of buckets and exchange the records of the buckets that differ, in both directions. The
/// store is read for nodes that no contact knows.
/// Cost: a change takes about contacts + relays x nodes small messages in all. Without changes there are no
/// messages beyond the regular contact.
/// \sa docs/design/platform.md
class Gossip {
public:
    using SendFunction
        = std::function<void(const std::string& address, proto::PeerMessage& message, Instant now)>;
    /// \brief Sends a reply to the peer from which a message came, over the same link.
    using ReplyFunction = std::function<void(proto::PeerMessage& message)>;

    struct Options {
        std::size_t maxContacts = 16;
        /// Contacts to which a new record of another node is relayed. Digest comparison repairs the rest.
        std::size_t maxRelays = 3;
        Duration repairInterval = 1s; ///< minimum time between two digest comparisons with known peers
    };

    /// \param registry the known records; must outlive this object.
    /// \param self name of this node.
    /// \param options numbers of messages and their intervals.
    /// \param send sends a message to an address.
    Gossip(const NodeRegistry& registry, std::string self, Options options, SendFunction send);

    /// \brief Sends this node's own record to all contacts.
    void publish(const proto::NodeRecord& own, Instant now);

    /// \brief Queues a new \a record, received from the node \a sender, for sendRelays().
    void queueRelay(const proto::NodeRecord& record, const std::string& sender);

    /// \brief Relays the queued records to some contacts, which \a random selects.
    void sendRelays(Random& random, Instant now);

    /// \brief Sends \a contact to all contacts.
    void sendContact(const proto::NodeContact& contact, Instant now);

    /// \brief Handles the digest of all records that a peer has. If it differs from the digest of this node,
    /// requests the buckets that differ. A request is sent at once if this incarnation of the peer is new to
    /// this node (\a isNewPeer), otherwise at most once per Options::repairInterval.
    void onDigest(std::uint64_t digest, bool isNewPeer, const ReplyFunction& reply, Instant now);

    /// \brief Answers a peer that requests the buckets whose digests differ from its own.
    void answerDigests(const proto::RegistryDigests& peerDigests, const ReplyFunction& reply) const;

    /// \brief Handles all records that a peer has in some buckets, after \a records were merged into the
    /// registry: sends back the records that the peer lacks.
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
    std::map<std::string, PendingRelay> m_pendingRelays; ///< by node
    Instant m_nextRepairAt {};
};

} // namespace robinrun
