#include "Mesh/MeshNode.h"

#include <utility>

/// \file What a mesh node tells of crashes of backend servers, and what waits until it has heard of those
/// before.

namespace robinrun {
namespace {

    /// A node that starts learns of crashes from the store or a contact before it sends calls; if it hears of
    /// neither for so long, it serves.
    constexpr Duration longestUninformed = 1500ms;
    /// A store that answers no read for so long is written to without one.
    constexpr Duration longestWriteHold = 5s;
    /// Acquittals that come together are told together; a few strikes clear no sooner than it takes to
    /// collect them.
    constexpr Duration acquittalDelay = 100ms;

} // namespace

void MeshNode::publishCrash(const proto::CrashReport& report)
{
    crashRecords::add(m_record, report);
    publish(monotonicNow());
}

void MeshNode::publishAcquittal(const proto::CrashAcquittal& acquittal)
{
    crashRecords::add(m_record, acquittal);
    if (std::exchange(m_isAcquittalPending, true))
        return;
    // The store does not need them: without one, a strike counts that a good end clears again.
    m_acquittalTimer = Timer::once(m_context.base, acquittalDelay, [this] {
        m_isAcquittalPending = false;
        gossipRecord(monotonicNow());
    });
}

void MeshNode::adoptFormerCrashes(const proto::NodeRecord& former, Instant now)
{
    bool isNews = false;
    for (const auto& it : former.crashes())
        isNews = crashRecords::add(m_record, it) || isNews;
    if (isNews)
        publish(now);
}

void MeshNode::writeRecord(Instant now)
{
    // What a former life of this node wrote there is gone once this is: first that is read. A store that
    // answers no read is written to all the same after a while.
    if (m_nodesFeed->isCaughtUp() || now - m_started > longestWriteHold)
        m_isWriteHeld = false;
    if (!m_isWriteHeld)
        m_writer->setValue(m_record.SerializeAsString());
}

void MeshNode::onCrashRecordsChanged(Instant now)
{
    if (std::exchange(m_isCrashNews, false))
        m_owner->onCrashesChanged(now);
    if (m_isWriteHeld && m_record.sequence() > 0 && !m_provisionalTimer.isSet())
        writeRecord(now);
    const bool hasHeardAll = (m_nodesFeed->isCaughtUp() || m_hasComparedRecords) && m_hasHeardRollouts;
    const bool isInformed = hasHeardAll || now - m_started > longestUninformed;
    if (m_config.hasConfiguration() && isInformed)
        m_ingress->setConfigured(true);
}

} // namespace robinrun
