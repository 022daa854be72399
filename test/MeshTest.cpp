#include "support/MeshFixture.h"
#include "support/ShopFixture.h"

#include <catch2/catch.hpp>

/// \file Lives of nodes: start, restart and stop, the store, and the configuration that they pass on.

using namespace robinrun;
using support::FakeStore;
using support::MeshFixture;
using support::ShopFixture;

TEST_CASE("A new life of a node finds its backend server by itself; a former life's word binds it", "[mesh]")
{
    ShopFixture f;
    f.places[1].node.reset();
    f.startNode(1);
    f.untilServed(1);
    f.until([&] { return f.store.newest("keyed.nodes", "n1").size() > 0; });
    REQUIRE(f.announce(1, "draining", 10) == 200);
    f.until([&] {
        proto::NodeRecord record;
        return record.ParseFromString(f.store.newest("keyed.nodes", "n1")) && record.leaving();
    });
    f.places[1].node.reset();
    f.startNode(1);
    f.pass(300ms);
    const auto before = f.places[1].backend->requests.size();
    for (int i = 0; i < 6; ++i)
        REQUIRE(f.call(i % 3, "GET", "/read/x").status == 200);
    REQUIRE(f.places[1].backend->requests.size() == before);
}

TEST_CASE("A node whose clock has gone back is heard in its new life all the same", "[mesh]")
{
    MeshFixture f;
    f.store.put("keyed.op", "config", MeshFixture::configuration(1));
    f.lastIncarnation = 1000;
    const auto ingress = f.add("other");
    const auto owner = f.add("shop");
    REQUIRE(f.announce(owner, "ready", 1) == 200);
    f.untilServed(ingress);
    f.places[owner].node.reset();
    f.places[owner].backend->id = "i-after";
    f.lastIncarnation = 10;
    f.startNode(owner);
    REQUIRE(f.announce(owner, "ready", 1) == 200);
    f.untilServed(ingress);
    REQUIRE(f.places[owner].backend->requests.back().target == "/read/x");
    REQUIRE(findHeader(f.places[owner].backend->requests.back().headers, "X-Robinrun-Target-Instance")
        == "i-after");
}

TEST_CASE("A node that the store turns away gets configuration and peers from its peers", "[mesh]")
{
    ShopFixture f;
    f.store.mode = FakeStore::Mode::Refusing;
    f.places[0].node.reset();
    f.startNode(0);
    f.untilServed(0);
}

TEST_CASE("The configuration never goes back in one life, and a newer one is in force soon", "[mesh]")
{
    ShopFixture f;
    f.store.put("keyed.op", "config", MeshFixture::configuration(7, "other"));
    f.until([&] { return f.call(1, "GET", "/read/x").body == "body of i-n0"; });
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    f.store.put("keyed.op", "config", "{\"version\":\"r8\",\"resources\":[{\"type\":\"routes\"}]}");
    f.pass(200ms);
    for (int i = 0; i < 6; ++i)
        REQUIRE(f.call(i % 3, "GET", "/read/x").body == "body of i-n0");
}

TEST_CASE("A few nodes read the configuration for all; when they are gone, others do", "[mesh]")
{
    MeshFixture f;
    f.followers = 1;
    f.store.put("keyed.op", "config", MeshFixture::configuration(5));
    for (int i = 0; i < 6; ++i)
        f.add(i % 2 ? "other" : "shop");
    for (std::size_t i = 0; i < 6; ++i)
        f.untilServed(i);
    const auto follows = [&](std::size_t i) {
        const auto text = f.send(f.places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return text.find("robinrun_follows_configuration 1") != std::string::npos;
    };
    const auto following = [&] {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < 6; ++i) {
            if (f.places[i].node && follows(i))
                out.push_back(i);
        }
        return out;
    };
    const auto isInForceAt = [&](std::size_t i, const std::string& service) {
        const auto body = f.call(i, "GET", "/read/x").body;
        const auto at = std::stoul(body.substr(body.find("-n") + 2));
        return f.places[at].settings.service == service;
    };
    f.until([&] { return following().size() == 1; });
    const auto first = following().front();
    f.store.put("keyed.op", "config", MeshFixture::configuration(6, "other"));
    f.until([&] {
        for (std::size_t i = 0; i < 6; ++i) {
            if (!isInForceAt(i, "other"))
                return false;
        }
        return true;
    });
    REQUIRE(following() == std::vector<std::size_t> { first });
    f.places[first].node.reset();
    f.store.put("keyed.op", "config", MeshFixture::configuration(7));
    f.until([&] { return following().size() == 1; });
    for (std::size_t i = 0; i < 6; ++i) {
        if (i != first)
            f.until([&] { return isInForceAt(i, "shop"); });
    }
}

