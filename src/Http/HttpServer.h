#pragma once

#include "Core/MemoryBudget.h"
#include "Core/Result.h"
#include "Core/Time.h"
#include "Http/HeldBody.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

struct evconnlistener;

namespace robinrun {

class HttpServer;

namespace internal {
    class ServerConnection;
}

/// \brief One request of a caller, and the way to answer it. Destroyed unanswered, it answers 500.
class HttpExchange {
public:
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;
    ~HttpExchange();

    const HttpRequest& request() const { return m_request; }
    const std::string& peer() const { return m_peer; }

    /// \brief Takes the body out of request(), with its share of the server's memory for bodies.
    HeldBody takeBody() { return { std::exchange(m_request.body, {}), std::move(m_room) }; }

    /// \brief Runs \a f once if the caller hangs up before reply(). The exchange may be destroyed in it.
    void onHangUp(std::function<void()> f) { m_onHangUp = std::move(f); }

    /// \brief Sends the whole answer; the first call counts.
    void reply(const HttpReply& reply);

private:
    friend class internal::ServerConnection;
    HttpExchange(internal::ServerConnection& connection, HttpRequest request, std::string peer,
        MemoryBudget::Share room);
    void hungUp();

    internal::ServerConnection* m_connection; ///< null once it was answered or the caller is gone
    HttpRequest m_request;
    std::string m_peer;
    MemoryBudget::Share m_room;
    std::function<void()> m_onHangUp;
};

/// \brief An HTTP/1.1 server on the loop: libevent's bufferevents, Boost.Beast's parser.
///
/// Malformed requests are answered with 400, headers and trailers over the limit with 431, bodies over the
/// limit with 413, those that are too slow with 408 and those for which there is no memory with 503; the
/// connection then ends. Requests that come while one is answered, or while the caller does not read its
/// answers, wait in the connection. Beyond `maxConnections` a new connection takes the place of the one that
/// has waited longest for a whole request. Cost: an idle connection about 1 KB; accepting one beyond
/// `maxConnections` O(connections).
class HttpServer {
public:
    using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;

    struct Options {
        std::string address; ///< ip:port
        std::size_t maxBody = 1U << 20U;
        std::size_t maxHeaders = 32U << 10U;
        Duration idleTimeout = 60s; ///< between two requests
        Duration headerTimeout = 10s; ///< from a request's first byte to the end of its header; between two
                                      ///< pieces of its body
        MemoryBudget bodies {}; ///< for the bodies of more than `smallBody` of all requests together
        std::size_t maxConnections = SIZE_MAX;
    };

    /// Bodies up to this size, in bytes, take no room.
    static constexpr std::size_t smallBody = 64U << 10U;
    /// Bytes a second that a body which takes room has to come with, on average over the header time.
    static constexpr std::size_t leastBodyRate = 4U << 10U;

    /// \brief Binds and listens. The error is a sentence with the address.
    static Result<std::unique_ptr<HttpServer>, std::string> listen(
        event_base* base, const Options& options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \brief Accepts no more connections; those there go on.
    void stopAccepting();

    /// \brief While closing, each answer ends its connection, unless more has been read from it.
    void setClosing(bool isClosing) { m_isClosing = isClosing; }
    bool isClosing() const { return m_isClosing; }

    /// \brief Changes the limits for connections that come from now on, and the idle time of all.
    void setLimits(std::size_t maxHeaders, std::size_t maxBody, Duration headerTimeout, Duration idleTimeout);
    const Options& options() const { return m_options; }

    std::size_t connections() const { return m_connections.size(); }

    /// \returns whether a request that was read whole has no answer yet, or one isn't with the system yet.
    /// Cost: O(connections).
    bool hasUnwritten() const;

private:
    friend class internal::ServerConnection;
    HttpServer(event_base* base, Options options, Handler handler);
    void accept(evutil_socket_t fd, const std::string& peer);
    void ended(internal::ServerConnection* connection);
    /// \brief Closes the connection that has waited longest for a whole request, if possible one whose caller
    /// has taken all its answers.
    /// \returns false if all are being answered.
    bool closeLongestWaiting();

    event_base* m_base;
    Options m_options;
    Handler m_handler;
    evconnlistener* m_listener = nullptr;
    std::unordered_map<internal::ServerConnection*, std::unique_ptr<internal::ServerConnection>>
        m_connections;
    bool m_isClosing = false;
};

} // namespace robinrun
