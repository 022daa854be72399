#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief A bounded pool of kept HTTP/1.1 connections to one server (libevent's evhttp).
///
/// A request gets a connection of its own while it runs; the caller bounds how many run at once (at an owner:
/// the slots). Requests beyond the bound wait for a connection. Nothing is ever sent twice.
class HttpPool {
public:
    using Done = std::function<void(Result<HttpReply, HttpError>)>;

    struct Options {
        std::string address; ///< ip:port
        std::size_t maxConnections = 200;
        std::size_t maxReply = 4U << 20U;
        Duration idleTimeout = 30s;
    };

    HttpPool(event_base* base, Options options);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    /// \brief Sends \a request. \a done runs once, later, with the whole reply or the error. \returns a
    /// number for cancel().
    std::uint64_t send(const HttpRequest& request, Duration timeout, Done done);

    /// \brief Gives the request up and ends its connection, so that the server may notice. `done` does not
    /// run.
    void cancel(std::uint64_t number);

    std::size_t connections() const { return m_connections; }
    bool isIdle() const { return m_exchanges.empty() && m_queue.empty(); }

private:
    struct Connection;
    struct Exchange;
    struct Queued {
        std::uint64_t number;
        HttpRequest request;
        Duration timeout;
        Done done;
    };

    void start(Queued queued, std::unique_ptr<Connection> connection);
    std::unique_ptr<Connection> takeConnection();
    void finish(Exchange* exchange, Result<HttpReply, HttpError> result, bool isReusable);
    void later(Done done, HttpError error);
    void startQueued();
    /// \brief Runs \a f soon, outside of any callback of evhttp; never after the pool is gone.
    void defer(std::function<void()> f);
    void runDeferred();

    event_base* m_base;
    Options m_options;
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_lastNumber = 0;
    std::vector<std::unique_ptr<Connection>> m_idle;
    std::list<Queued> m_queue;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    event* m_deferEvent = nullptr;
    std::vector<std::function<void()>> m_deferred;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
