#include "support/MeshFixture.h"
#include "support/ShopFixture.h"

#include <catch2/catch.hpp>

/// \file Backend servers that start again under their former id, through whole nodes.

using namespace robinrun;
using support::MeshFixture;
using support::ShopFixture;

namespace {

constexpr std::uint64_t firstBorn = 1'700'000'000'000;
constexpr std::uint64_t secondBorn = firstBorn + 60'000;

/// \brief One ingress without a server of the service, and one owner of it.
struct LifeFixture : MeshFixture {
    std::size_t ingress = 0;
    std::size_t owner = 0;

    LifeFixture()
    {
        store.put("keyed.op", "config", configuration(1));
        ingress = add("other");
        owner = add("shop");
    }

    std::size_t ran() const { return places[owner].backend->requests.size(); }

    /// \returns whether a read is served while nothing is repeated.
    bool isServed() { return call(ingress, "GET", "/read/x").status == 200; }
};

} // namespace

TEST_CASE("A server that starts again under its id is served at once, whatever its count", "[life]")
{
    LifeFixture f;
    REQUIRE(f.announceLife(f.owner, "ready", 500, firstBorn) == 200);
    f.untilServed(f.ingress);
    REQUIRE(f.announceLife(f.owner, "draining", 501, firstBorn) == 200);
    f.until([&] { return !f.isServed(); });
    REQUIRE(f.announceLife(f.owner, "ready", 1, secondBorn) == 200);
    f.untilServed(f.ingress);
    REQUIRE(findHeader(f.places[f.owner].backend->requests.back().headers, "X-Robinrun-Target-Instance")
        == "i-n1");
}

TEST_CASE("What an earlier life said comes late and changes nothing", "[life]")
{
    LifeFixture f;
    REQUIRE(f.announceLife(f.owner, "ready", 500, firstBorn) == 200);
    REQUIRE(f.announceLife(f.owner, "ready", 1, secondBorn) == 200);
    f.untilServed(f.ingress);
    REQUIRE(f.announceLife(f.owner, "draining", 502, firstBorn) == 200);
    REQUIRE(f.sayGone(f.owner, "{\"born\":" + std::to_string(firstBorn) + "}") == 200);
    f.pass(100ms);
    for (int i = 0; i < 4; ++i)
        REQUIRE(f.isServed());
}

TEST_CASE("A last word that says no start is of the present life; the next life is served", "[life]")
{
    LifeFixture f;
    REQUIRE(f.announceLife(f.owner, "ready", 5, firstBorn) == 200);
    f.untilServed(f.ingress);
    REQUIRE(f.sayGone(f.owner) == 200);
    f.until([&] { return !f.isServed(); });
    const auto before = f.ran();
    REQUIRE(f.announceLife(f.owner, "ready", 6, firstBorn) == 200);
    f.pass(100ms);
    REQUIRE_FALSE(f.isServed());
    REQUIRE(f.ran() == before);
    REQUIRE(f.announceLife(f.owner, "ready", 1, secondBorn) == 200);
    f.untilServed(f.ingress);
}

TEST_CASE("A new life of a node hears of the life that its former one saw leaving", "[life]")
{
    LifeFixture f;
    REQUIRE(f.announceLife(f.owner, "ready", 5, firstBorn) == 200);
    f.untilServed(f.ingress);
    REQUIRE(f.announceLife(f.owner, "draining", 6, firstBorn) == 200);
    f.until([&] {
        proto::NodeRecord record;
        return record.ParseFromString(f.store.newest("keyed.nodes", "n1")) && record.leaving();
    });
    f.places[f.owner].node.reset();
    f.startNode(f.owner);
    f.pass(400ms);
    const auto before = f.ran();
    // Held up on its way since before the server left.
    REQUIRE(f.announceLife(f.owner, "ready", 4, firstBorn) == 200);
    f.pass(100ms);
    REQUIRE_FALSE(f.isServed());
    REQUIRE(f.ran() == before);
    REQUIRE(f.announceLife(f.owner, "ready", 1, secondBorn) == 200);
    f.untilServed(f.ingress);
}

