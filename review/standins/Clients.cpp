#include "review/standins/Clients.h"

#include <algorithm>
#include <cstdlib>

namespace robinrun::review {
namespace {

    constexpr int retriesOfClients = 1;
    constexpr double largestWait = 1.0 / 3; ///< of the time left, for Retry-After

    bool isSuccess(int status)
    {
        return status >= 200 && status < 300;
    }

    /// \returns whether \a status promises that the request has not run and never will.
    bool isPromise(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool endsRetries(int status)
    {
        return isSuccess(status) || status == 400 || status == 401 || status == 404 || status == 413
            || status == 431;
    }

} // namespace

Clients::Clients(Site& site, Options options)
    : m_site(&site)
    , m_options(options)
{
    for (std::size_t i = 0; i < site.hosts().size(); ++i)
        m_timers.push_back(
            Timer::repeating(site.base(), fromSeconds(1 / options.perSecond), [this, i] { request(i); }));
}

void Clients::request(std::size_t host)
{
    if (!m_site->getsWork(*m_site->hosts()[host]))
        return;
    constexpr std::uint64_t parts = 20;
    const auto part = static_cast<double>(++m_lastRequest % parts) / parts;
    const bool isForSame = part < m_options.sameShare;
    const Kind kind { isForSame || m_lastRequest % 3 != 0, isForSame };
    attempt(host, kind, monotonicNow() + m_options.deadline, retriesOfClients);
}

void Clients::attempt(std::size_t host, Kind kind, Instant deadline, unsigned retries)
{
    const bool isIdempotent = kind.isIdempotent;
    const auto now = monotonicNow();
    const auto left = deadline - now;
    const auto number = m_attempts.size();
    const auto id = "q" + std::to_string(++m_lastId);
    m_attempts.push_back({ id, m_site->now(), -1, 0, isIdempotent, kind.isForSame });
    HttpPool::Options options;
    options.address = m_site->hosts()[host]->outbound;
    options.connectTimeout = 1s;
    auto pool = std::make_shared<HttpPool>(m_site->base(), options);
    const HttpRequest request { isIdempotent ? "GET" : "POST",
        std::string(isIdempotent ? "/read/" : "/buy/") + (kind.isForSame ? "today" : id),
        { { "Host", "hulo84.example" }, { "X-Robinrun-Request-Id", id },
            { "X-Robinrun-Deadline-Ms", std::to_string(static_cast<int>(toMilliseconds(left))) } },
        isIdempotent ? "" : "deck of " + id };
    m_site->note(
        "sent " + id + " " + request.method + " " + request.target + " to " + m_site->hosts()[host]->name);
    pool->send(request, left + 500ms, [=, this, held = pool](const Result<HttpReply, HttpError>& reply) {
        auto& ended = m_attempts[number];
        ended.endedAt = m_site->now();
        ended.status = reply ? reply.value().status : 0;
        m_site->note("answered " + id + " " + std::to_string(ended.status));
        const bool mayRepeat = isIdempotent || isPromise(ended.status);
        if (!retries || endsRetries(ended.status) || !mayRepeat)
            return;
        Duration wait {};
        const auto stillLeft = deadline - monotonicNow();
        if (reply) {
            const std::string told(findHeader(reply.value().headers, "Retry-After").value_or("0"));
            wait = std::min(fromSeconds(std::strtod(told.c_str(), nullptr)),
                fromSeconds(toSeconds(stillLeft) * largestWait));
        }
        if (stillLeft <= wait + 20ms)
            return;
        m_retries.push_back(Timer::once(m_site->base(), std::max<Duration>(wait, 1ms),
            [=, this] { attempt(host, kind, deadline, retries - 1); }));
        while (m_retries.size() > 1000)
            m_retries.pop_front();
    });
}

std::size_t Clients::sent(double from, double until) const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(),
        [&](const auto& it) { return it.sentAt >= from && it.sentAt < until; }));
}

std::size_t Clients::served(double from, double until) const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(),
        [&](const auto& it) { return it.sentAt >= from && it.sentAt < until && isSuccess(it.status); }));
}

} // namespace robinrun::review
