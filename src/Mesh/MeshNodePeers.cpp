#include "Core/Log.h"
#include "Mesh/MeshNode.h"
#include "Node/CallMessages.h"

#include <algorithm>
#include <utility>

/// \file What a mesh node hears from its peers and the store, and tells them.

namespace robinrun {
namespace {

    /// News of nodes that come together are passed on together.
    constexpr Duration relayDelay = 10ms;
    /// A contact whose link has just been opened is tried again after so long.
    constexpr Duration connectingAgain = 100ms;
    /// Announcements come every one to two seconds.
    constexpr Duration longestProvisional = 2s;
    /// A link that was opened stands within so long: a few ways of the network.
    constexpr Duration linkOpening = 20ms;
    /// In calm times what is known is confirmed anew before it is so old.
    constexpr Duration passedOnAtOnce = 1800ms;
    /// What other writers send is logged up to so many bytes of a text.
    constexpr std::size_t loggedBytes = 128;
    constexpr double permille = 1000;
    /// Of the nodes; fewer are the smaller side of a network partition.
    constexpr double majority = 0.5;

    std::vector<std::string> addressesOf(const std::map<std::string, std::string>& nodesByAddress)
    {
        std::vector<std::string> out;
        out.reserve(nodesByAddress.size());
        for (const auto& [address, node] : nodesByAddress)
            out.push_back(address);
        return out;
    }

} // namespace

void MeshNode::publish(Instant now)
{
    m_provisionalTimer = Timer();
    gossipRecord(now);
    writeRecord(now);
    rebuildSoon();
}

void MeshNode::publishProvisional(Instant now)
{
    gossipRecord(now);
    rebuildSoon();
    m_provisionalTimer = Timer::once(m_context.base, longestProvisional, [this] {
        m_provisionalTimer = Timer();
        writeRecord(monotonicNow());
    });
}

void MeshNode::gossipRecord(Instant now)
{
    m_record.set_sequence(m_record.sequence() + 1);
    m_registry.mergeRecord(m_record);
    m_isContactOpening = false;
    m_gossip.publish(m_record, now);
    // Contacts whose links were only just opened have heard nothing.
    if (m_isContactOpening)
        m_publishAgain = Timer::once(
            m_context.base, linkOpening, [this] { m_gossip.publish(m_record, monotonicNow()); });
}

void MeshNode::sendContacts(Instant now)
{
    proto::NodeContact contact;
    contact.set_config_version(m_config.version());
    contact.set_registry_digest(m_registry.digest());
    contact.set_follows_configuration(m_configFeed->isFollowing());
    if (const auto confirmed = m_configFeed->confirmedAt())
        m_group.onRead(*confirmed);
    if (const auto failed = m_configFeed->failedAt())
        m_group.onReadFailed(*failed);
    if (const auto& outage = m_group.outage()) {
        contact.set_outage_age_ms(1 + static_cast<std::uint32_t>(toMilliseconds(now - outage->observedAt)));
        contact.set_outage_by(outage->readerRank);
    }
    if (const auto known = m_group.confirmation()) {
        contact.set_confirmed_age_ms(1 + static_cast<std::uint32_t>(toMilliseconds(now - known->observedAt)));
        contact.set_confirmed_by(known->readerRank);
    }
    m_halls.addToContact(contact);
    contact.set_rollout_digest(m_context.rollouts.digest());
    contact.set_store_era(m_store->era().era());
    contact.set_leaves_known_ms(1 + static_cast<std::uint32_t>(toMilliseconds(m_formerLeaves.knownFor(now))));
    if (const auto far = ownFarReach())
        contact.set_far_reach_permille(1 + static_cast<std::uint32_t>(*far * permille));
    m_isContactOpening = false;
    m_gossip.sendContact(contact, now);
    if (m_group.isMember())
        sendToWatchGroup(contact, now);
    m_nextContact = now + (m_isContactOpening ? connectingAgain : m_context.settings.peers.contactEvery);
    removeLostPeers(now);
    markUnreachablePeers(now);
    updateSuccession(now);
}

void MeshNode::sendToWatchGroup(const proto::NodeContact& contact, Instant now)
{
    std::set<std::string> told;
    for (const auto& it : contacts())
        told.insert(m_registry.find(it)->peer_address());
    for (const auto& it : m_group.otherMembers()) {
        if (told.contains(it))
            continue;
        proto::PeerMessage message;
        *message.mutable_node_contact() = contact;
        m_peers->send(it, message, now);
    }
}

void MeshNode::sendToContact(const std::string& address, proto::PeerMessage& message, Instant now)
{
    // What can't be sent now is not kept: contacts compare what they know every second.
    const auto result = m_peers->send(address, message, now);
    if (result == SendResult::Connecting)
        m_isContactOpening = true;
    if (result != SendResult::Sent)
        return;
    m_reach.onReached(address, now);
    m_unreached.onReached(address, now);
}

std::map<std::string, std::string> MeshNode::contactsByAddress() const
{
    std::map<std::string, std::string> out;
    for (const auto& it : contacts())
        out[m_registry.find(it)->peer_address()] = it;
    return out;
}

void MeshNode::markUnreachablePeers(Instant now)
{
    const auto timeout = m_context.settings.peers.unreachableAfter;
    const auto nodes = contactsByAddress();
    // Few nodes are contacts of nodes in other halls; lenders are asked from everywhere.
    auto unreached = m_rates->silentLenders(timeout, now);
    for (const auto& it : m_unreached.removeLost(addressesOf(nodes), now))
        unreached.push_back(nodes.at(it));
    if (unreached.empty() || reach(now) < majority)
        return;
    for (const auto& it : unreached) {
        const auto* known = m_registry.find(it);
        if (!known || known->unreachable() || known->gone())
            continue;
        auto record = *known;
        log(LogLevel::Warning, "peer-unreachable",
            { { "peer", record.node() }, { "unreached_s", toSeconds(timeout) } });
        record.set_unreachable(true);
        applyRecord(record, now);
        m_gossip.queueRelay(record, "");
        relaySoon();
    }
}

void MeshNode::removeLostPeers(Instant now)
{
    const auto& settings = m_context.settings;
    const auto nodes = contactsByAddress();
    for (const auto& it : m_reach.removeLost(addressesOf(nodes), now)) {
        auto record = *m_registry.find(nodes.at(it));
        log(LogLevel::Warning, "peer-forgotten",
            { { "peer", record.node() }, { "unreached_s", toSeconds(settings.peers.forgetAfter) } });
        record.set_gone(true);
        applyRecord(record, now);
        m_gossip.queueRelay(record, "");
        relaySoon();
        m_forgotten.push_back(
            std::make_unique<RecordWriter>(m_context.base, *m_store, m_formats.nodesTopic, record.node()));
        m_forgotten.back()->setValue("");
    }
    std::erase_if(m_forgotten, [](const auto& it) { return it->isWritten(); });
}

void MeshNode::relaySoon()
{
    if (!std::exchange(m_isRelayPending, true)) {
        m_relayTimer = Timer::once(m_context.base, relayDelay, [this] {
            m_isRelayPending = false;
            m_gossip.sendRelays(m_context.random, monotonicNow());
        });
    }
}

Gossip::ReplyFunction MeshNode::replyTo(const PeerSocket::Sender& sender, Instant now)
{
    return [this, sender, now](proto::PeerMessage& message) { m_peers->answer(sender, message, now); };
}

void MeshNode::sendLoad(const std::string& address, proto::LoadNews& news)
{
    if (address == m_context.settings.listen.peers)
        return m_ingress->takeLoad(news, monotonicNow());
    proto::PeerMessage message;
    message.mutable_load_news()->Swap(&news);
    m_peers->send(address, message, monotonicNow());
}

void MeshNode::onMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message)
{
    const auto now = monotonicNow();
    if (m_lostPeers.erase(sender.address))
        log(LogLevel::Info, "peer-back", { { "peer", sender.address } });
    if (takeCallMessage(*m_owner, *m_ingress, *m_peers, sender, message, now))
        return;
    switch (message.body_case()) {
    case proto::PeerMessage::kLoadNews:
        return m_ingress->takeLoad(message.load_news(), now);
    case proto::PeerMessage::kNodeContact:
        return onContact(sender, message.node_contact(), now);
    case proto::PeerMessage::kNodeRecords:
        return onRecords(sender, message.node_records(), now);
    case proto::PeerMessage::kRolloutRecords:
        return onRolloutRecords(message.rollout_records(), now);
    case proto::PeerMessage::kVersionReport:
        return onVersionReport(message.version_report(), now);
    case proto::PeerMessage::kRegistryDigests:
        return m_gossip.answerDigests(message.registry_digests(), replyTo(sender, now), now);
    case proto::PeerMessage::kRecordSummaries:
        return onSummaries(sender, message.record_summaries(), now);
    case proto::PeerMessage::kRecordRequest:
        return m_gossip.answerRequest(message.record_request(), replyTo(sender, now));
    case proto::PeerMessage::kConfigPartRequest:
        return onPartRequest(sender, message.config_part_request(), now);
    case proto::PeerMessage::kConfigPart:
        return onPart(sender, message.config_part(), now);
    case proto::PeerMessage::kCreditAsk:
        return onCreditRequest(sender, message.credit_ask(), now);
    case proto::PeerMessage::kCreditGrants:
        return m_rates->addGrants(sender.node, message.credit_grants(), now);
    default:
        log(LogLevel::Warning, "peer-message-unknown",
            { { "from", sender.node }, { "kind", static_cast<int>(message.body_case()) } });
    }
}

