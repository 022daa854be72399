#pragma once

#include "Core/BackendLife.h"
#include "peer.pb.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \returns which start of its backend server a node's record is about; an empty id if none is known.
inline BackendLife backendLifeOf(const proto::NodeRecord& record)
{
    return BackendLife(record.upstream(), record.born());
}

/// \returns why a record can't be one that a node has written, with the field; "" if it can. Other writers
/// may use the store, and a number no clock shows would hide all that the node itself says later.
std::string validationError(const proto::NodeRecord& record);

/// \brief What this node knows of all nodes and the upstreams beside them, from the store and from peers.
///
/// Of two records of a node the one of the later incarnation counts, then the one with the higher sequence,
/// then the one that says the node is gone; so it does not matter by which way and in which order they come.
/// Nodes compare what they know by digests of buckets of records. A record says what its node said last,
/// not that it lives: whether it answers is for the routers to find out.
/// Cost: O(log nodes); about 300 bytes a node.
class NodeRegistry {
public:
    /// Of 7,200 records 112 lie in each: what is sent for one difference stays small.
    static constexpr std::size_t bucketCount = 64;
    using Digests = std::array<std::uint64_t, bucketCount>;

    enum class Change {
        None, ///< older than what is known
        Refreshed, ///< newer, but nothing that routing needs has changed
        Changed,
    };

    /// \brief Takes a record in unless a later one of its node is known. \returns what has changed.
    Change mergeRecord(const proto::NodeRecord& record);

    /// \returns what is known of a node; null if nothing is. Holds until the next take().
    const proto::NodeRecord* find(const std::string& node) const;
    const std::map<std::string, proto::NodeRecord>& nodes() const { return m_nodes; }

    /// \returns the upstreams of all nodes that are not gone, leaving ones too, as resources of the
    /// directory, named by their lives. Of two nodes that name the same id, the one with the later life
    /// counts. Cost: O(nodes log nodes).
    std::vector<proto::Resource> upstreams() const;

    /// \brief Up to \a n peers of \a self, the same pairs seen from both ends as far as the bound allows:
    /// those whose pair with \a self hashes least. For regular contact that must not grow with the system.
    /// Cost: O(nodes log nodes).
    std::vector<std::string> contactsOf(const std::string& self, std::size_t n) const;

    /// \returns a digest of the records in each bucket. Equal ones mean equal records, but for chance.
    const Digests& digests() const { return m_digests; }

    /// \returns one digest of all records.
    std::uint64_t digest() const;

    /// \returns the bucket of the node called \a node.
    static std::size_t bucketOf(const std::string& node);

    /// \returns the records in \a bucket. Cost: O(nodes).
    std::vector<proto::NodeRecord> recordsIn(std::size_t bucket) const;

    /// \returns whether \a a is of a later life of its node than \a b, or said later in the same one.
    static bool isLater(const proto::NodeRecord& a, const proto::NodeRecord& b);

private:
    void replaceRecord(const proto::NodeRecord& record);

    std::map<std::string, proto::NodeRecord> m_nodes;
    Digests m_digests {};
};

} // namespace robinrun
