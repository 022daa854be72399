#include "Mesh/Gossip.h"

#include <algorithm>
#include <bitset>
#include <unordered_map>
#include <utility>

namespace robinrun {
namespace {

    /// Size in bytes after which the rest of an answer is sent in another message. Calls and heartbeats can
    /// pass between the messages, and what has arrived before a link closes counts. All records of 7,200
    /// nodes together are 0.8 MB.
    constexpr std::size_t targetMessageBytes = 32U << 10U;

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

void Gossip::sendRelays(Random& random, Instant now)
{
    const auto relays = std::exchange(m_pendingRelays, {});
    if (relays.empty())
        return;
    auto contacts = m_registry->contactsOf(m_self, m_options.maxContacts);
    const auto n = std::min(m_options.maxRelays, contacts.size());
    for (std::size_t i = 0; i < n; ++i) {
        std::swap(contacts[i], contacts[i + random.below(contacts.size() - i)]);
        proto::PeerMessage message;
        auto& out = *message.mutable_node_records();
        for (const auto& [node, it] : relays) {
            if (node != contacts[i] && it.sender != contacts[i])
                *out.add_records() = it.record;
        }
        if (out.records_size() > 0)
            m_send(m_registry->find(contacts[i])->peer_address(), message, now);
    }
}

void Gossip::sendContact(const proto::NodeContact& contact, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_node_contact() = contact;
    sendToContacts(message, now);
}

void Gossip::sendToContacts(const proto::PeerMessage& message, Instant now)
{
    for (const auto& it : m_registry->contactsOf(m_self, m_options.maxContacts)) {
        auto copy = message; // the send function adds the sender's fields
        m_send(m_registry->find(it)->peer_address(), copy, now);
    }
}

void Gossip::onDigest(std::uint64_t digest, bool isNewPeer, const ReplyFunction& reply, Instant now)
{
    if (!isNewPeer && (digest == m_registry->digest() || now < m_nextRepairAt))
        return;
    if (!isNewPeer)
        m_nextRepairAt = now + m_options.repairInterval;
    proto::PeerMessage message;
    for (const auto it : m_registry->digests())
        message.mutable_registry_digests()->add_buckets(it);
    reply(message);
}

void Gossip::answerDigests(const proto::RegistryDigests& peerDigests, const ReplyFunction& reply) const
{
    proto::PeerMessage message;
    auto& out = *message.mutable_node_records();
    const auto& own = m_registry->digests();
    const auto n = std::min<std::size_t>(own.size(), static_cast<std::size_t>(peerDigests.buckets_size()));
    for (std::size_t i = 0; i < n; ++i) {
        if (peerDigests.buckets(static_cast<int>(i)) == own[i])
            continue;
        out.add_whole_buckets(static_cast<std::uint32_t>(i));
        for (auto& it : m_registry->recordsIn(i))
            *out.add_records() = std::move(it);
        if (out.ByteSizeLong() < targetMessageBytes)
            continue;
        reply(message);
        out.Clear();
    }
    if (out.whole_buckets_size() > 0)
        reply(message);
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
        reply(message);
}

} // namespace robinrun
