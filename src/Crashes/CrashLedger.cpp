#include "Crashes/CrashLedger.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>
#include <unordered_map>

namespace robinrun {
namespace {

    /// How long a content is held back before each trial; the last one goes on.
    constexpr std::array<Duration, 3> holdTimes { 10min, 1h, 12h };
    /// A strike so long after the one before is that of a trial: nothing was sent in between.
    constexpr Duration betweenBouts = holdTimes.front() / 2;
    /// Acquittals whose reports have not come: a few of each node's last ones.
    constexpr std::size_t longestAhead = 1024;

    /// \returns how many of \a runs, given by begin and end, did not overlap with each other at most.
    std::size_t countDisjoint(std::vector<std::pair<std::int64_t, std::int64_t>> runs)
    {
        std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        std::size_t out = 0;
        auto last = std::numeric_limits<std::int64_t>::min();
        for (const auto& [begin, end] : runs) {
            if (begin < last)
                continue;
            ++out;
            last = end;
        }
        return out;
    }

    /// \returns the one of \a strikes that is against \a content; null if there is none.
    template <class Strikes> auto* findContent(Strikes& strikes, ContentId content)
    {
        const auto it = std::find_if(
            strikes.begin(), strikes.end(), [&](const auto& strike) { return strike.content == content; });
        return it == strikes.end() ? nullptr : &*it;
    }

} // namespace

const CrashLedger::Strike* CrashLedger::strikeOf(const Report& report, ContentId content)
{
    const auto* out = findContent(report.strikes, content);
    return out && !out->isCleared ? out : nullptr;
}

bool CrashLedger::take(const proto::CrashReport& report, Instant now)
{
    if (m_reports.contains(report.id()))
        return false;
    Report out { static_cast<std::int64_t>(report.at_ms()), now, {} };
    for (const auto& it : report.suspects()) {
        const Duration ran = std::chrono::milliseconds(it.ran_ms());
        if (auto* same = findContent(out.strikes, it.content())) {
            same->ran = std::max(same->ran, ran);
            continue;
        }
        const bool isCleared = m_acquittedAhead.erase({ it.content(), report.id() }) > 0;
        out.strikes.push_back({ it.content(), ran, it.quick_hash(), it.ended_well_before(), isCleared });
    }
    m_reports.emplace(report.id(), std::move(out));
    m_order.push_back(report.id());
    makeRoom();
    return true;
}

bool CrashLedger::acquit(const proto::CrashAcquittal& acquittal)
{
    bool isNews = false;
    for (const auto id : acquittal.reports()) {
        const auto report = m_reports.find(id);
        if (report == m_reports.end()) {
            if (m_acquittedAhead.size() < longestAhead)
                m_acquittedAhead.insert({ acquittal.content(), id });
            continue;
        }
        auto* strike = findContent(report->second.strikes, acquittal.content());
        if (strike && !std::exchange(strike->isCleared, true))
            isNews = true;
    }
    if (!isNews)
        return false;
    // It has ended well: what is left against it counts as for any other.
    if (candidateOf(acquittal.content(), true).count < m_options.strikes)
        m_holds.erase(acquittal.content());
    return true;
}

std::optional<proto::CrashAcquittal> CrashLedger::acquittalOf(ContentId content) const
{
    proto::CrashAcquittal out;
    out.set_content(content);
    for (const auto& [id, report] : m_reports) {
        if (strikeOf(report, content))
            out.add_reports(id);
    }
    return out.reports_size() > 0 ? std::optional(out) : std::nullopt;
}

void CrashLedger::tick(Instant now)
{
    bool isOlder = false;
    while (!m_order.empty() && now - m_reports.at(m_order.front()).heard > m_options.memory) {
        m_reports.erase(m_order.front());
        m_order.pop_front();
        isOlder = true;
    }
    if (isOlder)
        judge();
}

bool CrashLedger::isExplained(const Report& report, ContentId content) const
{
    return std::any_of(report.strikes.begin(), report.strikes.end(), [&](const auto& it) {
        return it.content != content && !it.isCleared && m_holds.contains(it.content);
    });
}

CrashLedger::Candidate CrashLedger::candidateOf(ContentId content, bool isAll) const
{
    Candidate out { content, 0, false, {} };
    std::vector<std::pair<std::int64_t, std::int64_t>> runs;
    for (const auto& [id, report] : m_reports) {
        const auto* strike = strikeOf(report, content);
        if (!strike || (!isAll && isExplained(report, content)))
            continue;
        out.reports.push_back(id);
        out.wasServed = out.wasServed || strike->wasServed;
        runs.emplace_back(report.atMs - strike->ran.count() / 1000, report.atMs);
    }
    out.count = countDisjoint(std::move(runs));
    return out;
}

std::vector<CrashLedger::Candidate> CrashLedger::candidates() const
{
    // Of a flood of contents that are new each time hardly any has enough strikes to be looked at.
    std::unordered_map<ContentId, std::size_t> strikes;
    for (const auto& [id, report] : m_reports) {
        for (const auto& it : report.strikes)
            strikes[it.content] += it.isCleared ? 0 : 1;
    }
    std::vector<Candidate> out;
    for (const auto& [it, n] : strikes) {
        if (n < m_options.strikes || m_holds.contains(it))
            continue;
        auto candidate = candidateOf(it, false);
        const auto enough = candidate.wasServed ? m_options.strikesIfServed : m_options.strikes;
        if (candidate.count >= enough)
            out.push_back(std::move(candidate));
    }
    return out;
}

void CrashLedger::judge()
{
    freeCleared();
    holdAll();
    setTrials();
    collectHashes();
}

void CrashLedger::collectHashes()
{
    m_struckHashes.clear();
    m_heldHashes.clear();
    for (const auto& [id, report] : m_reports) {
        for (const auto& it : report.strikes) {
            if (!it.isCleared)
                m_struckHashes.insert(it.quickHash);
            if (m_holds.contains(it.content))
                m_heldHashes.insert(it.quickHash);
        }
    }
}

void CrashLedger::holdAll()
{
    while (true) {
        const auto all = candidates();
        if (all.empty())
            return;
        // What never ended well goes first, then what ran at most crashes.
        const auto isBetter = [](const Candidate& a, const Candidate& b) {
            return std::make_tuple(a.wasServed, b.count, a.content)
                < std::make_tuple(b.wasServed, a.count, b.content);
        };
        hold(*std::min_element(all.begin(), all.end(), isBetter), all);
    }
}

void CrashLedger::hold(const Candidate& best, const std::vector<Candidate>& all)
{
    std::vector<const Candidate*> alike;
    for (const auto& it : all) {
        if (it.reports == best.reports && it.wasServed == best.wasServed)
            alike.push_back(&it);
    }
    for (const auto* it : alike)
        m_holds[it->content].reports = it->reports;
}

void CrashLedger::freeCleared()
{
    std::erase_if(m_holds, [&](const auto& it) { return candidateOf(it.first, true).reports.empty(); });
}

void CrashLedger::makeRoom()
{
    while (m_order.size() > m_options.reports) {
        const auto holdsBack = [&](std::uint64_t id) {
            const auto& strikes = m_reports.at(id).strikes;
            return std::any_of(strikes.begin(), strikes.end(),
                [&](const auto& it) { return !it.isCleared && m_holds.contains(it.content); });
        };
        auto it = std::find_if_not(m_order.begin(), m_order.end(), holdsBack);
        if (it == m_order.end())
            it = m_order.begin();
        m_reports.erase(*it);
        m_order.erase(it);
        freeCleared();
    }
}

std::vector<Instant> CrashLedger::strikeTimes(ContentId content) const
{
    std::vector<Instant> out;
    for (const auto& [id, report] : m_reports) {
        if (strikeOf(report, content))
            out.push_back(report.heard);
    }
    std::sort(out.begin(), out.end());
    return out;
}

void CrashLedger::setTrials()
{
    for (auto& [content, hold] : m_holds) {
        hold.isShared = candidateOf(content, false).count < m_options.strikes;
        const auto times = strikeTimes(content);
        std::size_t bouts = 0;
        for (std::size_t i = 1; i < times.size(); ++i)
            bouts += times[i] - times[i - 1] > betweenBouts ? 1 : 0;
        const auto usual = holdTimes[std::min(bouts, holdTimes.size() - 1)];
        hold.trialAt = times.back() + (hold.isShared ? m_options.trialIfShared : usual);
    }
}

Duration CrashLedger::untilTrial(ContentId content, Instant now) const
{
    const auto it = m_holds.find(content);
    return it == m_holds.end() ? Duration::zero() : std::max(it->second.trialAt - now, Duration::zero());
}

CrashLedger::Verdict CrashLedger::verdictOf(ContentId content, Instant now) const
{
    if (!m_holds.contains(content))
        return Verdict::Free;
    return untilTrial(content, now) > Duration::zero() ? Verdict::Held : Verdict::Trial;
}

std::size_t CrashLedger::strikesOf(ContentId content) const
{
    return candidateOf(content, m_holds.contains(content)).count;
}

std::optional<std::string> trialHostOf(ContentId content, const std::vector<std::string>& hosts)
{
    const auto it = std::max_element(hosts.begin(), hosts.end(),
        [&](const auto& a, const auto& b) { return hash64(a, content) < hash64(b, content); });
    return it == hosts.end() ? std::nullopt : std::optional(*it);
}

} // namespace robinrun
