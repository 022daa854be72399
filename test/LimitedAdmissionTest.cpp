#include "Core/Random.h"
#include "Queueing/Admission.h"
#include "Routing/ServiceRouter.h"
#include "support/VirtualLoop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file What owners and ingresses do with calls under a limit that the backend server names, in virtual
/// time.

using namespace robinrun;
using support::VirtualLoop;

namespace {

constexpr Instant begun { 1000s };
constexpr auto callAnswer = RateLimitSource::CallAnswer;

/// \brief An owner with a server of 12 slots whose calls take 100 ms, by deadline and target of its callers.
struct LimitedOwner {
    VirtualLoop loop;
    Admission admission { Admission::Options { .slots = 12, .initialSlotTime = 100ms } };
    std::uint64_t lastId = 0;
    Duration deadline = 1s;
    Duration target = 400ms;
    std::vector<Instant> starts;
    std::map<std::uint32_t, std::size_t> startsByGroup;
    std::map<std::uint64_t, std::uint32_t> groupById;
    std::vector<Refusal> refusals;
    std::vector<Instant> refusedAt;

    LimitedOwner() { loop.run(begun); }

    Instant now() const { return loop.now(); }

    void name(std::optional<double> limit)
    {
        admission.rateLimit().onAnswer(callAnswer, limit, now(), now());
        act(admission.refuseCallsMissingDeadline(now()));
        act(admission.startReadyCalls(now()));
    }

    void offer(std::uint32_t group = 0, std::uint32_t priority = 0)
    {
        OfferedCall call;
        call.id = ++lastId;
        call.group = group;
        call.priority = priority;
        call.deadline = now() + deadline;
        call.softDeadline = now() + target;
        groupById[call.id] = group;
        act(admission.offer(call, now()));
    }

    void act(const AdmissionResult& result)
    {
        for (const auto& it : result.refusals) {
            refusals.push_back(it);
            refusedAt.push_back(now());
        }
        for (const auto id : result.callsToRun) {
            starts.push_back(now());
            ++startsByGroup[groupById.at(id)];
            loop.after(100ms, [this, id] { act(admission.onRunEnded(id, RunOutcome::Answered, now())); });
        }
        if (const auto next = admission.nextPacedStart(now()))
            loop.after(
                std::max(*next - now(), Duration(1)), [this] { act(admission.startReadyCalls(now())); });
    }

    /// \brief Offers calls at even intervals for \a length. \param groupOf the number of a call.
    template <class F> void offerFor(Duration length, double perSecond, F groupOf)
    {
        const auto end = now() + length;
        for (std::uint64_t i = 0; now() < end; ++i) {
            offer(groupOf(i));
            loop.run(now() + fromSeconds(1 / perSecond));
        }
    }
};

std::uint32_t onlyGroup(std::uint64_t)
{
    return 0;
}

} // namespace

TEST_CASE("A limited server gets what it accepts while calls wait, and all again once it lifts the limit",
    "[server-limit]")
{
    LimitedOwner f;
    f.name(10);
    f.offerFor(20s, 60, onlyGroup);
    REQUIRE(f.starts.size() >= 0.9 * 200);
    REQUIRE(f.starts.size() <= 1 + 10 * 20.1);
    f.starts.clear();
    f.name(std::nullopt);
    f.offerFor(2s, 60, onlyGroup);
    REQUIRE(f.starts.size() >= 118);
}

TEST_CASE("Calls that a limit leaves no time for are refused on arrival, with the time until there is room",
    "[server-limit]")
{
    LimitedOwner f;
    f.name(5);
    for (int i = 0; i < 20; ++i)
        f.offer();
    REQUIRE(f.starts.size() == 1);
    REQUIRE(f.refusals.size() >= 15);
    for (const auto& it : f.refusals) {
        REQUIRE(it.reason == Reason::ServerLimit);
        REQUIRE(it.retryAfter >= 200ms); // one call starts each 200 ms
        REQUIRE(it.retryAfter <= 800ms);
    }
}

TEST_CASE("When the limit falls, calls that wait and can't run in time any more are refused at once",
    "[server-limit]")
{
    LimitedOwner f;
    f.target = 1s;
    f.name(10);
    for (int i = 0; i < 8; ++i)
        f.offer();
    REQUIRE(f.refusals.empty());
    f.name(GENERATE(0.0, 0.2));
    REQUIRE(f.refusals.size() >= 6);
    REQUIRE(f.refusals.back().reason == Reason::ServerLimit);
    f.loop.run(f.now() + 2s);
    REQUIRE(f.refusals.size() + f.starts.size() == 8);
    for (const auto at : f.refusedAt)
        REQUIRE(at == begun);
}

TEST_CASE("A limit that falls to a tenth keeps as many waiting calls as still run in time", "[server-limit]")
{
    LimitedOwner f;
    f.target = f.deadline = 2s;
    f.name(20);
    for (int i = 0; i < 20; ++i)
        f.offer();
    f.name(2);
    const auto kept = 20 - f.starts.size() - f.refusals.size();
    REQUIRE(kept >= 2);
    REQUIRE(kept <= 4);
    f.loop.run(f.now() + 3s);
    REQUIRE(f.refusals.size() + f.starts.size() == 20);
    for (const auto at : f.refusedAt)
        REQUIRE(at == begun);
}

TEST_CASE("Under a limit groups get their shares", "[server-limit]")
{
    LimitedOwner f;
    f.admission.setGroupWeight(1, 3);
    f.admission.setGroupWeight(2, 1);
    f.target = 2s;
    f.deadline = 3s;
    f.name(10);
    f.offerFor(30s, 60, [](std::uint64_t i) { return 1 + static_cast<std::uint32_t>(i % 2); });
    const double share = double(f.startsByGroup[1]) / double(f.startsByGroup[1] + f.startsByGroup[2]);
    REQUIRE(share > 0.65);
    REQUIRE(share < 0.85);
}

TEST_CASE("Calls go to the server that names no limit, by its room, and return when the limit ends",
    "[server-limit]")
{
    ServiceRouter::Options options;
    options.policyKind = GENERATE(ChoicePolicyKind::Timely, ChoicePolicyKind::ExpectedDelay);
    ServiceRouter router(options);
    Random random(1);
    auto now = begun;
    router.setUpstreams({ { "free", 12, 1ms }, { "limited", 12, 1ms } }, now);
    const CallProfile profile { 0, "read", 400ms };
    router.recordSlotTime("read", 100ms, 1);
    const auto tell = [&](std::optional<double> limit) {
        OwnerReport report;
        report.load = { 12, 0, 0, 100ms };
        report.load.serverLimit = limit;
        report.load.timeToNextStart = limit ? 300ms : Duration(0);
        report.receivedAt = now;
        router.onLoadReport("limited", report, now);
        report.load.serverLimit.reset();
        report.load.timeToNextStart = {};
        router.onLoadReport("free", report, now);
    };
    tell(3);
    for (int i = 0; i < 10; ++i)
        REQUIRE(router.pickUpstream({}, profile, now, random) == "free");
    const auto pickedWithin = [&](int n) {
        for (int i = 0; i < n; ++i) {
            const auto upstream = router.pickUpstream({}, profile, now, random);
            router.onAttemptSent(*upstream, 0);
            if (upstream == "limited")
                return true;
        }
        return false;
    };
    SECTION("told")
    {
        tell(std::nullopt);
    }
    SECTION("not told for long")
    {
        now += 4s;
    }
    REQUIRE(pickedWithin(30));
}
