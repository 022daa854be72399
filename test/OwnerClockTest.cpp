#include "Routing/OwnerClock.h"
#include "support/IngressFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

/// \file The deadline that an ingress sends on the owner's clock is never early and at most slightly late.

using namespace robinrun;
using support::hostOf;
using support::IngressFixture;

namespace {

constexpr std::int64_t million = 1'000'000;

/// \brief An owner's clock, with a lead and a drift relative to the ingress's clock.
struct SimulatedClock {
    Duration lead {};
    std::int64_t driftPerMillion = 0;
    Instant start {};

    Instant at(Instant localTime) const
    {
        return localTime + lead + Duration((localTime - start).count() * driftPerMillion / million);
    }
};

/// \brief One call with its times on both clocks.
struct ObservedCall {
    OwnerClock::Sample sample;
    std::size_t clockIndex = 0;
    Duration transitTime {}; ///< from sending the call until the reported receipt at its owner
};

Duration randomDuration(std::int64_t low, std::int64_t high)
{
    return Duration(*rc::gen::inRange<std::int64_t>(low, high));
}

/// \brief Simulates calls to an owner that restarts at random times, each time with a new clock in \a clocks.
/// \returns the calls, ordered by clock and by when their answers were received.
std::vector<ObservedCall> simulateCalls(std::vector<SimulatedClock>& clocks)
{
    constexpr std::int64_t maxGap = 4 * million;
    std::vector<ObservedCall> out;
    Instant now { 100s };
    for (int i = 0; i < 60; ++i) {
        now += randomDuration(0, maxGap);
        if (clocks.empty() || *rc::gen::inRange(0, 20) == 0)
            clocks.push_back({ randomDuration(-50 * million, 50 * million),
                *rc::gen::inRange<std::int64_t>(
                    -OwnerClock::maxDriftPerMillion + 1, OwnerClock::maxDriftPerMillion),
                now });
        const auto& clock = clocks.back();
        const auto received = now + randomDuration(20, million / 5);
        const auto answered = received + randomDuration(0, million);
        const bool isReceiptKnown = *rc::gen::inRange(0, 4) != 0;
        const auto reportedReceipt = isReceiptKnown ? received : answered;
        const auto answerReceived = answered + randomDuration(20, million / 2);
        out.push_back({ { clocks.size(), now, clock.at(reportedReceipt), clock.at(answered), answerReceived },
            clocks.size() - 1, reportedReceipt - now });
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
        return std::pair(a.clockIndex, a.sample.answerReceived)
            < std::pair(b.clockIndex, b.sample.answerReceived);
    });
    return out;
}

proto::Answer answerAt(const proto::Call& call, Instant ownerNow, Duration queued = {}, Duration held = {})
{
    auto out = IngressFixture::answerTo(call, proto::ANSWERED, "x");
    out.set_owner_now_us(static_cast<std::uint64_t>(ownerNow.time_since_epoch().count()));
    out.set_queued_us(static_cast<std::uint32_t>(queued.count()));
    out.set_held_us(static_cast<std::uint32_t>(held.count()));
    return out;
}

Instant deadlineOf(const proto::Call& call)
{
    return Instant(Duration(static_cast<std::int64_t>(call.owner_deadline_us())));
}

constexpr Duration ownerClockLead = 1h; ///< of the owners' clocks over the ingress's clock
constexpr Duration serviceDeadline = 3s;

} // namespace

TEST_CASE("A deadline on an owner's clock is never early, and late by at most the least transit time",
    "[owner-clock]")
{
    rc::prop("for any calls, drift and restarts", [] {
        std::vector<SimulatedClock> clocks;
        const auto calls = simulateCalls(clocks);
        std::optional<OwnerClock> clock;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const auto& sample = calls[i].sample;
            if (!clock)
                clock.emplace(sample);
            clock->addSample(sample);
            RC_ASSERT(clock->incarnation() == sample.incarnation);
            const auto deadline = sample.answerReceived + randomDuration(0, 5 * million);
            const auto bound = clock->upperBoundAt(deadline);
            const auto trueTime = clocks[calls[i].clockIndex].at(deadline);
            RC_ASSERT(bound >= trueTime);
            for (std::size_t j = 0; j <= i; ++j) {
                const bool isInWindow
                    = sample.answerReceived - calls[j].sample.answerReceived < OwnerClock::halfWindow;
                if (calls[j].clockIndex != calls[i].clockIndex || !isInWindow)
                    continue;
                const auto age = (deadline - calls[j].sample.sent).count();
                const Duration drift(2 * OwnerClock::maxDriftPerMillion * age / million + 3);
                RC_ASSERT(bound <= trueTime + calls[j].transitTime + drift);
            }
        }
    });
}

