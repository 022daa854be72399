#include "Http/HttpPool.h"

#include "Core/Check.h"
#include "Http/HttpRaw.h"
#include "Http/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

namespace robinrun {
namespace {

    timeval toTimeval(Duration d)
    {
        const auto micros = std::max<std::int64_t>(d.count(), 1);
        return { micros / 1000000, micros % 1000000 };
    }

    HttpErrorKind kindOf(evhttp_request_error error)
    {
        switch (error) {
        case EVREQ_HTTP_TIMEOUT:
            return HttpErrorKind::TimedOut;
        case EVREQ_HTTP_DATA_TOO_LONG:
            return HttpErrorKind::TooLarge;
        default:
            return HttpErrorKind::Broken;
        }
    }

} // namespace

/// \brief One kept connection; evhttp connects it anew if the server has closed it between two requests.
struct HttpPool::Connection {
    evhttp_connection* raw;

    explicit Connection(evhttp_connection* connection)
        : raw(connection)
    {
    }
    ~Connection() { evhttp_connection_free(raw); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
};

/// \brief One request under way.
struct HttpPool::Exchange {
    HttpPool* pool = nullptr;
    std::uint64_t number = 0;
    std::unique_ptr<Connection> connection;
    Done done;
    HttpErrorKind error = HttpErrorKind::Broken;
    evhttp_request* raw = nullptr;
    event* timer = nullptr;
    bool isTimedOut = false;

    Exchange() = default;
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    ~Exchange()
    {
        if (timer)
            event_free(timer);
    }

