#include "platform/RolloutFormats.h"
#include "support/MeshFixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

/// \file Roll-outs over real nodes: the order and the status in the store, the calls that each version gets,
/// and what is left when nodes die or the store is away.

using namespace robinrun;
using support::FakeStore;
using support::MeshFixture;

namespace {

/// \brief An ingress, two servers of the former version and two of the next one, for one service.
struct RolloutFixture : MeshFixture {
    std::size_t ingress;
    std::vector<std::size_t> former;
    std::vector<std::size_t> next;

    RolloutFixture()
    {
        store.put("keyed.op", "config", configuration(1));
        ingress = add("other");
        for (int i = 0; i < 2; ++i)
            former.push_back(add("shop"));
        for (const auto i : former)
            REQUIRE(announceVersion(i, "v1") == 200);
        untilServed(ingress);
    }

    void addNext()
    {
        for (int i = 0; i < 2; ++i)
            next.push_back(add("shop"));
        for (const auto i : next)
            REQUIRE(announceVersion(i, "v2") == 200);
    }

    /// \brief Orders a roll-out, waits until it runs and starts the new servers, which answer with \a status.
    void startRollout(double seconds, int status)
    {
        order("v2", seconds);
        until([&] { return state() == "running"; });
        addNext();
        for (const auto i : next)
            places[i].backend->status = status;
    }

    int announceVersion(std::size_t i, const std::string& version)
    {
        return sendAnnouncement(i,
            R"({"address":")" + places[i].backend->address + R"(","info":{"service":")"
                + places[i].settings.service + R"(","version":")" + version
                + R"(","zone":"z","slots":4},"status":{"state":"ready","seq":9,"warmup_left_ms":0}})");
    }

    void order(const std::string& version, double seconds)
    {
        store.put("keyed.op", "rollout/shop",
            R"({"service":"shop","target_version":")" + version + R"(","duration_s":)"
                + std::to_string(seconds) + "}");
    }

    std::string state()
    {
        const auto text = store.newest("keyed.status", "rollout/shop");
        return text.empty() ? "" : nlohmann::json::parse(text)["state"].get<std::string>();
    }

    /// \returns whether node \a i knows that no roll-out runs any more.
    bool hasEndedAt(std::size_t i)
    {
        const auto text = send(places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return text.find("robinrun_rollouts_running 0") != std::string::npos;
    }

    std::size_t callsAt(const std::vector<std::size_t>& servers) const
    {
        std::size_t out = 0;
        for (const auto i : servers)
            out += places[i].backend->requests.size();
        return out;
    }

    /// \brief Sends calls to the ingress until \a isDone, and returns how many were answered well.
    template <class F> std::size_t callUntil(F isDone)
    {
        std::size_t served = 0;
        bool hasEnded = isDone();
        for (int n = 0; n < 4000 && !hasEnded; ++n) {
            served += call(ingress, "GET", "/read/x").status == 200;
            pass(2ms);
            hasEnded = isDone();
        }
        REQUIRE(hasEnded);
        return served;
    }
};

} // namespace

TEST_CASE("An order and a status of a roll-out are read and written as the platform has them", "[rollout]")
{
    using namespace platform;
    REQUIRE(parseRolloutKey("rollout/shop") == "shop");
    REQUIRE_FALSE(parseRolloutKey("rollout/"));
    REQUIRE_FALSE(parseRolloutKey("config"));
    const auto order
        = readRolloutOrder("shop", R"({"service":"shop","target_version":"v2","duration_s":15.5})");
    REQUIRE(order);
    REQUIRE(order.value().targetVersion == "v2");
    REQUIRE(order.value().duration == 15500ms);
    const std::pair<const char*, const char*> faults[] = {
        { R"({"target_version":"v2","duration_s":15})", "service" },
        { R"({"service":"other","target_version":"v2","duration_s":15})", "service" },
        { R"({"service":"shop","target_version":7,"duration_s":15})", "target_version" },
        { R"({"service":"shop","target_version":"v2"})", "duration_s" },
        { R"({"service":"shop","target_version":"v2","duration_s":"15"})", "duration_s" },
        { R"({"service":"shop","target_version":"v2","duration_s":-1})", "duration_s" },
        { "[]", "order" },
        { "{", "order" },
    };
    for (const auto& [text, field] : faults) {
        const auto read = readRolloutOrder("shop", text);
        INFO(text);
        REQUIRE_FALSE(read);
        REQUIRE(read.error().find(field) != std::string::npos);
    }
    const RolloutStatus status { "shop", "v2", 12, RolloutOutcome::RolledBack };
    const auto written = writeRolloutStatus(status);
    REQUIRE(nlohmann::json::parse(written)["state"] == "rolled_back");
    REQUIRE(nlohmann::json::parse(written)["target_version"] == "v2");
    REQUIRE(readRolloutStatus(written)->outcome == RolloutOutcome::RolledBack);
    REQUIRE(readRolloutStatus(written)->orderOffset == 12);
    REQUIRE_FALSE(readRolloutStatus(R"({"state":"running"})"));
}

