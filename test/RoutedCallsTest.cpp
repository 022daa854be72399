#include "support/IngressFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <string>
#include <utility>
#include <vector>

using namespace robinrun;
using support::hostOf;
using support::IngressFixture;
using support::runUntil;

namespace {

/// \brief An ingress for calls by route: a target latency of 400 ms, calls of 200 ms, two upstreams.
struct RouteFixture : IngressFixture {
    Instant now = monotonicNow();
    ConfigState config = support::exampleConfig(backend);

    RouteFixture()
        : IngressFixture(ChoicePolicyKind::Timely)
    {
        putRoute("routes/read", "/read/", proto::REPEATABLE, 2);
        putRoute("routes/pay", "/pay/", proto::SINGLE_DISPATCH, 2);
        proto::Resource called;
        called.set_name("services/t");
        called.mutable_service()->set_deadline_ms(3000);
        called.mutable_service()->set_queue_limit(10);
        config.apply(support::put(called));
        context.directory.rebuild(config);
        ingress.setRetryBurst(1);
        ingress.configure(now);
        learnWork("/read/x");
    }

    void putRoute(
        const std::string& name, const std::string& prefix, proto::OnceMode once, std::uint32_t attempts)
    {
        proto::Resource route;
        route.set_name(name);
        auto& it = *route.mutable_route();
        it.set_host("a.example");
        it.set_path_prefix(prefix);
        auto& share = *it.add_split();
        share.set_service("s");
        share.set_weight(1);
        it.set_once(once);
        it.set_timeout_ms(3000);
        it.set_target_latency_ms(400);
        it.set_attempts(attempts);
        config.apply(support::put(std::move(route)));
    }

    /// \brief Adds a route "/again/", whose calls may be sent to \a n upstreams; retries are saved up for
    /// that.
    void addRouteOfAttempts(std::uint32_t n)
    {
        putRoute("routes/again", "/again/", proto::REPEATABLE, n);
        context.directory.rebuild(config);
        ingress.setRetryBurst(n);
        ingress.configure(now);
        learnWork("/again/x");
    }

    /// \brief Answers calls after their usual work, so that it is known.
    void learnWork(const std::string& path)
    {
        for (int i = 0; i < 8; ++i) {
            const auto learnt = routed(path);
            pass(200ms);
            answer(learnt, 1);
        }
    }

