#include "Node/Owner.h"
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

/// \brief An owner with a backend server behind it that answers when the test says so.
struct OwnerFixture : NodeFixture {
    Owner owner;
    std::unique_ptr<HttpServer> server;
    std::vector<std::unique_ptr<HttpExchange>> running;
    std::vector<proto::Answer> answers;
    int hungUp = 0;

    OwnerFixture()
        : NodeFixture("u1")
        , owner(context, monotonicNow())
    {
        server
            = std::move(HttpServer::listen(base.get(), { backend, 1000, 10000, 10s }, [this](auto exchange) {
                  exchange->onHangUp([this] { ++hungUp; });
                  running.push_back(std::move(exchange));
              }).value());
        owner.configure(monotonicNow());
    }

    proto::Call call(std::uint64_t number, const std::string& target = "/x") const
    {
        proto::Call out;
        out.set_number(number);
        out.set_upstream("u1");
        out.set_remaining_us(3000000);
        out.set_group("g");
        out.set_method("GET");
        out.set_target(target);
        out.set_body_hash(hash64(""));
        return out;
    }

    static Owner::Sender ingress(const std::string& node = "ingress") { return { node, "10.0.0.9:1", 1 }; }

    void take(const proto::Call& it, const std::string& node = "ingress")
    {
        owner.take(
            it, ingress(node), [this](proto::Answer answer) { answers.push_back(answer); }, monotonicNow());
    }

    void waitRunning(std::size_t n)
    {
        REQUIRE(runUntil(base.get(), [&] { return running.size() == n; }));
    }
    void waitAnswers(std::size_t n)
    {
        REQUIRE(runUntil(base.get(), [&] { return answers.size() == n; }));
    }
    Reason reason(std::size_t i) const { return static_cast<Reason>(answers.at(i).reason()); }
};

} // namespace

TEST_CASE("An owner runs as many as it has slots, and answers each with the load", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.take(f.call(2));
    f.waitRunning(1);
    f.running[0]->reply({ 200, { { "Connection", "keep-alive" }, { "X", "y" } }, "one" });
    f.waitAnswers(1);
    REQUIRE(f.answers[0].body() == "one");
    REQUIRE(f.answers[0].number() == 1);
    REQUIRE(f.answers[0].load().yours() == 1);
    f.waitRunning(2);
    f.running[1]->reply({ 200, {}, "two" });
    f.waitAnswers(2);
    REQUIRE(f.owner.isIdle());
}

TEST_CASE("A waiting call that has become hopeless is answered as not run before its deadline", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.take(f.call(2));
    f.waitRunning(1);
    constexpr Duration nearlyAll = 2999ms; // of the 3 s that the call is given
    f.owner.tick(monotonicNow());
    REQUIRE(f.answers.empty());
    f.owner.tick(monotonicNow() + nearlyAll);
    REQUIRE(f.answers.size() == 1);
    REQUIRE(f.answers[0].number() == 2);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
}

TEST_CASE("Nodes that started in the same microsecond are told apart", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1), "a");
    f.take(f.call(1), "b"); // no double of the first
    f.waitRunning(1);
    f.owner.cancel(OwnerFixture::ingress("c"), 1, monotonicNow());
    f.owner.cancel(OwnerFixture::ingress("b"), 1, monotonicNow());
    REQUIRE(f.answers.size() == 1);
    REQUIRE(f.reason(0) == Reason::Cancelled);
    f.running[0]->reply({ 200, {}, "one" });
    f.waitAnswers(2);
    REQUIRE(f.answers[1].body() == "one");
    REQUIRE(f.answers[1].load().yours() == 0);
}

