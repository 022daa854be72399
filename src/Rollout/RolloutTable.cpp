#include "Rollout/RolloutTable.h"

#include "Core/Hash.h"
#include "Core/Log.h"
#include "Rollout/RolloutSchedule.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace robinrun {
namespace {

    constexpr double permille = 1000;
    constexpr std::size_t maxNameBytes = 255;
    /// No order allows more time.
    constexpr std::uint64_t maxDurationMs = std::uint64_t { 30 } * 24 * 3600 * 1000;

    /// Ages in messages are bounded, so that no sum of times overflows.
    Duration ageOf(std::uint64_t ms)
    {
        return std::chrono::milliseconds(std::min(ms, maxDurationMs));
    }

    std::uint64_t toAgeMs(Duration age)
    {
        return static_cast<std::uint64_t>(std::max(toMilliseconds(age), 0.0));
    }

    bool isPlausible(const proto::RolloutRecord& record)
    {
        return !record.service().empty() && record.service().size() <= maxNameBytes
            && !record.target_version().empty() && record.target_version().size() <= maxNameBytes
            && record.duration_ms() > 0 && record.duration_ms() <= maxDurationMs
            && record.phase() < countOf<RolloutPhase>();
    }

    void logPhase(const RolloutTable::Entry& entry)
    {
        log(LogLevel::Info, "rollout-phase",
            { { "service", entry.order.service }, { "target_version", entry.order.targetVersion },
                { "order_offset", entry.order.position.offset }, { "phase", nameOf(entry.phase) },
                { "cause", entry.cause } });
    }

} // namespace

double RolloutTable::Entry::shareAt(Instant now) const
{
    return rolloutSchedule::targetShare(order, phase, now - phaseSince, observedShare);
}

void RolloutTable::setPhase(Entry& entry, RolloutPhase phase, const std::string& cause, Instant since)
{
    entry.isStatusWritten = entry.isStatusWritten && outcomeOf(phase) == outcomeOf(entry.phase);
    entry.phase = phase;
    entry.phaseSince = since;
    entry.cause = cause;
    logPhase(entry);
}

bool RolloutTable::replace(const RolloutOrder& order, Instant orderedAt, Instant now)
{
    const auto it = m_entries.find(order.service);
    if (it != m_entries.end()) {
        auto& known = it->second.order;
        if (known.id() == order.id()) {
            known.position = std::max(known.position, order.position);
            return false;
        }
        if (order.position <= known.position)
            return false;
    }
    auto& entry = m_entries[order.service];
    entry = {};
    entry.order = order;
    entry.orderedAt = orderedAt;
    entry.observedShare = rolloutSchedule::observedShare(order, m_bounds, 0);
    setPhase(entry, RolloutPhase::Observing, "", now);
    return true;
}

bool RolloutTable::withdraw(Entry& entry, Instant now)
{
    if (isFinal(entry.phase))
        return false;
    setPhase(entry, RolloutPhase::RolledBack, "the order was withdrawn", now);
    return true;
}

bool RolloutTable::applyPage(const KeyedPage& page, const Parsers& parsers, Instant now)
{
    bool isChanged = false;
    std::set<std::string> present;
    for (const auto& it : page.records) {
        const auto service = parsers.parseKey(it.key);
        if (!service)
            continue;
        if (it.value.empty()) {
            const auto known = m_entries.find(*service);
            if (known != m_entries.end() && known->second.order.position < it.at)
                isChanged |= withdraw(known->second, now);
            continue;
        }
        present.insert(*service);
        auto order = parsers.readOrder(*service, it.value);
        if (!order) {
            parsers.onUnreadable(*service, order.error());
            continue;
        }
        order.value().position = it.at;
        isChanged |= replace(order.value(), now, now);
    }
    if (!page.isWhole)
        return isChanged;
    for (auto& [service, entry] : m_entries) {
        const bool isOfPageEra = entry.order.position.era == page.next.era;
        const bool isOlder = entry.order.position < page.next;
        if (isOfPageEra && isOlder && !present.contains(service))
            isChanged |= withdraw(entry, now);
    }
    return isChanged;
}

