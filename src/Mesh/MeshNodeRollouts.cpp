#include "Core/Hash.h"
#include "Core/Log.h"
#include "Mesh/MeshNode.h"

#include <algorithm>
#include <utility>

/// \file Roll-outs at a mesh node: orders from the store, reports of owners to the nodes that judge, phases
/// from node to node, and the status in the store.

namespace robinrun {
namespace {

    /// Nodes that get the reports of all owners and decide. Any of them is enough.
    constexpr std::size_t judgeCount = 3;
    /// A node waits for this long for each node before it in rank until it writes a status itself.
    constexpr Duration writeDelayPerRank = 700ms;
    /// Nodes of a later rank write no status: those before them can hardly all be lost.
    constexpr std::size_t maxWriters = 12;
    constexpr Duration contactInterval = 1s;
    constexpr Duration tickInterval = 100ms;

} // namespace

void MeshNode::applyStoredRollouts(const KeyedPage& page, Instant now)
{
    RolloutTable::Parsers parsers { m_formats.parseRolloutKey, m_formats.readRolloutOrder,
        [this](const std::string& service, const std::string& error) {
            logForeignEntry("rollout-order", service, error);
        } };
    if (m_context.rollouts.applyPage(page, parsers, now))
        onRolloutsChanged(now);
    m_hasHeardRollouts = true;
}

void MeshNode::onRolloutRecords(const proto::RolloutRecords& records, Instant now)
{
    bool isChanged = false;
    for (const auto& it : records.records())
        isChanged = m_context.rollouts.applyRecord(it, now) || isChanged;
    if (isChanged)
        onRolloutsChanged(now);
    if (records.records_size() > 0)
        onRolloutsHeard(now);
}

void MeshNode::onRolloutsChanged(Instant now)
{
    const auto* own = m_context.rollouts.find(m_context.settings.service);
    m_rolloutReports.follow(own && !isFinal(own->phase) ? own : nullptr, m_context.settings.upstream);
    rebuildUpstreams();
    sendRollouts(now);
}

void MeshNode::sendRollouts(Instant now)
{
    m_nextRolloutContact = now + contactInterval;
    const auto records = m_context.rollouts.records(false, now);
    if (records.records_size() == 0)
        return;
    proto::PeerMessage message;
    *message.mutable_rollout_records() = records;
    m_gossip.sendToContacts(message, now);
}

void MeshNode::compareRollouts(
    const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now)
{
    // Nodes of earlier builds send no digest and know no roll-outs.
    const bool isSame
        = contact.rollout_digest() == 0 || contact.rollout_digest() == m_context.rollouts.digest();
    if (isSame)
        return onRolloutsHeard(now);
    proto::PeerMessage message;
    *message.mutable_rollout_records() = m_context.rollouts.records(true, now);
    m_peers->answer(sender, message, now);
}

void MeshNode::onRolloutsHeard(Instant now)
{
    if (!std::exchange(m_hasHeardRollouts, true))
        onCrashRecordsChanged(now);
}

std::vector<std::string> MeshNode::rankedNodes(std::uint64_t rollout, std::size_t n) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [name, record] : m_registry.nodes()) {
        const bool isOwn = name == m_context.settings.name;
        const bool isLost = record.gone() || m_lostPeers.contains(record.peer_address());
        if (isOwn || !isLost)
            ranked.emplace_back(hash64(name, rollout), name);
    }
    const auto count = std::min(n, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(std::move(ranked[i].second));
    return out;
}

void MeshNode::reportOwnVersion(Instant now)
{
    const auto* rollout = m_context.rollouts.find(m_context.settings.service);
    if (!rollout || m_context.settings.upstream.empty())
        return;
    const auto inFlight = static_cast<std::uint32_t>(m_owner->callsInHand());
    const auto report = m_rolloutReports.takeDue(*rollout, m_context.backendVersion, inFlight, now);
    if (!report)
        return;
    for (const auto& it : rankedNodes(report->rollout(), judgeCount)) {
        if (it == m_context.settings.name) {
            onVersionReport(*report, now);
            continue;
        }
        proto::PeerMessage message;
        *message.mutable_version_report() = *report;
        m_peers->send(m_registry.find(it)->peer_address(), message, now);
    }
}

void MeshNode::onVersionReport(const proto::VersionReport& report, Instant now)
{
    const auto* rollout = m_context.rollouts.find(report.rollout());
    if (!rollout || isFinal(rollout->phase))
        return;
    auto& judge = m_judges.try_emplace(report.rollout(), rollout->order, rolloutBounds()).first->second;
    judge.addReport(report, now);
}

RolloutBounds MeshNode::rolloutBounds() const
{
    return { m_context.settings.rollouts.share, m_context.settings.rollouts.slack };
}

