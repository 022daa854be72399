#include "starvation/SlowServer.h"

#include "Http/HttpStatus.h"
#include "starvation/Deployment.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace robinrun::starvation {
namespace {

    constexpr Duration acknowledgedWithin = 1s;
    constexpr Duration heartbeat = 1500ms;
    constexpr double workSpread = 0.3;
    constexpr double percent = 100;

    HttpPool::Options poolOptions(const std::string& address)
    {
        HttpPool::Options options;
        options.address = address;
        options.connectTimeout = 1s;
        return options;
    }

    std::string headerOf(const HttpRequest& request, const char* name)
    {
        return std::string(findHeader(request.headers, name).value_or(""));
    }

    /// \returns the kind of the call by its path; the last one if the path names none.
    const CallKind& kindOf(const std::string& target)
    {
        const auto& kinds = callKinds();
        const auto it = std::find_if(kinds.begin(), kinds.end(),
            [&](const auto& kind) { return target.starts_with("/" + kind.name + "/"); });
        return it == kinds.end() ? kinds.back() : *it;
    }

} // namespace

SlowServer::SlowServer(event_base* base, Options options, std::uint64_t seed, NestedCounts& nested)
    : m_base(base)
    , m_options(std::move(options))
    , m_random(seed)
    , m_nested(&nested)
    , m_toNode(base, poolOptions(m_options.announcements))
    , m_nestedCalls(base, poolOptions(m_options.callers))
{
    HttpServer::Options server;
    server.address = m_options.address;
    auto listening = HttpServer::listen(base, server, [this](auto exchange) { take(std::move(exchange)); });
    if (!listening)
        throw std::runtime_error(listening.error());
    m_server = std::move(listening.value());
    m_heartbeat = Timer::once(base, fromSeconds(toSeconds(heartbeat) * m_random.unit()), [this] {
        announce();
        m_heartbeat = Timer::repeating(m_base, heartbeat, [this] { announce(); });
    });
    m_phase = Timer::repeating(base, m_options.phase,
        [this] { m_slowdown = m_random.chance(m_options.slowShare) ? m_options.slowFactor : 1; });
}

std::string SlowServer::load() const
{
    return std::to_string(m_running.size()) + "," + std::to_string(m_queued.size()) + ","
        + std::to_string(m_options.slots) + "," + std::to_string(static_cast<int>(percent * m_slowdown));
}

void SlowServer::announce()
{
    const auto body = R"({"address":")" + m_options.address + R"(","info":{"service":")" + m_options.service
        + R"(","version":"v1","zone":")" + m_options.dataHall + R"(","slots":)"
        + std::to_string(m_options.slots) + R"(},"status":{"state":"ready","seq":)"
        + std::to_string(++m_sequence) + R"(,"warmup_left_ms":0}})";
    m_toNode.send({ "PUT", "/instances/" + m_options.id, { { "Content-Type", "application/json" } }, body },
        acknowledgedWithin, [](const Result<HttpReply, HttpError>&) {});
}

void SlowServer::take(std::unique_ptr<HttpExchange> exchange)
{
    const auto& request = exchange->request();
    const auto id = headerOf(request, "X-Robinrun-Request-Id");
    HttpHeaders headers { { "X-Robinrun-Request-Id", id }, { "X-Robinrun-Instance-Id", m_options.id },
        { "X-Robinrun-Server-Load", load() } };
    if (request.target == "/healthz")
        return exchange->reply({ httpStatus::ok, headers, "" });
    if (headerOf(request, "X-Robinrun-Target-Instance") != m_options.id)
        return exchange->reply({ httpStatus::misdirected, headers, "" });
    if (m_running.size() < m_options.slots)
        return start(std::move(exchange));
    if (m_queued.size() >= m_options.queue) {
        headers.emplace_back("X-Robinrun-Not-Executed", "1");
        return exchange->reply({ httpStatus::unavailable, headers, "" });
    }
    auto* queued = exchange.get();
    m_queued.push_back(std::move(exchange));
    queued->onHangUp(
        [this, queued] { std::erase_if(m_queued, [queued](const auto& it) { return it.get() == queued; }); });
}

void SlowServer::start(std::unique_ptr<HttpExchange> exchange)
{
    ++m_runs;
    const auto number = ++m_lastNumber;
    const auto& kind = kindOf(exchange->request().target);
    const auto left = std::stoll("0" + headerOf(exchange->request(), "X-Robinrun-Deadline-Ms"));
    auto& run = m_running[number];
    run.exchange = std::move(exchange);
    run.kind = &kind;
    run.deadline = monotonicNow() + std::chrono::milliseconds(left);
    run.nestedLeft = m_random.chance(kind.nestedShare) ? kind.nestedCalls : 0;
    run.exchange->onHangUp([this, number] {
        m_running.erase(number);
        startQueued();
    });
    const auto usual = m_random.logNormal(toSeconds(kind.work), workSpread);
    work(number, fromSeconds(usual * m_slowdown));
}

void SlowServer::work(std::uint64_t number, Duration length)
{
    m_running.at(number).step = Timer::once(m_base, length, [this, number] { callNested(number); });
}

void SlowServer::callNested(std::uint64_t number)
{
    auto& run = m_running.at(number);
    const auto now = monotonicNow();
    if (now >= run.deadline)
        return end(number, httpStatus::gatewayTimeout);
    if (!run.nestedLeft)
        return end(number, httpStatus::ok);
    const auto& inner = callKinds().back();
    const auto id
        = headerOf(run.exchange->request(), "X-Robinrun-Request-Id") + "." + std::to_string(run.nestedLeft--);
    const auto left = std::min(inner.deadline, run.deadline - now);
    ++m_nested->sent;
    m_nestedCalls.send({ "GET", "/" + inner.name + "/" + id,
                           { { "Host", "starvation.example" }, { "X-Robinrun-Request-Id", id },
                               { "X-Robinrun-Deadline-Ms", std::to_string(left / 1ms) } },
                           "" },
        left + acknowledgedWithin, [this, number](const Result<HttpReply, HttpError>& reply) {
            const bool isServed = reply && reply.value().status == httpStatus::ok;
            m_nested->served += isServed ? 1 : 0;
            if (!m_running.contains(number))
                return;
            if (!isServed)
                return end(number, httpStatus::internalError);
            callNested(number);
        });
}

void SlowServer::end(std::uint64_t number, int status)
{
    const auto it = m_running.find(number);
    auto run = std::move(it->second);
    m_running.erase(it);
    run.exchange->onHangUp([] {});
    const auto id = headerOf(run.exchange->request(), "X-Robinrun-Request-Id");
    run.exchange->reply({ status,
        { { "X-Robinrun-Request-Id", id }, { "X-Robinrun-Server-Signature", m_options.id + "." + id },
            { "X-Robinrun-Server-Load", load() } },
        std::string(run.kind->replyBytes, 'x') });
    startQueued();
}

void SlowServer::startQueued()
{
    if (m_queued.empty() || m_running.size() >= m_options.slots)
        return;
    auto next = std::move(m_queued.front());
    m_queued.pop_front();
    start(std::move(next));
}

} // namespace robinrun::starvation
