#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Mesh/NodeRegistry.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Spreads the records of nodes from contact to contact, and repairs lost messages by comparing
/// digests.
///
/// A node sends its own changed record to all its contacts, and each node relays a new record once to a few
/// of its own contacts. A change thus reaches nearly all nodes in about log(nodes) steps over links that are
/// open anyway. Between data halls only the bridges of selectContacts() relay, and only records of nodes of
/// their own hall. Contacts send each other a digest of all records. If the digests differ, the two nodes
/// compare digests of buckets, then which records of the buckets that differ each has, and exchange those
/// that one lacks, in both directions. The store is read for nodes that no contact knows.
/// Cost: a change takes about contacts + relays x nodes small messages in all, and `bridgesPerHall` messages
/// from its hall to each other hall. Without changes there are no messages beyond the regular contact. A
/// comparison takes 0.5 KB, about 20 bytes per record of the buckets that differ, and the records that one of
/// the nodes lacks.
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
        /// Minimum time between two comparisons with peers that are new to this node.
        Duration newPeerInterval = 200ms;
        /// Minimum time between two answers that cover most of the records. A node that has just started is
        /// asked by all its contacts at once, and one of them is enough to give it what it lacks.
        Duration bulkInterval = 500ms;
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
    /// requests the buckets that differ. A request is sent at most once per Options::newPeerInterval if this
    /// incarnation of the peer is new to this node (\a isNewPeer), otherwise once per
    /// Options::repairInterval.
    void onDigest(std::uint64_t digest, bool isNewPeer, const ReplyFunction& reply, Instant now);

    /// \brief Answers a peer that requests the buckets whose digests differ from its own, with summaries of
    /// the records if the peer reads them, otherwise with the records.
    void answerDigests(const proto::RegistryDigests& peerDigests, const ReplyFunction& reply, Instant now);

    /// \brief Handles the summaries of all records that a peer has in some buckets: sends the records that
    /// the peer lacks and requests those that this node lacks. \returns the number of records that were
    /// requested.
    std::size_t onSummaries(const proto::RecordSummaries& summaries, const ReplyFunction& reply) const;

    /// \brief Sends the records that a peer requests.
    void answerRequest(const proto::RecordRequest& request, const ReplyFunction& reply) const;

    /// \brief Handles all records that a peer has in some buckets, after \a records were merged into the
    /// registry: sends back the records that the peer lacks.
    void sendMissingRecords(const proto::NodeRecords& records, const ReplyFunction& reply) const;

    /// \brief Sends \a message to all contacts.
    void sendToContacts(const proto::PeerMessage& message, Instant now);

private:
    struct PendingRelay {
        proto::NodeRecord record;
        std::string sender;
    };

    /// \brief Sends the queued records that \a isWanted admits to \a contact, except the contact's own record
    /// and what came from it.
    template <class Predicate>
    void relayTo(const std::string& contact, const std::map<std::string, PendingRelay>& relays,
        Predicate isWanted, Instant now) const;
    void answerWithRecords(const std::vector<std::size_t>& buckets, const ReplyFunction& reply) const;
    void answerWithSummaries(const std::vector<std::size_t>& buckets, const ReplyFunction& reply) const;

    const NodeRegistry* m_registry;
    std::string m_self;
    Options m_options;
    SendFunction m_send;
    std::map<std::string, PendingRelay> m_pendingRelays; ///< by node
    Instant m_nextRepairAt {};
    Instant m_nextNewPeerAt {};
    Instant m_nextBulkAt {};
};

} // namespace robinrun
