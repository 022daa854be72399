#pragma once

#include "Core/BackendLife.h"
#include "Mesh/ContactSelection.h"
#include "peer.pb.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace robinrun {

/// \returns the life of the backend server that a node's record describes; its id is empty if the record has
/// none.
inline BackendLife backendLifeOf(const proto::NodeRecord& record)
{
    return BackendLife(record.upstream(), record.born());
}

/// \returns why a node cannot have written \a record, with the name of the field; "" if the record is valid.
/// Other writers may use the store, and a number that is too large to come from a clock would hide all later
/// records of the node.
std::string validationError(const proto::NodeRecord& record);

/// \brief Holds the latest known record of each node and of the upstream beside it, from the store and from
/// peers.
///
/// Of two records of a node the one with the later incarnation is valid, then the one with the higher
/// sequence, then the one that marks the node as gone, then the one that marks it as unreachable. The result
/// therefore does not depend on the path and the order of the records. Nodes compare their registries by
/// digests of buckets of records. A record holds the last state that its node has reported and does not prove
/// that the node is alive: the routers find out whether it answers. Cost: O(log nodes); about 300 bytes per
/// node.
class NodeRegistry {
public:
    /// With 7,200 records each bucket has about 112, so that one difference causes only a small transfer.
    static constexpr std::size_t bucketCount = 64;
    using Digests = std::array<std::uint64_t, bucketCount>;

    enum class Change {
        None, ///< not later than the known record
        Refreshed, ///< later, but equal for routing
        Changed,
    };

    /// \brief Stores a record unless a later one of its node is known.
    /// \returns the effect of the record.
    Change mergeRecord(const proto::NodeRecord& record);

    /// \returns the record of a node; null if there is none. The pointer is valid until the next
    /// mergeRecord().
    const proto::NodeRecord* find(const std::string& node) const;
    const std::map<std::string, proto::NodeRecord>& nodes() const { return m_nodes; }

    /// \returns the upstreams of all nodes that are not gone, also of leaving ones, as resources of the
    /// directory, named by their lives. If two nodes have an upstream of the same id, only the later life is
    /// included.
    /// Cost: O(nodes log nodes).
    std::vector<proto::Resource> upstreams() const;

    /// \returns the contacts of \a self as selectContacts() selects them, up to \a n near ones. The reference
    /// is valid until the next mergeRecord().
    /// Cost: O(1) unless a node has been added, has gone or has moved since; then O(nodes log nodes).
    const Contacts& contactsOf(const std::string& self, std::size_t n) const;

    /// \returns a digest of the records in each bucket. Equal digests mean equal records, except for hash
    /// collisions.
    const Digests& digests() const { return m_digests; }

    /// \returns a digest of all records.
    std::uint64_t digest() const;

    /// \returns the hash by which summaries name the node \a node.
    static std::uint64_t hashOf(const std::string& node);

    /// \returns the bucket of the node whose name has the hash \a nodeHash.
    static std::size_t bucketOf(std::uint64_t nodeHash) { return nodeHash % bucketCount; }

    /// \returns the bucket of the node named \a node.
    static std::size_t bucketOf(const std::string& node) { return bucketOf(hashOf(node)); }

    /// \returns the records in \a bucket. Cost: O(records in the bucket * log nodes).
    std::vector<proto::NodeRecord> recordsIn(std::size_t bucket) const;

    /// \returns whether \a a is of a later incarnation of its node than \a b, or a later record of the same
    /// incarnation.
    static bool isLater(const proto::NodeRecord& a, const proto::NodeRecord& b);

private:
    void replaceRecord(const proto::NodeRecord& record);

    /// \brief The last selection of contacts.
    struct ContactCache {
        std::string self;
        std::size_t n = 0;
        std::uint64_t generation = 0;
        Contacts contacts;
    };

    std::map<std::string, proto::NodeRecord> m_nodes;
    std::array<std::set<std::string>, bucketCount> m_buckets; ///< names of nodes
    Digests m_digests {};
    std::uint64_t m_generation = 1; ///< increases when the contacts may change
    mutable ContactCache m_contactCache;
};

} // namespace robinrun
