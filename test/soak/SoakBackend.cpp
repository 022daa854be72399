#include "soak/SoakBackend.h"

#include "Core/Time.h"
#include "Http/HttpStatus.h"

#include <algorithm>
#include <utility>

namespace robinrun::soak {
namespace {

    using namespace httpStatus;
    constexpr Duration heartbeatEvery = 400ms;
    constexpr Duration acknowledgedWithin = 1s;
    /// The users let a request arrive this long after its leave was acknowledged.
    constexpr Duration drainBound = 2s;
    constexpr Duration servesOn = 3s;
    constexpr Duration saysLeavingFor = 5s; ///< beyond the time in which calls may still arrive
    constexpr Duration untilNextStart = 200ms;
    constexpr Duration downAfterCrash = 600ms;

    HttpPool::Options poolOptions(const std::string& address)
    {
        HttpPool::Options options;
        options.address = address;
        options.maxConnections = 1;
        return options;
    }

} // namespace

SoakBackend::SoakBackend(event_base* base, Options options, Ledger& ledger)
    : m_base(base)
    , m_options(std::move(options))
    , m_ledger(&ledger)
    , m_pool(base, poolOptions(m_options.announcements))
{
    start();
}

void SoakBackend::start()
{
    crash(); // whatever was there
    ++m_starts;
    m_upstream = "i-" + m_options.name + (m_options.keepsId ? "" : "-" + std::to_string(m_starts));
    m_born = std::max(m_born + 1, wallClockMs());
    m_sequence = 0;
    m_running = 0;
    m_isLeaving = false;
    m_saysLeaving = false;
    m_limit.clear();
    m_leaveAcknowledged.reset();
    m_work.clear();
    HttpServer::Options options;
    options.address = m_options.address;
    auto server = HttpServer::listen(m_base, options, [this](auto it) { take(std::move(it)); });
    if (!server) {
        // A connection of another process has got the port for a while.
        m_end = Timer::once(m_base, untilNextStart, [this] { start(); });
        return;
    }
    m_server = std::move(server.value());
    announce();
    m_heartbeat = Timer::repeating(m_base, heartbeatEvery, [this] { announce(); });
}

void SoakBackend::crash()
{
    m_heartbeat = {};
    m_end = {};
    m_work.clear();
    m_server.reset();
}

void SoakBackend::crashUnder()
{
    m_ledger->crashed(poisonTarget, m_isCalm);
    // Not from within its own timer.
    m_end = Timer::once(m_base, Duration::zero(), [this] {
        crash();
        m_end = Timer::once(m_base, downAfterCrash, [this] { start(); });
    });
}

void SoakBackend::replace()
{
    if (std::exchange(m_isLeaving, true) || !m_server)
        return;
    announce();
    endAfter(servesOn + acknowledgedWithin); // also without an acknowledgement
}

void SoakBackend::replaceByAnswers()
{
    if (std::exchange(m_saysLeaving, true) || !m_server)
        return;
    endAfter(saysLeavingFor);
}

void SoakBackend::endAfter(Duration delay)
{
    m_end = Timer::once(m_base, delay, [this] {
        crash();
        m_end = Timer::once(m_base, untilNextStart, [this] { start(); });
    });
}

void SoakBackend::setLimit(std::string limit)
{
    m_limit = std::move(limit);
    m_ledger->limitChanged(life(), m_limit.empty() ? std::nullopt : std::optional(std::stod(m_limit)));
}

void SoakBackend::announce()
{
    const std::string state = m_isLeaving ? "draining" : "ready";
    const auto born = m_options.keepsId ? R"("born":)" + std::to_string(m_born) + "," : "";
    const auto body = "{" + born + R"("address":")" + m_options.address + R"(","info":{"service":")"
        + m_options.service + R"(","version":"v1","zone":"z","slots":)" + std::to_string(m_options.slots)
        + R"(},"status":{"state":")" + state + R"(","seq":)" + std::to_string(++m_sequence)
        + R"(,"warmup_left_ms":0}})";
    m_pool.send({ "PUT", "/instances/" + m_upstream, {}, body }, acknowledgedWithin,
        [this, start = m_starts, isLeaving = m_isLeaving](const Result<HttpReply, HttpError>& reply) {
            const bool isAcknowledged = reply && reply.value().status < firstRedirect;
            if (isAcknowledged && isLeaving && start == m_starts && !m_leaveAcknowledged)
                m_leaveAcknowledged = monotonicNow();
        });
}

void SoakBackend::announceForeign(const std::string& body)
{
    m_pool.send(
        { "PUT", "/instances/" + m_upstream, {}, body }, acknowledgedWithin, [this](const auto& reply) {
            if (reply && reply.value().status < firstRedirect)
                m_ledger->broken("an announcement of another writer was taken: " + m_upstream);
        });
}

HttpHeaders SoakBackend::loadHeaders(const std::string& requestId) const
{
    const auto load = std::to_string(m_running) + ",0," + std::to_string(m_options.slots) + ","
        + std::to_string(static_cast<int>(m_slowdown * 100));
    HttpHeaders out { { "X-Robinrun-Request-Id", requestId }, { "X-Robinrun-Instance-Id", m_upstream },
        { "X-Robinrun-Server-Load", load } };
    if (!m_limit.empty())
        out.emplace_back("Server-Limit", m_limit);
    if (m_saysLeaving)
        out.emplace_back("Server-Leaving", "1");
    return out;
}

void SoakBackend::take(std::unique_ptr<HttpExchange> exchange)
{
    const auto& request = exchange->request();
    const auto id = headerOf(request.headers, "X-Robinrun-Request-Id");
    if (request.target == "/healthz")
        return exchange->reply({ m_isLeaving ? unavailable : ok, loadHeaders(id), "" });
    if (headerOf(request.headers, "X-Robinrun-Target-Instance") != m_upstream)
        return exchange->reply({ misdirected, loadHeaders(id), "" });
    m_ledger->arrived(id, life());
    if (m_isFull || m_running >= m_options.slots) {
        auto headers = loadHeaders(id);
        headers.emplace_back("X-Robinrun-Not-Executed", "full");
        return exchange->reply({ unavailable, headers, "" });
    }
    const auto now = monotonicNow();
    if (m_leaveAcknowledged && now - *m_leaveAcknowledged > drainBound)
        m_ledger->ranAfterLeave(id, m_upstream, now - *m_leaveAcknowledged);
    run(std::move(exchange));
}

void SoakBackend::run(std::unique_ptr<HttpExchange> exchange)
{
    if (m_onRun)
        m_onRun();
    m_ledger->ran(exchange->request(), m_upstream, m_options.service);
    ++m_running;
    const auto number = ++m_lastRun;
    const std::shared_ptr<HttpExchange> held = std::move(exchange);
    m_work.emplace_back(
        number, Timer::once(m_base, fromSeconds(toSeconds(m_options.work) * m_slowdown), [=, this] {
            --m_running;
            if (held->request().target == poisonTarget)
                return crashUnder();
            const auto id = headerOf(held->request().headers, "X-Robinrun-Request-Id");
            auto headers = loadHeaders(id);
            headers.emplace_back("X-Robinrun-Server-Signature", "s." + life());
            held->reply({ ok, headers, Ledger::bodyFor(id, m_upstream) });
            std::erase_if(m_work, [&](const auto& it) { return it.first == number; });
        }));
}

} // namespace robinrun::soak
