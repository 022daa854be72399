#include "Mesh/CrashNews.h"

#include <algorithm>
#include <cstddef>

namespace robinrun::crashNews {
namespace {

    /// A time in ms beyond this is none that a clock shows.
    constexpr std::uint64_t latestMs = std::uint64_t { 1 } << 53U;

    template <class Items> void keepLast(Items& items, std::size_t n)
    {
        const auto size = static_cast<std::size_t>(items.size());
        if (size > n)
            items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(size - n));
    }

    std::string tooMany(const std::string& field, std::size_t most)
    {
        return field + ": has more than " + std::to_string(most) + " entries";
    }

    template <class Items> bool isMoreThan(const Items& items, std::size_t n)
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
    keepLast(*record.mutable_crashes(), keptReports);
    return true;
}

void add(proto::NodeRecord& record, const proto::CrashAcquittal& acquittal)
{
    auto& known = *record.mutable_acquittals();
    const auto it = std::find_if(known.begin(), known.end(),
        [&](const auto& former) { return former.content() == acquittal.content(); });
    // What an earlier one named is cleared, and every node has heard it or will not count it.
    if (it != known.end())
        it->MergeFrom(acquittal);
    else
        *record.add_acquittals() = acquittal;
    for (auto& each : known)
        keepLast(*each.mutable_reports(), keptClearings);
    keepLast(known, keptAcquittals);
}

bool take(const proto::NodeRecord& record, CrashTracker& ledger, Instant now)
{
    bool isNews = false;
    for (const auto& it : record.crashes())
        isNews = ledger.addReport(it, now) || isNews;
    for (const auto& it : record.acquittals())
        isNews = ledger.applyAcquittal(it) || isNews;
    return isNews;
}

std::string faultOf(const proto::NodeRecord& record)
{
    if (isMoreThan(record.crashes(), keptReports))
        return tooMany("crashes", keptReports);
    for (const auto& it : record.crashes()) {
        if (isMoreThan(it.suspects(), CrashTracker::maxSuspects))
            return tooMany("crashes.suspects", CrashTracker::maxSuspects);
        if (it.at_ms() > latestMs)
            return "crashes.at_ms: must be at most 2^53";
    }
    if (isMoreThan(record.acquittals(), keptAcquittals))
        return tooMany("acquittals", keptAcquittals);
    for (const auto& it : record.acquittals()) {
        if (isMoreThan(it.reports(), keptClearings))
            return tooMany("acquittals.reports", keptClearings);
    }
    return "";
}

} // namespace robinrun::crashNews
