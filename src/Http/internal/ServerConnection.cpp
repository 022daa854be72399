#include "Http/internal/ServerConnection.h"

#include "Core/Log.h"
#include "Core/internal/Timeval.h"
#include "Http/HttpStatus.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace robinrun::internal {
namespace {

    using namespace httpStatus;

    /// How much of a pipelined next request is read while one is answered.
    constexpr std::size_t pipelinedBytes = 64U << 10U;
    /// Once the last answer is written the caller has so long to read it and close; closing at once could
    /// reset it.
    constexpr Duration lingering = 1s;
    /// A caller that goes on sending meanwhile has no longer than this.
    constexpr Duration longestLingering = 3s;
    /// Bytes of answers that a caller has not taken, beyond which its next request is not read.
    constexpr std::size_t maxUntaken = 256U << 10U;
    /// Room is taken for a body of unknown length in such steps, in bytes.
    constexpr std::size_t roomStep = 1U << 20U;
    /// A refused caller is told to come back after so many seconds.
    constexpr auto noRoomRetry = "1";

} // namespace

ServerConnection::ServerConnection(HttpServer& server, evutil_socket_t fd, std::string peer, Instant now)
    : m_server(&server)
    , m_buffer(bufferevent_socket_new(server.m_base, fd, BEV_OPT_CLOSE_ON_FREE))
    , m_peer(std::move(peer))
    , m_parser(server.m_options.maxHeaders, server.m_options.maxBody)
    , m_room(server.m_options.bodies.share())
    , m_timer(event_new(
          server.m_base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<ServerConnection*>(self)->timeIsUp(); }, this))
    , m_waitsSince(now)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent_setcb(m_buffer, &readable, &written, &eventCame, this);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    setIdleTimeout(server.m_options.idleTimeout);
}

ServerConnection::~ServerConnection()
{
    if (m_exchange)
        m_exchange->m_connection = nullptr;
    event_free(m_timer);
    bufferevent_free(m_buffer);
}

void ServerConnection::setTimeouts(Duration read)
{
    const auto readTime = toTimeval(read);
    const auto idleTime = toTimeval(m_server->m_options.idleTimeout);
    bufferevent_set_timeouts(m_buffer, read > Duration::zero() ? &readTime : nullptr, &idleTime);
}

void ServerConnection::limitTime(Duration delay)
{
    const auto tv = toTimeval(delay);
    event_add(m_timer, &tv);
}

void ServerConnection::timeIsUp()
{
    if (m_phase == Phase::Closing)
        return ended();
    if (m_phase != Phase::Reading)
        return;
    const auto interval = m_server->m_options.headerTimeout;
    const auto bytes = m_parser.bodyBytes();
    const auto least = static_cast<std::size_t>(HttpServer::leastBodyRate * toSeconds(interval));
    const bool isSlow = m_bodyBytesBefore && m_room.bytes() > 0 && bytes < *m_bodyBytesBefore + least;
    if (!m_parser.isHeaderDone() || isSlow)
        return refuse(requestTimeout);
    m_bodyBytesBefore = bytes;
    limitTime(interval);
}

void ServerConnection::setIdleTimeout(Duration timeout)
{
    if (m_phase == Phase::Reading && !m_parser.hasStarted())
        setTimeouts(timeout);
}

bool ServerConnection::hasUnwritten() const
{
    return m_phase == Phase::Answering || hasUntaken();
}

bool ServerConnection::hasUntaken() const
{
    return evbuffer_get_length(bufferevent_get_output(m_buffer)) > 0;
}

