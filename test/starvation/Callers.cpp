#include "starvation/Callers.h"

#include "Http/HttpStatus.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace robinrun::starvation {
namespace {

    constexpr double longestWaitFraction = 1.0 / 3; ///< Of the time left, for Retry-After.
    constexpr Duration leastTimeLeft = 20ms;
    constexpr Duration answerMargin = 500ms;
    constexpr Duration connectTimeout = 1s;

    HttpPool::Options poolOptions(const std::string& address)
    {
        HttpPool::Options options;
        options.address = address;
        options.connectTimeout = connectTimeout;
        return options;
    }

    /// \returns whether \a status promises that the request has not run.
    bool promisesNotRun(int status)
    {
        return status == 408 || status == httpStatus::misdirected || status == httpStatus::tooMany
            || status == httpStatus::unavailable;
    }

    bool endsRequest(int status)
    {
        return (status >= httpStatus::ok && status < httpStatus::firstRedirect)
            || status == httpStatus::badRequest || status == httpStatus::unauthorized
            || status == httpStatus::notFound || status == httpStatus::bodyTooLarge
            || status == httpStatus::headersTooLarge;
    }

    /// \returns how long the caller waits before it comes back.
    Duration retryDelay(const HttpReply& reply, Duration left)
    {
        const std::string told(findHeader(reply.headers, "Retry-After").value_or("0"));
        const auto longest = fromSeconds(toSeconds(left) * longestWaitFraction);
        return std::min(fromSeconds(std::strtod(told.c_str(), nullptr)), longest);
    }

    Reply replyOf(const Result<HttpReply, HttpError>& reply)
    {
        if (!reply)
            return { 0, "no answer" };
        const std::string reason(
            findHeader(reply.value().headers, "Robinrun-Reason").value_or("of the server"));
        return { reply.value().status, reason };
    }

} // namespace

Callers::Callers(Deployment& deployment, Options options, std::uint64_t seed)
    : m_deployment(&deployment)
    , m_options(options)
    , m_random(seed)
{
    double sum = 0;
    for (const auto& it : deployment.groups()) {
        sum += it.callsPerSecond / deployment.plan().callsPerSecond;
        m_groupShares.push_back(sum);
    }
    if (m_options.placement == CallerPlacement::FixedHosts) {
        // Each group has a caller at least.
        for (std::size_t i = 0; i < deployment.groups().size(); ++i)
            m_callers.push_back({ m_random.below(deployment.hosts().size()), i });
        while (m_callers.size() < m_options.callers)
            m_callers.push_back({ m_random.below(deployment.hosts().size()), pickGroup() });
    }
    scheduleNext();
}

std::size_t Callers::pickGroup()
{
    const auto it = std::lower_bound(m_groupShares.begin(), m_groupShares.end(), m_random.unit());
    return std::min<std::size_t>(
        static_cast<std::size_t>(it - m_groupShares.begin()), m_groupShares.size() - 1);
}

void Callers::scheduleNext()
{
    const double mean = 1 / m_deployment->plan().callsPerSecond;
    const auto delay = fromSeconds(m_random.exponential(mean));
    m_next = Timer::once(m_deployment->base(), delay, [this] {
        scheduleNext();
        call();
    });
}

void Callers::call()
{
    Request out;
    out.group = pickGroup();
    out.host = m_random.below(m_deployment->hosts().size());
    if (m_callers.empty()) {
        while (m_deployment->hosts()[out.host]->isLost)
            out.host = m_random.below(m_deployment->hosts().size());
    } else {
        std::vector<std::size_t> hosts;
        for (const auto& it : m_callers) {
            if (it.group == out.group && !m_deployment->hosts()[it.host]->isLost)
                hosts.push_back(it.host);
        }
        if (hosts.empty())
            return;
        out.host = hosts[m_random.below(hosts.size())];
    }
    auto dice = m_random.unit();
    for (const auto& it : callKinds()) {
        out.kind = &it;
        dice -= it.shareOfCalls;
        if (dice < 0)
            break;
    }
    if (!out.kind->shareOfCalls)
        out.kind = &callKinds().front();
    out.deadline = monotonicNow() + out.kind->deadline;
    out.retriesLeft = m_options.retries;
    attempt(out);
}

HttpPool& Callers::poolOf(std::size_t host)
{
    auto& pool = m_pools[host];
    if (!pool)
        pool = std::make_unique<HttpPool>(
            m_deployment->base(), poolOptions(m_deployment->hosts()[host]->callers));
    return *pool;
}

void Callers::attempt(const Request& request)
{
    const auto left = request.deadline - monotonicNow();
    const auto& group = m_deployment->groups()[request.group];
    const auto id = "q" + std::to_string(++m_lastId);
    const HttpRequest http { request.kind->isRepeatable ? "GET" : "POST", "/" + request.kind->name + "/" + id,
        { { "Host", "starvation.example" }, { "X-Robinrun-Request-Id", id },
            { "Authorization", "Bearer " + group.key },
            { "X-Robinrun-Deadline-Ms", std::to_string(left / 1ms) } },
        request.kind->isRepeatable ? "" : "body of " + id };
    const auto& host = *m_deployment->hosts()[request.host];
    if (request.retriesLeft == m_options.retries) {
        poolOf(request.host)
            .send(http, left + answerMargin,
                [this, request](const Result<HttpReply, HttpError>& reply) { ended(request, reply); });
        return;
    }
    auto pool = std::make_shared<HttpPool>(m_deployment->base(), poolOptions(host.callers));
    pool->send(http, left + answerMargin,
        [this, request, pool](const Result<HttpReply, HttpError>& reply) { ended(request, reply); });
}

void Callers::ended(Request request, const Result<HttpReply, HttpError>& reply)
{
    request.last = replyOf(reply);
    const auto left = request.deadline - monotonicNow();
    const bool mayRepeat = request.kind->isRepeatable || promisesNotRun(request.last.status);
    const auto delay = reply ? retryDelay(reply.value(), left) : Duration::zero();
    if (!request.retriesLeft || endsRequest(request.last.status) || !mayRepeat
        || left <= delay + leastTimeLeft) {
        m_counts.add(m_deployment->groups()[request.group].name, m_deployment->hosts()[request.host]->name,
            request.kind->name, request.last);
        return;
    }
    --request.retriesLeft;
    const auto number = ++m_lastRetry;
    m_retries[number]
        = Timer::once(m_deployment->base(), std::max<Duration>(delay, 1ms), [this, number, request] {
              m_retries.erase(number);
              attempt(request);
          });
}

} // namespace robinrun::starvation
