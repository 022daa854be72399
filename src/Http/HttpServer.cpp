#include "Http/HttpServer.h"

#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Http/internal/ServerConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <event2/listener.h>
#include <netinet/in.h>
#include <utility>

namespace robinrun {
namespace {

    using namespace httpStatus;

    /// Connections that may wait to be accepted. The kernel cuts it to its own limit.
    constexpr int backlog = 1024;

    std::string ipOf(const sockaddr* address)
    {
        std::array<char, INET_ADDRSTRLEN> buf {};
        if (address->sa_family == AF_INET)
            inet_ntop(
                AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, buf.data(), buf.size());
        return buf.data();
    }

} // namespace

HttpExchange::HttpExchange(
    internal::ServerConnection& connection, HttpRequest request, std::string peer, MemoryBudget::Share room)
    : m_connection(&connection)
    , m_request(std::move(request))
    , m_peer(std::move(peer))
    , m_room(std::move(room))
{
}

HttpExchange::~HttpExchange()
{
    m_onHangUp = nullptr;
    reply({ internalError, {}, {} });
}

void HttpExchange::hungUp()
{
    if (const auto f = std::exchange(m_onHangUp, nullptr))
        f();
}

void HttpExchange::reply(const HttpReply& reply)
{
    auto* connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    m_onHangUp = nullptr;
    connection->reply(reply);
}

HttpServer::HttpServer(event_base* base, Options options, Handler handler)
    : m_base(base)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
{
}

Result<std::unique_ptr<HttpServer>, std::string> HttpServer::listen(
    event_base* base, const Options& options, Handler handler)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!splitAddress(options.address, ip, port))
        return failure("'" + options.address + "' is no ip:port");
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &at.sin_addr) != 1)
        return failure("'" + options.address + "' is no ip:port");
    std::unique_ptr<HttpServer> server(new HttpServer(base, options, std::move(handler)));
    const auto onAccept = [](evconnlistener*, evutil_socket_t fd, sockaddr* peer, int, void* self) {
        static_cast<HttpServer*>(self)->accept(fd, ipOf(peer));
    };
    server->m_listener = evconnlistener_new_bind(base, onAccept, server.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    if (!server->m_listener)
        return failure("can't listen on " + options.address);
    // Out of descriptors, say: the connection stays in the kernel's queue, and is tried again.
    evconnlistener_set_error_cb(server->m_listener, [](evconnlistener*, void*) {
        log(LogLevel::Warning, "accept-failed",
            { { "error", evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()) } });
    });
    return server;
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

void HttpServer::stopAccepting()
{
    if (m_listener)
        evconnlistener_free(std::exchange(m_listener, nullptr));
}

bool HttpServer::hasUnwritten() const
{
    return std::any_of(
        m_connections.begin(), m_connections.end(), [](const auto& it) { return it.second->hasUnwritten(); });
}

void HttpServer::setLimits(
    std::size_t maxHeaders, std::size_t maxBody, Duration headerTimeout, Duration idleTimeout)
{
    m_options.maxHeaders = maxHeaders;
    m_options.maxBody = maxBody;
    m_options.headerTimeout = headerTimeout;
    if (std::exchange(m_options.idleTimeout, idleTimeout) == idleTimeout)
        return;
    for (auto& [key, connection] : m_connections)
        connection->setIdleTimeout(idleTimeout);
}

bool HttpServer::closeLongestWaiting()
{
    internal::ServerConnection* longest = nullptr;
    const auto goesBefore = [](const auto& a, const auto& b) {
        return std::pair(a.hasUntaken(), a.waitsSince()) < std::pair(b.hasUntaken(), b.waitsSince());
    };
    for (const auto& [key, connection] : m_connections) {
        if (connection->isWaiting() && (!longest || goesBefore(*connection, *longest)))
            longest = key;
    }
    if (!longest)
        return false;
    m_connections.erase(longest);
    return true;
}

void HttpServer::accept(evutil_socket_t fd, const std::string& peer)
{
    if (m_connections.size() >= m_options.maxConnections) {
        const bool hasPlace = closeLongestWaiting();
        log(LogLevel::Warning, "connections-full",
            { { "address", m_options.address }, { "connections", std::uint64_t { m_connections.size() } },
                { "accepted", hasPlace } });
        if (!hasPlace) {
            evutil_closesocket(fd);
            return;
        }
    }
    auto connection = std::make_unique<internal::ServerConnection>(*this, fd, peer, monotonicNow());
    auto* key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void HttpServer::ended(internal::ServerConnection* connection)
{
    m_connections.erase(connection);
}

} // namespace robinrun
