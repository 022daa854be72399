#include "Node/Ingress.h"
#include "Core/Hash.h"
#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "support/NodeFixture.h"

#include <catch2/catch.hpp>

using namespace robinrun;
using support::freeAddress;
using support::NodeFixture;
using support::runUntil;

namespace {

/// \brief An ingress with a caller in front of it and the test as its peers.
struct IngressFixture : NodeFixture {
    Owner owner { context, monotonicNow() };
    ClaimService claims { context, log, members, sender(), monotonicNow() };
    Ingress ingress { context, owner, &claims, &members, sender() };
    std::string address = freeAddress();
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpPool> caller;
    std::optional<HttpReply> reply;
    Duration ahead {}; ///< of the real time, the time at which requests come

    IngressFixture()
    {
        ingress.configure(monotonicNow());
        server
            = std::move(HttpServer::listen(base.get(), { address, 1000, 10000, 10s }, [this](auto exchange) {
                  ingress.take(std::move(exchange), monotonicNow() + ahead);
              }).value());
        HttpPool::Options options;
        options.address = address;
        caller = std::make_unique<HttpPool>(base.get(), options);
    }

    /// \brief Sends a request and waits for the call that the ingress makes of it.
    proto::Call call(const std::string& path, HttpHeaders headers = {})
    {
        reply.reset();
        headers.emplace_back("Robinrun-Credential", support::secret);
        caller->send(
            { "GET", path, std::move(headers), {} }, 9s, [this](auto result) { reply = result.value(); });
        return nextCall();
    }

    proto::Call nextCall()
    {
        REQUIRE(runUntil(base.get(), [&] { return (!sent.empty() && sent.front().has_call()) || reply; }));
        REQUIRE(!sent.empty());
        const auto out = sent.front().call();
        sent.pop_front();
        return out;
    }

    static proto::Answer answerTo(
        const proto::Call& call, proto::Outcome outcome, const std::string& body = "")
    {
        proto::Answer out;
        out.set_number(call.number());
        out.set_caller_incarnation(77);
        out.set_incarnation(5);
        out.set_outcome(outcome);
        out.set_status(outcome == proto::ANSWERED ? 200 : 0);
        out.set_body(body);
        out.set_body_length(body.size());
        out.set_body_hash(hash64(body));
        return out;
    }

    void give(const std::string& node, proto::Answer answer)
    {
        ingress.takeAnswer(node, answer, monotonicNow());
    }

    std::string outcome()
    {
        REQUIRE(runUntil(base.get(), [&] { return reply.has_value(); }));
        return std::string(findHeader(reply->headers, "Robinrun-Outcome").value_or("none"));
    }
};

std::string hostOf(const proto::Call& call)
{
    return "host-" + call.upstream();
}

} // namespace

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
            { { "Robinrun-Credential", support::secret }, { "Robinrun-Ticket", ticket.text() } }, "x" },
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
    f.context.settings.choice.kind = ChoiceKind::Timely;
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

namespace {

/// \brief An ingress for calls by route: a target latency of 400 ms, calls of 200 ms, two upstreams.
struct RouteFixture : IngressFixture {
    Instant now = monotonicNow();
    ConfigState config = support::exampleConfig(backend);

    RouteFixture()
    {
        context.settings.choice.kind = ChoiceKind::Timely;
        for (const bool isOnce : { false, true }) {
            proto::Resource route;
            route.set_name(isOnce ? "routes/pay" : "routes/read");
            auto& it = *route.mutable_route();
            it.set_host("a.example");
            it.set_path_prefix(isOnce ? "/pay/" : "/read/");
            auto& share = *it.add_split();
            share.set_service("s");
            share.set_weight(1);
            it.set_once(isOnce ? proto::SINGLE_DISPATCH : proto::REPEATABLE);
            it.set_timeout_ms(3000);
            it.set_target_latency_ms(400);
            it.set_attempts(2);
            config.apply(support::put(std::move(route)));
        }
        proto::Resource called;
        called.set_name("services/t");
        called.mutable_service()->set_deadline_ms(3000);
        called.mutable_service()->set_queue_limit(10);
        config.apply(support::put(called));
        context.directory.rebuild(config);
        ingress.setRetryBurst(1);
        ingress.configure(now);
        for (int i = 0; i < 8; ++i) {
            const auto learnt = routed("/read/x");
            pass(200ms);
            answer(learnt, 1);
        }
    }

