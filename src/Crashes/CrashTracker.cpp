#include "Crashes/CrashTracker.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>
#include <unordered_map>

namespace robinrun {
namespace {

    /// Delays before the trials of a held content; the last delay applies to all later trials.
    constexpr std::array<Duration, 3> trialDelays { 10min, 1h, 12h };
    /// A strike that follows the previous one after a longer time came from a trial, because a held content
    /// is not sent in between.
    constexpr Duration trialGap = trialDelays.front() / 2;
    /// Maximum number of cleared strikes whose reports have not arrived yet: a few for each node.
    constexpr std::size_t maxEarlyAcquittals = 1024;

    /// \returns the size of the largest subset of \a runs (begin and end in ms) in which no two overlap.
    std::size_t countDisjoint(std::vector<std::pair<std::int64_t, std::int64_t>> runs)
    {
        std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        std::size_t out = 0;
        auto lastEnd = std::numeric_limits<std::int64_t>::min();
        for (const auto& [begin, end] : runs) {
            if (begin < lastEnd)
                continue;
            ++out;
            lastEnd = end;
        }
        return out;
    }

    /// \returns the strike against \a content; null if there is none.
    template <class Strikes> auto* findStrike(Strikes& strikes, ContentId content)
    {
        const auto it = std::find_if(
            strikes.begin(), strikes.end(), [&](const auto& strike) { return strike.content == content; });
        return it == strikes.end() ? nullptr : &*it;
    }

} // namespace

const CrashTracker::Strike* CrashTracker::findUnclearedStrike(const Report& report, ContentId content)
{
    const auto* out = findStrike(report.strikes, content);
    return out && !out->isCleared ? out : nullptr;
}

bool CrashTracker::addReport(const proto::CrashReport& report, Instant now)
{
    if (m_reports.contains(report.id()))
        return false;
    Report out { static_cast<std::int64_t>(report.at_ms()), now, {} };
    for (const auto& it : report.suspects()) {
        const Duration runTime = std::chrono::milliseconds(it.ran_ms());
        if (auto* duplicate = findStrike(out.strikes, it.content())) {
            duplicate->runTime = std::max(duplicate->runTime, runTime);
            continue;
        }
        const bool isCleared = m_earlyAcquittals.erase({ it.content(), report.id() }) > 0;
        out.strikes.push_back({ it.content(), runTime, it.quick_hash(), it.ended_well_before(), isCleared });
    }
    m_reports.emplace(report.id(), std::move(out));
    m_reportOrder.push_back(report.id());
    evictExcessReports();
    return true;
}

bool CrashTracker::applyAcquittal(const proto::CrashAcquittal& acquittal)
{
    bool hasClearedStrike = false;
    for (const auto id : acquittal.reports()) {
        const auto report = m_reports.find(id);
        if (report == m_reports.end()) {
            if (m_earlyAcquittals.size() < maxEarlyAcquittals)
                m_earlyAcquittals.insert({ acquittal.content(), id });
            continue;
        }
        auto* strike = findStrike(report->second.strikes, acquittal.content());
        if (strike && !std::exchange(strike->isCleared, true))
            hasClearedStrike = true;
    }
    if (!hasClearedStrike)
        return false;
    // The success does not clear strikes of reports it does not name; these must still be enough for a hold.
    if (makeCandidate(acquittal.content(), true).strikeCount < m_options.strikesToHold)
        m_holds.erase(acquittal.content());
    return true;
}

std::optional<proto::CrashAcquittal> CrashTracker::acquittalOf(ContentId content) const
{
    proto::CrashAcquittal out;
    out.set_content(content);
    for (const auto& [id, report] : m_reports) {
        if (findUnclearedStrike(report, content))
            out.add_reports(id);
    }
    return out.reports_size() > 0 ? std::optional(out) : std::nullopt;
}

void CrashTracker::forgetOldReports(Instant now)
{
    bool hasForgotten = false;
    while (!m_reportOrder.empty()
        && now - m_reports.at(m_reportOrder.front()).receivedAt > m_options.reportRetention) {
        m_reports.erase(m_reportOrder.front());
        m_reportOrder.pop_front();
        hasForgotten = true;
    }
    if (hasForgotten)
        updateHolds();
}

bool CrashTracker::isExplainedByHold(const Report& report, ContentId content) const
{
    return std::any_of(report.strikes.begin(), report.strikes.end(), [&](const auto& it) {
        return it.content != content && !it.isCleared && m_holds.contains(it.content);
    });
}

CrashTracker::Candidate CrashTracker::makeCandidate(ContentId content, bool includesExplained) const
{
    Candidate out { content, 0, false, {} };
    std::vector<std::pair<std::int64_t, std::int64_t>> runs;
    for (const auto& [id, report] : m_reports) {
        const auto* strike = findUnclearedStrike(report, content);
        if (!strike || (!includesExplained && isExplainedByHold(report, content)))
            continue;
        out.reportIds.push_back(id);
        out.hadSucceededBefore = out.hadSucceededBefore || strike->hadSucceededBefore;
        runs.emplace_back(report.crashedAtMs - strike->runTime.count() / 1000, report.crashedAtMs);
    }
    out.strikeCount = countDisjoint(std::move(runs));
    return out;
}

std::vector<CrashTracker::Candidate> CrashTracker::findCandidates() const
{
    // Counting first keeps a flood of new contents cheap, as hardly any of these has enough strikes.
    std::unordered_map<ContentId, std::size_t> strikes;
    for (const auto& [id, report] : m_reports) {
        for (const auto& it : report.strikes)
            strikes[it.content] += it.isCleared ? 0 : 1;
    }
    std::vector<Candidate> out;
    for (const auto& [it, n] : strikes) {
        if (n < m_options.strikesToHold || m_holds.contains(it))
            continue;
        auto candidate = makeCandidate(it, false);
        const auto strikesNeeded
            = candidate.hadSucceededBefore ? m_options.strikesToHoldIfSucceeded : m_options.strikesToHold;
        if (candidate.strikeCount >= strikesNeeded)
            out.push_back(std::move(candidate));
    }
    return out;
}

void CrashTracker::updateHolds()
{
    freeClearedContents();
    holdLikelyCauses();
    scheduleTrials();
    rebuildHashSets();
}

void CrashTracker::rebuildHashSets()
{
    m_strikeHashes.clear();
    m_heldHashes.clear();
    for (const auto& [id, report] : m_reports) {
        for (const auto& it : report.strikes) {
            if (!it.isCleared)
                m_strikeHashes.insert(it.quickHash);
            if (m_holds.contains(it.content))
                m_heldHashes.insert(it.quickHash);
        }
    }
}

void CrashTracker::holdLikelyCauses()
{
    while (true) {
        const auto candidates = findCandidates();
        if (candidates.empty())
            return;
        // A content that never succeeded is the likelier cause, then the one that ran at the most crashes.
        const auto isLikelierCause = [](const Candidate& a, const Candidate& b) {
            return std::make_tuple(a.hadSucceededBefore, b.strikeCount, a.content)
                < std::make_tuple(b.hadSucceededBefore, a.strikeCount, b.content);
        };
        addHolds(*std::min_element(candidates.begin(), candidates.end(), isLikelierCause), candidates);
    }
}

void CrashTracker::addHolds(const Candidate& likeliest, const std::vector<Candidate>& candidates)
{
    std::vector<const Candidate*> indistinguishable;
    for (const auto& it : candidates) {
        if (it.reportIds == likeliest.reportIds && it.hadSucceededBefore == likeliest.hadSucceededBefore)
            indistinguishable.push_back(&it);
    }
    for (const auto* it : indistinguishable)
        m_holds[it->content].reportIds = it->reportIds;
}

void CrashTracker::freeClearedContents()
{
    std::erase_if(m_holds, [&](const auto& it) { return makeCandidate(it.first, true).reportIds.empty(); });
}

void CrashTracker::evictExcessReports()
{
    while (m_reportOrder.size() > m_options.maxReports) {
        const auto causesHold = [&](std::uint64_t id) {
            const auto& strikes = m_reports.at(id).strikes;
            return std::any_of(strikes.begin(), strikes.end(),
                [&](const auto& it) { return !it.isCleared && m_holds.contains(it.content); });
        };
        auto it = std::find_if_not(m_reportOrder.begin(), m_reportOrder.end(), causesHold);
        if (it == m_reportOrder.end())
            it = m_reportOrder.begin();
        m_reports.erase(*it);
        m_reportOrder.erase(it);
        freeClearedContents();
    }
}

std::vector<Instant> CrashTracker::strikeTimes(ContentId content) const
{
    std::vector<Instant> out;
    for (const auto& [id, report] : m_reports) {
        if (findUnclearedStrike(report, content))
            out.push_back(report.receivedAt);
    }
    std::sort(out.begin(), out.end());
    return out;
}

void CrashTracker::scheduleTrials()
{
    for (auto& [content, hold] : m_holds) {
        hold.isAmbiguous = makeCandidate(content, false).strikeCount < m_options.strikesToHold;
        const auto times = strikeTimes(content);
        std::size_t trialCount = 0;
        for (std::size_t i = 1; i < times.size(); ++i)
            trialCount += times[i] - times[i - 1] > trialGap ? 1 : 0;
        const auto regularDelay = trialDelays[std::min(trialCount, trialDelays.size() - 1)];
        hold.trialAt = times.back() + (hold.isAmbiguous ? m_options.ambiguousTrialDelay : regularDelay);
    }
}

Duration CrashTracker::timeUntilTrial(ContentId content, Instant now) const
{
    const auto it = m_holds.find(content);
    return it == m_holds.end() ? Duration::zero() : std::max(it->second.trialAt - now, Duration::zero());
}

CrashTracker::Verdict CrashTracker::verdictOf(ContentId content, Instant now) const
{
    if (!m_holds.contains(content))
        return Verdict::Free;
    return timeUntilTrial(content, now) > Duration::zero() ? Verdict::Held : Verdict::Trial;
}

std::size_t CrashTracker::strikeCount(ContentId content) const
{
    return makeCandidate(content, m_holds.contains(content)).strikeCount;
}

std::optional<std::string> trialHostOf(ContentId content, const std::vector<std::string>& hosts)
{
    const auto it = std::max_element(hosts.begin(), hosts.end(),
        [&](const auto& a, const auto& b) { return hash64(a, content) < hash64(b, content); });
    return it == hosts.end() ? std::nullopt : std::optional(*it);
}

} // namespace robinrun
