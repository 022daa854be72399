#include "support/IngressFixture.h"
#include "support/ShopFixture.h"

#include <catch2/catch.hpp>
#include <string>

/// \file A backend server that says in its answers that it leaves.

using namespace robinrun;
using support::FakeBackend;
using support::hostOf;
using support::IngressFixture;
using support::runUntil;
using support::ShopFixture;

namespace {

struct LeavingFixture : ShopFixture {
    FakeBackend& shop(std::size_t i) { return *places[i].backend; }

    /// \brief Calls node 0 until server 1 has run a call.
    void untilServerOneRuns()
    {
        const auto before = shop(1).requests.size();
        for (int n = 0; n < 200 && shop(1).requests.size() == before; ++n)
            REQUIRE(call(0, "GET", "/read/x").status == 200);
        REQUIRE(shop(1).requests.size() > before);
    }

    /// \brief Lets node 0 pass on an answer to a call in which server 1 says that it leaves.
    void passOnLeaving()
    {
        shop(1).healthSaysAll = false;
        untilServerOneRuns();
        shop(1).saysLeaving = true;
        untilServerOneRuns();
    }

    /// \brief Calls node 0 for \a length, and requires that all calls are served.
    void callFor(Duration length)
    {
        const auto end = monotonicNow() + length;
        while (monotonicNow() < end) {
            const auto answer = call(0, "GET", "/read/x");
            INFO(answer.body);
            REQUIRE(answer.status == 200);
        }
    }
};

/// \brief An ingress whose peers are the test's, with routes and two upstreams.
struct NoticeFixture : IngressFixture {
    NoticeFixture()
        : IngressFixture(ChoicePolicyKind::Timely)
    {
        context.headers.leaving = { "Server-Leaving" };
    }

    /// \brief Answers \a to as its server does, which says that it leaves.
    void answerLeaving(const proto::Call& to)
    {
        auto out = answerTo(to, proto::ANSWERED, "body");
        auto& field = *out.add_headers();
        field.set_name("server-leaving");
        field.set_value("1");
        give(hostOf(to), out);
        awaitReply();
    }

    void awaitReply()
    {
        REQUIRE(runUntil(base.get(), [&] { return reply.has_value(); }));
    }

    proto::Call callAndAnswer()
    {
        const auto out = call("/s/x");
        give(hostOf(out), answerTo(out, proto::ANSWERED, "body"));
        awaitReply();
        return out;
    }
};

} // namespace

// Word of leaving in answers was not read: a server that had said so got calls until it ended.
TEST_CASE("A server that says in an answer that it leaves gets no further calls", "[server-leaving]")
{
    LeavingFixture f;
    f.passOnLeaving();
    const auto ran = f.shop(1).arrivals.size();
    f.callFor(500ms);
    REQUIRE(f.shop(1).arrivals.size() == ran);
}

// Owners forgot in a restart what an answer had said of their server.
TEST_CASE("A leaving that an answer has told holds after a restart of the owner, for that life alone",
    "[server-leaving]")
{
    LeavingFixture f;
    f.passOnLeaving();
    const auto ran = f.shop(1).arrivals.size();
    f.pass(100ms);
    f.places[1].node.reset();
    f.startNode(1);
    f.callFor(1s);
    REQUIRE(f.announce(1, "ready", 900) == 200); // on its way since before it left
    f.callFor(500ms);
    REQUIRE(f.shop(1).arrivals.size() == ran);
    f.shop(1).saysLeaving = false;
    f.shop(1).id = "i-next";
    REQUIRE(f.announce(1, "ready", 1) == 200);
    f.untilServerOneRuns();
}

TEST_CASE("A health answer that says that its server leaves holds, whatever the server announces",
    "[server-leaving]")
{
    LeavingFixture f;
    f.shop(1).id = "i-leaving"; // of which no node has heard
    f.shop(1).saysLeaving = true;
    f.places[1].node.reset();
    f.startNode(1);
    f.pass(500ms);
    REQUIRE(f.announce(1, "ready", 1) == 200);
    const auto ran = f.shop(1).arrivals.size();
    f.callFor(500ms);
    REQUIRE(f.shop(1).arrivals.size() == ran);
}

// A leaving was held for some seconds only, and ended with any news from the owner.
TEST_CASE("An ingress that has passed on word of leaving never sends there again, whatever its owner says",
    "[server-leaving]")
{
    NoticeFixture f;
    const auto first = f.call("/s/x");
    f.answerLeaving(first);
    for (int i = 0; i < 30; ++i) {
        REQUIRE(f.callAndAnswer().upstream() != first.upstream());
        f.ahead += 1s;
        const auto now = monotonicNow() + f.ahead;
        proto::LoadNews news;
        news.set_upstream(first.upstream());
        news.mutable_load()->set_slots(1);
        f.ingress.takeLoad(news, now);
        proto::Leaving undone;
        undone.set_upstream(first.upstream());
        undone.set_undone(true);
        f.ingress.takeLeaving(undone, now);
        f.ingress.reactivate(first.upstream(), now);
        f.ingress.configure(now);
    }
}

TEST_CASE("What waits at the owner of a leaving server goes elsewhere, and what runs is awaited",
    "[server-leaving]")
{
    LeavingFixture f;
    f.untilServerOneRuns();
    f.shop(1).holds = true;
    f.shop(2).holds = true;
    std::size_t answered = 0;
    std::vector<std::unique_ptr<HttpPool>> pools;
    constexpr std::size_t calls = 12; // more than both servers have slots
    for (std::size_t i = 0; i < calls; ++i) {
        HttpPool::Options options;
        options.address = f.places[1].settings.listen.callers;
        pools.push_back(std::make_unique<HttpPool>(f.base.get(), options));
        pools.back()->send(f.request("GET", "/read/x"), 9s,
            [&](auto result) { answered += result.has_value() && result.value().status == 200; });
    }
    f.pass(300ms);
    const auto runningAtOne = f.shop(1).held.size();
    REQUIRE(runningAtOne > 1);
    REQUIRE(runningAtOne + f.shop(2).held.size() < calls);
    f.shop(1).saysLeaving = true;
    f.shop(2).holds = false;
    for (std::size_t i = 0; i < f.shop(2).held.size(); ++i)
        f.shop(2).answer(i);
    f.shop(1).answer(0);
    f.pass(100ms);
    const auto ran = f.shop(1).arrivals.size();
    f.callFor(300ms);
    REQUIRE(f.shop(1).arrivals.size() == ran);
    for (std::size_t i = 1; i < runningAtOne; ++i)
        f.shop(1).answer(i);
    f.until([&] { return answered == calls; });
}
