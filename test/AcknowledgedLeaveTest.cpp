#include "support/ShopFixture.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <vector>

/// \file Leaves that were acknowledged, through whole nodes that are killed. \sa docs/design/leaving.md

using namespace robinrun;
using support::FakeBackend;
using support::FakeStore;
using support::ShopFixture;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr Duration announcementInterval = 500ms;
/// What a series of announcements takes to be believed, with slack for a busy machine.
constexpr Duration seriesLength = 7s;

struct LeaveFixture : ShopFixture {
    FakeBackend& shop(std::size_t i) { return *places[i].backend; }

    /// \brief Kills all nodes at once, as they hold nothing on disk.
    void killAll()
    {
        for (auto& it : places)
            it.node.reset();
    }

    void startAll()
    {
        for (std::size_t i = 0; i < places.size(); ++i)
            startNode(i);
    }

    /// \brief Lets the servers beside \a nodes announce "ready" for \a length.
    void announceReady(const std::set<std::size_t>& nodes, Duration length)
    {
        const auto end = monotonicNow() + length;
        while (monotonicNow() < end) {
            ++m_sequence;
            for (const auto i : nodes)
                REQUIRE(announce(i, "ready", m_sequence) == 200);
            pass(announcementInterval);
        }
    }

    /// \returns the record of node \a i in the store.
    proto::NodeRecord stored(std::size_t i) const
    {
        proto::NodeRecord out;
        REQUIRE(out.ParseFromString(store.newest("keyed.nodes", places[i].settings.name)));
        return out;
    }

    /// \brief Kills node \a i and starts it again. Its server says that it is ill from now on.
    void restart(std::size_t i)
    {
        places[i].node.reset();
        shop(i).isWell = false;
        startNode(i);
    }

    /// \returns how many of 20 reads the server beside node \a i runs.
    std::size_t runsAt(std::size_t i)
    {
        const auto before = shop(i).requests.size();
        for (int n = 0; n < 20; ++n)
            REQUIRE(call(n % nodeCount, "GET", "/read/x").status == 200);
        return shop(i).requests.size() - before;
    }

private:
    int m_sequence = 100;
};

} // namespace

// review/8: the announcement from before the leave brought the server back into service.
TEST_CASE("A leave that was acknowledged while the store was down survives a kill of all nodes",
    "[acknowledged-leave]")
{
    for (const bool isDrained : { false, true }) {
        CAPTURE(isDrained);
        LeaveFixture f;
        f.store.mode = FakeStore::Mode::Refusing;
        REQUIRE((isDrained ? f.announce(1, "draining", 50) : f.sayGone(1)) == 200);
        f.killAll();
        f.shop(1).isWell = false;
        f.startAll();
        f.pass(300ms);
        f.store.mode = FakeStore::Mode::Up;
        f.announceReady({ 2 }, 1500ms);
        for (int sequence : { 7, 8, 9 }) { // sent before the leave, late
            REQUIRE(f.announce(1, "ready", sequence) == 200);
            f.announceReady({ 2 }, 1500ms);
        }
        f.announceReady({ 2 }, 1s);
        CHECK(f.runsAt(1) == 0);
    }
}

// The health path may say well of a server that has left.
TEST_CASE("A health answer does not undo a leave that was acknowledged while the store was down",
    "[acknowledged-leave]")
{
    LeaveFixture f;
    f.store.mode = FakeStore::Mode::Refusing;
    REQUIRE(f.sayGone(1) == 200);
    f.killAll();
    f.startAll();
    f.pass(300ms);
    f.store.mode = FakeStore::Mode::Up;
    REQUIRE(f.announce(1, "ready", 7) == 200);
    f.announceReady({ 2 }, seriesLength);
    CHECK(f.runsAt(1) == 0);
}

