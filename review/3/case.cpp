/// \file Nodes are stopped in turn while the upstreams beside them work on long requests and make calls for
/// them. Does a node break a call off that it has passed on?

#include "Core/Loop.h"
#include "review/standins/Site.h"

#include <algorithm>
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
constexpr std::size_t hosts = 7;
constexpr std::size_t shops = 4; ///< the others are of the service that is called
constexpr int longestMs = 6000;
constexpr Duration longWork = 5800ms;
constexpr Duration callWork = 300ms;
constexpr Duration callTimeout = 1s; ///< of the route of the calls; their deadline is that of the request
constexpr std::size_t requestsInTurn = 16;
constexpr Duration beforeStop = 200ms;
constexpr double notExcusedAfter
    = 3; ///< s: calls sent later are not excused by a run at the end of the grace
constexpr double countedUntil = 7; ///< s: 1 s after grace_s

struct Stop {
    std::string node;
    double at = 0;
};

struct EndedCall {
    std::string node;
    Upstream::Call call;
};

/// \brief All that the clients, the upstreams and the platform see.
struct Seen {
    std::vector<Stop> stops;
    std::vector<EndedCall> calls;
    std::size_t answered = 0;
    std::size_t served = 0;
    std::map<std::string, double> runs; ///< by id of the request: when an upstream began
};

double nowSeconds()
{
    return toSeconds(monotonicNow().time_since_epoch());
}

void sendLong(Site& site, std::size_t host, const std::string& id, Seen& seen)
{
    HttpPool::Options options;
    options.address = site.hosts()[host]->outbound;
    options.connectTimeout = 1s;
    auto pool = std::make_shared<HttpPool>(site.base(), options);
    site.note("sent " + id + " to " + site.hosts()[host]->name);
    pool->send({ "GET", "/read/" + id,
                   { { "Host", "hulo84.example" }, { "X-Robinrun-Request-Id", id },
                       { "X-Robinrun-Deadline-Ms", std::to_string(longestMs) } },
                   "" },
        std::chrono::milliseconds(longestMs + 500),
        [&site, &seen, id, pool](const Result<HttpReply, HttpError>& reply) {
            const int status = reply ? reply.value().status : 0;
            ++seen.answered;
            seen.served += status == 200 ? 1 : 0;
            site.note("answered " + id + " " + std::to_string(status));
        });
}

/// \returns whether the node ended \a it, by an answer of its own or none, while an upstream was at work.
bool isBrokenOff(const EndedCall& it, const Seen& seen)
{
    const auto run = seen.runs.find(it.call.id);
    const bool hasNoAnswer = it.call.status == 0 || it.call.status == 502 || it.call.status == 504;
    const bool isAtWork = run != seen.runs.end() && it.call.endedAt - run->second < toSeconds(callWork);
    const double allowed = std::min(it.call.allowed, toSeconds(callTimeout));
    const bool isOverTime = it.call.endedAt - it.call.sentAt >= allowed;
    if (!hasNoAnswer || !isAtWork || isOverTime)
        return false;
    for (const auto& stop : seen.stops) {
        const double after = it.call.sentAt - stop.at;
        if (stop.node == it.node && after > notExcusedAfter && after < countedUntil)
            return true;
    }
    return false;
}

int play(Site& site, Seen& seen, bool hasTrouble)
{
    site.pass(lead);
    if (!site.areAllReady()) {
        std::cout << "the nodes did not get ready\n";
        return couldNotRun;
    }
    for (std::size_t i = 0; i < shops; ++i) {
        auto& host = *site.hosts()[i];
        for (std::size_t k = 0; k < requestsInTurn; ++k) {
            const auto from = k % hosts == i ? (k + 1) % hosts : k % hosts;
            sendLong(site, from, "r" + std::to_string(i) + "x" + std::to_string(k), seen);
        }
        site.pass(beforeStop);
        if (hasTrouble) {
            seen.stops.push_back({ host.name, nowSeconds() });
            site.stop(host);
        }
        site.pass(9s);
    }
    std::size_t lost = 0;
    for (const auto& it : seen.calls) {
        if (!isBrokenOff(it, seen))
            continue;
        ++lost;
        std::cout << "broken off: " << it.call.id << " by " << it.node << ", status " << it.call.status
                  << "\n";
    }
    std::cout << seen.served << " of " << seen.answered << " requests served; of " << seen.calls.size()
              << " calls " << lost
              << " broken off by a node that was stopped, while their upstream was at work\n";
    if (seen.calls.size() < 100)
        return couldNotRun;
    return lost > 0 ? broken : held;
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
        options.hosts = hosts;
        options.firstOfLedger = shops;
        options.longestMs = longestMs;
        options.upstream.work = callWork;
        options.upstream.longPath = "/read/";
        options.upstream.longWork = longWork;
        options.upstream.callPath = "/check/";
        Site site(base.get(), options);
        Seen seen;
        site.onRun([&](const std::string& id) { seen.runs.try_emplace(id, nowSeconds()); });
        for (auto& it : site.hosts()) {
            it->upstream->onCallEnded([&, name = it->name](const Upstream::Call& call) {
                seen.calls.push_back({ name, call });
                site.note(
                    "call " + call.id + " through " + name + " answered " + std::to_string(call.status));
            });
        }
        return play(site, seen, !text || std::string(text) != "0");
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << "\n";
        return couldNotRun;
    }
}
