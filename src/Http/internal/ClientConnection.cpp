#include "Http/internal/ClientConnection.h"

#include "Core/internal/Timeval.h"
#include "Http/internal/KeepAlive.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace robinrun::internal {
namespace {

    /// Replies to other requests that are passed over while one is awaited.
    constexpr unsigned maxSurplusReplies = 64;
    /// Replies up to this size take no room, others in steps of as much.
    constexpr std::size_t roomStep = 64U << 10U;

    /// \brief Lets the connection end when the other host is silent for \a deadAfter, also while nothing is
    /// sent.
    void watchHost(evutil_socket_t fd, Duration deadAfter)
    {
        constexpr int probes = 2;
        const int on = 1;
        const int interval = std::max(1, static_cast<int>(toSeconds(deadAfter)) / (probes + 1));
        const int milliseconds = static_cast<int>(toMilliseconds(deadAfter));
        setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
    }

} // namespace

ClientConnection::ClientConnection(HttpPool& pool, const std::string& ip, std::uint16_t port)
    : m_pool(&pool)
    , m_buffer(bufferevent_socket_new(pool.m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_room(pool.m_options.replies.share())
{
    bufferevent_setcb(m_buffer, &readable, nullptr, &eventCame, this);
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const auto tv = toTimeval(pool.m_options.connectTimeout);
    bufferevent_set_timeouts(m_buffer, nullptr, &tv);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    // A failure at once is told by the event callback too.
    bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    const int on = 1;
    setsockopt(bufferevent_getfd(m_buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (pool.m_options.deadAfter > Duration::zero())
        watchHost(bufferevent_getfd(m_buffer), pool.m_options.deadAfter);
}

ClientConnection::~ClientConnection()
{
    bufferevent_free(m_buffer);
}

void ClientConnection::send(std::uint64_t number, const HttpRequest& request, std::string_view host,
    std::function<bool(const HttpReply&)> isOurs, const SharedBytes& body)
{
    m_number = number;
    m_isOurs = std::move(isOurs);
    m_surplus = 0;
    m_parser.emplace(m_pool->m_options.maxReply, request.method == "HEAD");
    if (m_isConnected)
        bufferevent_set_timeouts(m_buffer, nullptr, nullptr);
    writeRequest(bufferevent_get_output(m_buffer), request, host, body);
}

void ClientConnection::rest(Duration longest, Instant now)
{
    m_parser.reset();
    m_isOurs = nullptr;
    m_restingSince = now;
    const auto tv = toTimeval(longest);
    bufferevent_set_timeouts(m_buffer, &tv, nullptr);
}

bool ClientConnection::isQuiet() const
{
    char byte = 0;
    return evbuffer_get_length(bufferevent_get_input(m_buffer)) == 0
        && recv(bufferevent_getfd(m_buffer), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0
        && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::readable(bufferevent*, void* self)
{
    static_cast<ClientConnection*>(self)->readOn();
}

void ClientConnection::readOn()
{
    if (!m_parser)
        return m_pool->restEnded(this); // bytes that belong to no request
    m_pool->progressed(m_number);
    auto* in = bufferevent_get_input(m_buffer);
    while (evbuffer_get_length(in) > 0) {
        const auto result = m_parser->feed(in);
        if (!result)
            return fail(result.error());
        if (!hasRoom())
            return fail(HttpErrorKind::TooLarge);
        if (!m_parser->isDone())
            return;
        (void)m_room.resize(0);
        const bool isKeptAlive = m_parser->isKeptAlive();
        auto reply = m_parser->take();
        if (m_isOurs && !m_isOurs(reply)) {
            if (!isKeptAlive || ++m_surplus > maxSurplusReplies)
                return fail(HttpErrorKind::Broken);
            continue;
        }
        // With the request not all sent, what the server reads next would be the rest of it.
        const bool isWhole = evbuffer_get_length(bufferevent_get_output(m_buffer)) == 0;
        const bool isClean = isWhole && !m_surplus && evbuffer_get_length(in) == 0;
        const auto longest = keptFor(reply, m_pool->m_options.idleTimeout);
        return m_pool->finished(m_number, std::move(reply), isKeptAlive && isClean, longest);
    }
}

bool ClientConnection::hasRoom()
{
    const auto bytes = m_parser->bodyBytes();
    return bytes <= std::max(roomStep, m_room.bytes()) || m_room.resize(bytes + roomStep);
}

void ClientConnection::eventCame(bufferevent*, short what, void* self)
{
    auto& connection = *static_cast<ClientConnection*>(self);
    if (what & BEV_EVENT_CONNECTED) {
        connection.m_isConnected = true;
        bufferevent_set_timeouts(connection.m_buffer, nullptr, nullptr);
        return;
    }
    connection.ended(what);
}

void ClientConnection::ended(short what)
{
    if (!m_parser)
        return m_pool->restEnded(this);
    if (!m_isConnected)
        return fail(HttpErrorKind::NotConnected, !(what & BEV_EVENT_TIMEOUT));
    if (what & BEV_EVENT_WRITING)
        m_hasWriteFailed = true;
    // What came before a write failed is still to be read; the read that meets its end decides.
    if (!(what & BEV_EVENT_READING))
        return;
    // A write that fails takes the socket's error, and the next read then returns 0 after a reset, too.
    const bool isOrderly = (what & BEV_EVENT_EOF) && !m_hasWriteFailed;
    if (isOrderly)
        m_parser->end();
    if (!isOrderly || !m_parser->isDone())
        return fail(HttpErrorKind::Broken);
    auto reply = m_parser->take();
    if (m_isOurs && !m_isOurs(reply))
        return fail(HttpErrorKind::Broken);
    m_pool->finished(m_number, std::move(reply), false, Duration::zero());
}

void ClientConnection::fail(HttpErrorKind kind, bool isRefused)
{
    m_pool->finished(m_number, failure(HttpError { kind, isRefused }), false, Duration::zero());
}

} // namespace robinrun::internal
