#include "Core/Hash.h"
#include "Http/HttpPool.h"
#include "Node/Ingress.h"
#include "Node/Owner.h"
#include "support/FakeLog.h"
#include "support/Loopback.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace robinrun;
using support::freeAddress;
using support::runUntil;

namespace {

const std::string secret = "secret";
const std::string charts = std::string(SOURCE_FOLDER) + "/charts";

std::string put(proto::Resource resource)
{
    proto::ChangeRecord change;
    change.set_id(resource.name());
    *change.mutable_put() = std::move(resource);
    return change.SerializeAsString();
}

/// \brief One service with upstreams u1 and u2, a class that must not repeat, and a group.
ConfigState exampleConfig(const std::string& backend)
{
    ConfigState config;
    proto::Resource service;
    service.set_name("services/s");
    service.mutable_service()->set_deadline_ms(3000);
    service.mutable_service()->set_queue_limit(10);
    service.mutable_service()->set_retry_fraction(0.5);
    auto& once = *service.mutable_service()->add_classes();
    once.set_name("buy");
    once.set_path_prefix("/buy");
    once.set_once(proto::SINGLE_DISPATCH);
    config.apply(put(service));
    for (const std::string id : { "u1", "u2" }) {
        proto::Resource upstream;
        upstream.set_name("upstreams/" + id);
        auto& it = *upstream.mutable_upstream();
        it.set_service("s");
        it.set_address(backend);
        it.set_node_address(id == "u1" ? "10.0.0.1:1" : "10.0.0.2:1");
        it.set_host("host-" + id);
        it.set_data_hall("h");
        it.set_region("r");
        it.set_slots(1);
        it.set_connections(5);
        config.apply(put(upstream));
    }
    proto::Resource group;
    group.set_name("groups/g");
    group.mutable_group()->set_credential_sha256(sha256Hex(secret));
    config.apply(put(group));
    return config;
}

/// \brief What an ingress or an owner needs around it; messages to peers are kept.
struct Fixture {
    LoopPtr base = makeLoop();
    std::string backend = freeAddress();
    NodeContext context;
    Membership members { Membership::Options {} };
    support::VirtualLoop unusedLoop;
    support::FakeLog log { unusedLoop, 1, {} };
    std::deque<proto::PeerMessage> sent;

    explicit Fixture(const std::string& ownUpstream = "")
        : context { {}, Charts::load(charts).value(), base.get(), 77, {}, {}, Random(1), monotonicNow,
            wallClockMs }
    {
        auto& settings = context.settings;
        settings.name = "self";
        settings.upstream = ownUpstream;
        settings.limits.calls = 100;
        settings.limits.ticketMemory = 100000;
        settings.choice.subset = 10;
        settings.choice.attemptTimeout = 10s;
        settings.choice.kind = ChoiceKind::ExpectedDelay;
        settings.claims.partitions = 1;
        settings.claims.appendsPerSecond = 10;
        settings.claims.decideWithin = 1s;
        settings.claims.keyLifetime = 600s;
        context.directory.rebuild(exampleConfig(backend));
    }

    SendToPeer sender()
    {
        return [this](const std::string&, proto::PeerMessage& message, Instant) {
            sent.push_back(message);
            return SendResult::Sent;
        };
    }
};

/// \brief An ingress with a caller in front of it and the test as its peers.
struct IngressFixture : Fixture {
    Owner owner { context, monotonicNow() };
    ClaimService claims { context, log, members, sender(), monotonicNow() };
    Ingress ingress { context, owner, claims, members, sender() };
    std::string address = freeAddress();
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpPool> caller;
    std::optional<HttpReply> reply;

    IngressFixture()
    {
        ingress.configure(monotonicNow());
        server
            = std::move(HttpServer::listen(base.get(), { address, 1000, 10000, 10s }, [this](auto exchange) {
                  ingress.take(std::move(exchange), monotonicNow());
              }).value());
        HttpPool::Options options;
        options.address = address;
        caller = std::make_unique<HttpPool>(base.get(), options);
    }

    /// \brief Sends a request and waits for the call that the ingress makes of it.
    proto::Call call(const std::string& path, HttpHeaders headers = {})
    {
        reply.reset();
        headers.emplace_back("Robinrun-Credential", secret);
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

namespace {

/// \brief An owner with a backend server behind it that answers when the test says so.
struct OwnerFixture : Fixture {
    Owner owner;
    std::unique_ptr<HttpServer> server;
    std::vector<std::unique_ptr<HttpExchange>> running;
    std::vector<proto::Answer> answers;
    int hungUp = 0;

    OwnerFixture()
        : Fixture("u1")
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

    void take(const proto::Call& it, std::uint64_t sender = 1)
    {
        owner.take(
            it, { "ingress", "10.0.0.9:1", sender },
            [this](proto::Answer answer) { answers.push_back(answer); }, monotonicNow());
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
        f.take(call, number);
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
    f.owner.cancel(1, 2, monotonicNow());
    REQUIRE(f.reason(0) == Reason::Cancelled);
    REQUIRE(f.answers[0].outcome() == proto::NOT_RUN);
    f.owner.cancel(1, 1, monotonicNow());
    REQUIRE(f.answers[1].outcome() == proto::UNKNOWN);
    REQUIRE(f.owner.isIdle());
    REQUIRE(runUntil(f.base.get(), [&] { return f.hungUp == 1; }));
    f.take(f.call(3, "/buy/1"));
    f.waitRunning(2);
    f.owner.cancel(1, 3, monotonicNow());
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
