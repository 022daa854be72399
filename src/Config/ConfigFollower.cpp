#include "Config/ConfigFollower.h"

#include <algorithm>
#include <vector>

namespace robinrun {
namespace {

    using Progress = ConfigFollower::Progress;

    Progress combineProgress(Progress a, Progress b)
    {
        return a == Progress::Advanced || b == Progress::Advanced ? Progress::Advanced : std::max(a, b);
    }

} // namespace

std::uint64_t ConfigFollower::nextReadOffset() const
{
    return m_logState == LogFollowState::Gap ? m_gapNextReadOffset : m_state.nextOffset();
}

void ConfigFollower::onLogReadFailed()
{
    if (m_logState != LogFollowState::Diverged && m_logState != LogFollowState::Gap)
        m_logState = LogFollowState::Unreachable;
}

Progress ConfigFollower::applyLogPage(const LogPage& page)
{
    const bool isOtherLog = !m_logId.empty() && page.logId != m_logId;
    if (isOtherLog || page.end < m_state.nextOffset()) {
        m_logState = LogFollowState::Diverged;
        return Progress::None;
    }
    m_logId = page.logId;
    m_knownLogEnd = page.end;
    if (page.from > m_state.nextOffset())
        return recoverFromGap(page);
    m_logState = LogFollowState::Followed;
    auto progress = Progress::None;
    std::uint64_t offset = page.from;
    for (const auto& it : page.records)
        progress = combineProgress(progress, applyRecord(offset++, it));
    const auto halfOfKeptRecords = (page.end - page.first) / 2;
    m_needsSnapshot = m_state.nextOffset() - m_lastSnapshotOffset >= maxRecordsBetweenSnapshots
        || (page.first > 0 && m_lastSnapshotOffset < page.first + halfOfKeptRecords);
    return progress;
}

Progress ConfigFollower::recoverFromGap(const LogPage& page)
{
    m_logState = LogFollowState::Gap;
    std::uint64_t offset = page.from;
    for (const auto& it : page.records)
        m_recordsAfterGap.emplace(offset++, it);
    m_gapNextReadOffset = std::max(m_gapNextReadOffset, offset);
    std::erase_if(m_recordsAfterGap, [&](const auto& it) { return it.first < page.first; });
    for (const auto& [recordOffset, record] : m_recordsAfterGap) {
        proto::ChangeRecord change;
        if (!change.ParseFromString(record) || !change.has_snapshot())
            continue;
        const auto contentOffset = change.snapshot().next_offset();
        if (!m_recordsAfterGap.contains(contentOffset) || !m_state.restore(change.snapshot()))
            continue;
        m_logState = LogFollowState::Followed;
        const auto records = std::exchange(m_recordsAfterGap, {});
        m_gapNextReadOffset = 0;
        for (const auto& it : records)
            applyRecord(it.first, it.second);
        return Progress::Advanced;
    }
    return Progress::None;
}

Progress ConfigFollower::applyRecord(std::uint64_t offset, const std::string& record)
{
    if (offset < m_state.nextOffset())
        return Progress::None;
    if (offset > m_state.nextOffset())
        return Progress::NeedsEarlierRecords;
    m_state.apply(record);
    proto::ChangeRecord change;
    if (change.ParseFromString(record) && change.has_snapshot())
        m_lastSnapshotOffset = offset;
    m_recentRecords.emplace(offset, record);
    if (m_recentRecords.size() > maxRecentRecords)
        m_recentRecords.erase(m_recentRecords.begin());
    return Progress::Advanced;
}

Progress ConfigFollower::applyPeerRecords(const proto::Records& records)
{
    if (records.log_id().empty() || (!m_logId.empty() && records.log_id() != m_logId))
        return Progress::None;
    m_logId = records.log_id();
    auto progress = Progress::None;
    if (records.has_snapshot() && m_state.restore(records.snapshot())) {
        m_recentRecords.clear();
        progress = Progress::Advanced;
        if (m_logState == LogFollowState::Gap)
            m_logState = LogFollowState::NotYetRead;
        m_recordsAfterGap.clear();
    }
    for (const auto& it : records.records())
        progress = combineProgress(progress, applyRecord(it.offset(), it.payload()));
    m_knownLogEnd = std::max(m_knownLogEnd, m_state.nextOffset());
    return progress;
}

proto::Records ConfigFollower::recordsFrom(std::uint64_t from) const
{
    proto::Records out;
    out.set_log_id(m_logId);
    const bool hasRecords = from >= m_state.nextOffset() || m_recentRecords.contains(from);
    if (!hasRecords) {
        *out.mutable_snapshot() = m_state.snapshot();
        return out;
    }
    for (auto it = m_recentRecords.lower_bound(from); it != m_recentRecords.end(); ++it) {
        auto& record = *out.add_records();
        record.set_offset(it->first);
        record.set_payload(it->second);
    }
    return out;
}

} // namespace robinrun
