#include "Http/HttpPool.h"

#include "Core/Check.h"
#include "Core/internal/Timeval.h"
#include "Http/internal/ClientConnection.h"

#include <algorithm>

namespace robinrun {

HttpPool::Exchange::~Exchange()
{
    if (timer)
        event_free(timer);
}

HttpPool::HttpPool(event_base* base, Options options)
    : m_base(base)
    , m_options(std::move(options))
{
    require(splitAddress(m_options.address, m_ip, m_port), "HttpPool: address is ip:port");
    m_deferEvent = event_new(
        base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<HttpPool*>(self)->runDeferred(); },
        this);
}

HttpPool::~HttpPool()
{
    *m_isAlive = false;
    event_free(m_deferEvent);
}

void HttpPool::defer(std::function<void()> f)
{
    m_deferred.push_back(std::move(f));
    event_active(m_deferEvent, EV_TIMEOUT, 0);
}

void HttpPool::runDeferred()
{
    const auto isAlive = m_isAlive;
    for (const auto& it : std::exchange(m_deferred, {})) {
        if (*isAlive)
            it();
    }
}

void HttpPool::discard(std::unique_ptr<internal::ClientConnection> connection)
{
    --m_connections;
    // It may be in a callback of its own: it is freed on the next turn.
    defer([held = std::make_shared<std::unique_ptr<internal::ClientConnection>>(std::move(connection))] {});
}

std::uint64_t HttpPool::send(const HttpRequest& request, SendOptions options, Done done)
{
    const auto number = ++m_lastNumber;
    if (!internal::isMethod(request.method)) {
        defer([done = std::move(done)] { done(failure(HttpError { HttpErrorKind::BadRequest })); });
        return number;
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->number = number;
    exchange->request = request;
    exchange->done = std::move(done);
    exchange->pool = this;
    const auto onTimeout = [](evutil_socket_t, short, void* self) {
        auto* late = static_cast<Exchange*>(self);
        late->pool->timedOut(late->number);
    };
    exchange->timer = event_new(m_base, -1, EV_TIMEOUT, onTimeout, exchange.get());
    const auto tv = internal::toTimeval(options.timeout);
    event_add(exchange->timer, &tv);
    exchange->options = std::move(options);
    if (attachConnection(*exchange))
        start(std::move(exchange));
    else
        m_queue.push_back(std::move(exchange));
    return number;
}

bool HttpPool::attachConnection(Exchange& exchange)
{
    // The last used connection has rested least: if it is too old, all are.
    const auto now = monotonicNow();
    while (!m_idle.empty() && m_idle.back()->rested(now) <= exchange.options.longestRest) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isQuiet()) {
            exchange.connection = std::move(connection);
            return true;
        }
        discard(std::move(connection));
    }
    if (m_connections >= m_options.maxConnections && !m_idle.empty()) {
        discard(std::move(m_idle.front()));
        m_idle.erase(m_idle.begin());
    }
    if (m_connections >= m_options.maxConnections)
        return false;
    ++m_connections;
    ++m_opened;
    exchange.connection = std::make_unique<internal::ClientConnection>(*this, m_ip, m_port);
    return true;
}

void HttpPool::start(std::unique_ptr<Exchange> exchange)
{
    auto* raw = exchange.get();
    m_exchanges.emplace(raw->number, std::move(exchange));
    const auto host = findHeader(raw->request.headers, "Host");
    raw->connection->send(raw->number, raw->request, host ? *host : std::string_view(m_options.address),
        std::move(raw->options.isOurs), raw->options.body);
    raw->request = {};
    raw->options.body = nullptr;
}

void HttpPool::finished(
    std::uint64_t number, Result<HttpReply, HttpError> result, bool isReusable, Duration rest)
{
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end())
        return;
    const auto owned = std::move(it->second);
    m_exchanges.erase(it);
    event_del(owned->timer);
    if (isReusable && rest > Duration::zero()) {
        owned->connection->rest(rest, monotonicNow());
        m_idle.push_back(std::move(owned->connection));
    } else {
        discard(std::move(owned->connection));
    }
    // The callback may destroy the pool.
    const auto isAlive = m_isAlive;
    owned->done(std::move(result));
    if (*isAlive)
        startQueued();
}

void HttpPool::progressed(std::uint64_t number)
{
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end() || it->second->options.silence <= Duration::zero())
        return;
    const auto tv = internal::toTimeval(it->second->options.silence);
    event_add(it->second->timer, &tv);
}

void HttpPool::restEnded(internal::ClientConnection* connection)
{
    const auto it = std::find_if(
        m_idle.begin(), m_idle.end(), [&](const auto& idle) { return idle.get() == connection; });
    if (it == m_idle.end())
        return;
    auto owned = std::move(*it);
    m_idle.erase(it);
    discard(std::move(owned));
}

void HttpPool::timedOut(std::uint64_t number)
{
    const auto queued
        = std::find_if(m_queue.begin(), m_queue.end(), [&](auto& it) { return it->number == number; });
    Done done;
    if (queued != m_queue.end())
        done = std::move((*queued)->done);
    else if (const auto it = m_exchanges.find(number); it != m_exchanges.end())
        done = std::move(it->second->done);
    cancel(number);
    if (done)
        done(failure(HttpError { HttpErrorKind::TimedOut }));
}

void HttpPool::startQueued()
{
    if (m_queue.empty() || !attachConnection(*m_queue.front()))
        return;
    auto exchange = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(exchange));
}

void HttpPool::cancel(std::uint64_t number)
{
    const auto queued
        = std::find_if(m_queue.begin(), m_queue.end(), [&](auto& it) { return it->number == number; });
    if (queued != m_queue.end()) {
        m_queue.erase(queued);
        return;
    }
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end())
        return;
    const auto owned = std::move(it->second);
    m_exchanges.erase(it);
    discard(std::move(owned->connection));
    startQueued();
}

} // namespace robinrun