    void pass(Duration length)
    {
        ahead += length;
        now = monotonicNow() + ahead;
    }

    proto::Call routed(const std::string& path)
    {
        now = monotonicNow() + ahead;
        return call(path, { { "Host", "a.example" } });
    }

    void answer(const proto::Call& to, double slowdown)
    {
        auto out = answerTo(to, proto::ANSWERED, "body");
        out.set_held_us(200000);
        out.mutable_load()->set_slots(4);
        out.mutable_load()->set_slowdown_permille(static_cast<std::uint32_t>(slowdown * 1000));
        ingress.takeAnswer(hostOf(to), out, now);
        REQUIRE(runUntil(base.get(), [&] { return reply.has_value(); }));
    }

    void tellSlow(const std::string& upstream, double slowdown)
    {
        proto::LoadNews news;
        news.set_upstream(upstream);
        news.mutable_load()->set_slots(4);
        news.mutable_load()->set_slowdown_permille(static_cast<std::uint32_t>(slowdown * 1000));
        ingress.takeLoad(news, now);
    }

    /// \returns the calls sent to peers since the last look; cancels are left out.
    std::vector<proto::Call> calls()
    {
        std::vector<proto::Call> out;
        for (const auto& it : std::exchange(sent, {})) {
            if (it.has_call())
                out.push_back(it.call());
        }
        return out;
    }
};

} // namespace

TEST_CASE("A call whose upstream becomes slow gets a second attempt if only that can be in time", "[node]")
{
    RouteFixture f;
    const auto first = f.routed("/read/x");
    f.pass(50ms);
    f.tellSlow("u-other", 8);
    REQUIRE(f.calls().empty());
    f.tellSlow(first.upstream(), 8);
    const auto second = f.calls();
    REQUIRE(second.size() == 1);
    REQUIRE(second.front().upstream() != first.upstream());
    f.tellSlow(first.upstream(), 16); // one second attempt is all
    REQUIRE(f.calls().empty());
    f.answer(second.front(), 1);
    REQUIRE(f.reply->body == "body");
}

TEST_CASE("A slow upstream is no reason for a second attempt where it doesn't help or must not be", "[node]")
{
    RouteFixture f;
    // Nearly done: the rest is in time even there.
    const auto nearlyDone = f.routed("/read/x");
    f.pass(190ms);
    f.tellSlow(nearlyDone.upstream(), 2);
    REQUIRE(f.calls().empty());
    f.tellSlow(nearlyDone.upstream(), 1);
    // Too late for a second one.
    f.routed("/read/x");
    f.pass(350ms);
    f.tellSlow("u1", 8);
    f.tellSlow("u2", 8);
    REQUIRE(f.calls().empty());
    for (const std::string it : { "u1", "u2" })
        f.tellSlow(it, 1);
    // May not repeat.
    f.routed("/pay/x");
    f.pass(20ms);
    f.tellSlow("u1", 8);
    f.tellSlow("u2", 8);
    REQUIRE(f.calls().empty());
}

TEST_CASE("A retry is paid for at the services that its run calls, too", "[node]")
{
    RouteFixture f;
    // Runs of /read/ make two calls to the service "t".
    for (int i = 0; i < 3; ++i) {
        const auto learnt = f.routed("/read/x");
        auto out = IngressFixture::answerTo(learnt, proto::ANSWERED, "body");
        auto& nested = *out.add_nested();
        nested.set_service("t");
        nested.set_calls(2);
        f.give(hostOf(learnt), out);
        REQUIRE(runUntil(f.base.get(), [&] { return f.reply.has_value(); }));
    }
    const auto secondAfterLoss = [&] {
        const auto first = f.routed("/read/x");
        f.give(hostOf(first), IngressFixture::answerTo(first, proto::UNKNOWN));
        REQUIRE(runUntil(f.base.get(), [&] { return !f.sent.empty() || f.reply; }));
        const bool isSent = !f.sent.empty();
        if (isSent)
            f.give(hostOf(f.nextCall()), IngressFixture::answerTo(first, proto::NOT_RUN));
        return isSent;
    };
    REQUIRE(f.ingress.routers().at("t")->savedRetries() == 0); // nothing asked of it yet
    REQUIRE(secondAfterLoss());
    REQUIRE(f.ingress.routers().at("t")->savedRetries() == Approx(-1));
    f.ingress.setRetryBurst(9);
    f.ingress.configure(f.now);
    for (int i = 0; i < 8; ++i) // earns retries at "s", none at "t"
        f.answer(f.routed("/read/x"), 1);
    REQUIRE_FALSE(secondAfterLoss());
}

