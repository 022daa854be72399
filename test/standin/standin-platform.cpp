/// \file Stand-in for the users' platform: an append-only log and a host list, with the faults of the real
/// ones.
///
/// The protocol is docs/PLATFORM.md. Faults are set by POST /control?field=value, see `applyControl`.

#include "Core/Loop.h"
#include "Core/Random.h"
#include "Core/Time.h"
#include "Http/HttpServer.h"
#include "Http/HttpStatus.h"
#include "Node/Timer.h"
#include "Platform/HttpPlatform.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <event2/event.h>
#include <iostream>
#include <list>
#include <map>
#include <sstream>

namespace {

using namespace robinrun;

using namespace httpStatus;

/// The log has been there for long when the stand-in starts; only a replaced one is new.
constexpr std::int64_t dayMs = 86400000;

struct Record {
    std::int64_t atMs;
    std::string payload;
};

struct Stream {
    std::uint64_t first = 0;
    std::deque<Record> records;
    std::uint64_t end() const { return first + records.size(); }
};

struct WaitingRead {
    std::string stream;
    std::uint64_t from;
    std::size_t limit;
    std::int64_t untilMs;
    std::unique_ptr<HttpExchange> exchange;
};

struct ListedHost {
    std::string line; ///< as in the protocol, without the state
    std::string state;
    std::uint64_t version;
};

/// \brief The faults that are on.
struct Faults {
    std::int64_t outageUntilMs = 0;
    std::int64_t slowMs = 0;
    int loseReplies = 0; ///< appends that take effect while their reply is lost
    int swallowRequests = 0; ///< appends that vanish without a reply
    std::int64_t hostLagMs = 0;
    std::size_t keepRecords = 1000000;
    int appendsPerSecond = 500;
};

class Platform {
public:
    explicit Platform(event_base* base)
        : m_base(base)
        , m_createdMs(wallClockMs() - dayMs)
        , m_logId("log-" + std::to_string(m_createdMs))
    {
        m_timer = Timer::repeating(base, 5ms, [this] { tick(); });
    }

    void take(std::unique_ptr<HttpExchange> exchange)
    {
        const auto& target = exchange->request().target;
        const auto path = target.substr(0, target.find('?'));
        if (path == "/control")
            return control(*exchange);
        if (path == "/stats")
            return exchange->reply({ ok, {},
                "{\"appends\":" + std::to_string(m_appends) + ",\"reads\":" + std::to_string(m_reads)
                    + ",\"host_reads\":" + std::to_string(m_hostReads) + "}\n" });
        if (path.starts_with("/hosts/"))
            return setHost(path.substr(std::string("/hosts/").size()), *exchange);
        if (wallClockMs() < m_faults.outageUntilMs)
            return hang(std::move(exchange));
        if (path == "/hosts")
            return hosts(*exchange);
        if (path.starts_with("/streams/"))
            return stream(path, std::move(exchange));
        exchange->reply({ notFound, {}, "no such path\n" });
    }

private:
    static std::int64_t number(const HttpExchange& exchange, const std::string& name, std::int64_t standard)
    {
        const auto& target = exchange.request().target;
        for (const auto* separator : { "?", "&" }) {
            const auto at = target.find(separator + name + "=");
            if (at != std::string::npos)
                return std::atoll(target.c_str() + at + name.size() + 2);
        }
        return standard;
    }

    void control(HttpExchange& exchange)
    {
        const auto outage = number(exchange, "outage_ms", -1);
        if (outage >= 0)
            m_faults.outageUntilMs = wallClockMs() + outage;
        m_faults.slowMs = number(exchange, "slow_ms", m_faults.slowMs);
        m_faults.loseReplies = static_cast<int>(number(exchange, "lose_replies", m_faults.loseReplies));
        m_faults.swallowRequests = static_cast<int>(number(exchange, "swallow", m_faults.swallowRequests));
        m_faults.hostLagMs = number(exchange, "host_lag_ms", m_faults.hostLagMs);
        m_faults.keepRecords = static_cast<std::size_t>(
            number(exchange, "keep_records", static_cast<std::int64_t>(m_faults.keepRecords)));
        m_faults.appendsPerSecond
            = static_cast<int>(number(exchange, "appends_per_s", m_faults.appendsPerSecond));
        if (number(exchange, "replace_log", 0)) {
            m_streams.clear();
            m_createdMs = wallClockMs();
            m_logId = "log-" + std::to_string(m_createdMs);
        }
        exchange.reply({ ok, {}, "set\n" });
    }

    /// An outage answers nothing until it ends, or the asker gives up.
    void hang(std::unique_ptr<HttpExchange> exchange)
    {
        const auto it = m_hanging.insert(m_hanging.end(), std::move(exchange));
        (*it)->onHangUp([this, it] { m_hanging.erase(it); });
    }

    void stream(const std::string& path, std::unique_ptr<HttpExchange> exchange)
    {
        const auto begin = std::string("/streams/").size();
        const auto name = path.substr(begin, path.find('/', begin) - begin);
        if (exchange->request().method == "POST")
            return append(name, std::move(exchange));
        ++m_reads;
        auto read = std::make_shared<WaitingRead>(
            WaitingRead { name, static_cast<std::uint64_t>(number(*exchange, "from", 0)),
                static_cast<std::size_t>(number(*exchange, "limit", 100)),
                wallClockMs() + number(*exchange, "wait_ms", 0), std::move(exchange) });
        const auto& stream = m_streams[name];
        if (read->from >= stream.end() && wallClockMs() < read->untilMs) {
            const auto it = m_waiting.insert(m_waiting.end(), read);
            read->exchange->onHangUp([this, it] { m_waiting.erase(it); });
            return;
        }
        later([this, read] { answerRead(*read); });
    }

