#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/CallMessages.h"
#include "Node/Owner.h"

#include <algorithm>
#include <utility>

/// \file What an owner notices of crashes of its backend server, and which calls it holds back for crashes
/// anywhere.

namespace robinrun {
namespace {

    /// \returns the numbers that \a numberOf makes of \a items, separated by blanks.
    template <class Items, class F> std::string textOf(const Items& items, F numberOf)
    {
        std::string out;
        for (const auto& it : items)
            out += (out.empty() ? "" : " ") + std::to_string(numberOf(it));
        return out;
    }

} // namespace

CrashSuspect Owner::suspectOf(const CallRecord& record, Instant now) const
{
    const auto content = contentOf(record.call, record.body);
    const auto hash = quickHashOf(content);
    return { contentIdOf(content), now - record.started, m_goodEnds.contains(hash, now), hash };
}

std::vector<CrashSuspect> Owner::runningOn(const HttpPool& pool, Instant now) const
{
    std::vector<CrashSuspect> out;
    for (const auto& [id, record] : m_calls) {
        if (record.isRunning && record.pool == &pool)
            out.push_back(suspectOf(record, now));
    }
    return out;
}

void Owner::noteRunEnd(const CallRecord& record, const Result<HttpReply, HttpError>& result,
    const proto::Answer& answer, Instant now)
{
    if (record.pool != m_pool.get())
        return;
    if (!result.has_value()) {
        if (result.error().kind == HttpErrorKind::Broken)
            onRunBroken(record, now);
        if (result.error().isRefused)
            backendRefused(now);
        return;
    }
    if (answer.outcome() != proto::ANSWERED)
        return;
    m_crashWatch.onAnswer(record.started);
    if (answer.status() < static_cast<std::uint32_t>(httpStatus::firstServerError))
        onRunSucceeded(record, now);
}

void Owner::onRunBroken(const CallRecord& record, Instant now)
{
    // A server that has said it leaves may end with what it still runs.
    if (m_crashWatch.isBreakUnexplained(now) || m_leaving.hasSign(LeavingSign::BackendServer))
        return;
    m_crashWatch.onRunBroken(runningOn(*record.pool, now), now);
    probe(now);
}

void Owner::backendRefused(Instant now)
{
    if (const auto suspects = m_crashWatch.onConnectionRefused(now))
        reportCrash(m_boundUpstream, *suspects, now);
}

void Owner::onRunSucceeded(const CallRecord& record, Instant now)
{
    const auto content = contentOf(record.call, record.body);
    const auto hash = quickHashOf(content);
    m_goodEnds.recordSuccess(hash, now);
    if (!m_context->crashes.mayHaveStrikes(hash))
        return;
    const auto acquittal = m_context->crashes.acquittalOf(contentIdOf(content));
    if (!acquittal)
        return;
    m_context->crashes.applyAcquittal(*acquittal);
    onCrashesChanged(now);
    if (m_tellAcquittal)
        m_tellAcquittal(*acquittal);
}

void Owner::reportCrash(const std::string& life, const std::vector<CrashSuspect>& suspects, Instant now)
{
    proto::CrashReport report;
    report.set_id(m_context->random.bits());
    report.set_upstream(life);
    report.set_at_ms(static_cast<std::uint64_t>(m_context->wallClock()));
    for (const auto& it : suspects) {
        if (static_cast<std::size_t>(report.suspects_size()) == CrashTracker::maxSuspects)
            break;
        auto& suspect = *report.add_suspects();
        suspect.set_content(it.content);
        suspect.set_ran_ms(static_cast<std::uint32_t>(toMilliseconds(it.runTime)));
        suspect.set_ended_well_before(it.hadSucceededBefore);
        suspect.set_quick_hash(it.quickHash);
    }
    log(LogLevel::Warning, "backend-crashed",
        { { "upstream", life }, { "report", report.id() },
            { "suspects", textOf(report.suspects(), [](const auto& it) { return it.content(); }) } });
    m_context->metrics.count("robinrun_backend_crashes_total");
    m_context->crashes.addReport(report, now);
    if (m_tellCrash)
        m_tellCrash(report);
    onCrashesChanged(now);
}

void Owner::onCrashesChanged(Instant now)
{
    auto& ledger = m_context->crashes;
    ledger.updateHolds();
    for (const auto& [content, hold] : ledger.holds()) {
        if (!m_loggedHolds.insert(content).second)
            continue;
        const auto reports = textOf(hold.reportIds, [](std::uint64_t id) { return id; });
        log(LogLevel::Warning, "request-held",
            { { "content", content }, { "shared", hold.isAmbiguous }, { "reports", reports },
                { "retry_after_ms", toMilliseconds(ledger.timeUntilTrial(content, now)) } });
    }
    for (auto it = m_loggedHolds.begin(); it != m_loggedHolds.end();) {
        const bool isHeld = ledger.holds().contains(*it);
        if (!isHeld)
            log(LogLevel::Info, "request-freed", { { "content", *it } });
        it = isHeld ? std::next(it) : m_loggedHolds.erase(it);
    }
    refuseHeld(now);
}

std::optional<Duration> Owner::heldBack(const proto::Call& call, const SharedBody& body, Instant now) const
{
    const auto& ledger = m_context->crashes;
    if (!ledger.hasHolds() || !ledger.mayBeHeld(quickHashOf(contentOf(call, body))))
        return std::nullopt;
    const auto content = contentIdOf(contentOf(call, body));
    const auto verdict = ledger.verdictOf(content, now);
    const bool isFree = verdict == CrashTracker::Verdict::Free
        || (verdict == CrashTracker::Verdict::Trial && mayTry(content));
    return isFree ? std::nullopt : std::optional(ledger.timeUntilTrial(content, now));
}

bool Owner::mayTry(ContentId content) const
{
    if (m_context->directory.trialUpstream(m_serviceId, content) != upstream())
        return false;
    return std::none_of(m_calls.begin(), m_calls.end(),
        [&](const auto& it) { return contentIdOf(contentOf(it.second.call, it.second.body)) == content; });
}

void Owner::refuseHeld(Instant now)
{
    const auto& ledger = m_context->crashes;
    if (!ledger.hasHolds())
        return;
    std::vector<std::pair<std::uint64_t, Duration>> held;
    for (const auto& [id, record] : m_calls) {
        if (record.isRunning || !ledger.mayBeHeld(quickHashOf(contentOf(record.call, record.body))))
            continue;
        const auto content = contentIdOf(contentOf(record.call, record.body));
        if (ledger.verdictOf(content, now) == CrashTracker::Verdict::Held)
            held.emplace_back(id, ledger.timeUntilTrial(content, now));
    }
    for (const auto& [id, length] : held) {
        if (m_admission.cancelWaiting(id))
            refuse({ id, Reason::CrashesServers, length }, now);
    }
}

} // namespace robinrun
