#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Mesh/MeshNode.h"

#include <chrono>
#include <cstdint>
#include <utility>

/// \file What the backend server beside a mesh node says of itself, and when it is believed.

namespace robinrun {
namespace {

    using namespace httpStatus;

} // namespace

Result<Announcement, std::string> MeshNode::readAnnouncement(const HttpRequest& request) const
{
    auto out = m_formats.readAnnouncement(request);
    const auto& own = m_context.settings.service;
    const bool isOther = out && out.value().state != AnnouncedState::Gone && out.value().service != own;
    if (isOther)
        return failure("service: '" + out.value().service + "' is not that of this host, '" + own + "'");
    return out;
}

void MeshNode::onAnnouncement(std::unique_ptr<HttpExchange> exchange)
{
    const auto now = monotonicNow();
    const auto read = readAnnouncement(exchange->request());
    if (!read) {
        logForeignEntry("announcement", exchange->request().target, read.error());
        return exchange->reply({ badRequest, {}, read.error() + "\n" });
    }
    const auto& told = read.value();
    const bool isReady = told.state == AnnouncedState::Ready;
    if (!isReady || m_readyProof.admitAnnouncement(told, m_formerLeaves.knowledge(), now))
        applyAnnouncement(told, now);
    else
        startDiscovery(); // a health answer may agree
    // Only now: from here on nothing new goes to a server that has said it leaves.
    if (awaitsStore(told))
        return m_acknowledgements.add(std::move(exchange), now);
    acknowledge(*exchange);
}

bool MeshNode::awaitsStore(const Announcement& told) const
{
    const bool isRecorded = m_record.leaving() && m_record.upstream() == told.life.id();
    return told.state != AnnouncedState::Ready && isRecorded && !isRecordStored();
}

bool MeshNode::isRecordStored() const
{
    return !m_isWriteHeld && !m_provisionalTimer.isSet() && m_writer->isWritten();
}

void MeshNode::acknowledgeOverdue(Instant now)
{
    const auto n = m_acknowledgements.sendOverdue(now);
    if (!n)
        return;
    log(LogLevel::Warning, "leave-acknowledged-unwritten",
        { { "upstream", m_record.upstream() }, { "acknowledgements", std::uint64_t { n } } });
    m_context.metrics.count("robinrun_leaves_acknowledged_unwritten_total", static_cast<double>(n));
}

void MeshNode::applyAnnouncement(const Announcement& told, Instant now)
{
    if (m_announced.applyAnnouncement(told))
        onUpstreamChanged(now);
    if (told.state == AnnouncedState::Gone)
        recordLeaving(told.life, told.slots, now);
    if (m_announced.current())
        m_finder->stop();
    if (told.life.key() != m_owner->upstream())
        return;
    m_owner->onSignOfLife(now);
    const bool isLatest = told.sequence == m_announced.current()->sequence;
    if (told.remainingColdTime && isLatest)
        m_owner->onAnnouncedWarmUp(*told.remainingColdTime, now);
}

void MeshNode::startDiscovery()
{
    const auto& settings = m_context.settings;
    const bool mayStart = m_config.hasConfiguration() && !settings.backend.empty() && !m_isStopping;
    if (!mayStart || m_finder->isRunning())
        return;
    const auto* own = m_context.directory.service(settings.service);
    m_finder->start(own ? own->config.health_path() : "", m_context.headers);
}

void MeshNode::onHealthAnswer(const Announcement& found)
{
    const auto now = monotonicNow();
    // A server that is well may say ill for as long as it likes.
    const bool isWell = found.state == AnnouncedState::Ready;
    if (!found.saysLeaving
        && !(isWell && m_readyProof.admitHealthAnswer(found.life.id(), m_formerLeaves.knowledge())))
        return m_finder->askAgain();
    const auto withheld = m_readyProof.takeWithheld(found.life.id());
    if (withheld && !found.saysLeaving)
        applyAnnouncement(*withheld, now);
    else if (m_announced.applyHealthAnswer(found))
        onUpstreamChanged(now);
    // Unlike ill health, this holds whatever the server announces.
    if (found.saysLeaving && m_announced.markLeaving(found.life))
        onUpstreamChanged(now);
    if (found.remainingColdTime && found.life.key() == m_owner->upstream())
        m_owner->onHealthAnswerWarmUp(*found.remainingColdTime, now, now);
    if (found.rateLimit && found.life.key() == m_owner->upstream())
        m_owner->onHealthAnswerRateLimit(*found.rateLimit, now);
}

void MeshNode::noteKnownLeaves(
    const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now)
{
    if (!contact.leaves_known_ms())
        return;
    m_formerLeaves.onContact(sender.node, now - std::chrono::milliseconds(contact.leaves_known_ms() - 1));
    if (contact.registry_digest() == m_registry.digest())
        onRecordsCompared(sender.node, now);
}

void MeshNode::onRecordsCompared(const std::string& peer, Instant now)
{
    m_hasComparedRecords = true;
    m_formerLeaves.onRecordsCompared(peer);
    onFormerLeavesKnown(now);
}

void MeshNode::onFormerLeavesKnown(Instant now)
{
    if (const auto withheld = m_readyProof.releaseWithheld(m_formerLeaves.knowledge()))
        applyAnnouncement(*withheld, now);
}

void MeshNode::recordLeaving(const BackendLife& life, std::uint32_t slots, Instant now)
{
    const bool isRecorded = m_record.leaving() && backendLifeOf(m_record) == life;
    if (m_announced.current() || isRecorded)
        return;
    m_record.set_upstream(life.id());
    m_record.set_born(life.born());
    m_record.set_slots(slots);
    m_record.set_leaving(true);
    publish(now);
}

void MeshNode::onUpstreamChanged(Instant now)
{
    const auto& current = *m_announced.current();
    log(LogLevel::Info, "upstream-announced",
        { { "upstream", current.life.key() }, { "state", nameOf(current.state) }, { "slots", current.slots },
            { "sequence", current.sequence } });
    const bool isNew = m_context.settings.upstream != current.life.key();
    m_context.settings.upstream = current.life.key();
    m_record.set_upstream(current.life.id());
    m_record.set_born(current.life.born());
    m_record.set_slots(current.slots);
    if (isNew || !current.version.empty())
        setBackendVersion(current.version);
    if (const auto* former = m_registry.find(m_context.settings.name); isNew && former)
        adoptFormerVersion(*former, now);
    const auto* rollout = m_context.rollouts.find(m_context.settings.service);
    m_rolloutReports.follow(
        rollout && !isFinal(rollout->phase) ? rollout : nullptr, m_context.settings.upstream);
    m_record.set_leaving(m_announced.isLeaving());
    // The announcement that follows completes the record: one write of the store serves both.
    if (m_announced.isProvisional() && !m_announced.isLeaving() && knowsManyNodes())
        publishProvisional(now);
    else
        publish(now);
    if (isNew)
        rebuildUpstreams();
    m_owner->setSign(LeavingSign::BackendServer, m_announced.isLeaving(), now);
}

} // namespace robinrun
