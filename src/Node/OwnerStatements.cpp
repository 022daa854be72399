#include "Core/BackendLife.h"
#include "Core/Log.h"
#include "Node/Owner.h"

#include <string>
#include <utility>

/// \file What the backend server states about itself in its answers, and what an owner makes of it.

namespace robinrun {
namespace {

    constexpr std::size_t loggedBytes = 64;

    /// Ingresses are told of a limit that has changed by this factor. Smaller changes come with each answer.
    constexpr double tellFactor = 1.5;

    bool isToldAgain(std::optional<double> told, std::optional<double> present)
    {
        if (!told || !present)
            return told != present;
        return *present > *told * tellFactor || *present * tellFactor < *told;
    }

} // namespace

void Owner::takeStatement(const BackendStatement& statement, const StatementOrigin& origin, Instant now)
{
    logHeaderFaults(statement, origin.requestId);
    if (statement.isLeaving)
        serverLeaves(origin, now);
    if (!statement.isRateLimitReadable)
        return;
    const auto before = serverLimit();
    if (m_admission.rateLimit().onAnswer(origin.source, statement.rateLimit, origin.askedAt, now))
        rateLimitChanged(before, origin, now);
}

void Owner::rateLimitChanged(std::optional<double> before, const StatementOrigin& origin, Instant now)
{
    logRateLimit(before, origin);
    if (isToldAgain(m_toldServerLimit, serverLimit())) {
        m_toldServerLimit = serverLimit();
        sendLoad(now);
    }
    act(m_admission.refuseCallsMissingDeadline(now), now);
    act(m_admission.startReadyCalls(now), now);
}

void Owner::takeHealthStatement(const ProbeNews& news, const HttpPool* pool, Instant askedAt, Instant now)
{
    const bool isOfThisLife = pool == m_pool.get()
        && (news.upstream.empty() || news.upstream == BackendLife::fromKey(upstream()).id());
    if (news.isReachable && isOfThisLife)
        takeStatement(news.statement, { RateLimitSource::HealthAnswer, askedAt, "" }, now);
}

void Owner::onHealthAnswerRateLimit(double limit, Instant now)
{
    BackendStatement statement;
    statement.rateLimit = limit;
    takeStatement(statement, { RateLimitSource::HealthAnswer, now, "" }, now);
}

void Owner::takeReportedLimit(const proto::Call& call, Instant now)
{
    if (!call.limit_age_ms() || !m_pool || !isMeantBy(call.upstream()))
        return;
    if (!(call.limit_per_s() >= 0)) { // also not a number
        log(LogLevel::Warning, "foreign-entry",
            { { "kind", "call" }, { "entry", call.upstream() },
                { "fault", "limit_per_s: must not be negative" } });
        return;
    }
    const auto heardAt = now - std::chrono::milliseconds(call.limit_age_ms() - 1);
    const auto before = serverLimit();
    if (m_admission.rateLimit().onReport(call.limit_per_s(), heardAt, now))
        rateLimitChanged(before, { RateLimitSource::Ingress, heardAt, call.request_id() }, now);
}

void Owner::logHeaderFaults(const BackendStatement& statement, std::string_view requestId)
{
    std::string text;
    for (const auto& it : statement.faults)
        text += it.field + ":" + it.value + "\n";
    // A server that repeats itself is logged once.
    if (text.empty() || text == std::exchange(m_loggedHeaderFaults, text))
        return;
    for (const auto& it : statement.faults) {
        log(LogLevel::Warning, "header-unreadable",
            { { "upstream", upstream() }, { "field", it.field }, { "value", it.value.substr(0, loggedBytes) },
                { "fault", it.fault }, { "request", requestId } });
    }
}

void Owner::logRateLimit(std::optional<double> before, const StatementOrigin& origin) const
{
    log(LogLevel::Info, serverLimit() ? "server-limit-named" : "server-limit-lifted",
        { { "upstream", upstream() }, { "limit_per_s", serverLimit().value_or(noServerLimit) },
            { "before", before.value_or(noServerLimit) }, { "source", nameOf(origin.source) },
            { "request", origin.requestId } });
}

void Owner::serverLeaves(const StatementOrigin& origin, Instant now)
{
    if (std::exchange(m_isServerLeaving, true))
        return;
    log(LogLevel::Info, "server-leaving",
        { { "upstream", upstream() }, { "source", nameOf(origin.source) }, { "request", origin.requestId } });
    setSign(LeavingSign::BackendServer, true, now);
    if (m_tellServerLeaving)
        m_tellServerLeaving();
}

} // namespace robinrun