void ServerConnection::readable(bufferevent*, void* self)
{
    auto& connection = *static_cast<ServerConnection*>(self);
    if (connection.m_phase == Phase::Closing) {
        auto* in = bufferevent_get_input(connection.m_buffer);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    connection.readOn();
}

void ServerConnection::readOn()
{
    if (m_isReading)
        return;
    m_isReading = true;
    auto* in = bufferevent_get_input(m_buffer);
    while (m_phase == Phase::Reading && evbuffer_get_length(in) > 0 && !isPiledUp()) {
        const bool isFirst = !m_parser.hasStarted();
        const auto result = m_parser.feed(in);
        if (!result) {
            refuse(result.error());
            break;
        }
        if (!takeRoom()) {
            refuse(unavailable);
            break;
        }
        if (m_parser.isDone()) {
            handOn();
        } else {
            if (isFirst) {
                setTimeouts(m_server->m_options.headerTimeout);
                limitTime(m_server->m_options.headerTimeout);
            }
            if (m_parser.takesContinue())
                bufferevent_write(m_buffer, "HTTP/1.1 100 Continue\r\n\r\n", 25);
            break;
        }
    }
    m_isReading = false;
    if (m_isOver)
        ended();
}

bool ServerConnection::takeRoom()
{
    const auto read = m_parser.bodyBytes();
    // Room for a part of a step is taken as for all of it: a body in chunks grows by many small pieces.
    const auto inSteps = (read + roomStep - 1) / roomStep * roomStep;
    const auto needed = m_parser.announcedBytes().value_or(inSteps);
    if (needed <= HttpServer::smallBody || read <= HttpServer::smallBody)
        return true;
    return needed <= m_room.bytes() || m_room.resize(needed);
}

bool ServerConnection::isPiledUp() const
{
    return evbuffer_get_length(bufferevent_get_output(m_buffer)) > maxUntaken;
}

void ServerConnection::handOn()
{
    m_phase = Phase::Answering;
    event_del(m_timer);
    m_bodyBytesBefore.reset();
    m_isLast = !m_parser.isKeptAlive();
    auto request = m_parser.take();
    m_isHead = request.method == "HEAD";
    setTimeouts(Duration::zero());
    bufferevent_setwatermark(m_buffer, EV_READ, 0, pipelinedBytes);
    std::unique_ptr<HttpExchange> exchange(
        new HttpExchange(*this, std::move(request), m_peer, std::move(m_room)));
    m_room = m_server->m_options.bodies.share();
    m_exchange = exchange.get();
    m_server->m_handler(std::move(exchange));
}

void ServerConnection::reply(const HttpReply& reply)
{
    m_exchange = nullptr;
    // A request that was read already, or in part, is answered too: its caller can't know that it was not.
    const bool hasMore = evbuffer_get_length(bufferevent_get_input(m_buffer)) > 0;
    m_isLast = m_isLast || (m_server->isClosing() && !hasMore);
    writeReply(bufferevent_get_output(m_buffer), reply, m_isLast, m_isHead);
    if (m_isLast)
        return close();
    m_phase = Phase::Reading;
    m_waitsSince = monotonicNow();
    // A caller that takes a long answer is not idle.
    setTimeouts(Duration::zero());
    if (!isPiledUp())
        bufferevent_setwatermark(m_buffer, EV_READ, 0, 0);
    readOn();
}

void ServerConnection::refuse(int status)
{
    HttpReply reply { status, {}, "the request can't be read\n" };
    if (status == unavailable)
        reply = { status, { { "Retry-After", noRoomRetry } }, "there is no memory for the body now\n" };
    if (status == requestTimeout)
        reply.body = "the request came too slowly\n";
    log(LogLevel::Info, "request-unread",
        { { "status", status }, { "peer", m_peer }, { "why", reply.body } });
    m_room = {};
    m_parser.drop();
    auto* in = bufferevent_get_input(m_buffer);
    evbuffer_drain(in, evbuffer_get_length(in));
    writeReply(bufferevent_get_output(m_buffer), reply, true, false);
    close();
}

void ServerConnection::close()
{
    m_phase = Phase::Closing;
    event_del(m_timer);
    // A caller that says nothing while a long answer goes out is not idle; one that takes nothing of it is.
    setTimeouts(Duration::zero());
    bufferevent_setwatermark(m_buffer, EV_READ, 0, 0);
}

void ServerConnection::written(bufferevent* buffer, void* self)
{
    auto& connection = *static_cast<ServerConnection*>(self);
    switch (connection.m_phase) {
    case Phase::Reading:
        if (!connection.m_parser.hasStarted())
            connection.setTimeouts(connection.m_server->m_options.idleTimeout);
        bufferevent_setwatermark(buffer, EV_READ, 0, 0);
        return connection.readOn();
    case Phase::Answering:
        return;
    case Phase::Closing:
        shutdown(bufferevent_getfd(buffer), SHUT_WR);
        connection.setTimeouts(lingering);
        connection.limitTime(longestLingering);
    }
}

void ServerConnection::eventCame(bufferevent*, short, void* self)
{
    static_cast<ServerConnection*>(self)->ended();
}

void ServerConnection::ended()
{
    if (m_isReading) {
        m_isOver = true;
        return;
    }
    auto* exchange = std::exchange(m_exchange, nullptr);
    if (exchange) {
        exchange->m_connection = nullptr;
        exchange->hungUp();
    }
    m_server->ended(this);
}

} // namespace robinrun::internal