    /// \brief Lets the loop run for \a length of real time.
    void run(Duration length)
    {
        bool isOver = false;
        const auto end = Timer::once(base.get(), length, [&] { isOver = true; });
        REQUIRE(runUntil(base.get(), [&] { return isOver; }));
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

    /// \brief Ends the attempt of \a to as not run. \param isServerAsked whether its backend server refused
    /// it, and not its owner.
    void refuse(const proto::Call& to, Reason reason, bool isServerAsked)
    {
        auto out = answerTo(to, proto::NOT_RUN);
        out.set_reason(static_cast<std::uint32_t>(reason));
        out.set_offered(isServerAsked);
        out.mutable_load()->set_slots(4);
        give(hostOf(to), out);
    }

    /// \brief Runs of /read/ are known to make \a calls calls to the service "t".
    void learnNested(std::uint32_t calls)
    {
        for (int i = 0; i < 3; ++i) {
            const auto learnt = routed("/read/x");
            give(hostOf(learnt), withNested(learnt, calls));
            REQUIRE(runUntil(base.get(), [&] { return reply.has_value(); }));
        }
    }

    static proto::Answer withNested(const proto::Call& to, std::uint32_t calls)
    {
        auto out = answerTo(to, proto::ANSWERED, "body");
        out.set_offered(true);
        auto& nested = *out.add_nested();
        nested.set_service("t");
        nested.set_calls(calls);
        return out;
    }

    double saved(const std::string& service) const { return ingress.routers().at(service)->savedRetries(); }

    /// \brief The budgets hold \a n retries from now on and earn none.
    void saveUp(double n)
    {
        ingress.setRetryBurst(n);
        ingress.configure(now);
        for (const auto& [service, router] : ingress.routers()) {
            router->setRetryFraction(0);
            router->recordFirstAttempt(0);
            router->chargeRetries(0, -n);
        }
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
    const auto lateOne = f.routed("/read/x");
    f.pass(350ms);
    f.tellSlow(lateOne.upstream(), 8);
    REQUIRE(f.calls().empty());
    f.tellSlow(lateOne.upstream(), 1);
    // May not repeat.
    const auto once = f.routed("/pay/x");
    f.pass(20ms);
    f.tellSlow(once.upstream(), 8);
    REQUIRE(f.calls().empty());
}

TEST_CASE("Where a second attempt would be in time, none is made if the first is, too", "[node]")
{
    RouteFixture f;
    const auto halfDone = f.routed("/read/x");
    f.pass(120ms);
    f.tellSlow(halfDone.upstream(), 2);
    REQUIRE(f.calls().empty());
}

TEST_CASE("Where only a second attempt would be in time, a call that must not repeat gets none", "[node]")
{
    RouteFixture f;
    for (int i = 0; i < 8; ++i) { // so that the work of the class is known
        const auto learnt = f.routed("/pay/x");
        f.pass(200ms);
        f.answer(learnt, 1);
    }
    const auto call = f.routed("/pay/x");
    f.pass(50ms);
    f.tellSlow(call.upstream(), 8);
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

// While servers refused half of what they got, second attempts that owners refused without asking their
// server used up the budget: nested calls ended after one refusal, and with them the calls that they were
// for.
TEST_CASE("A retry that no backend server was asked to run is given back", "[node]")
{
    RouteFixture f;
    f.saveUp(9);
    f.refuse(f.routed("/read/x"), Reason::BackendRefused, true);
    REQUIRE(f.saved("s") == Approx(8));
    f.refuse(f.nextCall(), Reason::WouldBeLate, false);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.saved("s") == Approx(9));
}

// A retry was paid for, and kept, where no upstream was left for it.
TEST_CASE("A retry that is never sent is given back", "[node]")
{
    RouteFixture f;
    f.saveUp(9);
    f.refuse(f.routed("/read/x"), Reason::WouldBeLate, false);
    f.refuse(f.nextCall(), Reason::BackendRefused, true);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.saved("s") == Approx(9));
}

// What was given back for the late first attempt had been paid for the second one, which then was the only
// one.
TEST_CASE("What is spent on retries is what arrives at backend servers beyond the first", "[node]")
{
    enum class End { ServerRefuses, OwnerRefuses, OwnerBusy, Lost, Fails };
    constexpr int upstreams = 5;
    RouteFixture f;
    for (int i = 3; i <= upstreams; ++i) {
        const auto id = "u" + std::to_string(i);
        proto::Resource upstream;
        upstream.set_name("upstreams/" + id);
        auto& it = *upstream.mutable_upstream();
        it.set_service("s");
        it.set_address(f.backend);
        it.set_node_address("10.0.0." + std::to_string(i) + ":1");
        it.set_host("host-" + id);
        it.set_data_hall("h");
        it.set_region("r");
        it.set_slots(1);
        it.set_connections(5);
        f.config.apply(support::put(std::move(upstream)));
    }
    proto::Resource route;
    route.set_name("routes/look");
    auto& it = *route.mutable_route();
    it.set_host("a.example");
    it.set_path_prefix("/look/");
    auto& share = *it.add_split();
    share.set_service("s");
    share.set_weight(1);
    it.set_once(proto::REPEATABLE);
    it.set_timeout_ms(3000);
    it.set_target_latency_ms(400);
    it.set_attempts(3);
    f.config.apply(support::put(std::move(route)));
    f.context.directory.rebuild(f.config);
    rc::prop("whatever becomes of each attempt", [&] {
        f.saveUp(9);
        std::vector<proto::Call> out { f.routed("/look/x") };
        int arrived = 0;
        const auto ends = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 5));
        const auto isHedged = *rc::gen::container<std::vector<bool>>(6, rc::gen::arbitrary<bool>());
        const auto isNewest = *rc::gen::container<std::vector<bool>>(6, rc::gen::arbitrary<bool>());
        for (std::size_t i = 0; i < ends.size() && !f.reply; ++i) {
            if (isHedged[i] && out.size() == 1) {
                f.tellSlow(out.front().upstream(), 8);
                for (auto& sent : f.calls())
                    out.push_back(std::move(sent));
                for (const auto& call : out)
                    f.tellSlow(call.upstream(), 1);
            }
            const auto at = isNewest[i] ? out.end() - 1 : out.begin();
            const auto ended = *at;
            out.erase(at);
            const auto end = static_cast<End>(ends[i]);
            arrived += end == End::ServerRefuses || end == End::Lost || end == End::Fails;
            if (end == End::ServerRefuses)
                f.refuse(ended, Reason::BackendRefused, true);
            else if (end == End::OwnerRefuses)
                f.refuse(ended, Reason::WouldBeLate, false);
            else if (end == End::OwnerBusy)
                f.refuse(ended, Reason::Busy, false);
            else if (end == End::Lost)
                f.give(hostOf(ended), IngressFixture::answerTo(ended, proto::UNKNOWN));
            else {
                auto failed = IngressFixture::answerTo(ended, proto::ANSWERED, "body");
                failed.set_status(500);
                failed.set_offered(true);
                f.give(hostOf(ended), failed);
            }
            if (out.empty())
                REQUIRE(runUntil(f.base.get(), [&] { return !f.sent.empty() || f.reply; }));
            for (auto& sent : f.calls())
                out.push_back(std::move(sent));
        }
        // What is out may arrive.
        const int arrivals = arrived + static_cast<int>(out.size());
        RC_ASSERT(f.saved("s") == Approx(9 - std::max(arrivals - 1, 0)));
        if (!f.reply) {
            auto good = IngressFixture::answerTo(out.front(), proto::ANSWERED, "body");
            good.set_offered(true);
            f.give(hostOf(out.front()), good);
            REQUIRE(f.outcome() == "answered");
        }
        f.calls();
    });
}