TEST_CASE("Doubled, misdirected, damaged, former and late calls are refused before they run", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.waitRunning(1);
    f.take(f.call(1)); // doubled: silence, the first is answered under the same number
    REQUIRE(f.answers.empty());
    auto other = f.call(2);
    other.set_upstream("u2");
    f.take(other);
    auto former = f.call(3);
    former.set_owner_incarnation(76);
    f.take(former);
    auto damaged = f.call(4);
    damaged.set_body("x");
    f.take(damaged);
    auto late = f.call(5);
    late.set_owner_incarnation(77);
    late.set_owner_deadline_us(static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count()) - 1);
    f.take(late);
    const Reason expected[]
        = { Reason::WrongOwner, Reason::WrongIncarnation, Reason::Damaged, Reason::DeadlinePassed };
    REQUIRE(f.answers.size() == 4);
    for (std::size_t i = 0; i < 4; ++i) {
        REQUIRE(f.reason(i) == expected[i]);
        REQUIRE(f.answers[i].outcome() == proto::NOT_RUN);
    }
    REQUIRE(f.running.size() == 1);
}

TEST_CASE("A backend server that isn't there ran nothing; one that breaks off may have", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.waitRunning(1);
    f.server.reset(); // ends the connection, and listens no more
    f.waitAnswers(1);
    REQUIRE(f.answers[0].outcome() == proto::UNKNOWN);
    f.take(f.call(2));
    f.waitAnswers(2);
    REQUIRE(f.answers[1].outcome() == proto::NOT_RUN);
    REQUIRE(f.reason(1) == Reason::BackendUnreachable);
}