bool MeshNode::isNewLife(const std::string& node, std::uint64_t incarnation) const
{
    const auto* known = m_registry.find(node);
    return !known || known->incarnation() < incarnation;
}

void MeshNode::onContact(const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now)
{
    m_store->onPeerEra(contact.store_era(), now);
    if (m_halls.applyContact(contact))
        onHallsChanged(now);
    compareRollouts(sender, contact, now);
    if (contact.far_reach_permille())
        m_reachEstimate.onBridgeReport(sender.node, (contact.far_reach_permille() - 1) / permille, now);
    m_share.onPeerStatus(sender.address, contact.follows_configuration(), now);
    onConfirmation(contact, now);
    noteKnownLeaves(sender, contact, now);
    m_gossip.onDigest(
        contact.registry_digest(), isNewLife(sender.node, sender.incarnation), replyTo(sender, now), now);
    if (contact.config_version() <= m_config.version())
        return;
    const auto* known = m_registry.find(sender.node);
    const bool isNear = known && known->data_hall() == m_context.settings.dataHall;
    m_pulls.onPeerVersion(sender.address, contact.config_version(), isNear, now);
    pullIfDue(now);
}

void MeshNode::onConfirmation(const proto::NodeContact& contact, Instant now)
{
    if (contact.outage_age_ms()) {
        const auto outageAge = std::chrono::milliseconds(contact.outage_age_ms() - 1);
        m_group.onOutage({ contact.outage_by(), now - outageAge });
    }
    if (!contact.confirmed_age_ms())
        return;
    const auto age = std::chrono::milliseconds(contact.confirmed_age_ms() - 1);
    const auto before = m_group.confirmationAge(now);
    const bool isFresher
        = m_group.onPeerConfirmation(contact.config_version(), { contact.confirmed_by(), now - age });
    // Where all have waited for it, it is passed on at once, before others read too.
    if (isFresher && before && *before > passedOnAtOnce)
        m_nextContact = now;
}

