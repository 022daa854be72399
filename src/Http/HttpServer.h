#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Http/HttpTypes.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace robinrun {

class HttpServer;

/// \brief One request of a caller, and the way to answer it. Destroyed unanswered, it answers 500.
class HttpExchange {
public:
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;
    ~HttpExchange();

    const HttpRequest& request() const { return m_request; }
    const std::string& peer() const { return m_peer; }

    /// \brief Runs \a f once if the caller hangs up before reply(). The exchange may be destroyed in it.
    void onHangUp(std::function<void()> f) { m_onHangUp = std::move(f); }

    /// \brief Sends the whole answer; the first call counts.
    void reply(const HttpReply& reply);

private:
    friend class HttpServer;
    HttpExchange(HttpServer& server, evhttp_request* raw);
    void watchHangUp();
    void hungUp();

    HttpServer* m_server;
    evhttp_request* m_raw;
    HttpRequest m_request;
    std::string m_peer;
    std::function<void()> m_onHangUp;
};

/// \brief An HTTP/1.1 server on the loop (libevent's evhttp).
///
/// evhttp answers malformed requests with 400 and bodies over the limit with 413 by itself.
class HttpServer {
public:
    using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;

    struct Options {
        std::string address; ///< ip:port
        std::size_t maxBody = 1U << 20U;
        std::size_t maxHeaders = 32U << 10U;
        Duration idleTimeout = 60s;
    };

    /// \brief Binds and listens. The error is a sentence with the address.
    static Result<std::unique_ptr<HttpServer>, std::string> listen(
        event_base* base, const Options& options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \brief Accepts no more connections; those there go on.
    void stopAccepting();

    /// \brief While closing, each answer ends its connection.
    void setClosing(bool isClosing) { m_isClosing = isClosing; }
    bool isClosing() const { return m_isClosing; }

private:
    HttpServer(evhttp* http, Handler handler);
    static void handleRaw(evhttp_request* raw, void* self);

    evhttp* m_http;
    evhttp_bound_socket* m_socket = nullptr;
    Handler m_handler;
    bool m_isClosing = false;
};

/// \brief Splits `ip:port`. \returns false if it is none.
bool splitAddress(const std::string& address, std::string& ip, std::uint16_t& port);

} // namespace robinrun