// The store was back before the nodes: its record is older than the leave.
TEST_CASE("A late announcement is not believed against a health answer that says ill", "[acknowledged-leave]")
{
    LeaveFixture f;
    f.store.mode = FakeStore::Mode::Refusing;
    REQUIRE(f.sayGone(1) == 200);
    f.killAll();
    f.store.mode = FakeStore::Mode::Up;
    f.shop(1).isWell = false;
    f.startAll();
    REQUIRE(f.announce(1, "ready", 7) == 200); // before the first health answer
    f.untilServed(0);
    REQUIRE(f.announce(1, "ready", 8) == 200);
    f.pass(300ms);
    CHECK(f.runsAt(1) == 0);
}

TEST_CASE("A well server whose health answers say ill is served again after a kill of all nodes",
    "[acknowledged-leave]")
{
    for (const auto mode : { FakeStore::Mode::Up, FakeStore::Mode::Refusing }) {
        LeaveFixture f;
        f.store.mode = mode;
        f.pass(300ms);
        f.killAll();
        f.shop(1).isWell = false;
        f.shop(2).isWell = false;
        f.startAll();
        f.pass(300ms);
        f.store.mode = FakeStore::Mode::Up;
        f.announceReady({ 1, 2 }, seriesLength);
        CHECK(f.runsAt(1) > 0);
        CHECK(f.runsAt(2) > 0);
    }
}

TEST_CASE(
    "Peers that were there before make a restarted node believe its server at once", "[acknowledged-leave]")
{
    LeaveFixture f;
    f.pass(FormerLeaves::startSpread + 200ms);
    f.store.mode = FakeStore::Mode::Refusing;
    f.places[1].node.reset();
    f.shop(1).isWell = false;
    f.startNode(1);
    REQUIRE(f.announce(1, "ready", 200) == 200);
    const auto before = f.shop(1).requests.size();
    f.until([&] { return f.call(0, "GET", "/read/x").status == 200 && f.shop(1).requests.size() > before; });
}

// The leave was acknowledged when it was queued for the store, so that a kill could lose it.
TEST_CASE("A leave is acknowledged once the store has it", "[acknowledged-leave]")
{
    LeaveFixture f;
    f.store.mode = FakeStore::Mode::Refusing;
    f.start(f.places[1].settings.listen.announcements, { "DELETE", "/instances/i-n1", {}, "" });
    f.pass(20ms); // the store is asked again after 200 ms
    CHECK_FALSE(f.reply);
    CHECK(f.announce(2, "ready", 50) == 200); // nothing to wait for
    f.start(f.places[1].settings.listen.announcements, { "DELETE", "/instances/i-n1", {}, "" });
    f.store.mode = FakeStore::Mode::Up;
    f.until([&] { return f.reply.has_value(); });
    CHECK(f.reply->status == 200);
    CHECK(f.stored(1).leaving());
}

