#include "Mesh/Gossip.h"

#include <algorithm>
#include <bitset>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace robinrun {
namespace {

    /// Size in bytes after which the rest of an answer is sent in another message. Calls and heartbeats can
    /// pass between the messages, and what has arrived before a link closes counts. All records of 7,200
    /// nodes together are 0.8 MB.
    constexpr std::size_t targetMessageBytes = 32U << 10U;

    /// \returns the key that orders the records of one node, or their summaries; the later has the greater
    /// key.
    template <class RecordOrSummary> auto recordOrder(const RecordOrSummary& it)
    {
        return std::make_tuple(it.incarnation(), it.sequence(), it.gone(), it.unreachable());
    }

    /// \brief Sends \a records in messages of about `targetMessageBytes`.
    void sendInParts(const proto::NodeRecords& records, const Gossip::ReplyFunction& reply)
    {
        proto::PeerMessage message;
        for (const auto& it : records.records()) {
            auto& out = *message.mutable_node_records();
            *out.add_records() = it;
            if (out.ByteSizeLong() < targetMessageBytes)
                continue;
            reply(message);
            message.Clear();
        }
        if (message.has_node_records())
            reply(message);
    }

} // namespace

Gossip::Gossip(const NodeRegistry& registry, std::string self, Options options, SendFunction send)
    : m_registry(&registry)
    , m_self(std::move(self))
    , m_options(options)
    , m_send(std::move(send))
{
}

void Gossip::queueRelay(const proto::NodeRecord& record, const std::string& sender)
{
    m_pendingRelays[record.node()] = { record, sender };
}

void Gossip::publish(const proto::NodeRecord& own, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_node_records()->add_records() = own;
    sendToContacts(message, now);
}

template <class Predicate>
void Gossip::relayTo(const std::string& contact, const std::map<std::string, PendingRelay>& relays,
    Predicate isWanted, Instant now) const
{
    proto::PeerMessage message;
    auto& out = *message.mutable_node_records();
    for (const auto& [node, it] : relays) {
        if (node != contact && it.sender != contact && isWanted(it.record))
            *out.add_records() = it.record;
    }
    if (out.records_size() > 0)
        m_send(m_registry->find(contact)->peer_address(), message, now);
}

void Gossip::sendRelays(Random& random, Instant now)
{
    const auto relays = std::exchange(m_pendingRelays, {});
    if (relays.empty())
        return;
    // A copy: sending may change the registry, and with it the selection.
    const auto contacts = m_registry->contactsOf(m_self, m_options.maxContacts);
    auto near = contacts.near;
    const auto n = std::min(m_options.maxRelays, near.size());
    for (std::size_t i = 0; i < n; ++i) {
        std::swap(near[i], near[i + random.below(near.size() - i)]);
        relayTo(
            near[i], relays, [](const auto&) { return true; }, now);
    }
    const auto* own = m_registry->find(m_self);
    // Bridges of the other halls relay the records of theirs.
    const auto isOfOwnHall
        = [own](const proto::NodeRecord& it) { return own && it.data_hall() == own->data_hall(); };
    for (const auto& [hall, far] : contacts.far)
        relayTo(far[random.below(far.size())], relays, isOfOwnHall, now);
}

void Gossip::sendContact(const proto::NodeContact& contact, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_node_contact() = contact;
    sendToContacts(message, now);
}

void Gossip::sendToContacts(const proto::PeerMessage& message, Instant now)
{
    for (const auto& it : m_registry->contactsOf(m_self, m_options.maxContacts).all()) {
        auto copy = message; // the send function adds the sender's fields
        m_send(m_registry->find(it)->peer_address(), copy, now);
    }
}

void Gossip::onDigest(std::uint64_t digest, bool isNewPeer, const ReplyFunction& reply, Instant now)
{
    if (!isNewPeer && digest == m_registry->digest())
        return;
    auto& nextAt = isNewPeer ? m_nextNewPeerAt : m_nextRepairAt;
    if (now < nextAt)
        return;
    nextAt = now + (isNewPeer ? m_options.newPeerInterval : m_options.repairInterval);
    proto::PeerMessage message;
    auto& out = *message.mutable_registry_digests();
    out.set_takes_summaries(true);
    for (const auto it : m_registry->digests())
        out.add_buckets(it);
    reply(message);
}

void Gossip::answerDigests(const proto::RegistryDigests& peerDigests, const ReplyFunction& reply, Instant now)
{
    const auto& own = m_registry->digests();
    const auto n = std::min<std::size_t>(own.size(), static_cast<std::size_t>(peerDigests.buckets_size()));
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; i < n; ++i) {
        if (peerDigests.buckets(static_cast<int>(i)) != own[i])
            differing.push_back(i);
    }
    if (differing.size() > NodeRegistry::bucketCount / 2) {
        if (now < m_nextBulkAt)
            return;
        m_nextBulkAt = now + m_options.bulkInterval;
    }
    if (peerDigests.takes_summaries())
        answerWithSummaries(differing, reply);
    else
        answerWithRecords(differing, reply);
}