void MeshNode::onRecords(const PeerSocket::Sender& sender, const proto::NodeRecords& records, Instant now)
{
    for (const auto& it : records.records()) {
        if (applyRecord(it, now))
            m_gossip.queueRelay(it, sender.node);
    }
    m_gossip.sendMissingRecords(records, replyTo(sender, now));
    relaySoon();
    if (records.whole_buckets_size() > 0 || m_isComparing)
        onRecordsCompared(sender.node, now);
    onCrashRecordsChanged(now);
}

void MeshNode::onSummaries(
    const PeerSocket::Sender& sender, const proto::RecordSummaries& summaries, Instant now)
{
    // Records that were requested come in the next messages of the peer.
    m_isComparing = m_gossip.onSummaries(summaries, replyTo(sender, now)) > 0;
    if (!m_isComparing)
        onRecordsCompared(sender.node, now);
    onCrashRecordsChanged(now);
}

std::vector<std::string> MeshNode::contacts() const
{
    return m_registry.contactsOf(m_context.settings.name, m_context.settings.peers.contacts).all();
}

bool MeshNode::applyRecord(const proto::NodeRecord& record, Instant now)
{
    if (const auto fault = validationError(record); !fault.empty()) {
        logForeignEntry("node-record", record.node(), fault);
        return false;
    }
    m_isCrashNews = crashRecords::mergeIntoTracker(record, m_context.crashes, now) || m_isCrashNews;
    if (record.node() == m_context.settings.name)
        return applyOwnRecord(record, now);
    const bool isNew = isNewLife(record.node(), record.incarnation());
    const auto change = m_registry.mergeRecord(record);
    const auto& known = *m_registry.find(record.node());
    m_succession.setMarked(known.node(), known.unreachable() && !known.gone(), now);
    if (change != NodeRegistry::Change::None && !record.unreachable())
        m_rates->onLenderHeard(record.node());
    if (change == NodeRegistry::Change::Changed)
        rebuildSoon();
    if (isNew && !record.upstream().empty())
        m_ingress->reactivate(backendLifeOf(record).key(), now);
    return change != NodeRegistry::Change::None;
}