TEST_CASE("Calls out at a life that is over end at once: unknown, or served where they may repeat", "[life]")
{
    LifeFixture f;
    REQUIRE(f.announceLife(f.owner, "ready", 5, firstBorn) == 200);
    f.untilServed(f.ingress);
    for (int i = 0; i < 30; ++i) // which earn the budget of a retry
        REQUIRE(f.isServed());
    auto& backend = *f.places[f.owner].backend;
    backend.holds = true;
    HttpPool::Options options;
    options.address = f.places[f.ingress].settings.listen.callers;
    HttpPool caller(f.base.get(), options);
    std::optional<HttpReply> purchase;
    std::optional<HttpReply> read;
    caller.send(f.request("POST", "/buy/x"), 9s, [&](auto result) { purchase = result.value(); });
    caller.send(f.request("GET", "/read/x"), 9s, [&](auto result) { read = result.value(); });
    f.until([&] { return backend.held.size() == 2; });
    backend.holds = false;
    const auto ran = f.ran();
    const auto before = monotonicNow();
    REQUIRE(f.announceLife(f.owner, "ready", 1, secondBorn) == 200);
    f.until([&] { return purchase && read; });
    REQUIRE(purchase->status == 504);
    REQUIRE(read->status == 200);
    REQUIRE(f.ran() == ran + 1);
    // Their deadline of 6 s is far.
    REQUIRE(monotonicNow() - before < 3s);
}

TEST_CASE("Announcements of other writers name no server, and the next good one counts", "[life]")
{
    LifeFixture f;
    const std::string foreign[] = {
        "",
        "no json",
        "[]",
        "{\"born\":1}",
        R"({"address":7,"born":1,"info":{},"status":{}})",
        R"({"address":"10.0.0.1:1","born":"1","info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":1.5,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":-1,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":1e300,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":true,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":1,"info":{"service":"shop","slots":4},"status":{"state":"asleep","seq":1}})",
        R"({"address":"10.0.0.1:1","born":1,"info":{"service":"nowhere","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":1,"info":{"service":"shop","slots":4.5},"status":{"state":"ready","seq":1}})",
        R"({"address":"10.0.0.1:1","born":1,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":[1]}})",
        R"({"address":"10.0.0.1:1","born":1,"born":2,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        R"({"address":"not an address","born":1,"info":{"service":"shop","slots":4},"status":{"state":"ready","seq":1}})",
        std::string(200, '['),
        "\xff\xfe{",
    };
    for (const auto& it : foreign) {
        INFO(it);
        REQUIRE(f.sendAnnouncement(f.owner, it) == 400);
    }
    f.pass(100ms);
    REQUIRE(f.announceLife(f.owner, "ready", 1, firstBorn) == 200);
    f.untilServed(f.ingress);
    for (const auto& it : foreign)
        REQUIRE(f.sendAnnouncement(f.owner, it) == 400);
    for (int i = 0; i < 4; ++i)
        REQUIRE(f.isServed());
    const auto metrics
        = f.send(f.places[f.owner].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
    REQUIRE(metrics.find("robinrun_foreign_entries_total{kind=\"announcement\"}") != std::string::npos);
}

TEST_CASE("Unreadable entries in the nodes' topic hide nothing and stop nobody", "[life]")
{
    LifeFixture f;
    REQUIRE(f.announceLife(f.owner, "ready", 1, firstBorn) == 200);
    f.untilServed(f.ingress);
    proto::NodeRecord stray;
    stray.set_node("n9");
    stray.set_peer_address("nowhere at all");
    stray.set_service("shop");
    stray.set_upstream("i-stray");
    stray.set_incarnation(1);
    stray.set_slots(4);
    f.store.put("keyed.nodes", "n9", stray.SerializeAsString());
    f.store.put("keyed.nodes", "n8", "no record");
    f.store.put("keyed.nodes", "n7", std::string(3, '\0'));
    // The same node's key with a number that no start of it ever has.
    proto::NodeRecord huge;
    REQUIRE(huge.ParseFromString(f.store.newest("keyed.nodes", "n1")));
    huge.set_incarnation(UINT64_MAX);
    huge.set_gone(true);
    f.store.put("keyed.nodes", "n1", huge.SerializeAsString());
    f.store.putRaw("keyed.nodes", "");
    f.store.putRaw("keyed.nodes", std::string("\xff") + "short");
    const auto late = f.add("shop");
    REQUIRE(f.announceLife(late, "ready", 1, firstBorn) == 200);
    f.untilServed(late);
    for (int i = 0; i < 6; ++i)
        REQUIRE(f.isServed());
    REQUIRE(f.ran() > 0);
}