// Guards against runs that count as unknown although their server told how they ended.
TEST_CASE("What a server answers at the deadline that it was told is passed on", "[node]")
{
    constexpr int tries = 5; // a held-up test may lose a race that an owner doesn't
    int passedOn = 0;
    for (int i = 0; i < tries; ++i) {
        OwnerFixture f;
        auto call = f.call(1);
        call.set_remaining_us(100'000);
        f.take(call);
        f.waitRunning(1);
        const auto told = findHeader(f.running[0]->request().headers, f.context.headers.deadline);
        REQUIRE(told);
        const Duration length = std::chrono::milliseconds(std::stoi(std::string(*told)) + 2);
        const auto end = Timer::once(f.base.get(), length, [&] { f.running[0]->reply({ 504, {}, "late" }); });
        f.waitAnswers(1);
        passedOn += f.answers[0].outcome() == proto::ANSWERED && f.answers[0].status() == 504;
    }
    REQUIRE(passedOn > 0);
}

TEST_CASE("A server that says nothing keeps its slot hardly longer than until the deadline", "[node]")
{
    OwnerFixture f;
    auto call = f.call(1, "/buy/1"); // which no cancel cuts off
    call.set_remaining_us(100'000);
    const auto taken = monotonicNow();
    f.take(call);
    f.take(f.call(2));
    f.waitAnswers(1);
    REQUIRE(f.answers[0].number() == 1);
    REQUIRE(f.answers[0].outcome() == proto::UNKNOWN);
    REQUIRE(monotonicNow() - taken >= 100ms);
    f.waitRunning(2);
}

TEST_CASE("Repeats of a ticket share one run, each with the whole answer", "[node]")
{
    OwnerFixture f;
    auto mint = f.call(1);
    mint.set_mint_ticket(true);
    f.take(mint);
    const auto ticket = f.answers.at(0).ticket();
    for (std::uint64_t number = 2; number <= 4; ++number) {
        auto call = f.call(number, "/buy/1");
        *call.mutable_ticket() = ticket;
        f.take(call, "ingress-" + std::to_string(number));
    }
    f.waitRunning(1);
    f.running[0]->reply({ 200, {}, "bought" });
    f.waitAnswers(4);
    auto again = f.call(5, "/buy/1");
    *again.mutable_ticket() = ticket;
    f.take(again);
    f.waitAnswers(5);
    for (std::size_t i = 1; i < 5; ++i) {
        REQUIRE(f.answers[i].body() == "bought");
        REQUIRE(f.answers[i].number() == i + 1);
    }
    REQUIRE(f.running.size() == 1);
}

TEST_CASE("Cancelled calls free their place; what must not repeat is not cut off", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.take(f.call(2));
    f.waitRunning(1);
    f.owner.cancel(OwnerFixture::ingress(), 2, monotonicNow());
    REQUIRE(f.reason(0) == Reason::Cancelled);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
    f.owner.cancel(OwnerFixture::ingress(), 1, monotonicNow());
    REQUIRE(f.answers[1].outcome() == proto::UNKNOWN);
    REQUIRE(f.owner.isIdle());
    REQUIRE(runUntil(f.base.get(), [&] { return f.hungUp == 1; }));
    f.take(f.call(3, "/buy/1"));
    f.waitRunning(2);
    f.owner.cancel(OwnerFixture::ingress(), 3, monotonicNow());
    REQUIRE(f.answers.size() == 2);
    f.running[1]->reply({ 200, {}, "bought" });
    f.waitAnswers(3);
}

TEST_CASE("A drain told by an answer moves waiting calls on, ends what runs, and is undone", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.waitRunning(1);
    f.take(f.call(2));
    f.running[0]->reply({ 200, { { "Backend-State", "draining" } }, "last" });
    f.waitAnswers(2);
    // The slot that comes free is not given to the call that waited.
    REQUIRE(f.running.size() == 1);
    REQUIRE(f.owner.lifeState() != LifeState::Active);
    f.take(f.call(3));
    f.waitAnswers(3);
    REQUIRE(f.reason(2) == Reason::Leaving);
    REQUIRE(f.answers[2].outcome() == proto::NOT_RUN);
    REQUIRE(f.answers[2].load().state() == static_cast<std::uint32_t>(UpstreamState::Leaving));
    f.owner.tick(monotonicNow());
    REQUIRE(f.owner.lifeState() == LifeState::Drained);
    f.owner.setSign(LeavingSign::BackendServer, false, monotonicNow());
    f.take(f.call(4));
    f.waitRunning(2);
}

TEST_CASE("A changed backend address takes new calls, and what runs ends at the former one", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.waitRunning(1);
    const auto moved = freeAddress();
    std::vector<std::unique_ptr<HttpExchange>> runningThere;
    const auto other
        = std::move(HttpServer::listen(f.base.get(), { moved, 1000, 10000, 10s }, [&](auto exchange) {
              runningThere.push_back(std::move(exchange));
          }).value());
    f.context.directory.rebuild(support::exampleConfig(moved));
    f.owner.configure(monotonicNow());
    f.running[0]->reply({ 200, {}, "from the former address" });
    f.waitAnswers(1);
    REQUIRE(f.answers[0].body() == "from the former address");
    f.take(f.call(2));
    REQUIRE(runUntil(f.base.get(), [&] { return runningThere.size() == 1; }));
    runningThere[0]->reply({ 200, {}, "from the new one" });
    f.waitAnswers(2);
    f.owner.tick(monotonicNow());
    f.context.directory.rebuild(ConfigState {});
    f.owner.configure(monotonicNow());
    REQUIRE(f.owner.lifeState() == LifeState::Draining);
}

TEST_CASE(
    "A call that is to run at once or not at all is refused by a full or slowed server's owner", "[node]")
{
    OwnerFixture f;
    const auto atOnce = [&](std::uint64_t number) {
        auto out = f.call(number);
        out.mutable_terms()->set_only_at_once(true);
        out.mutable_terms()->set_target_latency_us(1000000);
        out.mutable_terms()->set_repeatable(true);
        return out;
    };
    f.context.headers.load = "Load";
    f.context.headers.notRun = "Not-Run";
    f.context.headers.signature = "Signature";
    f.take(atOnce(1));
    f.waitRunning(1);
    f.take(atOnce(2)); // the only slot is taken
    f.waitAnswers(1);
    REQUIRE(f.reason(0) == Reason::Busy);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
    REQUIRE(f.answers[0].load().in_use() == 1);
    f.running[0]->reply({ 200, { { "Signature", "s" }, { "Load", "0,0,1,400" } }, "one" });
    f.waitAnswers(2);
    f.take(atOnce(3)); // a slot is free, but work takes four times as long
    f.waitAnswers(3);
    REQUIRE(f.reason(2) == Reason::Busy);
    auto patient = atOnce(4);
    patient.mutable_terms()->set_only_at_once(false);
    f.take(patient);
    f.waitRunning(2);
}

TEST_CASE("What a backend server calls for a run is counted and told with its answer", "[node]")
{
    OwnerFixture f;
    auto call = f.call(1);
    call.set_request_id("r1");
    f.take(call);
    f.waitRunning(1);
    REQUIRE(f.owner.countNestedCall("r1", "t"));
    REQUIRE(f.owner.countNestedCall("r1", "t"));
    REQUIRE_FALSE(f.owner.countNestedCall("r2", "t"));
    f.running[0]->reply({ 200, {}, "one" });
    f.waitAnswers(1);
    REQUIRE(f.answers[0].nested_size() == 1);
    REQUIRE(f.answers[0].nested(0).calls() == 2);
    REQUIRE_FALSE(f.owner.countNestedCall("r1", "t")); // it is over
}

// Guards against calls that are cut off with their node: they were let in though their time went beyond its
// end.
TEST_CASE("An owner whose node ends refuses calls that may run beyond that, and runs the others", "[node]")
{
    OwnerFixture f;
    f.owner.setEnd(monotonicNow() + 2s);
    f.take(f.call(1)); // has three seconds left
    REQUIRE(f.answers.size() == 1);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
    REQUIRE(f.reason(0) == Reason::Leaving);
    auto shorter = f.call(2);
    shorter.set_remaining_us(1000000);
    f.take(shorter);
    f.waitRunning(1);
    REQUIRE(f.answers.size() == 1);
}

// Replies of another server at a reused address changed what the owner believed of its own.
TEST_CASE("An owner learns nothing from a reply that another server gave", "[node]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.waitRunning(1);
    f.running[0]->reply({ 421,
        { { "Backend-State", "draining" }, { "Backend-Load", "1,0,1,400" }, { "Backend-Rate-Limit", "1" } },
        "" });
    f.waitAnswers(1);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
    REQUIRE(f.owner.lifeState() == LifeState::Active);
    REQUIRE(f.answers[0].load().slowdown_permille() == 1000);
    REQUIRE_FALSE(f.owner.serverLimit());
}

// The time after which a server that refuses a call wants it again was dropped.
TEST_CASE("The time to come back that a server gives with a refusal is passed on", "[node]")
{
    OwnerFixture f;
    const auto [text, ms] = GENERATE(std::pair { "0.7", 700U }, std::pair { "2", 2000U },
        std::pair { "soon", 0U }, std::pair { "-1", 0U }, std::pair { "1e9", 0U });
    f.take(f.call(1));
    f.waitRunning(1);
    f.running[0]->reply({ 503, { { "Backend-Not-Run", "full" }, { "Retry-After", text } }, "" });
    f.waitAnswers(1);
    REQUIRE(f.reason(0) == Reason::BackendRefused);
    REQUIRE(f.answers[0].retry_after_ms() == ms);
}

// A server that was full and said so without its limit would have got all that waited at once.
TEST_CASE("A refusal that names no limit does not lift it, while an answer does", "[node],[server-limit]")
{
    OwnerFixture f;
    f.take(f.call(1));
    f.waitRunning(1);
    f.running[0]->reply({ 200, { { "Backend-Rate-Limit", "50" } }, "" });
    f.waitAnswers(1);
    REQUIRE(f.owner.serverLimit() == 50.0);
    f.take(f.call(2));
    f.waitRunning(2);
    f.running[1]->reply({ 503, { { "Backend-Not-Run", "full" } }, "" });
    f.waitAnswers(2);
    REQUIRE(f.owner.serverLimit() == 50.0);
    f.take(f.call(3));
    f.waitRunning(3);
    f.running[2]->reply({ 503, { { "Backend-Not-Run", "full" }, { "Backend-Rate-Limit", "20" } }, "" });
    f.waitAnswers(3);
    REQUIRE(f.owner.serverLimit() == 20.0);
    f.take(f.call(4));
    f.waitRunning(4);
    f.running[3]->reply({ 200, {}, "" });
    f.waitAnswers(4);
    REQUIRE_FALSE(f.owner.serverLimit());
}

TEST_CASE("An owner asks for a long body part by part, and runs the call once it is whole", "[node]")
{
    OwnerFixture f;
    const std::string body(300000, 'b');
    auto it = f.call(1);
    it.set_method("POST");
    it.set_body_hash(hash64(body));
    it.set_body_length(body.size());
    const auto answerParts = [&](std::size_t most) {
        for (std::size_t i = 0; i < f.answers.size() && i < most; ++i) {
            if (!f.answers[i].wanted_bytes())
                return;
            proto::BodyPart part;
            part.set_number(1);
            part.set_from(f.answers[i].wanted_from());
            part.set_bytes(body.substr(f.answers[i].wanted_from(), f.answers[i].wanted_bytes()));
            f.owner.takeBodyPart(OwnerFixture::ingress(), part, monotonicNow());
        }
    };
    SECTION("whole")
    {
        f.server.reset();
        f.server = std::move(
            HttpServer::listen(f.base.get(), { f.backend, 1U << 20U, 10000, 10s }, [&](auto exchange) {
                f.running.push_back(std::move(exchange));
            }).value());
        f.take(it);
        REQUIRE(f.context.bodies.used() == body.size());
        answerParts(100);
        f.waitRunning(1);
        REQUIRE(f.running[0]->request().body == body);
        f.running[0]->reply({ 200, {}, "done" });
        REQUIRE(runUntil(f.base.get(), [&] {
            return f.answers.back().outcome() == proto::ANSWERED && f.answers.back().status() == 200;
        }));
        f.running.clear();
        REQUIRE(runUntil(f.base.get(), [&] { return f.context.bodies.used() == 0; }));
    }
    SECTION("damaged")
    {
        it.set_body_hash(hash64("other"));
        f.take(it);
        answerParts(100);
        REQUIRE(f.reason(f.answers.size() - 1) == Reason::Damaged);
    }
    SECTION("a part out of order")
    {
        f.take(it);
        proto::BodyPart part;
        part.set_number(1);
        part.set_from(7);
        part.set_bytes("x");
        f.owner.takeBodyPart(OwnerFixture::ingress(), part, monotonicNow());
        REQUIRE(f.reason(1) == Reason::Damaged);
    }
    SECTION("nothing comes")
    {
        f.take(it);
        f.owner.tick(monotonicNow() + 2500ms);
        REQUIRE(f.reason(1) == Reason::BodyMissing);
        REQUIRE(f.answers[1].outcome() == proto::NOT_RUN);
    }
    SECTION("the node ends")
    {
        f.take(it);
        answerParts(1);
        f.owner.beginEnd(monotonicNow());
        REQUIRE(f.reason(f.answers.size() - 1) == Reason::Leaving);
    }
    SECTION("the ingress gives it up")
    {
        f.take(it);
        f.owner.cancel(OwnerFixture::ingress(), 1, monotonicNow());
        REQUIRE(f.reason(1) == Reason::Cancelled);
    }
    SECTION("no room")
    {
        f.context.bodies = MemoryBudget(400000);
        auto other = f.context.bodies.share();
        REQUIRE(other.resize(200000));
        f.take(it);
        REQUIRE(f.reason(0) == Reason::NoMemory);
        REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
        REQUIRE(f.answers[0].retry_after_ms() > 0);
        return;
    }
    REQUIRE(f.context.bodies.used() == 0);
    REQUIRE(f.owner.isIdle());
}