TEST_CASE("The first answer that shows a bound to be too low corrects it", "[owner-clock]")
{
    constexpr Duration transitTime = 1ms;
    constexpr Duration jump = 700ms; // as if this node's clock had stood still for this time
    const Instant sent { 100s };
    OwnerClock clock({ 1, sent, sent + transitTime, sent + transitTime, sent + 2 * transitTime });
    REQUIRE(clock.upperBoundAt(sent + 1s) < sent + 1s + jump);
    const auto later = sent + 1s;
    clock.addSample(
        { 1, later, later + jump + transitTime, later + jump + transitTime, later + 2 * transitTime });
    REQUIRE(clock.upperBoundAt(later + 1s) >= later + 1s + jump);
}

// Guards against runs that are cancelled before their deadlines because the answer with the owner's clock
// waited to be read.
TEST_CASE("An answer that is read late doesn't make later deadlines early", "[owner-clock]")
{
    IngressFixture f;
    constexpr Duration wait = 150ms;
    bool hasOwnerDeadline = false;
    for (int i = 0; i < 4 && !hasOwnerDeadline; ++i) {
        const auto before = monotonicNow() + f.ahead;
        const auto call = f.call("/s/x");
        const auto after = monotonicNow() + f.ahead;
        hasOwnerDeadline = call.owner_deadline_us() != 0;
        if (hasOwnerDeadline) {
            REQUIRE(deadlineOf(call) >= before + ownerClockLead + serviceDeadline);
            REQUIRE(deadlineOf(call) <= after + ownerClockLead + serviceDeadline + 100ms);
        }
        const auto answer = answerAt(call, after + ownerClockLead);
        f.ahead += wait;
        f.give(hostOf(call), answer);
        REQUIRE(f.outcome() == "answered");
    }
    REQUIRE(hasOwnerDeadline);
}

TEST_CASE("The time that a call spends at its owner doesn't make later deadlines late", "[owner-clock]")
{
    IngressFixture f;
    constexpr Duration held = 400ms;
    bool hasOwnerDeadline = false;
    for (int i = 0; i < 4 && !hasOwnerDeadline; ++i) {
        const auto call = f.call("/s/x");
        const auto after = monotonicNow() + f.ahead;
        hasOwnerDeadline = call.owner_deadline_us() != 0;
        if (hasOwnerDeadline)
            REQUIRE(deadlineOf(call) <= after + ownerClockLead + serviceDeadline + 100ms);
        f.ahead += held;
        f.give(hostOf(call), answerAt(call, after + ownerClockLead + held, held / 4, held - held / 4));
        REQUIRE(f.outcome() == "answered");
    }
    REQUIRE(hasOwnerDeadline);
}

// Guards against runs that are cancelled early. The owner started the run for an earlier call, so the times
// in the answer reach back to before the owner received the answered call.
TEST_CASE(
    "The answer to a call that joined another call's run doesn't make later deadlines early", "[owner-clock]")
{
    IngressFixture f;
    const Ticket ticket { "u1", 5, 0, { 1, 2 } };
    const HttpHeaders headers { { "Robinrun-Ticket", ticket.toString() } };
    const auto joined = f.call("/s/buy", headers);
    f.give(hostOf(joined), answerAt(joined, monotonicNow() + ownerClockLead, 100ms, 300ms));
    REQUIRE(f.outcome() == "answered");
    const auto before = monotonicNow();
    const auto call = f.call("/s/buy", headers);
    REQUIRE(call.owner_deadline_us());
    REQUIRE(deadlineOf(call) >= before + ownerClockLead + serviceDeadline);
}