    static void completed(evhttp_request* request, void* self);
    static void failed(evhttp_request_error error, void* self);
};

void HttpPool::Exchange::failed(evhttp_request_error error, void* self)
{
    static_cast<Exchange*>(self)->error = kindOf(error);
}

void HttpPool::Exchange::completed(evhttp_request* request, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    // evhttp's contract: no request after a failure on a connection that stood (the kind was told before), a
    // request without a status when the connection could not be made, so that nothing was sent.
    if (!request) {
        const auto kind = exchange->isTimedOut ? HttpErrorKind::TimedOut : exchange->error;
        exchange->pool->finish(exchange, failure(HttpError { kind }), false);
        return;
    }
    const int status = evhttp_request_get_response_code(request);
    if (!status) {
        exchange->pool->finish(exchange, failure(HttpError { HttpErrorKind::NotConnected }), false);
        return;
    }
    HttpReply reply;
    reply.status = status;
    reply.headers = internal::readHeaders(evhttp_request_get_input_headers(request));
    reply.body = internal::readBody(evhttp_request_get_input_buffer(request));
    const auto close = findHeader(reply.headers, "Connection");
    exchange->pool->finish(exchange, std::move(reply), !close || !equalIgnoringCase(*close, "close"));
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

HttpPool::~HttpPool()
{
    *m_isAlive = false;
    for (auto& [number, exchange] : m_exchanges)
        exchange->done = nullptr;
    while (!m_exchanges.empty())
        cancel(m_exchanges.begin()->first);
    event_free(m_deferEvent);
}

std::uint64_t HttpPool::send(const HttpRequest& request, Duration timeout, Done done)
{
    Queued queued { ++m_lastNumber, request, timeout, std::move(done) };
    if (!internal::methodNumber(request.method)) {
        later(std::move(queued.done), { HttpErrorKind::BadRequest });
        return queued.number;
    }
    const auto number = queued.number;
    if (auto connection = takeConnection())
        start(std::move(queued), std::move(connection));
    else
        m_queue.push_back(std::move(queued));
    return number;
}

std::unique_ptr<HttpPool::Connection> HttpPool::takeConnection()
{
    if (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        return connection;
    }
    if (m_connections >= m_options.maxConnections)
        return nullptr;
    ++m_connections;
    auto* raw = evhttp_connection_base_new(m_base, nullptr, m_ip.c_str(), m_port);
    evhttp_connection_set_max_body_size(raw, static_cast<ev_ssize_t>(m_options.maxReply));
    evhttp_connection_set_retries(raw, 0);
    return std::make_unique<Connection>(raw);
}

void HttpPool::start(Queued queued, std::unique_ptr<Connection> connection)
{
    auto owned = std::make_unique<Exchange>();
    auto* exchange = owned.get();
    exchange->pool = this;
    exchange->number = queued.number;
    exchange->connection = std::move(connection);
    exchange->done = std::move(queued.done);
    exchange->raw = evhttp_request_new(&Exchange::completed, exchange);
    evhttp_request_set_error_cb(exchange->raw, &Exchange::failed);
    auto* headers = evhttp_request_get_output_headers(exchange->raw);
    for (const auto& [name, value] : queued.request.headers) {
        if (!isHopByHop(name))
            evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    const auto host = findHeader(queued.request.headers, "Host");
    evhttp_add_header(headers, "Host", host ? std::string(*host).c_str() : m_options.address.c_str());
    if (!queued.request.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(exchange->raw), queued.request.body.data(),
            queued.request.body.size());
    const auto onTimeout = [](evutil_socket_t, short, void* self) {
        auto* late = static_cast<Exchange*>(self);
        late->isTimedOut = true;
        auto* pool = late->pool;
        auto done = std::move(late->done);
        pool->cancel(late->number);
        if (done)
            done(failure(HttpError { HttpErrorKind::TimedOut }));
    };
    exchange->timer = event_new(m_base, -1, EV_TIMEOUT, onTimeout, exchange);
    const auto tv = toTimeval(queued.timeout);
    event_add(exchange->timer, &tv);
    m_exchanges.emplace(queued.number, std::move(owned));
    const auto method = *internal::methodNumber(queued.request.method);
    evhttp_make_request(exchange->connection->raw, exchange->raw, method, queued.request.target.c_str());
}

void HttpPool::later(Done done, HttpError error)
{
    defer([done = std::move(done), error] { done(failure(error)); });
}

void HttpPool::finish(Exchange* exchange, Result<HttpReply, HttpError> result, bool isReusable)
{
    const auto it = m_exchanges.find(exchange->number);
    if (it == m_exchanges.end())
        return;
    const auto owned = std::move(it->second);
    m_exchanges.erase(it);
    if (owned->timer)
        event_del(owned->timer);
    if (isReusable) {
        m_idle.push_back(std::move(owned->connection));
    } else {
        --m_connections;
        // evhttp is still inside this connection: it is freed on the next turn.
        defer([held = std::make_shared<std::unique_ptr<Connection>>(std::move(owned->connection))] {});
    }
    const auto done = std::move(owned->done);
    // A callback may destroy the pool.
    const auto isAlive = m_isAlive;
    if (done)
        done(std::move(result));
    if (*isAlive)
        startQueued();
}

void HttpPool::startQueued()
{
    if (m_queue.empty())
        return;
    if (auto connection = takeConnection()) {
        auto queued = std::move(m_queue.front());
        m_queue.pop_front();
        start(std::move(queued), std::move(connection));
    }
}

void HttpPool::cancel(std::uint64_t number)
{
    const auto inQueue
        = std::find_if(m_queue.begin(), m_queue.end(), [&](auto& it) { return it.number == number; });
    if (inQueue != m_queue.end()) {
        m_queue.erase(inQueue);
        return;
    }
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end())
        return;
    auto owned = std::move(it->second);
    m_exchanges.erase(it);
    owned->done = nullptr;
    event_del(owned->timer);
    --m_connections;
    evhttp_cancel_request(owned->raw);
    // Freed on the next turn, as evhttp may be inside it; the exchange outlives any callback of the
    // cancellation.
    defer([held = std::make_shared<std::unique_ptr<Exchange>>(std::move(owned))] {});
    if (*m_isAlive)
        startQueued();
}

} // namespace robinrun
