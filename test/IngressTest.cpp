#include "support/IngressFixture.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace robinrun;
using support::hostOf;
using support::IngressFixture;
using support::runUntil;

TEST_CASE("An answer counts only whole, from the node that was asked, for this incarnation", "[node]")
{
    IngressFixture f;
    const auto call = f.call("/s/x");
    f.give("host-other", IngressFixture::answerTo(call, proto::ANSWERED, "foreign"));
    auto former = IngressFixture::answerTo(call, proto::ANSWERED, "former");
    former.set_caller_incarnation(76);
    f.give(hostOf(call), former);
    auto stranger = IngressFixture::answerTo(call, proto::ANSWERED, "stranger");
    stranger.set_number(call.number() + 1000);
    f.give(hostOf(call), stranger);
    f.give(hostOf(call), IngressFixture::answerTo(call, proto::ANSWERED, "mine"));
    f.give(hostOf(call), IngressFixture::answerTo(call, proto::ANSWERED, "again"));
    REQUIRE(f.outcome() == "answered");
    REQUIRE(f.reply->body == "mine");
}

TEST_CASE("A shortened or damaged answer is an error, never passed on", "[node]")
{
    for (const bool isShort : { true, false }) {
        IngressFixture f;
        const auto call = f.call("/s/buy");
        auto answer = IngressFixture::answerTo(call, proto::ANSWERED, "whole answer");
        answer.set_body(isShort ? "whole" : "whole Answer");
        f.give(hostOf(call), answer);
        REQUIRE(f.outcome() == "unknown");
        REQUIRE(f.reply->status == 502);
    }
}

TEST_CASE("A refusal goes elsewhere, a repeated one ends as not run with a time to come back", "[node]")
{
    IngressFixture f;
    const auto first = f.call("/s/x");
    auto refusal = IngressFixture::answerTo(first, proto::NOT_RUN);
    refusal.set_reason(static_cast<std::uint32_t>(Reason::QueueFull));
    refusal.set_retry_after_ms(1500);
    f.give(hostOf(first), refusal);
    const auto second = f.nextCall();
    REQUIRE(second.upstream() != first.upstream());
    REQUIRE(second.attempts_left() == first.attempts_left() - 1);
    refusal.set_number(second.number());
    f.give(hostOf(second), refusal);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.reply->status == 503);
    REQUIRE(findHeader(f.reply->headers, "Retry-After") == "2");
}

TEST_CASE("After a lost attempt nothing is called not run", "[node]")
{
    IngressFixture f;
    const auto first = f.call("/s/x");
    f.give(hostOf(first), IngressFixture::answerTo(first, proto::UNKNOWN));
    const auto second = f.nextCall(); // it may be repeated
    auto refusal = IngressFixture::answerTo(second, proto::NOT_RUN);
    refusal.set_reason(static_cast<std::uint32_t>(Reason::QueueFull));
    f.give(hostOf(second), refusal);
    REQUIRE(f.outcome() == "unknown");
}

TEST_CASE("A call that must not repeat gets no second dispatch once its outcome is unknown", "[node]")
{
    IngressFixture f;
    const auto call = f.call("/s/buy/1");
    f.give(hostOf(call), IngressFixture::answerTo(call, proto::UNKNOWN));
    REQUIRE(f.outcome() == "unknown");
    REQUIRE(f.reply->status == 504);
    REQUIRE(f.sent.empty());
}

TEST_CASE("When all fail, the caller gets the backend server's own answer", "[node]")
{
    IngressFixture f;
    const auto first = f.call("/s/x");
    auto failing = IngressFixture::answerTo(first, proto::ANSWERED, "sorry");
    failing.set_status(500);
    f.give(hostOf(first), failing);
    const auto second = f.nextCall();
    auto refusal = IngressFixture::answerTo(second, proto::NOT_RUN);
    refusal.set_reason(static_cast<std::uint32_t>(Reason::QueueFull));
    f.give(hostOf(second), refusal);
    REQUIRE(f.outcome() == "answered");
    REQUIRE(f.reply->status == 500);
    REQUIRE(f.reply->body == "sorry");
}

TEST_CASE("A caller that hangs up takes its call back; a deadline ends it", "[node]")
{
    IngressFixture f;
    const auto call = f.call("/s/x");
    f.caller.reset();
    REQUIRE(runUntil(f.base.get(), [&] { return !f.sent.empty(); }));
    REQUIRE(f.sent.front().cancel().number() == call.number());
    REQUIRE(f.ingress.inProgress() == 0);
    IngressFixture g;
    g.call("/s/x", { { "Robinrun-Deadline-Ms", "50" } });
    REQUIRE(g.outcome() == "unknown");
}

TEST_CASE("A ticket whose owner is gone is unknown: an earlier request may have run it", "[node]")
{
    IngressFixture f;
    f.isReachable = false;
    const Ticket ticket { "u1", 5, 0, { 1, 2 } };
    f.reply.reset();
    f.caller->send(
        { "POST", "/s/buy",
            { { "Robinrun-Credential", support::secret }, { "Robinrun-Ticket", ticket.toString() } }, "x" },
        9s, [&](auto result) { f.reply = result.value(); });
    REQUIRE(f.outcome() == "unknown");
    f.reply.reset();
    f.caller->send({ "GET", "/s/x", { { "Robinrun-Credential", support::secret } }, "" }, 9s,
        [&](auto result) { f.reply = result.value(); });
    REQUIRE(f.outcome() == "not-run");
}

TEST_CASE("Of many upstreams an ingress keeps to some, most in its own data hall, some in others", "[node]")
{
    IngressFixture f;
    std::vector<proto::Resource> resources;
    proto::Resource service;
    service.set_name("services/s");
    service.mutable_service()->set_deadline_ms(1000);
    resources.push_back(service);
    for (int i = 0; i < 90; ++i) {
        proto::Resource upstream;
        upstream.set_name("upstreams/u" + std::to_string(i));
        upstream.mutable_upstream()->set_service("s");
        upstream.mutable_upstream()->set_data_hall("hall-" + std::to_string(i % 3));
        upstream.mutable_upstream()->set_slots(4);
        resources.push_back(upstream);
    }
    f.context.settings.choice.kind = ChoicePolicyKind::Timely;
    f.context.settings.choice.subset = 24;
    f.context.settings.dataHall = "hall-1";
    f.context.directory.rebuild(resources);
    f.ingress.configure(monotonicNow());
    std::size_t far = 0;
    const auto views = f.ingress.routers().at("s")->views();
    for (const auto& it : views)
        far += it.isFar();
    REQUIRE(views.size() == 24);
    REQUIRE(far == 8);
}
