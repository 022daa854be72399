#include "Mesh/CrashRecords.h"

#include <algorithm>
#include <cstddef>

namespace robinrun::crashRecords {
namespace {

    /// Times beyond 2^53 ms cannot come from a clock.
    constexpr std::uint64_t maxUnixMs = std::uint64_t { 1 } << 53U;

    template <class Items> void keepLast(Items& items, std::size_t n)
    {
        const auto size = static_cast<std::size_t>(items.size());
        if (size > n)
            items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(size - n));
    }

    std::string tooManyEntriesError(const std::string& field, std::size_t limit)
    {
        return field + ": must have at most " + std::to_string(limit) + " entries";
    }

    template <class Items> bool hasMoreThan(const Items& items, std::size_t n)
    {
        return static_cast<std::size_t>(items.size()) > n;
    }

} // namespace

bool add(proto::NodeRecord& record, const proto::CrashReport& report)
{
    const auto& known = record.crashes();
    if (std::any_of(known.begin(), known.end(), [&](const auto& it) { return it.id() == report.id(); }))
        return false;
    *record.add_crashes() = report;
    keepLast(*record.mutable_crashes(), maxReports);
    return true;
}

void add(proto::NodeRecord& record, const proto::CrashAcquittal& acquittal)
{
    auto& known = *record.mutable_acquittals();
    const auto it = std::find_if(known.begin(), known.end(),
        [&](const auto& former) { return former.content() == acquittal.content(); });
    // The reports listed before are already cleared. Each node either has received them or will not count
    // them, so the new list is appended.
    if (it != known.end())
        it->MergeFrom(acquittal);
    else
        *record.add_acquittals() = acquittal;
    for (auto& entry : known)
        keepLast(*entry.mutable_reports(), maxClearedReports);
    keepLast(known, maxAcquittals);
}

bool mergeIntoTracker(const proto::NodeRecord& record, CrashTracker& tracker, Instant now)
{
    bool isChanged = false;
    for (const auto& it : record.crashes())
        isChanged = tracker.addReport(it, now) || isChanged;
    for (const auto& it : record.acquittals())
        isChanged = tracker.applyAcquittal(it) || isChanged;
    return isChanged;
}

std::string validationError(const proto::NodeRecord& record)
{
    if (hasMoreThan(record.crashes(), maxReports))
        return tooManyEntriesError("crashes", maxReports);
    for (const auto& it : record.crashes()) {
        if (hasMoreThan(it.suspects(), CrashTracker::maxSuspects))
            return tooManyEntriesError("crashes.suspects", CrashTracker::maxSuspects);
        if (it.at_ms() > maxUnixMs)
            return "crashes.at_ms: must be at most 2^53";
    }
    if (hasMoreThan(record.acquittals(), maxAcquittals))
        return tooManyEntriesError("acquittals", maxAcquittals);
    for (const auto& it : record.acquittals()) {
        if (hasMoreThan(it.reports(), maxClearedReports))
            return tooManyEntriesError("acquittals.reports", maxClearedReports);
    }
    return "";
}

} // namespace robinrun::crashRecords