TEST_CASE("Two owners are asked to run a call at once; then it may wait, also where it was asked", "[node]")
{
    RouteFixture f;
    auto next = f.routed("/pay/x");
    REQUIRE(next.terms().only_at_once());
    const auto busyReply = [&](const proto::Call& to) {
        auto out = IngressFixture::answerTo(to, proto::NOT_RUN);
        out.set_reason(static_cast<std::uint32_t>(Reason::Busy));
        out.mutable_load()->set_slots(4);
        out.mutable_load()->set_in_use(4);
        out.mutable_load()->set_queued(4);
        out.mutable_load()->set_service_us(200000);
        f.give(hostOf(to), out);
    };
    const auto first = next.upstream();
    busyReply(next);
    next = f.nextCall();
    REQUIRE(next.upstream() != first);
    REQUIRE(next.terms().only_at_once());
    busyReply(next);
    next = f.nextCall();
    REQUIRE_FALSE(next.terms().only_at_once());
    // That is no attempt, and no reason in the answer.
    auto refused = IngressFixture::answerTo(next, proto::NOT_RUN);
    refused.set_reason(static_cast<std::uint32_t>(Reason::QueueFull));
    f.give(hostOf(next), refused);
    f.give(hostOf(f.nextCall()), [&] {
        auto out = IngressFixture::answerTo(next, proto::NOT_RUN);
        out.set_number(next.number() + 1);
        out.set_reason(static_cast<std::uint32_t>(Reason::QueueFull));
        return out;
    }());
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.reply->status == 503);
}

TEST_CASE("A busy upstream that is still the best choice is not asked twice", "[node]")
{
    RouteFixture f;
    const auto first = f.routed("/pay/x");
    for (const std::string it : { "u1", "u2" }) {
        if (it != first.upstream())
            f.tellSlow(it, 16);
    }
    auto busy = IngressFixture::answerTo(first, proto::NOT_RUN);
    busy.set_reason(static_cast<std::uint32_t>(Reason::Busy));
    f.give(hostOf(first), busy);
    const auto next = f.nextCall();
    REQUIRE(next.upstream() == first.upstream());
    REQUIRE_FALSE(next.terms().only_at_once());
}

TEST_CASE("A second attempt that a busy owner didn't run costs no retry", "[node]")
{
    RouteFixture f;
    const auto first = f.routed("/read/x");
    const auto saved = f.ingress.routers().at("s")->savedRetries();
    f.pass(50ms);
    f.tellSlow(first.upstream(), 8);
    const auto second = f.calls();
    REQUIRE(second.size() == 1);
    REQUIRE(f.ingress.routers().at("s")->savedRetries() == Approx(saved - 1));
    auto busy = IngressFixture::answerTo(second.front(), proto::NOT_RUN);
    busy.set_reason(static_cast<std::uint32_t>(Reason::Busy));
    f.give(hostOf(second.front()), busy);
    REQUIRE(f.ingress.routers().at("s")->savedRetries() == Approx(saved));
    f.answer(first, 1);
    REQUIRE(f.reply->body == "body");
}

TEST_CASE("A call that waits for a link goes elsewhere when the upstream is taken away", "[node]")
{
    RouteFixture f;
    f.isReachable = false;
    f.whenNot = SendResult::Connecting;
    f.reply.reset();
    f.caller->send(
        { "GET", "/read/x", { { "Host", "a.example" }, { "Robinrun-Credential", support::secret } }, {} }, 9s,
        [&](auto result) { f.reply = result.value(); });
    REQUIRE(runUntil(f.base.get(), [&] { return f.ingress.inProgress() == 1; }));
    std::vector<proto::Resource> kept;
    for (const auto& [name, it] : f.config.resources()) {
        if (!it.has_upstream())
            kept.push_back(it);
    }
    f.context.directory.rebuild(kept);
    f.ingress.configure(f.now);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.reply->status == 503);
}
