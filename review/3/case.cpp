/// \file Nodes are killed and start again while the store is slow; clients keep the connections that they
/// made meanwhile. Are their proper requests taken afterwards?

#include "Core/Loop.h"
#include "review/standins/Site.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace robinrun;
using namespace robinrun::review;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

constexpr Duration lead = 8s;
constexpr std::size_t clientsOfHost = 10;
constexpr Duration betweenRequests = 500ms;
constexpr Duration deadline = 1s;
constexpr Duration slowAnswer = 240ms; ///< 60 times the usual 4 ms
constexpr Duration calm = 8s; ///< after the last disruption, until long requests come
/// A proper body: `max_body_bytes` is 67,108,864.
constexpr std::size_t bodyBytes = 100'000;

/// \brief One client: it keeps its connection for many requests.
class Client {
public:
    struct Counts {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t denied = 0; ///< by a 3xx or 4xx other than 408, 421 and 429
        std::size_t longSent = 0;
        std::size_t longServed = 0;
        std::size_t longDenied = 0;
    };

    Client(Site& site, Site::Host& host, std::string name, Counts& counts, Duration first)
        : m_site(&site)
        , m_host(&host)
        , m_name(std::move(name))
        , m_counts(&counts)
        , m_pool(site.base(), optionsFor(host))
    {
        m_first = Timer::once(site.base(), first,
            [this] { m_timer = Timer::repeating(m_site->base(), betweenRequests, [this] { sendNext(); }); });
    }

    void sendLong() { m_isLongDue = true; }

private:
    static HttpPool::Options optionsFor(const Site::Host& host)
    {
        HttpPool::Options options;
        options.address = host.outbound;
        options.maxConnections = 1;
        options.connectTimeout = 1s;
        return options;
    }

    void sendNext()
    {
        if (m_isOut || !m_site->getsWork(*m_host))
            return;
        const bool isLong = std::exchange(m_isLongDue, false);
        const auto id = m_name + "-" + std::to_string(++m_lastNumber);
        const HttpRequest request { isLong ? "POST" : "GET", (isLong ? "/buy/" : "/read/") + id,
            { { "Host", "hulo84.example" }, { "X-Robinrun-Request-Id", id },
                { "X-Robinrun-Deadline-Ms", std::to_string(static_cast<int>(toMilliseconds(deadline))) } },
            isLong ? std::string(bodyBytes, 'x') : "" };
        ++m_counts->sent;
        m_counts->longSent += isLong ? 1 : 0;
        m_isOut = true;
        m_site->note("sent " + id + " " + request.method + " with " + std::to_string(request.body.size())
            + " bytes to " + m_host->name);
        m_pool.send(request, deadline + 500ms, [this, id, isLong](const Result<HttpReply, HttpError>& reply) {
            m_isOut = false;
            const int status = reply ? reply.value().status : 0;
            const bool isServed = status >= 200 && status < 300;
            const bool isDenied
                = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
            m_counts->served += isServed ? 1 : 0;
            m_counts->denied += isDenied ? 1 : 0;
            m_counts->longServed += isServed && isLong ? 1 : 0;
            m_counts->longDenied += isDenied && isLong ? 1 : 0;
            m_site->note(std::string(isLong ? "long " : "short ") + id + " at " + m_host->name + " answered "
                + std::to_string(status));
        });
    }

    Site* m_site;
    Site::Host* m_host;
    std::string m_name;
    Counts* m_counts;
    HttpPool m_pool;
    std::uint64_t m_lastNumber = 0;
    bool m_isOut = false;
    bool m_isLongDue = false;
    Timer m_first;
    Timer m_timer;
};

int play(Site& site, bool hasTrouble)
{
    site.pass(lead);
    if (!site.areAllReady()) {
        std::cout << "the nodes did not get ready\n";
        return couldNotRun;
    }
    Client::Counts counts;
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < site.hosts().size() * clientsOfHost; ++i) {
        const auto first = betweenRequests * static_cast<int>(i) / static_cast<int>(clientsOfHost);
        clients.push_back(std::make_unique<Client>(site, *site.hosts()[i / clientsOfHost],
            "c" + std::to_string(i), counts, std::max<Duration>(first % betweenRequests, 1ms)));
    }
    site.pass(3s);
    for (auto& it : site.hosts()) {
        if (hasTrouble) {
            site.store().setDelay(slowAnswer);
            site.note("the store is slow");
        }
        site.pass(500ms);
        if (hasTrouble)
            site.kill(*it, 100ms);
        site.pass(2500ms);
        site.store().setDelay(4ms);
        site.note("the store is as usual");
        site.pass(2s);
    }
    site.pass(calm);
    for (auto& it : clients)
        it->sendLong();
    site.pass(4s);
    const double allowed = 5 + static_cast<double>(counts.sent) / 500;
    std::cout << counts.sent << " requests sent, " << counts.served << " served, " << counts.denied
              << " denied, " << allowed << " allowed; of " << counts.longSent << " long ones "
              << counts.longServed << " served, " << counts.longDenied << " denied\n";
    if (counts.longSent < clients.size() / 2)
        return couldNotRun;
    return static_cast<double>(counts.denied) > allowed ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: case ROOT FOLDER RECORD\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* text = std::getenv("TROUBLE");
    try {
        const auto base = makeLoop();
        Site::Options options;
        options.root = argv[1];
        options.folder = argv[2];
        options.recordFile = argv[3];
        Site site(base.get(), options);
        return play(site, !text || std::string(text) != "0");
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << "\n";
        return couldNotRun;
    }
}
