#include "Queueing/ServerRateLimit.h"

#include "Core/Check.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// From this rate on, the answers to calls show soon enough whether the limit still holds.
    constexpr double minSelfReportingRate = 1;

} // namespace

bool ServerRateLimit::onAnswer(
    RateLimitSource source, std::optional<double> named, Instant askedAt, Instant now)
{
    require(!named || *named >= 0, "ServerRateLimit::onAnswer: the limit must not be negative");
    m_lastNewsAt = now;
    const bool isHealthAnswer = source == RateLimitSource::HealthAnswer;
    m_isNamedByHealthAnswers = m_isNamedByHealthAnswers || (isHealthAnswer && named);
    if (isHealthAnswer && !m_isNamedByHealthAnswers)
        return false;
    m_hasAnswer = true;
    if (!named) {
        if (!m_limit || askedAt < m_namedAt)
            return false;
        m_limit.reset();
        m_liftedAt = now;
        return true;
    }
    if (askedAt < (m_limit ? m_valueAskedAt : m_liftedAt))
        return false;
    m_namedAt = now;
    m_valueAskedAt = askedAt;
    if (m_limit == named)
        return false;
    setLimit(*named, now);
    return true;
}

bool ServerRateLimit::onReport(double limit, Instant heardAt, Instant now)
{
    require(limit >= 0, "ServerRateLimit::onReport: the limit must not be negative");
    if (m_hasAnswer || (m_limit && heardAt <= m_valueAskedAt))
        return false;
    m_namedAt = now;
    m_valueAskedAt = heardAt;
    if (m_limit == limit)
        return false;
    const bool isFirst = !m_limit;
    setLimit(limit, now);
    // The earlier incarnation of the owner may have used up the burst just before it ended.
    if (isFirst)
        m_burstRestoredAt = now + burstDuration + interval();
    return true;
}

void ServerRateLimit::setLimit(double limit, Instant now)
{
    m_limit = limit;
    // A long interval of the previous rate must not delay requests beyond one interval of the new rate.
    m_burstRestoredAt = std::min(m_burstRestoredAt, now + burstDuration + interval());
}

Duration ServerRateLimit::interval() const
{
    // Rounded up, as shorter intervals would exceed the limit.
    return *m_limit > 1 / toSeconds(maxWait) ? fromSeconds(1 / *m_limit) + Duration(1) : maxWait;
}

Instant ServerRateLimit::nextStart(Instant now) const
{
    if (!m_limit)
        return now;
    if (*m_limit > 0)
        return m_burstRestoredAt - burstDuration;
    // Only the answer to a call can show that the limit was lifted.
    return m_isNamedByHealthAnswers ? now + maxWait : m_lastCallAt + askInterval;
}

Duration ServerRateLimit::waitBehind(double requestsAhead, Instant now) const
{
    if (!m_limit)
        return Duration::zero();
    const double secondsAhead = std::min(requestsAhead * toSeconds(interval()), toSeconds(maxWait));
    return std::min(std::max(nextStart(now) - now, Duration::zero()) + fromSeconds(secondsAhead), maxWait);
}

void ServerRateLimit::onCallSent(Instant now)
{
    m_lastCallAt = now;
    if (m_limit)
        useUpOne(now);
}

void ServerRateLimit::onHealthRequestSent(Instant now)
{
    m_lastNewsAt = now;
    if (m_limit && *m_limit >= minSelfReportingRate)
        useUpOne(now);
}

bool ServerRateLimit::needsHealthAnswer(Instant now) const
{
    return m_limit && *m_limit < minSelfReportingRate && now - m_lastNewsAt >= askInterval;
}

} // namespace robinrun