std::optional<proto::NodeRecord> MeshNode::readStoredNode(const KeyedRecord& stored)
{
    proto::NodeRecord record;
    if (!stored.value.empty()) {
        const bool isRecord = record.ParseFromString(stored.value) && record.node() == stored.key;
        const auto fault = isRecord ? validationError(record) : "is no record of this key";
        if (fault.empty())
            return record;
        logForeignEntry("node-record", stored.key, fault);
        return std::nullopt;
    }
    // Taken away: the node said that it will not be back.
    const auto* known = m_registry.find(stored.key);
    if (!known)
        return std::nullopt;
    record = *known;
    record.set_gone(true);
    return record;
}

void MeshNode::logForeignEntry(std::string_view kind, std::string_view what, std::string_view fault)
{
    log(LogLevel::Warning, "foreign-entry",
        { { "kind", kind }, { "entry", what.substr(0, loggedBytes) },
            { "fault", fault.substr(0, loggedBytes) } });
    m_context.metrics.count("robinrun_foreign_entries_total{kind=\"" + std::string(kind) + "\"}");
}

bool MeshNode::applyOwnRecord(const proto::NodeRecord& record, Instant now)
{
    const bool isNews = m_registry.mergeRecord(record) != NodeRegistry::Change::None;
    // What a former life of this node has acknowledged binds this one too.
    const bool isFormer = record.incarnation() != m_record.incarnation();
    if (isFormer && NodeRegistry::isLater(record, m_record))
        raiseIncarnationAbove(record, now);
    if (isFormer)
        adoptFormerCrashes(record, now);
    if (isFormer)
        adoptFormerVersion(record, now);
    if (isFormer && record.leaving()) {
        if (m_announced.markLeaving(backendLifeOf(record)))
            onUpstreamChanged(now);
        recordLeaving(backendLifeOf(record), record.slots(), now);
    }
    // Somebody took this node for gone.
    if (!isFormer && record.gone() && !m_record.gone())
        publish(now);
    if (isNews && !isFormer && record.unreachable())
        takeMarkBack(now);
    return isNews;
}

void MeshNode::raiseIncarnationAbove(const proto::NodeRecord& former, Instant now)
{
    log(LogLevel::Warning, "clock-went-back",
        { { "former_incarnation", former.incarnation() }, { "incarnation", m_record.incarnation() } });
    m_record.set_incarnation(former.incarnation() + 1);
    publish(now);
}

void MeshNode::applyStoredNode(const KeyedRecord& stored, Instant now)
{
    // Not passed on: others read it too, and contacts find by their digests what they lack.
    if (const auto record = readStoredNode(stored))
        applyRecord(*record, now);
    else if (stored.key == m_context.settings.name && !stored.value.empty())
        publish(now); // another writer has put something in the place of this node's record
}

void MeshNode::rewriteIfOlder(const KeyedPage& page)
{
    const auto isOwn = [this](const auto& it) { return it.key == m_context.settings.name; };
    const auto newest = std::find_if(page.records.rbegin(), page.records.rend(), isOwn);
    proto::NodeRecord stored;
    if (newest == page.records.rend() || newest->value.empty() || !stored.ParseFromString(newest->value))
        return;
    // A write that had lost its answer took effect after that of the leave.
    const bool isOlder = stored.incarnation() == m_record.incarnation()
        && stored.sequence() < m_record.sequence() && m_record.leaving() && !stored.leaving();
    if (isOlder && isRecordStored())
        m_writer->rewriteAfter(Duration::zero());
}

} // namespace robinrun