void Gossip::answerWithRecords(const std::vector<std::size_t>& buckets, const ReplyFunction& reply) const
{
    proto::PeerMessage message;
    auto& out = *message.mutable_node_records();
    for (const auto bucket : buckets) {
        out.add_whole_buckets(static_cast<std::uint32_t>(bucket));
        for (auto& it : m_registry->recordsIn(bucket))
            *out.add_records() = std::move(it);
        if (out.ByteSizeLong() < targetMessageBytes)
            continue;
        reply(message);
        message.mutable_node_records()->Clear();
    }
    if (out.whole_buckets_size() > 0)
        reply(message);
}

void Gossip::answerWithSummaries(const std::vector<std::size_t>& buckets, const ReplyFunction& reply) const
{
    proto::PeerMessage message;
    auto& out = *message.mutable_record_summaries();
    for (const auto bucket : buckets) {
        out.add_whole_buckets(static_cast<std::uint32_t>(bucket));
        for (const auto& it : m_registry->recordsIn(bucket)) {
            auto& summary = *out.add_records();
            summary.set_node_hash(NodeRegistry::hashOf(it.node()));
            summary.set_incarnation(it.incarnation());
            summary.set_sequence(it.sequence());
            summary.set_gone(it.gone());
            summary.set_unreachable(it.unreachable());
        }
        if (out.ByteSizeLong() < targetMessageBytes)
            continue;
        reply(message);
        message.mutable_record_summaries()->Clear();
    }
    if (out.whole_buckets_size() > 0)
        reply(message);
}

std::size_t Gossip::onSummaries(const proto::RecordSummaries& summaries, const ReplyFunction& reply) const
{
    std::unordered_map<std::uint64_t, const proto::RecordSummary*> known;
    for (const auto& it : summaries.records())
        known[it.node_hash()] = &it;
    proto::PeerMessage records;
    auto& out = *records.mutable_node_records();
    std::bitset<NodeRegistry::bucketCount> handledBuckets;
    for (const auto bucket : summaries.whole_buckets()) {
        if (bucket >= handledBuckets.size() || handledBuckets.test(bucket))
            continue;
        handledBuckets.set(bucket);
        for (auto& it : m_registry->recordsIn(bucket)) {
            const auto peer = known.find(NodeRegistry::hashOf(it.node()));
            const bool isLacking = peer == known.end() || recordOrder(it) > recordOrder(*peer->second);
            const bool isLater = peer != known.end() && recordOrder(it) < recordOrder(*peer->second);
            if (isLacking)
                *out.add_records() = std::move(it);
            if (!isLater && peer != known.end())
                known.erase(peer);
        }
    }
    if (out.records_size() > 0)
        sendInParts(out, reply);
    proto::PeerMessage request;
    for (const auto& [hash, summary] : known) {
        if (handledBuckets.test(NodeRegistry::bucketOf(hash)))
            request.mutable_record_request()->add_node_hashes(hash);
    }
    const auto n = static_cast<std::size_t>(request.record_request().node_hashes_size());
    if (n > 0)
        reply(request);
    return n;
}

void Gossip::answerRequest(const proto::RecordRequest& request, const ReplyFunction& reply) const
{
    std::map<std::size_t, std::set<std::uint64_t>> wanted; // by bucket; the peer may name a node twice
    for (const auto it : request.node_hashes())
        wanted[NodeRegistry::bucketOf(it)].insert(it);
    proto::NodeRecords out;
    for (const auto& [bucket, hashes] : wanted) {
        for (auto& it : m_registry->recordsIn(bucket)) {
            if (hashes.contains(NodeRegistry::hashOf(it.node())))
                *out.add_records() = std::move(it);
        }
    }
    if (out.records_size() > 0)
        sendInParts(out, reply);
}

void Gossip::sendMissingRecords(const proto::NodeRecords& records, const ReplyFunction& reply) const
{
    std::unordered_map<std::string, const proto::NodeRecord*> received;
    for (const auto& it : records.records())
        received[it.node()] = &it;
    proto::PeerMessage message;
    auto& out = *message.mutable_node_records();
    std::bitset<NodeRegistry::bucketCount>
        handledBuckets; // the peer may name any bucket, also more than once
    for (const auto bucket : records.whole_buckets()) {
        if (bucket >= handledBuckets.size() || handledBuckets.test(bucket))
            continue;
        handledBuckets.set(bucket);
        for (auto& it : m_registry->recordsIn(bucket)) {
            const auto known = received.find(it.node());
            if (known == received.end() || NodeRegistry::isLater(it, *known->second))
                *out.add_records() = std::move(it);
        }
    }
    if (out.records_size() > 0)
        sendInParts(out, reply);
}

} // namespace robinrun
