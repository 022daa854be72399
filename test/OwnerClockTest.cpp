#include "Routing/OwnerClock.h"
#include "support/IngressFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

/// \file The deadline that an ingress tells an owner on the owner's clock is never early, and hardly late.

using namespace robinrun;
using support::hostOf;
using support::IngressFixture;

namespace {

constexpr std::int64_t million = 1'000'000;

/// \brief An owner's clock as it is.
struct TrueClock {
    Duration ahead {};
    std::int64_t driftPerMillion = 0;
    Instant began {};

    Instant at(Instant then) const
    {
        return then + ahead + Duration((then - began).count() * driftPerMillion / million);
    }
};

/// \brief One call, as both clocks saw it.
struct Heard {
    OwnerClock::Sample sample;
    std::size_t life = 0;
    Duration way {}; ///< from when it was sent until when its owner had it, as far as the sample tells
};

Duration any(std::int64_t least, std::int64_t most)
{
    return Duration(*rc::gen::inRange<std::int64_t>(least, most));
}

/// \returns calls to an owner that restarts now and then, in the order in which their answers were heard.
std::vector<Heard> playCalls(std::vector<TrueClock>& lives)
{
    constexpr std::int64_t longestGap = 4 * million;
    std::vector<Heard> out;
    Instant now { 100s };
    for (int i = 0; i < 60; ++i) {
        now += any(0, longestGap);
        if (lives.empty() || *rc::gen::inRange(0, 20) == 0)
            lives.push_back({ any(-50 * million, 50 * million),
                *rc::gen::inRange<std::int64_t>(
                    -OwnerClock::maxDriftPerMillion + 1, OwnerClock::maxDriftPerMillion),
                now });
        const auto& clock = lives.back();
        const auto received = now + any(20, million / 5);
        const auto answered = received + any(0, million);
        const bool isKnown = *rc::gen::inRange(0, 4) != 0;
        const auto told = isKnown ? received : answered;
        const auto heard = answered + any(20, million / 2);
        out.push_back({ { lives.size(), now, clock.at(told), clock.at(answered), heard }, lives.size() - 1,
            told - now });
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
        return std::pair(a.life, a.sample.heard) < std::pair(b.life, b.sample.heard);
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

constexpr Duration ownersLead = 1h; ///< of the owners' clocks over that of the ingress
constexpr Duration allowed = 3s; ///< the service's deadline

} // namespace

TEST_CASE("A deadline told on an owner's clock is never early, and late by the shortest way at most",
    "[owner-clock]")
{
    rc::prop("calls, drift and restarts", [] {
        std::vector<TrueClock> lives;
        const auto calls = playCalls(lives);
        std::optional<OwnerClock> clock;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const auto& sample = calls[i].sample;
            if (!clock)
                clock.emplace(sample);
            clock->addSample(sample);
            RC_ASSERT(clock->incarnation() == sample.incarnation);
            const auto deadline = sample.answerReceived + any(0, 5 * million);
            const auto told = clock->upperBoundAt(deadline);
            const auto truth = lives[calls[i].life].at(deadline);
            RC_ASSERT(told >= truth);
            for (std::size_t j = 0; j <= i; ++j) {
                const bool isInWindow
                    = sample.answerReceived - calls[j].sample.answerReceived < OwnerClock::halfWindow;
                if (calls[j].life != calls[i].life || !isInWindow)
                    continue;
                const auto age = (deadline - calls[j].sample.sent).count();
                const Duration drift(2 * OwnerClock::maxDriftPerMillion * age / million + 3);
                RC_ASSERT(told <= truth + calls[j].way + drift);
            }
        }
    });
}

TEST_CASE("A clock that was reckoned too low is set right by the first answer that shows it", "[owner-clock]")
{
    constexpr Duration way = 1ms;
    constexpr Duration jump = 700ms; // this node's clock stood still for so long
    const Instant sent { 100s };
    OwnerClock clock({ 1, sent, sent + way, sent + way, sent + 2 * way });
    REQUIRE(clock.upperBoundAt(sent + 1s) < sent + 1s + jump);
    const auto later = sent + 1s;
    clock.addSample({ 1, later, later + jump + way, later + jump + way, later + 2 * way });
    REQUIRE(clock.upperBoundAt(later + 1s) >= later + 1s + jump);
}

// Guards against runs that were broken off before their deadlines, because an answer that told the owner's
// clock had waited for its reader.
TEST_CASE("An answer that was read late makes no later deadline early", "[owner-clock]")
{
    IngressFixture f;
    constexpr Duration wait = 150ms;
    bool isTold = false;
    for (int i = 0; i < 4 && !isTold; ++i) {
        const auto before = monotonicNow() + f.ahead;
        const auto call = f.call("/s/x");
        const auto after = monotonicNow() + f.ahead;
        isTold = call.owner_deadline_us() != 0;
        if (isTold) {
            REQUIRE(deadlineOf(call) >= before + ownersLead + allowed);
            REQUIRE(deadlineOf(call) <= after + ownersLead + allowed + 100ms);
        }
        const auto answer = answerAt(call, after + ownersLead);
        f.ahead += wait;
        f.give(hostOf(call), answer);
        REQUIRE(f.outcome() == "answered");
    }
    REQUIRE(isTold);
}

TEST_CASE("Time that a call spent at its owner makes no later deadline late", "[owner-clock]")
{
    IngressFixture f;
    constexpr Duration held = 400ms;
    bool isTold = false;
    for (int i = 0; i < 4 && !isTold; ++i) {
        const auto call = f.call("/s/x");
        const auto after = monotonicNow() + f.ahead;
        isTold = call.owner_deadline_us() != 0;
        if (isTold)
            REQUIRE(deadlineOf(call) <= after + ownersLead + allowed + 100ms);
        f.ahead += held;
        f.give(hostOf(call), answerAt(call, after + ownersLead + held, held / 4, held - held / 4));
        REQUIRE(f.outcome() == "answered");
    }
    REQUIRE(isTold);
}

// Guards against a run broken off early, because the call that began it was there before the one that was
// answered.
TEST_CASE("The answer to a call that joined another one's run makes no later deadline early", "[owner-clock]")
{
    IngressFixture f;
    const Ticket ticket { "u1", 5, 0, { 1, 2 } };
    const HttpHeaders headers { { "Robinrun-Ticket", ticket.text() } };
    const auto joined = f.call("/s/buy", headers);
    f.give(hostOf(joined), answerAt(joined, monotonicNow() + ownersLead, 100ms, 300ms));
    REQUIRE(f.outcome() == "answered");
    const auto before = monotonicNow();
    const auto call = f.call("/s/buy", headers);
    REQUIRE(call.owner_deadline_us());
    REQUIRE(deadlineOf(call) >= before + ownersLead + allowed);
}