std::vector<RolloutJudge::Server> MeshNode::serversOf(const std::string& service) const
{
    std::vector<RolloutJudge::Server> out;
    const auto* info = m_context.directory.service(service);
    if (!info)
        return out;
    for (const auto& it : info->upstreams) {
        if (!it.config.leaving())
            out.push_back({ it.id, it.config.version(), it.config.slots(),
                !m_lostPeers.contains(it.config.node_address()) });
    }
    return out;
}

void MeshNode::judgeRollouts(Instant now)
{
    std::erase_if(m_judges, [&](const auto& it) {
        const auto* rollout = m_context.rollouts.find(it.first);
        return !rollout || isFinal(rollout->phase);
    });
    bool isChanged = false;
    for (auto& [id, judge] : m_judges) {
        const auto& entry = *m_context.rollouts.find(id);
        const auto decision = judge.decide(entry, serversOf(entry.order.service), now);
        if (decision.observedShare)
            m_context.rollouts.raiseObservedShare(id, *decision.observedShare);
        if (!decision.phase)
            continue;
        if (*decision.phase == RolloutPhase::Completed) {
            if (isWriter(id, decision.completableFor))
                m_rolloutStatus->write(entry.order, RolloutOutcome::Completed, now);
            continue;
        }
        log(LogLevel::Info, "rollout-decision",
            { { "service", entry.order.service }, { "phase", nameOf(*decision.phase) },
                { "cause", decision.cause }, { "target_calls", decision.comparison.targetRuns },
                { "age_ms", toMilliseconds(now - entry.orderedAt) } });
        isChanged = m_context.rollouts.advance(id, *decision.phase, decision.cause, now) || isChanged;
    }
    if (isChanged)
        onRolloutsChanged(now);
}

void MeshNode::writeRolloutStatus(Instant now)
{
    for (const auto& [service, entry] : m_context.rollouts.entries()) {
        if (entry.isStatusWritten)
            continue;
        if (isWriter(entry.order.id(), now - entry.phaseSince))
            m_rolloutStatus->write(entry.order, outcomeOf(entry.phase), now);
    }
}

bool MeshNode::isWriter(std::uint64_t rollout, Duration pending) const
{
    const auto writers = rankedNodes(rollout, maxWriters);
    const auto it = std::find(writers.begin(), writers.end(), m_context.settings.name);
    return it != writers.end() && pending >= writeDelayPerRank * (it - writers.begin());
}

void MeshNode::onRolloutStatusWritten(std::uint64_t id, RolloutOutcome outcome, Instant now)
{
    const auto* before = m_context.rollouts.find(id);
    if (!before)
        return;
    const bool wasWritten = before->isStatusWritten;
    const bool isChanged = m_context.rollouts.setStatusWritten(id, outcome, now);
    if (isChanged)
        return onRolloutsChanged(now);
    if (!wasWritten && m_context.rollouts.find(id)->isStatusWritten)
        sendRollouts(now);
}

void MeshNode::setBackendVersion(const std::string& version)
{
    m_context.backendVersion = version;
    m_record.set_version(version);
}

void MeshNode::adoptFormerVersion(const proto::NodeRecord& former, Instant now)
{
    const auto& current = m_announced.current();
    const bool isSameServer = current && !former.version().empty() && current->life.id() == former.upstream()
        && (!current->life.hasBorn() || current->life.born() == former.born());
    if (!isSameServer || !m_context.backendVersion.empty())
        return;
    setBackendVersion(former.version());
    if (m_record.sequence() > 0)
        publish(now);
}

void MeshNode::tickRollouts(Instant now)
{
    if (m_context.rollouts.entries().empty() || now < m_nextRolloutTick)
        return;
    m_nextRolloutTick = now + tickInterval;
    reportOwnVersion(now);
    judgeRollouts(now);
    if (m_context.rollouts.hasRunning()) {
        writeRolloutStatus(now);
        if (now >= m_nextRolloutContact)
            sendRollouts(now);
    }
}

void MeshNode::addRolloutGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_rollouts_running", [this] {
        const auto& entries = m_context.rollouts.entries();
        return double(std::count_if(
            entries.begin(), entries.end(), [](const auto& it) { return !isFinal(it.second.phase); }));
    });
    metrics.gauge("robinrun_rollouts_judged", [this] { return double(m_judges.size()); });
    const auto addCalls = [&](const std::string& outcome, std::function<double()> value) {
        metrics.gauge("robinrun_store_calls_total{kind=\"rollout-status\",outcome=\"" + outcome + "\"}",
            std::move(value));
    };
    addCalls("done", [this] { return double(m_rolloutStatus->calls() - m_rolloutStatus->failures()); });
    addCalls("failed", [this] { return double(m_rolloutStatus->failures()); });
}

} // namespace robinrun
