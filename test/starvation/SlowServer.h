#pragma once

#include "Core/Random.h"
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

namespace robinrun::starvation {

struct CallKind;

/// \brief Counts of the nested calls that backend servers make.
struct NestedCounts {
    std::size_t sent = 0;
    std::size_t served = 0;
};

/// \brief A backend server with slots, a short queue and phases in which work takes several times as long.
///
/// It announces itself to the node beside it, reports its load, and makes nested calls through that node.
class SlowServer {
public:
    struct Options {
        std::string address;
        std::string announcements; ///< Of the node beside it.
        std::string callers; ///< Of the node beside it.
        std::string service;
        std::string dataHall;
        std::string id;
        std::size_t slots = 6;
        std::size_t queue = 24;
        double slowShare = 0.25; ///< Share of the phases that are slow.
        double slowFactor = 7;
        Duration phase = 500ms;
    };

    SlowServer(event_base* base, Options options, std::uint64_t seed, NestedCounts& nested);

    std::size_t runs() const { return m_runs; }

private:
    struct Run {
        std::unique_ptr<HttpExchange> exchange;
        const CallKind* kind = nullptr;
        Instant deadline {};
        unsigned nestedLeft = 0;
        Timer step;
    };

    void take(std::unique_ptr<HttpExchange> exchange);
    void start(std::unique_ptr<HttpExchange> exchange);
    void work(std::uint64_t number, Duration length);
    void callNested(std::uint64_t number);
    void end(std::uint64_t number, int status);
    void startQueued();
    void announce();
    std::string load() const;

    event_base* m_base;
    Options m_options;
    Random m_random;
    NestedCounts* m_nested;
    HttpPool m_toNode;
    HttpPool m_nestedCalls;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::uint64_t, Run> m_running;
    std::deque<std::unique_ptr<HttpExchange>> m_queued;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_runs = 0;
    double m_slowdown = 1;
    Timer m_heartbeat;
    Timer m_phase;
};

} // namespace robinrun::starvation