bool RolloutTable::applyRecord(const proto::RolloutRecord& record, Instant now)
{
    if (!isPlausible(record))
        return false;
    RolloutOrder order;
    order.service = record.service();
    order.targetVersion = record.target_version();
    order.duration = std::chrono::milliseconds(record.duration_ms());
    order.position = { record.at().era(), record.at().offset() };
    bool isChanged = replace(order, now - ageOf(record.age_ms()), now);
    const auto it = m_entries.find(order.service);
    auto& entry = it->second;
    if (entry.order.id() != order.id())
        return isChanged;
    entry.orderedAt = std::min(entry.orderedAt, now - ageOf(record.age_ms()));
    const auto phase = static_cast<RolloutPhase>(record.phase());
    const auto phaseSince = now - ageOf(record.phase_age_ms());
    if (phase > entry.phase) {
        setPhase(entry, phase, record.cause().substr(0, maxNameBytes), phaseSince);
        isChanged = true;
    }
    if (phase != entry.phase)
        return isChanged;
    entry.phaseSince = std::min(entry.phaseSince, phaseSince);
    const double share = std::min(record.share_permille() / permille, 1.0);
    entry.observedShare = std::max(entry.observedShare, share);
    if (record.status_written() && !entry.isStatusWritten) {
        entry.isStatusWritten = true;
        isChanged = true;
    }
    return isChanged;
}

bool RolloutTable::advance(std::uint64_t id, RolloutPhase phase, const std::string& cause, Instant now)
{
    auto* entry = findEntry(id);
    if (!entry || phase <= entry->phase || isFinal(entry->phase))
        return false;
    setPhase(*entry, phase, cause, now);
    return true;
}

void RolloutTable::raiseObservedShare(std::uint64_t id, double share)
{
    if (auto* entry = findEntry(id))
        entry->observedShare = std::max(entry->observedShare, share);
}

bool RolloutTable::setStatusWritten(std::uint64_t id, RolloutOutcome outcome, Instant now)
{
    auto* entry = findEntry(id);
    if (!entry)
        return false;
    const bool isChanged = outcome != outcomeOf(entry->phase) && outcome != RolloutOutcome::Running;
    if (isChanged) {
        const bool isCompleted = outcome == RolloutOutcome::Completed;
        setPhase(*entry, isCompleted ? RolloutPhase::Completed : RolloutPhase::RolledBack,
            "the store holds it", now);
    }
    entry->isStatusWritten = outcome == outcomeOf(entry->phase);
    return isChanged;
}

void RolloutTable::forgetWrittenStatus()
{
    for (auto& [service, entry] : m_entries)
        entry.isStatusWritten = false;
}

RolloutTable::Entry* RolloutTable::findEntry(std::uint64_t id)
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(),
        [id](const auto& entry) { return entry.second.order.id() == id; });
    return it == m_entries.end() ? nullptr : &it->second;
}

const RolloutTable::Entry* RolloutTable::find(std::string_view service) const
{
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? nullptr : &it->second;
}

const RolloutTable::Entry* RolloutTable::find(std::uint64_t id) const
{
    return const_cast<RolloutTable*>(this)->findEntry(id);
}

const RolloutTable::Entry* RolloutTable::findRestricting(std::string_view service, Instant now) const
{
    const auto* entry = find(service);
    if (!entry)
        return nullptr;
    const bool isOver
        = entry->phase == RolloutPhase::Completed && now - entry->phaseSince > completedRestriction;
    return isOver ? nullptr : entry;
}

bool RolloutTable::hasRunning() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [](const auto& it) { return !isFinal(it.second.phase) || !it.second.isStatusWritten; });
}

std::uint64_t RolloutTable::digest() const
{
    std::uint64_t out = 1;
    for (const auto& [service, entry] : m_entries) {
        const auto state = std::to_string(static_cast<int>(entry.phase)) + (entry.isStatusWritten ? "w" : "");
        out = hash64(state, out ^ entry.order.id());
    }
    return out | 1U;
}

proto::RolloutRecords RolloutTable::records(bool isWhole, Instant now) const
{
    proto::RolloutRecords out;
    for (const auto& [service, entry] : m_entries) {
        const bool isOld = isFinal(entry.phase) && now - entry.phaseSince > finalTellTime;
        if (isOld && !isWhole)
            continue;
        auto& record = *out.add_records();
        record.set_service(service);
        record.set_target_version(entry.order.targetVersion);
        record.set_duration_ms(toAgeMs(entry.order.duration));
        record.mutable_at()->set_era(entry.order.position.era);
        record.mutable_at()->set_offset(entry.order.position.offset);
        record.set_phase(static_cast<std::uint32_t>(entry.phase));
        record.set_age_ms(toAgeMs(now - entry.orderedAt));
        record.set_phase_age_ms(toAgeMs(now - entry.phaseSince));
        record.set_share_permille(static_cast<std::uint32_t>(entry.observedShare * permille));
        record.set_status_written(entry.isStatusWritten);
        record.set_cause(entry.cause);
    }
    return out;
}

} // namespace robinrun