TEST_CASE("A good version is completed, and from then on gets all calls", "[rollout]")
{
    RolloutFixture f;
    f.startRollout(4, 200);
    f.callUntil([&] { return f.state() == "completed"; });
    const auto before = f.callsAt(f.former);
    for (int i = 0; i < 10; ++i)
        REQUIRE(f.call(f.ingress, "GET", "/read/x").status == 200);
    REQUIRE(f.callsAt(f.former) == before);
}

TEST_CASE("A version that fails is rolled back, and from then on gets no calls", "[rollout]")
{
    RolloutFixture f;
    f.startRollout(8, 500);
    f.callUntil([&] { return f.state() == "rolled_back"; });
    const auto at = f.callsAt(f.next);
    const auto all = at + f.callsAt(f.former);
    REQUIRE(static_cast<double>(at) <= 0.1 * static_cast<double>(all) + 50);
    for (int i = 0; i < 20; ++i)
        REQUIRE(f.call(f.ingress, "GET", "/read/x").status == 200);
    REQUIRE(f.callsAt(f.next) == at);
}

TEST_CASE(
    "A roll-out is rolled back although the store is away, and its status is written later", "[rollout]")
{
    RolloutFixture f;
    f.startRollout(8, 500);
    f.callUntil([&] { return f.callsAt(f.next) > 0; });
    f.store.mode = FakeStore::Mode::Refusing;
    f.callUntil([&] { return f.hasEndedAt(f.ingress); });
    const auto before = f.callsAt(f.next);
    for (int i = 0; i < 60; ++i)
        REQUIRE(f.call(f.ingress, "GET", "/read/x").status == 200);
    REQUIRE(f.callsAt(f.next) == before);
    REQUIRE(f.state() == "running");
    f.store.mode = FakeStore::Mode::Up;
    f.until([&] { return f.state() == "rolled_back"; });
}

TEST_CASE("A node that starts while a version is withheld sends it no calls", "[rollout]")
{
    RolloutFixture f;
    f.startRollout(8, 500);
    f.callUntil([&] { return f.state() == "rolled_back"; });
    const auto before = f.callsAt(f.next);
    f.places[f.ingress].node.reset();
    f.startNode(f.ingress);
    f.untilServed(f.ingress);
    for (int i = 0; i < 30; ++i)
        REQUIRE(f.call(f.ingress, "GET", "/read/x").status == 200);
    // Nor does the node beside such a server let it have any after a restart.
    f.places[f.next[0]].node.reset();
    f.startNode(f.next[0]);
    f.pass(300ms);
    for (int i = 0; i < 30; ++i)
        REQUIRE(f.call(f.next[0], "GET", "/read/x").status == 200);
    REQUIRE(f.callsAt(f.next) == before);
}

TEST_CASE("The first end of a roll-out in the store is the only one", "[rollout]")
{
    RolloutFixture f;
    f.store.put("keyed.op", "filler", "x"); // so that the offset of the order is not 0
    f.order("v2", 4);
    f.until([&] { return f.state() == "running"; });
    auto status = nlohmann::json::parse(f.store.newest("keyed.status", "rollout/shop"));
    status["state"] = "rolled_back";
    f.store.put("keyed.status", "rollout/shop", status.dump());
    f.addNext();
    // The nodes would complete it, and find that it has ended.
    f.callUntil([&] { return f.hasEndedAt(f.ingress); });
    REQUIRE(f.state() == "rolled_back");
    const auto before = f.callsAt(f.next);
    for (int i = 0; i < 20; ++i)
        REQUIRE(f.call(f.ingress, "GET", "/read/x").status == 200);
    REQUIRE(f.callsAt(f.next) == before);
}
