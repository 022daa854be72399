#include "Core/Log.h"
#include "Mesh/MeshNode.h"
#include "Node/OwnerMessages.h"

/// \file What a mesh node hears from its peers and the store, and tells them.

namespace robinrun {
namespace {

    /// After a peer says that it has a newer configuration, the store has so long to deliver it first.
    constexpr Duration pullDelay = 150ms;
    /// A changed record is told to all nodes while there are no more; in larger systems to the contacts, and
    /// the others read it in the store.
    constexpr std::size_t maxToldDirectly = 200;

} // namespace

void MeshNode::publish(Instant now)
{
    m_record.set_sequence(m_record.sequence() + 1);
    m_registry.take(m_record);
    m_writer->set(m_record.SerializeAsString());
    rebuildSoon();
    tellAll(now);
}

void MeshNode::tellAll(Instant now)
{
    if (m_registry.nodes().size() > maxToldDirectly)
        return tellContacts(now);
    m_nextContact = now + m_context.settings.peers.contactEvery;
    for (const auto& [name, record] : m_registry.nodes()) {
        if (name != m_context.settings.name && !record.gone())
            sendRecord(record.peer_address(), now);
    }
}

void MeshNode::tellContacts(Instant now)
{
    m_nextContact = now + m_context.settings.peers.contactEvery;
    const auto& settings = m_context.settings;
    for (const auto& it : m_registry.contactsOf(settings.name, settings.peers.contacts))
        sendRecord(m_registry.find(it)->peer_address(), now);
}

void MeshNode::sendRecord(const std::string& address, Instant now)
{
    m_record.set_config_version(m_config.version());
    proto::PeerMessage message;
    *message.mutable_node_record() = m_record;
    m_peers->send(address, message, now);
}

void MeshNode::tellLeaving(const std::string& address, bool isLeaving)
{
    auto message = leavingMessage(*m_owner, m_context.incarnation, isLeaving);
    m_peers->send(address, message, monotonicNow());
}

void MeshNode::tellLoad(const std::string& address, proto::LoadNews& news)
{
    if (address == m_context.settings.listen.peers)
        return m_ingress->takeLoad(news, monotonicNow());
    proto::PeerMessage message;
    message.mutable_load_news()->Swap(&news);
    m_peers->send(address, message, monotonicNow());
}

void MeshNode::takeMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message)
{
    const auto now = monotonicNow();
    if (m_lostPeers.erase(sender.address))
        log(LogLevel::Info, "peer-back", { { "peer", sender.address } });
    switch (message.body_case()) {
    case proto::PeerMessage::kCall:
        return handToOwner(*m_owner, *m_peers, sender, message.call(), now);
    case proto::PeerMessage::kAnswer:
        return m_ingress->takeAnswer(sender.node, *message.mutable_answer(), now);
    case proto::PeerMessage::kCancel:
        return m_owner->cancel(sender.incarnation, message.cancel().number(), now);
    case proto::PeerMessage::kLeaving:
        return m_ingress->takeLeaving(message.leaving(), now);
    case proto::PeerMessage::kLoadNews:
        return m_ingress->takeLoad(message.load_news(), now);
    case proto::PeerMessage::kNodeRecord:
        return takeRecord(sender, message.node_record(), now);
    case proto::PeerMessage::kConfigRequest:
        return takeConfigRequest(sender, message.config_request(), now);
    case proto::PeerMessage::kConfigCopy:
        return offerConfiguration(message.config_copy().text(), sender.node, now);
    default:
        log(LogLevel::Warning, "peer-message-unknown",
            { { "from", sender.node }, { "kind", static_cast<int>(message.body_case()) } });
    }
}

bool MeshNode::isNewLifeOf(const proto::NodeRecord& record) const
{
    const auto* known = m_registry.find(record.node());
    return !known || known->incarnation() < record.incarnation();
}

void MeshNode::registryChanged(const proto::NodeRecord& record, bool isNewLife, Instant now)
{
    rebuildSoon();
    if (isNewLife && !record.upstream().empty())
        m_ingress->revive(record.upstream(), now);
}

void MeshNode::takeRecord(const PeerSocket::Sender& sender, const proto::NodeRecord& record, Instant now)
{
    const bool isNewLife = isNewLifeOf(record);
    const auto change = m_registry.take(record);
    if (change == NodeRegistry::Change::Changed)
        registryChanged(record, isNewLife, now);
    if (isNewLife)
        sendRecord(sender.address, now);
    if (record.config_version() > m_config.version())
        pullSoon(sender.address, record.config_version());
}

std::optional<proto::NodeRecord> MeshNode::readStoredNode(const KeyedRecord& stored) const
{
    proto::NodeRecord record;
    if (!stored.value.empty()) {
        if (record.ParseFromString(stored.value) && record.node() == stored.key)
            return record;
        log(LogLevel::Error, "node-record-malformed", { { "key", stored.key } });
        return std::nullopt;
    }
    // Taken away: the node said that it will not be back. This node's own word is not taken from the store.
    const auto* known = m_registry.find(stored.key);
    if (!known || stored.key == m_context.settings.name)
        return std::nullopt;
    record = *known;
    record.set_gone(true);
    return record;
}

void MeshNode::takeOwnRecord(const proto::NodeRecord& record, Instant now)
{
    // What a former life of this node has acknowledged binds this one too.
    if (record.incarnation() != m_context.incarnation && record.leaving()
        && m_announced.hasLeftBefore(record.upstream()))
        upstreamChanged(now);
}

void MeshNode::takeStoredNode(const KeyedRecord& stored, Instant now)
{
    const auto record = readStoredNode(stored);
    if (!record)
        return;
    if (record->node() == m_context.settings.name)
        return takeOwnRecord(*record, now);
    const bool isNewLife = isNewLifeOf(*record);
    if (m_registry.take(*record) != NodeRegistry::Change::Changed)
        return;
    registryChanged(*record, isNewLife, now);
    if (isNewLife && m_nodesFeed->isCaughtUp())
        sendRecord(record->peer_address(), now);
}

void MeshNode::takeConfigRequest(
    const PeerSocket::Sender& sender, const proto::ConfigRequest& request, Instant now)
{
    if (m_config.version() <= request.newer_than())
        return;
    proto::PeerMessage message;
    message.mutable_config_copy()->set_version(m_config.version());
    message.mutable_config_copy()->set_text(m_config.text());
    m_peers->answer(sender, message, now);
}

void MeshNode::pullSoon(const std::string& address, std::uint64_t version)
{
    if (m_isPullPending)
        return;
    m_isPullPending = true;
    const auto delay = m_config.hasAny() ? pullDelay : Duration::zero();
    m_pullTimer = Timer::once(m_context.base, delay, [this, address, version] {
        m_isPullPending = false;
        if (m_config.version() >= version)
            return;
        proto::PeerMessage message;
        message.mutable_config_request()->set_newer_than(m_config.version());
        m_peers->send(address, message, monotonicNow());
    });
}

} // namespace robinrun