    void append(const std::string& name, std::unique_ptr<HttpExchange> exchange)
    {
        if (m_faults.swallowRequests > 0) {
            --m_faults.swallowRequests;
            return hang(std::move(exchange));
        }
        const auto second = wallClockMs() / 1000;
        if (second != m_second) {
            m_second = second;
            m_appendsThisSecond = 0;
        }
        if (++m_appendsThisSecond > m_faults.appendsPerSecond)
            return exchange->reply({ tooMany, {}, "too many appends\n" });
        ++m_appends;
        auto& stream = m_streams[name];
        const auto offset = stream.end();
        stream.records.push_back({ wallClockMs(), exchange->request().body });
        while (stream.records.size() > m_faults.keepRecords) {
            stream.records.pop_front();
            ++stream.first;
        }
        wakeReads(name);
        if (m_faults.loseReplies > 0) {
            --m_faults.loseReplies;
            return hang(std::move(exchange));
        }
        auto shared = std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
        later([shared, offset] {
            (*shared)->reply({ created, { { "Offset", std::to_string(offset) } }, "" });
        });
    }

    void later(std::function<void()> f)
    {
        if (!m_faults.slowMs)
            return f();
        const auto id = ++m_lastDelay;
        m_delays[id] = Timer::once(m_base, Duration(m_faults.slowMs * 1000), [this, id, f = std::move(f)] {
            f();
            m_delays.erase(id);
        });
    }

    void wakeReads(const std::string& name)
    {
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const auto read = *it;
            if (read->stream != name) {
                ++it;
                continue;
            }
            it = m_waiting.erase(it);
            read->exchange->onHangUp(nullptr);
            later([this, read] { answerRead(*read); });
        }
    }

    void answerRead(WaitingRead& read)
    {
        const auto& stream = m_streams[read.stream];
        const auto from = std::max(std::min(read.from, stream.end()), stream.first);
        std::vector<std::string> records;
        for (auto i = from; i < stream.end() && records.size() < read.limit; ++i)
            records.push_back(stream.records[i - stream.first].payload);
        const bool isTrimmed = stream.first > 0;
        const auto keptSince = !isTrimmed ? m_createdMs
            : stream.records.empty()      ? wallClockMs()
                                          : stream.records.front().atMs;
        read.exchange->reply({ ok,
            { { "Log-Id", m_logId }, { "From-Offset", std::to_string(from) },
                { "First-Offset", std::to_string(stream.first) },
                { "End-Offset", std::to_string(stream.end()) },
                { "Kept-Since-Ms", std::to_string(keptSince) } },
            frameRecords(records) });
    }

    void setHost(const std::string& name, HttpExchange& exchange)
    {
        // PUT /hosts/<name> with "<peer address> <hall> <region> <state>".
        std::istringstream in(exchange.request().body);
        std::string address;
        std::string hall;
        std::string region;
        std::string state;
        in >> address >> hall >> region >> state;
        auto change = [this, name, line = name + " " + address + " " + hall + " " + region, state] {
            m_hosts[name] = { line, state, ++m_hostsVersion };
        };
        if (m_faults.hostLagMs) {
            const auto id = ++m_lastDelay;
            m_delays[id] = Timer::once(m_base, Duration(m_faults.hostLagMs * 1000), [this, id, change] {
                change();
                m_delays.erase(id);
            });
        } else {
            change();
        }
        exchange.reply({ ok, {}, "set\n" });
    }

    void hosts(HttpExchange& exchange)
    {
        ++m_hostReads;
        const auto since = static_cast<std::uint64_t>(number(exchange, "since", 0));
        std::string body;
        for (const auto& [name, host] : m_hosts) {
            if (host.version > since)
                body += host.line + " " + host.state + "\n";
        }
        exchange.reply({ ok,
            { { "Version", std::to_string(m_hostsVersion) }, { "Whole", since == 0 ? "true" : "false" } },
            body });
    }

    void tick()
    {
        const auto now = wallClockMs();
        if (now >= m_faults.outageUntilMs) {
            // What hung through an outage is answered late; who asked has mostly gone.
            for (auto& it : std::exchange(m_hanging, {})) {
                it->onHangUp(nullptr);
                it->reply({ unavailable, {}, "was out\n" });
            }
        }
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const auto read = *it;
            if (now < read->untilMs) {
                ++it;
                continue;
            }
            it = m_waiting.erase(it);
            read->exchange->onHangUp(nullptr);
            answerRead(*read);
        }
    }

    event_base* m_base;
    std::int64_t m_createdMs;
    std::string m_logId;
    Faults m_faults;
    std::map<std::string, Stream> m_streams;
    std::map<std::string, ListedHost> m_hosts;
    std::uint64_t m_hostsVersion = 0;
    std::list<std::shared_ptr<WaitingRead>> m_waiting;
    std::list<std::unique_ptr<HttpExchange>> m_hanging;
    std::map<std::uint64_t, Timer> m_delays;
    std::uint64_t m_lastDelay = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_hostReads = 0;
    std::int64_t m_second = 0;
    int m_appendsThisSecond = 0;
    Timer m_timer;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: standin-platform ip:port\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto loop = makeLoop();
    auto* base = loop.get();
    Platform platform(base);
    auto server = HttpServer::listen(base, { argv[1], 64U << 20U, 32U << 10U, 60s },
        [&](std::unique_ptr<HttpExchange> exchange) { platform.take(std::move(exchange)); });
    if (!server) {
        std::cerr << server.error() << "\n";
        return 1;
    }
    event_base_dispatch(base);
}
