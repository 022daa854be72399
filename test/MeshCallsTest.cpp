#include "support/ShopFixture.h"

#include <catch2/catch.hpp>

/// \file What becomes of calls that go through the nodes of a mesh.

using namespace robinrun;
using support::ShopFixture;

namespace {

std::string headerAt(const HttpRequest& request, const std::string& name)
{
    return std::string(findHeader(request.headers, name).value_or("none"));
}

} // namespace

TEST_CASE("A call reaches an upstream of its route's service unchanged, and its answer comes back", "[mesh]")
{
    ShopFixture f;
    auto request = f.request("POST", "/buy/deck?x=1");
    request.headers.emplace_back("X-Robinrun-Caller-Service", "forged");
    request.headers.emplace_back("X-Other", "kept");
    const auto before = f.ran();
    const auto reply = f.send(f.places[0].settings.listen.callers, request);
    REQUIRE(reply.status == 200);
    REQUIRE(f.ran() == before + 1);
    auto& near = *f.places[1].backend; // the one in the same data hall is chosen while both are free
    const auto& ran = near.requests.back();
    REQUIRE(reply.body == "body of " + near.id);
    REQUIRE(findHeader(reply.headers, "X-Robinrun-Server-Signature") == "sig." + near.id);
    REQUIRE(ran.method == "POST");
    REQUIRE(ran.target == "/buy/deck?x=1");
    REQUIRE(ran.body == "payload");
    REQUIRE(headerAt(ran, "Host") == "a.example");
    REQUIRE(headerAt(ran, "X-Other") == "kept");
    REQUIRE(headerAt(ran, "X-Robinrun-Caller-Service") == "other");
    REQUIRE(headerAt(ran, "X-Robinrun-Target-Instance") == near.id);
    REQUIRE(headerAt(ran, "X-Robinrun-Request-Id") == headerAt(request, "X-Robinrun-Request-Id"));
    REQUIRE(std::stoi(headerAt(ran, "X-Robinrun-Deadline-Ms")) <= 6000);
    REQUIRE(f.call(0, "GET", "/nowhere/").status == 404);
}

TEST_CASE("Nothing new reaches an upstream once its leave is acknowledged, whatever it says later", "[mesh]")
{
    ShopFixture f;
    REQUIRE(f.announce(1, "draining", 10) == 200);
    REQUIRE(f.announce(1, "ready", 9) == 200); // late on its way
    REQUIRE(f.announce(1, "ready", 11) == 200);
    const auto before = f.places[1].backend->requests.size();
    for (int i = 0; i < 20; ++i)
        REQUIRE(f.call(i % 3, "GET", "/read/x").status == 200);
    REQUIRE(f.places[1].backend->requests.size() == before);
}

TEST_CASE("What runs when an upstream leaves is finished", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->holds = true;
    f.start(f.places[0].settings.listen.callers, f.request("POST", "/buy/x"));
    f.until([&] { return f.places[1].backend->held.size() == 1; });
    const auto running = std::move(f.callers.back());
    f.callers.pop_back();
    REQUIRE(f.sayGone(1) == 200);
    f.reply.reset();
    f.places[1].backend->answer(0);
    f.until([&] { return f.reply.has_value(); });
    REQUIRE(f.reply->status == 200);
}

TEST_CASE(
    "A call that must not repeat and whose answer is lost is not sent again, nor called not run", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->hangsUp = f.places[2].backend->hangsUp = true;
    const auto before = f.ran();
    const auto reply = f.call(0, "POST", "/buy/x");
    REQUIRE(f.ran() == before + 1);
    REQUIRE((reply.status == 502 || reply.status == 504));
}

TEST_CASE("A call that may repeat goes to another upstream when its answer is lost", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->hangsUp = true;
    const auto reply = f.call(0, "GET", "/read/x");
    REQUIRE(reply.status == 200);
    REQUIRE(reply.body == "body of i-n2");
}

TEST_CASE("A backend server that says it did not run the call costs nobody an answer", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->instead = [](const HttpRequest&) {
        return HttpReply { 503, { { "X-Robinrun-Not-Executed", "1" } }, "" };
    };
    const auto reply = f.call(0, "POST", "/buy/x");
    REQUIRE(reply.status == 200);
    REQUIRE(reply.body == "body of i-n2");
}

TEST_CASE("Without any upstream a call is refused at once, as not run, with a time to come back", "[mesh]")
{
    ShopFixture f;
    REQUIRE(f.announce(1, "draining", 10) == 200);
    REQUIRE(f.announce(2, "draining", 10) == 200);
    const auto before = f.ran();
    const auto reply = f.call(0, "POST", "/buy/x");
    REQUIRE(reply.status == 503);
    const auto retryAfter = std::stod(std::string(*findHeader(reply.headers, "Retry-After")));
    REQUIRE(retryAfter > 0);
    REQUIRE(retryAfter < 6.0 / 3 + 0.01);
    REQUIRE(f.ran() == before);
}

TEST_CASE("An answer that isn't signed is nobody's", "[mesh]")
{
    ShopFixture f;
    const auto forged = [](const HttpRequest&) { return HttpReply { 200, {}, "forged" }; };
    f.places[1].backend->instead = forged;
    f.places[2].backend->instead = forged;
    REQUIRE(f.call(0, "GET", "/read/x").status == 502);
}

TEST_CASE("Another backend server at the address runs nothing of the former one's", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->id = "i-stranger"; // no announcement has told of it yet
    const auto reply = f.call(0, "POST", "/buy/x");
    REQUIRE(reply.body == "body of i-n2");
    REQUIRE(f.places[1].backend->misdirected >= 1);
}

TEST_CASE("A caller that leaves takes its call back from the backend server", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->holds = true;
    bool isGone = false;
    f.start(f.places[0].settings.listen.callers, f.request("GET", "/read/x"));
    f.until([&] { return f.places[1].backend->held.size() == 1; });
    f.places[1].backend->held[0]->onHangUp([&] { isGone = true; });
    f.callers.clear();
    f.until([&] { return isGone; });
}

TEST_CASE("A backend server that ends without a word is noticed, and heard again when it is back", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->stop();
    for (int i = 0; i < 6; ++i)
        REQUIRE(f.call(0, "GET", "/read/x").body == "body of i-n2");
    f.places[1].backend->start();
    f.until([&] { return f.call(1, "GET", "/read/x").body == "body of i-n1"; });
}

TEST_CASE("Calls that backend servers make for a call they run are told from callers' own", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->holds = true;
    auto outer = f.request("GET", "/read/x");
    f.start(f.places[1].settings.listen.callers, outer);
    f.until([&] { return f.places[1].backend->held.size() == 1; });
    const auto outerCaller = std::move(f.callers.back());
    f.callers.pop_back();
    f.places[1].backend->holds = false;
    auto inner = f.request("GET", "/read/y");
    inner.headers[1].second = headerAt(outer, "X-Robinrun-Request-Id") + ".1";
    REQUIRE(f.send(f.places[1].settings.listen.callers, inner).status == 200);
    f.places[1].backend->answer(0);
}
