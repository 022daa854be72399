#include "Config/ConfigFollower.h"

#include <algorithm>
#include <vector>

namespace robinrun {
namespace {

    using Progress = ConfigFollower::Progress;

    Progress better(Progress a, Progress b)
    {
        return a == Progress::Advanced || b == Progress::Advanced ? Progress::Advanced : std::max(a, b);
    }

} // namespace

std::uint64_t ConfigFollower::readFrom() const
{
    return m_standing == LogStanding::Gap ? m_gapReadFrom : m_state.nextOffset();
}

void ConfigFollower::logFailed()
{
    if (m_standing != LogStanding::Shorter && m_standing != LogStanding::Gap)
        m_standing = LogStanding::Unreachable;
}

Progress ConfigFollower::takePage(const LogPage& page)
{
    const bool isOther = !m_logId.empty() && page.logId != m_logId;
    if (isOther || page.end < m_state.nextOffset()) {
        m_standing = LogStanding::Shorter;
        return Progress::None;
    }
    m_logId = page.logId;
    m_knownEnd = page.end;
    if (page.from > m_state.nextOffset())
        return bridgeGap(page);
    m_standing = LogStanding::Followed;
    auto progress = Progress::None;
    std::uint64_t offset = page.from;
    for (const auto& it : page.records)
        progress = better(progress, applyFrom(offset++, it));
    const auto halfOfKept = (page.end - page.first) / 2;
    m_needsSnapshot = m_state.nextOffset() - m_lastSnapshot >= snapshotEvery
        || (page.first > 0 && m_lastSnapshot < page.first + halfOfKept);
    return progress;
}

Progress ConfigFollower::bridgeGap(const LogPage& page)
{
    m_standing = LogStanding::Gap;
    std::uint64_t offset = page.from;
    for (const auto& it : page.records)
        m_gapRecords.emplace(offset++, it);
    m_gapReadFrom = std::max(m_gapReadFrom, offset);
    std::erase_if(m_gapRecords, [&](const auto& it) { return it.first < page.first; });
    for (const auto& [at, record] : m_gapRecords) {
        proto::ChangeRecord change;
        if (!change.ParseFromString(record) || !change.has_snapshot())
            continue;
        const auto start = change.snapshot().next_offset();
        if (!m_gapRecords.contains(start) || !m_state.restore(change.snapshot()))
            continue;
        m_standing = LogStanding::Followed;
        const auto records = std::exchange(m_gapRecords, {});
        m_gapReadFrom = 0;
        for (const auto& it : records)
            applyFrom(it.first, it.second);
        return Progress::Advanced;
    }
    return Progress::None;
}

Progress ConfigFollower::applyFrom(std::uint64_t offset, const std::string& record)
{
    if (offset < m_state.nextOffset())
        return Progress::None;
    if (offset > m_state.nextOffset())
        return Progress::NeedsEarlier;
    m_state.apply(record);
    proto::ChangeRecord change;
    if (change.ParseFromString(record) && change.has_snapshot())
        m_lastSnapshot = offset;
    m_held.emplace(offset, record);
    if (m_held.size() > heldRecords)
        m_held.erase(m_held.begin());
    return Progress::Advanced;
}

Progress ConfigFollower::takeRecords(const proto::Records& records)
{
    if (records.log_id().empty() || (!m_logId.empty() && records.log_id() != m_logId))
        return Progress::None;
    m_logId = records.log_id();
    auto progress = Progress::None;
    if (records.has_snapshot() && m_state.restore(records.snapshot())) {
        m_held.clear();
        progress = Progress::Advanced;
        if (m_standing == LogStanding::Gap)
            m_standing = LogStanding::Unread;
        m_gapRecords.clear();
    }
    for (const auto& it : records.records())
        progress = better(progress, applyFrom(it.offset(), it.payload()));
    m_knownEnd = std::max(m_knownEnd, m_state.nextOffset());
    return progress;
}

proto::Records ConfigFollower::recordsFrom(std::uint64_t from) const
{
    proto::Records out;
    out.set_log_id(m_logId);
    const bool isHeld = from >= m_state.nextOffset() || m_held.contains(from);
    if (!isHeld) {
        *out.mutable_snapshot() = m_state.snapshot();
        return out;
    }
    for (auto it = m_held.lower_bound(from); it != m_held.end(); ++it) {
        auto& record = *out.add_records();
        record.set_offset(it->first);
        record.set_payload(it->second);
    }
    return out;
}

} // namespace robinrun
