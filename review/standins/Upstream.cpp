#include "review/standins/Upstream.h"

#include <stdexcept>
#include <utility>

namespace robinrun::review {
namespace {

    constexpr Duration acknowledgedWithin = 1s;

    HttpPool::Options poolOptions(const std::string& address)
    {
        HttpPool::Options options;
        options.address = address;
        options.maxConnections = 2;
        options.connectTimeout = 1s;
        return options;
    }

    std::string headerOf(const HttpRequest& request, const char* name)
    {
        return std::string(findHeader(request.headers, name).value_or(""));
    }

} // namespace

Upstream::Upstream(event_base* base, Options options, OnRun onRun)
    : m_base(base)
    , m_options(std::move(options))
    , m_onRun(std::move(onRun))
    , m_toNode(base, poolOptions(m_options.control))
{
    listen();
    m_first = Timer::once(base, std::max<Duration>(m_options.firstHeartbeat, 1ms), [this] {
        announce();
        m_heartbeat = Timer::repeating(m_base, m_options.heartbeat, [this] { announce(); });
    });
}

void Upstream::listen()
{
    HttpServer::Options server;
    server.address = m_options.address;
    server.maxBody = 64U << 20U;
    auto listening = HttpServer::listen(m_base, server, [this](auto exchange) { take(std::move(exchange)); });
    if (!listening)
        throw std::runtime_error(listening.error());
    m_server = std::move(listening.value());
}

void Upstream::crash()
{
    m_first = Timer();
    m_heartbeat = Timer();
    m_server.reset();
    m_running.clear();
    m_queued.clear();
    m_calls.clear();
}

void Upstream::startAgain(const std::string& id)
{
    m_options.id = id;
    m_sequence = 0;
    listen();
    announce();
    m_heartbeat = Timer::repeating(m_base, m_options.heartbeat, [this] { announce(); });
}

std::string Upstream::load() const
{
    return std::to_string(m_running.size()) + "," + std::to_string(m_queued.size()) + ","
        + std::to_string(m_options.slots) + ",100";
}

void Upstream::announce()
{
    const auto sequence = ++m_sequence;
    const auto body = "{\"address\":\"" + m_options.address + R"(","info":{"service":")" + m_options.service
        + R"(","version":"v1","zone":")" + m_options.zone + R"(","slots":)" + std::to_string(m_options.slots)
        + R"(},"status":{"state":"ready","seq":)" + std::to_string(sequence) + R"(,"warmup_left_ms":0}})";
    m_toNode.send({ "PUT", "/instances/" + m_options.id, { { "Content-Type", "application/json" } }, body },
        acknowledgedWithin, [this, sequence](const Result<HttpReply, HttpError>& reply) {
            if (!reply || reply.value().status < 200 || reply.value().status >= 300)
                return;
            ++m_acknowledged;
            if (m_onAcknowledged)
                m_onAcknowledged(sequence);
        });
}

void Upstream::answerHealth(HttpExchange& exchange)
{
    ++m_healthChecks;
    exchange.reply({ m_saysIll ? 503 : 200,
        { { "X-Robinrun-Instance-Id", m_options.id }, { "X-Robinrun-Server-Load", load() } }, "" });
}

void Upstream::take(std::unique_ptr<HttpExchange> exchange)
{
    const auto& request = exchange->request();
    if (request.target == "/healthz")
        return answerHealth(*exchange);
    const auto id = headerOf(request, "X-Robinrun-Request-Id");
    HttpHeaders headers { { "X-Robinrun-Request-Id", id }, { "X-Robinrun-Instance-Id", m_options.id },
        { "X-Robinrun-Server-Load", load() } };
    if (headerOf(request, "X-Robinrun-Target-Instance") != m_options.id)
        return exchange->reply({ 421, headers, "" });
    const bool isFull = m_running.size() >= m_options.slots && m_queued.size() >= m_options.queue;
    if (id.empty() || isFull) {
        headers.emplace_back("X-Robinrun-Not-Executed", "1");
        return exchange->reply({ id.empty() ? 400 : 503, headers, "" });
    }
    if (m_running.size() >= m_options.slots) {
        auto* queued = exchange.get();
        m_queued.push_back(std::move(exchange));
        queued->onHangUp([this, queued] {
            std::erase_if(m_queued, [queued](const auto& it) { return it.get() == queued; });
        });
        return;
    }
    start(std::move(exchange));
}

void Upstream::start(std::unique_ptr<HttpExchange> exchange)
{
    ++m_runs;
    m_onRun(exchange->request(), m_options.id);
    const auto number = ++m_lastNumber;
    const auto& request = exchange->request();
    const bool isLong = !m_options.longPath.empty() && request.target.starts_with(m_options.longPath);
    const auto id = headerOf(request, "X-Robinrun-Request-Id");
    const auto left
        = std::chrono::milliseconds(std::stoll("0" + headerOf(request, "X-Robinrun-Deadline-Ms")));
    auto timer
        = Timer::once(m_base, isLong ? m_options.longWork : m_options.work, [this, number] { end(number); });
    m_running.emplace(number, std::make_pair(std::move(exchange), std::move(timer)));
    if (isLong)
        callFor(number, id, monotonicNow() + left, 1);
}

void Upstream::callFor(std::uint64_t number, const std::string& requestId, Instant deadline, unsigned count)
{
    const auto now = monotonicNow();
    if (!m_running.contains(number) || deadline - now < 50ms)
        return;
    HttpPool::Options options;
    options.address = m_options.outbound;
    options.connectTimeout = 1s;
    auto pool = std::make_shared<HttpPool>(m_base, options);
    const auto id = requestId + "." + std::to_string(count);
    const auto begin = toSeconds(now.time_since_epoch());
    const auto left = deadline - now;
    pool->send({ "GET", m_options.callPath + id,
                   { { "Host", "hulo84.example" }, { "X-Robinrun-Request-Id", id },
                       { "X-Robinrun-Deadline-Ms", std::to_string(static_cast<int>(toMilliseconds(left))) } },
                   "" },
        left + 500ms, [=, this, held = pool](const Result<HttpReply, HttpError>& reply) {
            const Call call { id, begin, toSeconds(left), toSeconds(monotonicNow().time_since_epoch()),
                reply ? reply.value().status : 0 };
            if (m_onCallEnded)
                m_onCallEnded(call);
            m_calls[number] = Timer::once(m_base, m_options.betweenCalls,
                [=, this] { callFor(number, requestId, deadline, count + 1); });
        });
}

void Upstream::end(std::uint64_t number)
{
    const auto it = m_running.find(number);
    const auto ended = std::move(it->second);
    m_running.erase(it);
    m_calls.erase(number);
    const auto id = headerOf(ended.first->request(), "X-Robinrun-Request-Id");
    ended.first->reply({ 200,
        { { "X-Robinrun-Request-Id", id }, { "X-Robinrun-Server-Signature", m_options.id + "." + id },
            { "X-Robinrun-Server-Load", load() } },
        "done " + id + "\n" });
    if (m_queued.empty())
        return;
    auto next = std::move(m_queued.front());
    m_queued.pop_front();
    next->onHangUp([] {});
    start(std::move(next));
}

} // namespace robinrun::review
