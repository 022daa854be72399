#include "support/RawCaller.h"
#include "support/ShopFixture.h"

#include <catch2/catch.hpp>

/// \file The last moments of a mesh node: what its callers and its peers get before it ends.

using namespace robinrun;
using support::RawCaller;
using support::ShopFixture;

namespace {

constexpr std::size_t longBody = 24U << 20U;

/// \brief Stops a node of the shop and ends it as its process would.
struct DrainFixture : ShopFixture {
    /// \brief Starts node \a i anew with a short drain.
    void shorten(std::size_t i, Duration lameDuck, Duration drainTimeout)
    {
        places[i].node.reset();
        places[i].settings.lameDuck = lameDuck;
        places[i].settings.drainTimeout = drainTimeout;
        startNode(i);
        untilServed(i);
    }

    /// \brief Runs until the node that was told to stop has ended the loop. \returns whether it did.
    bool runToEnd()
    {
        const auto limit = Timer::once(base.get(), 9s, [&] { event_base_loopbreak(base.get()); });
        event_base_dispatch(base.get());
        return !event_base_got_break(base.get());
    }

    std::string get(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Robinrun-Request-Id: q"
            + std::to_string(++lastRequest) + "\r\nX-Robinrun-Deadline-Ms: 6000\r\n\r\n";
    }

    /// \brief Lets the backend server beside node \a i run a call of that node, and hold it. \returns the
    /// call.
    HttpRequest holdRun(std::size_t i)
    {
        auto& own = places[i];
        own.backend->holds = true;
        HttpRequest parent;
        for (int n = 0; n < 20 && own.backend->held.empty(); ++n) {
            parent = request("GET", "/read/x");
            start(own.settings.listen.callers, parent);
            pass(20ms);
        }
        REQUIRE(own.backend->held.size() == 1);
        return parent;
    }

    /// \returns a call that the backend server makes for \a parent.
    HttpRequest nestedIn(const HttpRequest& parent, const std::string& method, const std::string& path)
    {
        auto out = request(method, path);
        out.headers[1].second = parent.headers[1].second + ".1";
        return out;
    }

    RawCaller callerOf(std::size_t i) { return RawCaller(base.get(), places[i].settings.listen.callers); }
};

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (auto i = text.find(part); i != std::string::npos; i = text.find(part, i + 1))
        ++n;
    return n;
}

} // namespace

// Answers that were given but not yet taken by a slow link went with the process.
TEST_CASE("A node that stops stays until its callers have a long answer", "[drain]")
{
    DrainFixture f;
    f.shorten(1, 50ms, 5s);
    auto caller = f.callerOf(1);
    f.places[1].backend->instead = [&](const HttpRequest& request) {
        auto reply = f.places[1].backend->signedReply(request);
        reply.body.assign(longBody, 'b');
        return reply;
    };
    f.places[2].backend->instead = f.places[1].backend->instead;
    caller.write(f.get("/read/x"));
    f.pass(150ms);
    f.places[1].node->stop();
    Timer reading;
    const auto rest = Timer::once(f.base.get(), 600ms, [&] { reading = caller.readInBackground(); });
    REQUIRE(f.runToEnd());
    f.places[1].node.reset();
    const auto answer = caller.readAll();
    REQUIRE(answer.size() > longBody);
}

// Requests in progress at the limit of the drain were cut without an answer.
TEST_CASE("At the limit of its drain a node answers what is in progress", "[drain]")
{
    DrainFixture f;
    f.shorten(1, 50ms, 600ms);
    f.places[1].backend->holds = true;
    f.places[2].backend->holds = true;
    auto caller = f.callerOf(1);
    caller.write(f.get("/read/x"));
    f.until([&] { return f.places[1].backend->held.size() + f.places[2].backend->held.size() == 1; });
    f.places[1].node->stop();
    REQUIRE(f.runToEnd());
    f.places[1].node.reset();
    const auto answer = caller.readAll();
    REQUIRE(answer.starts_with("HTTP/1.1 504 "));
    REQUIRE(answer.find("Robinrun-Outcome: unknown") != std::string::npos);
}

// Requests that were read while another one was answered were dropped once the node had been told to stop.
TEST_CASE("A node that stops answers the requests that wait behind another one", "[drain]")
{
    DrainFixture f;
    f.shorten(1, 50ms, 3s);
    f.places[1].backend->holds = true;
    f.places[2].backend->holds = true;
    auto caller = f.callerOf(1);
    caller.write(f.get("/read/x") + f.get("/read/y"));
    const auto held = [&] { return f.places[1].backend->held.size() + f.places[2].backend->held.size(); };
    f.until([&] { return held() == 1; });
    f.places[1].node->stop();
    f.pass(100ms);
    for (const auto i : { 1, 2 }) {
        f.places[i].backend->holds = false;
        if (!f.places[i].backend->held.empty())
            f.places[i].backend->answer(0);
    }
    REQUIRE(f.runToEnd());
    f.places[1].node.reset();
    const auto answers = caller.readAll();
    REQUIRE(count(answers, "HTTP/1.1 ") == 2);
    REQUIRE(answers.starts_with("HTTP/1.1 200 "));
    REQUIRE(count(answers, "Connection: close") == 1);
}

// Nested calls of runs in progress were refused once their node drained, so that the runs failed.
TEST_CASE("A node that drains serves the calls that its backend server makes for runs in progress", "[drain]")
{
    DrainFixture f;
    f.shorten(1, 50ms, 5s);
    auto& own = f.places[1];
    const auto parent = f.holdRun(1);
    own.backend->holds = false;
    own.node->stop();
    f.pass(200ms);
    REQUIRE(f.send(own.settings.listen.callers, f.nestedIn(parent, "GET", "/read/y")).status == 200);
    REQUIRE(f.send(own.settings.listen.callers, f.request("GET", "/read/z")).status == 503);
    own.backend->answer(0);
    REQUIRE(f.runToEnd());
}

// Nested calls were taken without regard to the end of the drain, where they were broken off (LOST).
TEST_CASE("A node that drains refuses nested calls that are likely to outlive it", "[drain]")
{
    DrainFixture f;
    f.shorten(1, 50ms, 2s);
    auto& own = f.places[1];
    const auto parent = f.holdRun(1);
    f.places[2].backend->holds = true;
    own.node->stop();
    f.pass(200ms);
    // No purchase was made here before: it may take its target latency of 5 s.
    const auto ran = f.ran();
    const auto answer = f.send(own.settings.listen.callers, f.nestedIn(parent, "POST", "/buy/y"));
    REQUIRE(answer.status == 503);
    REQUIRE(findHeader(answer.headers, "Robinrun-Outcome") == "not-run");
    REQUIRE(f.ran() == ran);
    own.backend->answer(0);
    REQUIRE(f.runToEnd());
}

// A request that came before the readiness changed was taken, however long it was likely to run.
TEST_CASE("A node that was told to stop refuses requests that are likely to outlive it", "[drain]")
{
    DrainFixture f;
    f.shorten(1, 1500ms, 2s);
    for (const auto i : { 1, 2 })
        f.places[i].backend->holds = true;
    f.places[1].node->stop();
    const auto ran = f.ran();
    REQUIRE(f.call(1, "POST", "/buy/y").status == 503);
    REQUIRE(f.ran() == ran);
    REQUIRE(f.runToEnd());
}
