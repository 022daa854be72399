#include "support/CrashFixture.h"

#include <catch2/catch.hpp>

/// \file Tests requests that crash the backend servers which run them, with whole nodes.
///
/// Guards against one request that crashes all servers of a service again and again, so that most other
/// requests fail. Such a request comes back with the same content under another id at any node, and is
/// retried after a broken run as if its answer had been lost. Unless nodes recognize the content and share
/// their crash reports, each attempt goes to the next server that is up.

using namespace robinrun;
using support::CrashFixture;

TEST_CASE("A request that has crashed three servers is not sent to a server again", "[crash]")
{
    CrashFixture f;
    f.crashOnTargetSuffix("/poison");
    f.crashServers(3, "/read/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    const auto before = f.runCount("/read/poison");
    for (std::size_t i = 0; i < 20; ++i) {
        f.call(i % f.places.size(), "GET", "/read/poison");
        f.pass(20ms);
    }
    CHECK(f.runCount("/read/poison") - before == 0);
    f.until([&] { return f.areAllServersUp(); });
    for (std::size_t i = 0; i < f.places.size(); ++i)
        f.untilServed(i);
}

namespace {

/// \returns the value of the metric \a name at a node; -1 if the node does not export it.
double metricValue(CrashFixture& f, std::size_t node, const std::string& name)
{
    const auto text = f.send(f.places[node].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

/// \brief Requests \a path at each node in turn, \a rounds times. \returns how often it began to run at a
/// server.
std::size_t countRuns(CrashFixture& f, const std::string& path, std::size_t rounds)
{
    const auto before = f.runCount(path);
    for (std::size_t i = 0; i < rounds * f.places.size(); ++i)
        f.call(i % f.places.size(), "GET", path);
    return f.runCount(path) - before;
}

} // namespace

TEST_CASE("A held request is refused at once, with a reason and a Retry-After header", "[crash]")
{
    CrashFixture f;
    f.crashOnTargetSuffix("/poison");
    f.crashServers(3, "/read/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    const auto reply = f.call(0, "GET", "/read/poison");
    CHECK(reply.status == 503);
    CHECK(findHeader(reply.headers, "Robinrun-Outcome") == "not-run");
    CHECK(findHeader(reply.headers, "Robinrun-Reason") == "crashes-servers");
    const auto retryAfter = std::stod(std::string(*findHeader(reply.headers, "Retry-After")));
    CHECK(retryAfter > 500); // The first trial is ten minutes after the last crash.
    CHECK(retryAfter <= 600);
}

TEST_CASE("Requests that differ from a held one in their query or body are still served", "[crash]")
{
    CrashFixture f;
    f.crashOnTargetSuffix("/poison");
    f.crashServers(3, "/read/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    f.until([&] { return f.areAllServersUp(); });
    for (std::size_t i = 0; i < f.places.size(); ++i) {
        f.untilServed(i);
        CHECK(f.call(i, "GET", "/read/poison?x=1").status != 503);
        f.until([&] { return f.areAllServersUp(); });
        auto withBody = f.request("GET", "/read/poison");
        withBody.body = "other";
        for (auto& it : f.places)
            it.backend->crashesOn = nullptr;
        f.untilServed(i);
        CHECK(f.send(f.places[i].settings.listen.callers, withBody).status == 200);
    }
}

TEST_CASE("Nodes still hold back a request after some or all of them restart", "[crash]")
{
    CrashFixture f;
    f.crashOnTargetSuffix("/poison");
    f.crashServers(3, "/read/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    const bool restartsAll = GENERATE(false, true);
    INFO(restartsAll);
    for (std::size_t i = restartsAll ? 0 : f.places.size() - 2; i < f.places.size(); ++i)
        f.places[i].node.reset();
    for (std::size_t i = 0; i < f.places.size(); ++i) {
        if (!f.places[i].node)
            f.startNode(i);
    }
    // The request is not sent before the nodes are ready either.
    CHECK(countRuns(f, "/read/poison", 3) == 0);
    f.pass(CrashFixture::maxPropagationDelay);
    for (std::size_t i = 0; i < f.places.size(); ++i)
        f.untilServed(i);
    CHECK(countRuns(f, "/read/poison", 2) == 0);
}

TEST_CASE("A new node learns of earlier crashes before it sends requests", "[crash]")
{
    CrashFixture f;
    f.crashOnTargetSuffix("/poison");
    f.crashServers(3, "/read/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    const auto newNode = f.add("shop", "h2");
    f.startHeartbeats(newNode);
    f.places[newNode].backend->crashesOn = f.places[1].backend->crashesOn;
    for (int i = 0; i < 30; ++i) {
        f.call(newNode, "GET", "/read/poison");
        f.pass(5ms);
    }
    CHECK(f.runCount("/read/poison") == f.crashCount());
    f.untilServed(newNode);
    f.call(newNode, "GET", "/read/poison");
    CHECK(f.runCount("/read/poison") == f.crashCount());
}

TEST_CASE("A crash report is made only if a server ends unexpectedly while calls run on it", "[crash]")
{
    CrashFixture f(1);
    auto& backend = *f.places[1].backend;
    const auto newReportsAfter = [&](const std::function<void()>& cause) {
        backend.holds = true;
        const auto before = metricValue(f, 0, "robinrun_crash_reports");
        const auto held = backend.held.size();
        f.sendWithoutWaiting(0, f.request("GET", "/read/harmless"));
        f.until([&] { return backend.held.size() > held; });
        cause();
        backend.holds = false;
        f.pass(400ms);
        f.until([&] { return f.areAllServersUp(); });
        f.untilServed(0);
        return metricValue(f, 0, "robinrun_crash_reports") - before;
    };
    SECTION("a killed server is reported, but one strike holds back nothing")
    {
        CHECK(newReportsAfter([&] { backend.crash(); }) == 1);
        CHECK(metricValue(f, 0, "robinrun_requests_held") == 0);
        CHECK(f.call(0, "GET", "/read/harmless").status == 200);
    }
    SECTION("reset connections are not reported")
    {
        CHECK(newReportsAfter([&] {
            backend.stop();
            backend.held.clear();
            backend.start();
        }) == 0);
    }
    SECTION("a server that announced its end is not reported")
    {
        CHECK(newReportsAfter([&] {
            REQUIRE(f.announce(1, "draining", 100'000) == 200);
            backend.crash();
        }) == 0);
    }
    SECTION("a lost answer is not reported")
    {
        backend.hangsUp = true;
        const auto before = metricValue(f, 0, "robinrun_crash_reports");
        f.call(0, "GET", "/read/harmless");
        backend.hangsUp = false;
        f.pass(400ms);
        CHECK(metricValue(f, 0, "robinrun_crash_reports") == before);
    }
}

TEST_CASE("A frequent request that succeeds between crashes is still served", "[crash]")
{
    CrashFixture f;
    f.crashOnTargetSuffix("/poison");
    std::vector<Timer> callTimers;
    for (std::size_t i = 0; i < f.places.size(); ++i)
        callTimers.push_back(Timer::repeating(
            f.base.get(), 20ms, [&f, i] { f.sendWithoutWaiting(i, f.request("GET", "/read/often")); }));
    f.crashServers(3, "/read/other/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    f.crashServers(f.crashCount() + 3, "/read/poison");
    f.pass(CrashFixture::maxPropagationDelay);
    callTimers.clear();
    f.until([&] { return f.areAllServersUp(); });
    for (std::size_t i = 0; i < f.places.size(); ++i) {
        f.untilServed(i);
        CHECK(f.call(i, "GET", "/read/often").status == 200);
        CHECK(metricValue(f, i, "robinrun_requests_held") >= 1);
    }
}

TEST_CASE(
    "Of two requests that ran at the same crashes, a successful trial frees the harmless one", "[crash]")
{
    CrashFixture f(1);
    f.crashOnTargetSuffix("/poison");
    auto& backend = *f.places[1].backend;
    for (int i = 0; i < 3; ++i) {
        backend.holds = true;
        f.until([&] {
            f.sendWithoutWaiting(0, f.request("GET", "/read/beside"));
            f.pass(20ms);
            return !backend.held.empty();
        });
        f.sendWithoutWaiting(0, f.request("GET", "/read/poison"));
        f.until([&] { return backend.crashes > i; });
        f.until([&] { return backend.isUp(); });
        f.pass(4 * CrashFixture::heartbeatInterval);
    }
    backend.holds = false;
    REQUIRE(metricValue(f, 0, "robinrun_requests_held") == 2);
    CHECK(f.call(0, "GET", "/read/beside").status == 503);
    const auto trialDelay = CrashTracker::Options().ambiguousTrialDelay;
    f.pass(trialDelay + 100ms);
    CHECK(f.call(0, "GET", "/read/beside").status == 200);
    CHECK(f.call(0, "GET", "/read/beside").status == 200);
    f.pass(CrashFixture::maxPropagationDelay);
    // The other request is now the only possible cause, so its trial is later.
    CHECK(f.call(0, "GET", "/read/poison").status == 503);
    CHECK(backend.crashes == 3);
    CHECK(metricValue(f, 0, "robinrun_requests_held") == 1);
}
