#include "Core/StandstillWatch.h"
#include "support/IngressFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

/// \file A node that stands still and wakes: what it holds, and what it reads then, is judged by the time
/// after.

using namespace robinrun;
using support::IngressFixture;
using support::runUntil;

namespace {

constexpr Instant start { 1000s };

/// \brief An owner of one slot, with a backend server that holds what it is given.
struct OwnerFixture : support::NodeFixture {
    Owner owner;
    std::unique_ptr<HttpServer> server;
    std::vector<std::unique_ptr<HttpExchange>> running;
    std::vector<proto::Answer> answers;

    OwnerFixture()
        : NodeFixture("u1")
        , owner(context, monotonicNow())
    {
        context.settings.peers.heartbeat = 250ms;
        server
            = std::move(HttpServer::listen(base.get(), { backend, 1000, 10000, 10s }, [this](auto exchange) {
                  running.push_back(std::move(exchange));
              }).value());
        owner.configure(monotonicNow());
    }

    /// \param left until its deadline, when \a sent.
    proto::Call call(std::uint64_t number, Instant sent, Duration left, bool knowsClock = true) const
    {
        proto::Call out;
        out.set_number(number);
        out.set_upstream("u1");
        out.set_remaining_us(static_cast<std::uint32_t>(left.count()));
        if (knowsClock)
            out.set_owner_deadline_us(static_cast<std::uint64_t>((sent + left).time_since_epoch().count()));
        out.set_group("g");
        out.set_method("POST");
        out.set_target("/buy");
        out.set_body_hash(hash64(""));
        return out;
    }

    void take(const proto::Call& it, Instant now, const std::string& node = "ingress")
    {
        owner.take(
            it, { node, "10.0.0.9:1", 1 }, [this](proto::Answer answer) { answers.push_back(answer); }, now);
    }

    Reason reason(std::size_t i) const { return static_cast<Reason>(answers.at(i).reason()); }

    /// \brief Stands still from \a began for \a length; the first tick after it has come.
    Instant standStill(Instant began, Duration length)
    {
        context.standstill.tick(began);
        context.standstill.tick(began + length);
        return began + length;
    }
};

} // namespace

TEST_CASE(
    "A gap between ticks is a standstill, noticed before the next tick, and over soon after", "[standstill]")
{
    StandstillWatch watch;
    REQUIRE_FALSE(watch.wakingFrom(start));
    watch.tick(start);
    watch.tick(start + 100ms);
    REQUIRE(watch.backlogAge(start + 200ms) == Duration::zero());
    // Whatever is handled first after waking asks before any tick has come.
    REQUIRE(watch.backlogAge(start + 3100ms) == 3s);
    REQUIRE(watch.isFirstTurn(start + 3100ms));
    watch.tick(start + 3100ms);
    REQUIRE(watch.backlogAge(start + 3101ms) == 3s);
    REQUIRE(watch.isFirstTurn(start + 3105ms));
    watch.tick(start + 3150ms);
    REQUIRE_FALSE(watch.isFirstTurn(start + 3150ms));
    REQUIRE(watch.backlogAge(start + 3150ms) == 3s);
    REQUIRE(watch.backlogAge(start + 3100ms + StandstillWatch::settling) == Duration::zero());
}

TEST_CASE("Ticks in time are no standstill, and a gap is told at its length", "[standstill]")
{
    rc::prop("gaps", [] {
        StandstillWatch watch;
        Instant now = start;
        watch.tick(now);
        for (int i = 0; i < 20; ++i) {
            const Duration gap { *rc::gen::inRange<std::int64_t>(1, 10'000'000) };
            now += gap;
            const bool isStandstill = gap > StandstillWatch::leastGap;
            const auto before = watch.wakingFrom(now);
            RC_ASSERT(!isStandstill || (before && before->length() == gap));
            watch.tick(now);
            RC_ASSERT(!isStandstill || watch.backlogAge(now) == gap);
            RC_ASSERT(watch.isFirstTurn(now) == (isStandstill || watch.isFirstTurn(now)));
        }
    });
}

TEST_CASE("A long turn of the loop is no standstill: calls that come then keep their time", "[standstill]")
{
    StandstillWatch watch;
    const Instant start { 1h };
    watch.tick(start);
    // As long as reading a configuration of 2,800 routes takes on a tenth of a core.
    const auto after = start + 50ms + 300ms;
    REQUIRE(watch.backlogAge(after) == Duration::zero());
    watch.tick(after);
    REQUIRE(watch.backlogAge(after + 1ms) == Duration::zero());
    REQUIRE_FALSE(watch.isFirstTurn(after + 1ms));
}

TEST_CASE("Calls that waited while an owner stood still are not run: their senders have given them up",
    "[standstill]")
{
    OwnerFixture f;
    const auto now = monotonicNow();
    f.take(f.call(1, now, 9s), now);
    f.take(f.call(2, now, 9s), now);
    f.take(f.call(3, now, 9s), now, "self");
    REQUIRE(runUntil(f.base.get(), [&] { return f.running.size() == 1; }));
    REQUIRE(f.answers.empty());
    const auto woke = f.standStill(now, 2s);
    f.owner.tick(woke);
    REQUIRE(f.answers.size() == 1);
    REQUIRE(f.answers[0].number() == 2);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
    REQUIRE(f.reason(0) == Reason::GivenUpMeanwhile);
    // The call of the host itself goes on: nothing of its caller was lost.
    f.running[0]->reply({ 200, {}, "one" });
    REQUIRE(runUntil(f.base.get(), [&] { return f.running.size() == 2; }));
}

