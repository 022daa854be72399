#pragma once

#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "Node/Timer.h"

#include <cstdint>
#include <deque>
#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace robinrun::review {

/// \brief An upstream: it announces itself, works on some requests at a time, queues a few more and rejects
/// the rest as not executed.
class Upstream {
public:
    struct Options {
        std::string address;
        std::string control; ///< of the node beside it
        std::string service;
        std::string zone;
        std::string id;
        std::uint32_t slots = 12;
        std::size_t queue = 24;
        Duration work = 50ms;
        Duration heartbeat = 1500ms;
        Duration firstHeartbeat = 0ms;
        /// Requests whose path begins so take `longWork`, and make calls through the node beside it, one
        /// after the other; "" for none.
        std::string longPath {};
        Duration longWork {};
        std::string outbound {}; ///< of the node beside it
        std::string callPath {};
        Duration betweenCalls = 100ms;
    };
    /// \brief A call that this upstream made for a request.
    struct Call {
        std::string id;
        double sentAt = 0; ///< s
        double allowed = 0; ///< s, as told to the node
        double endedAt = 0;
        int status = 0; ///< 0: the connection has ended without an answer
    };
    /// \brief What an upstream has seen of a request.
    using OnRun = std::function<void(const HttpRequest& request, const std::string& id)>;

    Upstream(event_base* base, Options options, OnRun onRun);

    /// \brief Ends without a word: what runs is lost, and nothing listens at the address.
    void crash();
    /// \brief Starts again at the same address, as a new incarnation with the id \a id.
    void startAgain(const std::string& id);

    /// \brief From now on the health check says that the upstream is ill, though it is well.
    void setSaysIll(bool saysIll) { m_saysIll = saysIll; }

    /// \brief Calls \a f with each acknowledged heartbeat.
    void onAcknowledged(std::function<void(std::uint64_t sequence)> f) { m_onAcknowledged = std::move(f); }

    /// \brief Calls \a f when a call that this upstream made has ended.
    void onCallEnded(std::function<void(const Call&)> f) { m_onCallEnded = std::move(f); }

    const std::string& id() const { return m_options.id; }
    std::size_t runs() const { return m_runs; }
    std::size_t healthChecks() const { return m_healthChecks; }
    std::size_t acknowledged() const { return m_acknowledged; }

private:
    void listen();
    void take(std::unique_ptr<HttpExchange> exchange);
    void answerHealth(HttpExchange& exchange);
    void start(std::unique_ptr<HttpExchange> exchange);
    void end(std::uint64_t number);
    /// \brief Makes a call for the request \a number as long as that runs.
    void callFor(std::uint64_t number, const std::string& requestId, Instant deadline, unsigned count);
    void announce();
    std::string load() const;

    event_base* m_base;
    Options m_options;
    OnRun m_onRun;
    std::unique_ptr<HttpServer> m_server;
    HttpPool m_toNode;
    std::map<std::uint64_t, std::pair<std::unique_ptr<HttpExchange>, Timer>> m_running;
    std::deque<std::unique_ptr<HttpExchange>> m_queued;
    std::function<void(std::uint64_t)> m_onAcknowledged;
    std::function<void(const Call&)> m_onCallEnded;
    std::map<std::uint64_t, Timer> m_calls; ///< until the next call, by number of the request
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_runs = 0;
    std::size_t m_healthChecks = 0;
    std::size_t m_acknowledged = 0;
    bool m_saysIll = false;
    Timer m_first;
    Timer m_heartbeat;
};

} // namespace robinrun::review
