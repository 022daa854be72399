#include "Rollout/RolloutJudge.h"

#include "Rollout/RolloutSchedule.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace robinrun {
namespace {

    /// A report older than this says nothing of the calls that are in flight now.
    constexpr Duration reportLifetime = 1500ms;
    /// Reports are awaited for this long before the calls a second are computed from them.
    constexpr Duration rateMeasureTime = 1500ms;
    /// Part of the servers whose reports are needed for that.
    constexpr double rateReportPart = 0.75;
    /// Runs of the target version that are enough to promote it before RolloutSchedule's latest promotion.
    constexpr std::uint64_t wantedRuns = 30;
    /// The target version is promoted once its slots are this part of the former version's.
    constexpr double neededSlotPart = 0.5;

    std::uint64_t runsOf(const ServerCounts& routes)
    {
        return std::accumulate(routes.begin(), routes.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const auto& it) { return sum + it.second.answers + it.second.cutOff; });
    }

} // namespace

void RolloutJudge::addReport(const proto::VersionReport& report, Instant now)
{
    if (report.phase() >= countOf<RolloutPhase>())
        return;
    auto& known = m_reports[report.upstream()];
    auto routes = VersionEvidence::routesOf(report);
    known.version = report.version();
    known.inFlight = report.in_flight();
    known.phase = static_cast<RolloutPhase>(report.phase());
    known.receivedAt = now;
    // A node that was restarted counts from 0 again: what was known before holds until it knows as much.
    if (runsOf(routes) >= runsOf(known.routes))
        known.routes = std::move(routes);
}

VersionComparison RolloutJudge::compare() const
{
    std::vector<ServerCounts> former;
    std::vector<ServerCounts> target;
    for (const auto& [upstream, report] : m_reports) {
        if (report.version.empty())
            continue;
        auto& servers = report.version == m_order.targetVersion ? target : former;
        servers.push_back(report.routes);
    }
    return compareVersions(former, target);
}

RolloutJudge::Decision RolloutJudge::decide(
    const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now)
{
    Decision out;
    out.comparison = compare();
    if (isFinal(entry.phase))
        return out;
    if (out.comparison.verdict == VersionVerdict::Worse) {
        out.phase = RolloutPhase::RolledBack;
        out.cause = out.comparison.cause;
        return out;
    }
    const auto phaseAge = now - entry.phaseSince;
    switch (entry.phase) {
    case RolloutPhase::Observing:
        return decideObserving(entry, servers, now);
    case RolloutPhase::Promoting:
        if (phaseAge >= rolloutSchedule::promotionTime(m_order))
            out.phase = RolloutPhase::Switching;
        return out;
    case RolloutPhase::Switching:
        if (!isCompletable(entry, servers, now)) {
            m_completableSince.reset();
            return out;
        }
        m_completableSince = m_completableSince.value_or(now);
        out.phase = RolloutPhase::Completed;
        out.completableFor = now - *m_completableSince;
        return out;
    case RolloutPhase::RolledBack:
    case RolloutPhase::Completed:
        break;
    }
    return out;
}

RolloutJudge::Decision RolloutJudge::decideObserving(
    const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now)
{
    Decision out;
    out.comparison = compare();
    const auto age = now - entry.orderedAt;
    if (age >= rolloutSchedule::latestDecision(m_order)) {
        out.phase = RolloutPhase::RolledBack;
        out.cause = out.comparison.verdict == VersionVerdict::Suspect
            ? out.comparison.cause + ", not certain"
            : "too few calls or servers to compare in the time allowed";
        return out;
    }
    out.observedShare = shareFor(entry, servers, now);
    const bool isLate = age >= rolloutSchedule::latestPromotion(m_order);
    const bool hasRuns = out.comparison.targetRuns >= wantedRuns || isLate;
    const bool isComparable = out.comparison.verdict == VersionVerdict::Comparable;
    if (age >= rolloutSchedule::observationTime(m_order) && isComparable && hasRuns
        && hasCapacity(entry, servers))
        out.phase = RolloutPhase::Promoting;
    return out;
}

bool RolloutJudge::hasCapacity(const RolloutTable::Entry& entry, std::span<const Server> servers) const
{
    double target = 0;
    double former = 0;
    for (const auto& it : servers)
        (entry.isTarget(it.version) ? target : former) += it.slots;
    return target > 0 && target >= neededSlotPart * former;
}

std::optional<double> RolloutJudge::shareFor(
    const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now)
{
    const auto age = now - entry.orderedAt;
    const bool hasReports
        = static_cast<double>(m_reports.size()) >= rateReportPart * static_cast<double>(servers.size());
    if (m_hasSetShare || age < rateMeasureTime || !hasReports)
        return std::nullopt;
    m_hasSetShare = true;
    std::uint64_t runs = 0;
    for (const auto& [upstream, report] : m_reports)
        runs += runsOf(report.routes);
    return rolloutSchedule::observedShare(m_order, m_bounds, static_cast<double>(runs) / toSeconds(age));
}

bool RolloutJudge::isCompletable(
    const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now) const
{
    return isFormerIdle(entry, servers, now)
        || now - entry.phaseSince >= rolloutSchedule::longestSwitch(m_order);
}

bool RolloutJudge::isFormerIdle(
    const RolloutTable::Entry& entry, std::span<const Server> servers, Instant now) const
{
    return std::all_of(servers.begin(), servers.end(), [&](const Server& it) {
        if (entry.isTarget(it.version) || !it.isReachable)
            return true;
        const auto known = m_reports.find(it.upstream);
        return known != m_reports.end() && now - known->second.receivedAt < reportLifetime
            && known->second.phase >= RolloutPhase::Switching && known->second.inFlight == 0;
    });
}

} // namespace robinrun