TEST_CASE("A store that is down doesn't take the acknowledgement of a leave away", "[acknowledged-leave]")
{
    for (const auto mode : { FakeStore::Mode::Refusing, FakeStore::Mode::Silent, FakeStore::Mode::Losing }) {
        LeaveFixture f;
        f.store.mode = mode;
        const auto began = monotonicNow();
        REQUIRE(f.announce(1, "draining", 50) == 200);
        CHECK(monotonicNow() - began < 1s); // it counts no longer
        CHECK(f.runsAt(1) == 0);
        const auto metrics = f.send(f.places[1].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        CHECK(metrics.find("robinrun_leaves_acknowledged_unwritten_total 1") != std::string::npos);
    }
}

// The record of a process that knew no life of the server replaced the one that said that it leaves.
TEST_CASE(
    "A leave survives a restart whose record replaces that of the former process", "[acknowledged-leave]")
{
    LeaveFixture f;
    REQUIRE(f.announce(1, "draining", 50) == 200);
    f.until([&] { return f.stored(1).leaving(); });
    const auto former = f.stored(1).incarnation();
    f.lastIncarnation = 0; // the clock is set back, so that the node writes its record at once
    f.restart(1);
    f.until([&] { return f.stored(1).incarnation() > former; });
    f.pass(300ms);
    CHECK(f.stored(1).leaving());
    CHECK(f.stored(1).upstream() == "i-n1");
    f.restart(1);
    f.pass(300ms);
    REQUIRE(f.announce(1, "ready", 7) == 200);
    f.announceReady({ 2 }, 300ms);
    CHECK(f.runsAt(1) == 0);
}

// A last word was acknowledged and nowhere recorded if the node had not heard of the server before.
TEST_CASE(
    "The last word of a server that its node has not heard of survives a restart", "[acknowledged-leave]")
{
    LeaveFixture f;
    f.restart(1);
    f.pass(300ms);
    REQUIRE(f.sayGone(1) == 200);
    CHECK(f.stored(1).leaving());
    CHECK(f.stored(1).upstream() == "i-n1");
    f.restart(1);
    f.pass(300ms);
    REQUIRE(f.announce(1, "ready", 7) == 200);
    f.shop(1).isWell = true; // falsely
    f.pass(1s);
    CHECK(f.runsAt(1) == 0);
    f.shop(1).id = "i-next";
    REQUIRE(f.announce(1, "ready", 1) == 200);
    f.until([&] { return f.runsAt(1) > 0; });
}

// Once a server was known to leave, health answers were not asked for, and the next life of it waited for a
// series of announcements.
TEST_CASE(
    "The server that follows one that has left is served after one announcement", "[acknowledged-leave]")
{
    LeaveFixture f;
    f.restart(1);
    f.untilServed(0);
    REQUIRE(f.announce(1, "draining", 50) == 200);
    f.shop(1).id = "i-next";
    f.shop(1).isWell = true;
    REQUIRE(f.announce(1, "ready", 1) == 200);
    f.until([&] { return f.runsAt(1) > 0; });
}

// A write that had lost its answer took effect after that of the leave, and its record stayed.
TEST_CASE("A record from before a leave that reaches the store late is replaced", "[acknowledged-leave]")
{
    LeaveFixture f;
    f.until([&] { return !f.store.newest("keyed.nodes", "n1").empty(); });
    const auto former = f.store.newest("keyed.nodes", "n1");
    REQUIRE(f.announce(1, "draining", 50) == 200);
    REQUIRE(f.stored(1).leaving());
    f.store.put("keyed.nodes", "n1", former);
    REQUIRE_FALSE(f.stored(1).leaving());
    f.until([&] { return f.stored(1).leaving(); });
    const int written = f.store.writes;
    f.pass(5s); // each node reads the records again meanwhile
    CHECK(f.store.writes == written);
}

TEST_CASE("Many leaves at once are each acknowledged within a second", "[acknowledged-leave]")
{
    for (const auto mode : { FakeStore::Mode::Up, FakeStore::Mode::Refusing, FakeStore::Mode::Silent }) {
        LeaveFixture f;
        for (int i = 0; i < 12; ++i)
            f.add("shop");
        for (std::size_t i = nodeCount; i < f.places.size(); ++i)
            f.untilServed(i);
        f.store.mode = mode;
        const auto began = monotonicNow();
        std::size_t acknowledged = 0;
        std::vector<std::unique_ptr<HttpPool>> servers;
        for (const auto& it : f.places) {
            HttpPool::Options options;
            options.address = it.settings.listen.announcements;
            servers.push_back(std::make_unique<HttpPool>(f.base.get(), options));
            servers.back()->send({ "DELETE", "/instances/" + it.backend->id, {}, "" }, 9s,
                [&](const auto& reply) { acknowledged += reply && reply.value().status == 200 ? 1 : 0; });
        }
        f.until([&] { return acknowledged == f.places.size(); });
        CHECK(monotonicNow() - began < 1s);
    }
}