TEST_CASE("A standstill that no link notices costs no call", "[standstill]")
{
    OwnerFixture f;
    const auto now = monotonicNow();
    f.take(f.call(1, now, 9s), now);
    f.take(f.call(2, now, 9s), now);
    const auto woke = f.standStill(now, 300ms);
    f.owner.tick(woke);
    REQUIRE(f.answers.empty());
    OwnerFixture fresh;
    fresh.take(fresh.call(3, woke, 9s, false), fresh.standStill(now, 300ms));
    REQUIRE(fresh.answers.empty());
}

TEST_CASE("What a waking owner reads was sent before its senders gave up, unless it shows otherwise",
    "[standstill]")
{
    struct Row {
        const char* what;
        Duration sentAfter; ///< the beginning of the standstill
        bool knowsClock;
        Duration readAfter; ///< waking
        Reason reason;
    };
    const Row rows[] = {
        { "sent before, within its deadline", -10ms, true, 1ms, Reason::GivenUpMeanwhile },
        { "sent meanwhile", 400ms, true, 1ms, Reason::GivenUpMeanwhile },
        { "sent before, its deadline over", -8s, true, 1ms, Reason::DeadlinePassed },
        { "sent by one that knows no clock", 400ms, false, 1ms, Reason::GivenUpMeanwhile },
        { "sent after waking", 2001ms, true, 2ms, Reason::None },
        { "no clock, but long after waking", 2500ms, false, 500ms, Reason::None },
    };
    for (const auto& it : rows) {
        INFO(it.what);
        OwnerFixture f;
        const auto began = monotonicNow();
        const auto woke = f.standStill(began, 2s);
        for (auto at = woke; at < woke + it.readAfter; at += 50ms)
            f.context.standstill.tick(at);
        f.take(f.call(1, began + it.sentAfter, 9s, it.knowsClock), woke + it.readAfter);
        if (it.reason == Reason::None) {
            REQUIRE(f.answers.empty());
            continue;
        }
        REQUIRE(f.answers.size() == 1);
        REQUIRE(f.reason(0) == it.reason);
        REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
        REQUIRE(f.running.empty());
    }
}

TEST_CASE("A request that waited unread at a node has that much less time, or none", "[standstill]")
{
    for (const auto length : { 1s, 4s }) {
        IngressFixture f;
        const auto now = monotonicNow();
        f.context.standstill.tick(now - length);
        f.context.standstill.tick(now);
        f.reply.reset();
        f.caller->send({ "GET", "/s/x", { { "Robinrun-Credential", support::secret } }, {} }, 9s,
            [&](auto result) { f.reply = result.value(); });
        REQUIRE(runUntil(f.base.get(), [&] { return !f.sent.empty() || f.reply; }));
        if (length < 3s) { // the service's deadline
            REQUIRE(f.sent.front().call().remaining_us() <= 2'000'000);
            continue;
        }
        REQUIRE(f.sent.empty());
        REQUIRE(f.outcome() == "not-run");
    }
}

TEST_CASE("A caller that left while its node stood still costs no attempt", "[standstill]")
{
    IngressFixture f;
    const auto now = monotonicNow();
    f.context.standstill.tick(now - 1s);
    f.context.standstill.tick(now);
    // It has sent its request and hung up before the node reads either.
    f.caller->send({ "GET", "/s/x", { { "Robinrun-Credential", support::secret } }, {} }, 9s, [](auto) {});
    REQUIRE(runUntil(f.base.get(), [&] { return f.ingress.inProgress() == 1; }));
    f.caller.reset();
    REQUIRE(runUntil(f.base.get(), [&] { return f.ingress.inProgress() == 0; }));
    REQUIRE(f.sent.empty());
}

// Guards against calls that a node ended in their servers' place before their callers' time was over, because
// they might have waited unread.
TEST_CASE("What may have waited unread gets less time at its owner, but its caller waits for the answer",
    "[standstill]")
{
    enum class End { Answered, Refused, Silent };
    for (const auto end : { End::Answered, End::Refused, End::Silent }) {
        IngressFixture f;
        const auto now = monotonicNow();
        f.context.standstill.tick(now - 1s);
        f.context.standstill.tick(now);
        const auto call = f.call("/s/x", { { "Robinrun-Deadline-Ms", "1300" } });
        REQUIRE(call.remaining_us() <= 300'000);
        bool isOver = false;
        const auto timer
            = Timer::once(f.base.get(), Duration(call.remaining_us()) + 50ms, [&] { isOver = true; });
        REQUIRE(runUntil(f.base.get(), [&] { return isOver; }));
        REQUIRE_FALSE(f.reply);
        switch (end) {
        case End::Answered: {
            auto answer = IngressFixture::answerTo(call, proto::ANSWERED, "too late for me");
            answer.set_status(504);
            f.give(support::hostOf(call), answer);
            REQUIRE(f.outcome() == "answered");
            REQUIRE(f.reply->status == 504);
            REQUIRE(f.reply->body == "too late for me");
            break;
        }
        case End::Refused: // ends the call: no owner has time for it
            f.give(support::hostOf(call), IngressFixture::answerTo(call, proto::NOT_RUN));
            REQUIRE(f.outcome() == "not-run");
            REQUIRE(f.sent.empty());
            break;
        case End::Silent:
            REQUIRE(f.outcome() == "unknown");
            REQUIRE(monotonicNow() - now >= 1300ms);
            break;
        }
    }
}
