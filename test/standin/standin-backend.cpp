/// \file Stand-in for a backend server: slots, service times, cold start, drain, fail-fast, slow-down, and
/// load and health endpoints that lag or lie. It judges the system: it counts what ran, and what ran twice.
///
/// Usage: standin-backend ip:port slots mean_ms sigma [cold_seconds]. Faults: POST /control?field=value.

#include "Core/Loop.h"
#include "Core/Random.h"
#include "Core/Time.h"
#include "Http/HttpServer.h"
#include "Http/HttpStatus.h"
#include "Node/Timer.h"

#include <csignal>
#include <cstdlib>
#include <event2/event.h>
#include <iostream>
#include <list>
#include <unordered_map>

namespace {

using namespace robinrun;

using namespace httpStatus;

/// A cold server takes this many times as long at first, and less and less until it is warm.
constexpr double coldFactor = 4;

struct Options {
    std::string address;
    std::uint32_t slots = 12;
    double meanMs = 10;
    double sigma = 0.5;
    double coldSeconds = 0;
};

class Backend {
public:
    Backend(event_base* base, const Options& options)
        : m_base(base)
        , m_options(options)
        , m_random(std::hash<std::string>()(options.address))
        , m_started(monotonicNow())
    {
    }

    void take(std::unique_ptr<HttpExchange> exchange)
    {
        const auto& target = exchange->request().target;
        const auto path = target.substr(0, target.find('?'));
        if (path == "/control")
            return control(*exchange);
        if (path == "/counts")
            return counts(*exchange);
        if (path == "/health" || path == "/load")
            return probe(*exchange, path);
        run(std::move(exchange));
    }

private:
    static double number(const HttpExchange& exchange, const std::string& name, double standard)
    {
        const auto& target = exchange.request().target;
        const auto at = target.find(name + "=");
        return at == std::string::npos ? standard : std::atof(target.c_str() + at + name.size() + 1);
    }

    void control(HttpExchange& exchange)
    {
        m_slowFactor = number(exchange, "slow", m_slowFactor);
        m_isDraining = number(exchange, "drain", m_isDraining) != 0;
        m_failsFast = number(exchange, "fail", m_failsFast) != 0;
        m_lies = number(exchange, "lie", m_lies) != 0;
        m_limit = number(exchange, "limit", m_limit);
        exchange.reply({ ok, {}, "set\n" });
    }

    void counts(HttpExchange& exchange) const
    {
        exchange.reply({ ok, { { "Content-Type", "application/json" } },
            "{\"ran\":" + std::to_string(m_ran) + ",\"ran_twice\":" + std::to_string(m_ranTwice)
                + ",\"shed\":" + std::to_string(m_shed) + ",\"probes\":" + std::to_string(m_probes)
                + ",\"ran_while_draining\":" + std::to_string(m_ranWhileDraining)
                + ",\"most_in_use\":" + std::to_string(m_mostInUse) + "}\n" });
    }

    void probe(HttpExchange& exchange, const std::string& path)
    {
        ++m_probes;
        const auto shown = m_lies ? 0 : m_inUse;
        HttpHeaders headers;
        addStatements(headers);
        exchange.reply({ ok, std::move(headers),
            path == "/load" ? "{\"in_use\":" + std::to_string(shown) + "}\n" : "ok\n" });
    }

    Duration serviceTime()
    {
        double ms = m_random.logNormal(m_options.meanMs, m_options.sigma) * m_slowFactor;
        const double age = toSeconds(monotonicNow() - m_started);
        if (age < m_options.coldSeconds)
            ms *= 1 + (coldFactor - 1) * (1 - age / m_options.coldSeconds);
        return fromSeconds(ms / 1000);
    }

    void run(std::unique_ptr<HttpExchange> exchange)
    {
        if (m_failsFast)
            return exchange->reply({ internalError, {}, "failing\n" });
        if (m_inUse >= m_options.slots) {
            ++m_shed;
            return exchange->reply({ unavailable, {}, "no slot\n" });
        }
        ++m_ran;
        m_ranWhileDraining += m_isDraining;
        const auto nonce = findHeader(exchange->request().headers, "Nonce");
        const auto once = findHeader(exchange->request().headers, "Once");
        if (nonce && once && ++m_onceRuns[std::string(*nonce)] == 2)
            ++m_ranTwice;
        m_mostInUse = std::max(m_mostInUse, ++m_inUse);
        const auto id = ++m_lastId;
        auto& job = m_jobs[id];
        job.start = monotonicNow();
        job.exchange = std::move(exchange);
        // A caller that cancels frees the slot.
        job.exchange->onHangUp([this, id] { end(id); });
        job.timer = Timer::once(m_base, serviceTime(), [this, id] {
            auto& done = m_jobs.at(id);
            answer(*done.exchange, monotonicNow() - done.start);
            end(id);
        });
    }

    void end(std::uint64_t id)
    {
        --m_inUse;
        m_jobs.erase(id);
    }

    /// \brief Adds what each answer states about this server.
    void addStatements(HttpHeaders& headers) const
    {
        headers.emplace_back("Backend-State", m_isDraining ? "draining" : "up");
        if (m_limit >= 0)
            headers.emplace_back("Backend-Rate-Limit", std::to_string(m_limit));
    }

    void answer(HttpExchange& exchange, Duration held) const
    {
        const auto nonce = findHeader(exchange.request().headers, "Nonce").value_or("none");
        const auto length = findHeader(exchange.request().headers, "Answer-Bytes");
        std::string body = "nonce=" + std::string(nonce) + ";";
        const auto n = length ? static_cast<std::size_t>(std::atoi(std::string(*length).c_str())) : 0;
        if (body.size() < n)
            body.append(n - body.size(), 'x');
        HttpHeaders headers { { "Nonce", std::string(nonce) },
            { "Backend-Held-Us", std::to_string(held.count()) } };
        addStatements(headers);
        exchange.reply({ ok, std::move(headers), std::move(body) });
    }

    struct Job {
        std::unique_ptr<HttpExchange> exchange;
        Instant start;
        Timer timer;
    };

    event_base* m_base;
    Options m_options;
    Random m_random;
    Instant m_started;
    double m_slowFactor = 1;
    double m_limit = -1; ///< requests a second, as its answers name it; below 0: none
    bool m_isDraining = false;
    bool m_failsFast = false;
    bool m_lies = false;
    std::uint32_t m_inUse = 0;
    std::uint32_t m_mostInUse = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_ran = 0;
    std::uint64_t m_ranTwice = 0;
    std::uint64_t m_ranWhileDraining = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_probes = 0;
    std::unordered_map<std::uint64_t, Job> m_jobs;
    std::unordered_map<std::string, int> m_onceRuns;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "usage: standin-backend ip:port slots mean_ms sigma [cold_seconds]\n";
        return 2;
    }
    Options options { argv[1], static_cast<std::uint32_t>(std::atoi(argv[2])), std::atof(argv[3]),
        std::atof(argv[4]), argc > 5 ? std::atof(argv[5]) : 0 };
    std::signal(SIGPIPE, SIG_IGN);
    const auto loop = makeLoop();
    auto* base = loop.get();
    Backend backend(base, options);
    auto server = HttpServer::listen(base, { options.address, 64U << 20U, 32U << 10U, 60s },
        [&](std::unique_ptr<HttpExchange> exchange) { backend.take(std::move(exchange)); });
    if (!server) {
        std::cerr << server.error() << "\n";
        return 1;
    }
    event_base_dispatch(base);
}
