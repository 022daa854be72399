#pragma once

#include "Core/MemoryBudget.h"
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

namespace internal {
    class ClientConnection;
}

/// \brief A bounded pool of kept HTTP/1.1 connections to one server: libevent's bufferevents, Boost.Beast's
/// parser.
///
/// A request gets a connection of its own while it runs; the caller bounds how many run at once (at an owner:
/// the slots). Requests beyond the bound wait for a connection. Nothing is ever sent twice. A connection is
/// used again only after a whole request and a whole reply that allows it, with nothing left over and nothing
/// that came since.
class HttpPool {
public:
    using Done = std::function<void(Result<HttpReply, HttpError>)>;

    struct Options {
        std::string address; ///< ip:port
        std::size_t maxConnections = 200;
        std::size_t maxReply = 4U << 20U;
        Duration idleTimeout = 30s; ///< kept connections are closed after; less if the server says so
        Duration connectTimeout = 5s;
        /// A server's host that says nothing for so long is taken for dead (TCP keep-alive); 0: never.
        Duration deadAfter {};
        /// For the replies on their way together. One that finds no room in it is `TooLarge`.
        MemoryBudget replies {};
    };

    /// \brief How one request is sent.
    struct SendOptions {
        Duration timeout = 30s; ///< for the whole exchange, or until the reply begins if `silence` is set
        /// Once the reply has begun, the longest time between two pieces of it; 0: `timeout` bounds the
        /// whole. A long reply over a slow link isn't given up, and asked for anew, while it comes.
        Duration silence {};
        /// The longest a kept connection may have rested to be used: the server may have forgotten it, and a
        /// request that meets that may have run or not.
        Duration longestRest = 1h;
        /// Whether a reply belongs to the request. Others are dropped and the next one is awaited.
        std::function<bool(const HttpReply&)> isOurs = nullptr;
        SharedBytes body = nullptr; ///< in place of the request's own; it is not copied
    };

    HttpPool(event_base* base, Options options);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    /// \brief Sends \a request. \a done runs once, later, with the whole reply or the error. \returns a
    /// number for cancel().
    std::uint64_t send(const HttpRequest& request, SendOptions options, Done done);
    std::uint64_t send(const HttpRequest& request, Duration timeout, Done done)
    {
        return send(request, SendOptions { timeout }, std::move(done));
    }

    /// \brief Gives the request up and ends its connection, so that the server may notice. `done` does not
    /// run.
    void cancel(std::uint64_t number);

    std::size_t connections() const { return m_connections; }
    bool isIdle() const { return m_exchanges.empty() && m_queue.empty(); }

    /// \returns connections opened so far.
    std::uint64_t opened() const { return m_opened; }

private:
    friend class internal::ClientConnection;
    struct Exchange {
        std::uint64_t number = 0;
        HttpRequest request;
        SendOptions options;
        Done done;
        event* timer = nullptr;
        HttpPool* pool = nullptr;
        std::unique_ptr<internal::ClientConnection> connection;

        Exchange() = default;
        Exchange(const Exchange&) = delete;
        Exchange& operator=(const Exchange&) = delete;
        ~Exchange();
    };

    void start(std::unique_ptr<Exchange> exchange);
    bool attachConnection(Exchange& exchange);
    void finished(std::uint64_t number, Result<HttpReply, HttpError> result, bool isReusable, Duration rest);
    /// \brief A piece of the reply came.
    void progressed(std::uint64_t number);
    void restEnded(internal::ClientConnection* connection);
    void timedOut(std::uint64_t number);
    void startQueued();
    /// \brief Runs \a f soon, outside of any callback; never after the pool is gone.
    void defer(std::function<void()> f);
    void runDeferred();
    void discard(std::unique_ptr<internal::ClientConnection> connection);

    event_base* m_base;
    Options m_options;
    std::string m_ip;
    std::uint16_t m_port = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_opened = 0;
    std::uint64_t m_lastNumber = 0;
    std::vector<std::unique_ptr<internal::ClientConnection>> m_idle; ///< the last used one at the end
    std::list<std::unique_ptr<Exchange>> m_queue;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    event* m_deferEvent = nullptr;
    std::vector<std::function<void()>> m_deferred;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