TEST_CASE("A node that is lost for long is forgotten by all; one that lives says so", "[mesh]")
{
    MeshFixture f;
    f.forgetAfter = 1s;
    f.store.put("keyed.op", "config", MeshFixture::configuration(5));
    for (const char* it : { "other", "shop", "shop" })
        f.add(it);
    for (std::size_t i = 0; i < 3; ++i)
        f.untilServed(i);
    f.until([&] { return !f.store.newest("keyed.nodes", "n2").empty(); });
    f.places[2].node.reset();
    f.until([&] { return f.store.newest("keyed.nodes", "n2").empty(); });
    f.startNode(2);
    f.untilServed(2);
    f.until([&] { return !f.store.newest("keyed.nodes", "n2").empty(); });
    // Somebody who can't reach it takes it for gone.
    f.store.put("keyed.nodes", "n1", "");
    f.until([&] { return !f.store.newest("keyed.nodes", "n1").empty(); });
    f.places[2].backend->stop();
    f.until([&] { return f.call(0, "GET", "/read/x").body == "body of i-n1"; });
}

TEST_CASE("Records that the store has forgotten are read anew", "[mesh]")
{
    ShopFixture f;
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    f.store.put("keyed.op", "config", MeshFixture::configuration(7, "other"));
    f.store.compact("keyed.op");
    f.until([&] { return f.call(2, "GET", "/read/x").body == "body of i-n0"; });
}

TEST_CASE("A write whose answer is lost is made again until it is known to be there", "[mesh]")
{
    ShopFixture f;
    f.store.mode = FakeStore::Mode::Losing;
    const int before = f.store.writes;
    REQUIRE(f.announce(2, "draining", 10) == 200);
    f.until([&] { return f.store.writes >= before + 2; });
    f.store.mode = FakeStore::Mode::Up;
    f.pass(1200ms);
    const int settled = f.store.writes;
    f.pass(1200ms);
    REQUIRE(f.store.writes == settled);
}

TEST_CASE(
    "A node that is stopped is not ready, finishes what it has and ends; its peers go elsewhere", "[mesh]")
{
    ShopFixture f;
    f.places[1].backend->holds = true;
    f.start(f.places[1].settings.listen.callers, f.request("POST", "/buy/x"));
    f.until([&] { return f.places[1].backend->held.size() == 1; });
    const auto caller = std::move(f.callers.back());
    f.callers.pop_back();
    f.places[1].node->stop();
    REQUIRE(f.send(f.places[1].settings.listen.readiness, { "GET", "/readyz", {}, {} }).status == 503);
    f.pass(150ms);
    f.places[2].backend->holds = false;
    REQUIRE(f.call(0, "GET", "/read/x").body == "body of i-n2");
    f.reply.reset();
    f.places[1].backend->answer(0);
    f.until([&] { return f.reply.has_value(); });
    REQUIRE(f.reply->status == 200);
}

TEST_CASE("A store that is down does not hold the stop of a node up", "[mesh]")
{
    ShopFixture f;
    f.store.mode = FakeStore::Mode::Refusing;
    REQUIRE(f.announce(1, "ready", 10, "i-new") == 200); // a record that can't be written now
    f.places[1].settings.drainTimeout = 1h;
    f.places[1].node.reset();
    f.startNode(1);
    f.pass(100ms);
    REQUIRE(f.announce(1, "ready", 11, "i-new") == 200);
    bool hasEnded = false;
    f.places[1].node->stop();
    // The loop ends when the node has; the limit of the drain is an hour.
    const auto limit = Timer::once(f.base.get(), 9s, [&] { event_base_loopbreak(f.base.get()); });
    event_base_dispatch(f.base.get());
    hasEnded = !event_base_got_break(f.base.get());
    REQUIRE(hasEnded);
}

TEST_CASE("A node without a configuration isn't ready and says that nothing has run", "[mesh]")
{
    MeshFixture f;
    f.add("shop");
    f.pass(50ms);
    const auto& listen = f.places[0].settings.listen;
    REQUIRE(f.send(listen.readiness, { "GET", "/readyz", {}, {} }).status == 503);
    REQUIRE(f.call(0, "GET", "/read/x").status == 503);
    f.store.put("keyed.op", "config", MeshFixture::configuration(1));
    f.untilServed(0);
    REQUIRE(f.send(listen.readiness, { "GET", "/readyz", {}, {} }).status == 200);
}