// Each retry was charged the mean number of nested calls in advance, also where its run made none: a few of
// them took what the nested calls themselves needed.
TEST_CASE("A retry is charged for the nested calls that it makes", "[node]")
{
    RouteFixture f;
    f.learnNested(2);
    f.saveUp(9);
    const auto second = [&] {
        f.refuse(f.routed("/read/x"), Reason::BackendRefused, true);
        return f.nextCall();
    };
    // Until it is known.
    auto it = second();
    REQUIRE(f.saved("t") == Approx(7));
    f.give(hostOf(it), RouteFixture::withNested(it, 3));
    REQUIRE(f.outcome() == "answered");
    REQUIRE(f.saved("t") == Approx(6));
    f.refuse(second(), Reason::BackendRefused, true);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.saved("t") == Approx(6));
    it = second();
    const auto mean = 6 - f.saved("t");
    REQUIRE(mean > 1);
    f.give(hostOf(it), IngressFixture::answerTo(it, proto::UNKNOWN));
    REQUIRE(f.outcome() != "answered");
    REQUIRE(f.saved("t") == Approx(6 - mean)); // it may have made them
}

// Repeated calls from outside, each charged for the nested calls that it may bring, left none for nested
// calls.
TEST_CASE("A call is not tried again while the nested calls of others are refused their retries", "[node]")
{
    RouteFixture f;
    f.learnNested(2);
    f.saveUp(9);
    auto& nested = *f.ingress.routers().at("t");
    while (nested.trySpendRetry(0, RetryPriority::Nested, f.now)) { }
    nested.chargeRetries(0, -5);
    f.refuse(f.routed("/read/x"), Reason::BackendRefused, true);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.saved("s") == Approx(9));
    REQUIRE(f.context.metrics.text().find(R"(denied_total{service="s",cause="higher-claim"} 1)")
        != std::string::npos);
    f.pass(2s);
    f.refuse(f.routed("/read/x"), Reason::BackendRefused, true);
    f.refuse(f.nextCall(), Reason::BackendRefused, true);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.saved("s") == Approx(8));
}

TEST_CASE("Metrics tell which check denies a retry, and what is paid and arrives", "[node]")
{
    RouteFixture f;
    const auto shed = [&](const proto::Call& to) {
        auto out = IngressFixture::answerTo(to, proto::NOT_RUN);
        out.set_reason(static_cast<std::uint32_t>(Reason::BackendRefused));
        out.set_offered(true);
        f.give(hostOf(to), out);
    };
    const auto tells = [&](const std::string& line) {
        return f.context.metrics.text().find("robinrun_retries_" + line + "\n") != std::string::npos;
    };
    shed(f.routed("/read/x"));
    shed(f.nextCall());
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(tells(R"(paid_total{service="s"} 1)"));
    REQUIRE(tells(R"(arrived_total{service="s"} 1)"));
    REQUIRE(tells(R"(denied_total{service="s",cause="attempts-used"} 1)"));
    shed(f.routed("/read/x"));
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(tells(R"(denied_total{service="s",cause="own-budget"} 1)"));
}

TEST_CASE("Two owners are asked to run a call at once; then it may wait, also where it was asked", "[node]")
{
    RouteFixture f;
    auto next = f.routed("/pay/x");
    REQUIRE(next.terms().only_at_once());
    const auto busyReply = [&](const proto::Call& to) {
        auto out = IngressFixture::answerTo(to, proto::NOT_RUN);
        out.set_reason(static_cast<std::uint32_t>(Reason::Busy));
        out.mutable_load()->set_slots(1);
        out.mutable_load()->set_in_use(1); // and free soon enough
        out.mutable_load()->set_service_us(100000);
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

// In a burst of 1.5 times the usual, 1,000 calls a second asked 6,300 owners, 44 % of them in other halls,
// each with the whole body; where the best that was left was known to be too late, that bought nothing.
TEST_CASE("A refused call is not sent on where it is known to be too late", "[node]")
{
    RouteFixture f;
    const auto full = [&](const proto::Call& to, Reason reason) {
        auto out = IngressFixture::answerTo(to, proto::NOT_RUN);
        out.set_reason(static_cast<std::uint32_t>(reason));
        out.set_retry_after_ms(90);
        out.mutable_load()->set_slots(1);
        out.mutable_load()->set_in_use(1);
        out.mutable_load()->set_queued(8);
        out.mutable_load()->set_service_us(200000);
        f.give(hostOf(to), out);
    };
    full(f.routed("/pay/x"), Reason::Busy);
    full(f.nextCall(), Reason::Busy);
    full(f.nextCall(), Reason::WouldBeLate);
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.calls().empty());
    REQUIRE(f.reply->status == 503);
    // The next call asks all the same: what is known by then is old.
    f.pass(2s);
    const auto next = f.routed("/pay/y");
    REQUIRE(next.terms().only_at_once());
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

TEST_CASE("A second attempt waits for its link, and costs no retry if that doesn't come", "[node]")
{
    RouteFixture f;
    const auto first = f.routed("/read/x");
    const auto& router = *f.ingress.routers().at("s");
    const auto saved = router.savedRetries();
    f.pass(50ms);
    f.isReachable = false;
    f.whenNot = SendResult::Connecting;
    f.tellSlow(first.upstream(), 8);
    REQUIRE(f.calls().empty());
    REQUIRE(router.savedRetries() == Approx(saved));
    f.isReachable = true;
    const auto second = f.nextCall();
    REQUIRE(second.upstream() != first.upstream());
    REQUIRE(router.savedRetries() == Approx(saved - 1));
    f.answer(second, 1);
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

// Guards against an own answer of the node in place of that of a backend server which is at work.
TEST_CASE("A lost attempt doesn't end a call while another one is at work", "[node]")
{
    RouteFixture f;
    f.addRouteOfAttempts(3);
    const auto first = f.routed("/again/x");
    f.pass(50ms);
    f.tellSlow(first.upstream(), 8);
    const auto second = f.calls();
    REQUIRE(second.size() == 1);
    f.ahead = {};
    f.give(hostOf(second.front()), IngressFixture::answerTo(second.front(), proto::UNKNOWN));
    // Longer than a lost call waits for the next life of its backend server.
    f.run(150ms);
    REQUIRE_FALSE(f.reply);
    REQUIRE(f.sent.empty());
    f.give(hostOf(first), IngressFixture::answerTo(first, proto::ANSWERED, "body"));
    REQUIRE(f.outcome() == "answered");
    REQUIRE(f.reply->body == "body");
}

TEST_CASE("A node that stops takes calls that are likely to end before it does", "[node],[drain]")
{
    RouteFixture f;
    // The usual time is 200 ms.
    f.ingress.setEnd(f.now + 1s);
    const auto call = f.routed("/read/x");
    REQUIRE(call.remaining_us() <= Duration(1s).count());
    f.answer(call, 1);
    f.pass(700ms);
    f.reply.reset();
    f.caller->send(
        { "GET", "/read/x", { { "Host", "a.example" }, { "Robinrun-Credential", support::secret } }, {} }, 9s,
        [&](auto result) { f.reply = result.value(); });
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(findHeader(f.reply->headers, "Robinrun-Reason") == "leaving");
    REQUIRE(f.calls().empty());
}

TEST_CASE("A call that ends by its deadline before its node does is taken, however long it usually takes",
    "[node],[drain]")
{
    RouteFixture f;
    f.ingress.setEnd(f.now + 3200ms); // the route allows 3 s
    f.answer(f.routed("/read/x"), 1);
    f.ingress.setEnd(f.now + 3200ms);
    REQUIRE(f.routed("/pay/x").remaining_us() > 0);
}
