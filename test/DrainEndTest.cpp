#include "Node/DrainEnd.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <vector>

/// \file When a node that drains may end, in virtual time.

using namespace robinrun;
using Step = DrainEnd::Step;

namespace {

constexpr Duration limit = 3s;
constexpr Duration lingering = 200ms;
constexpr Instant begun { 1000s };

DrainEnd begin()
{
    DrainEnd out(lingering);
    out.begin(begun + limit, begun);
    return out;
}

} // namespace

TEST_CASE("A node that drains ends a moment after its last call", "[drain]")
{
    auto end = begin();
    REQUIRE(end.next({ true, false, false }, begun + 1s) == Step::Stay);
    REQUIRE(end.next({}, begun + 1s + lingering) == Step::Stay);
    REQUIRE(end.next({}, begun + 1s + lingering + 1us) == Step::Drained);
}

// Answers that were given but not yet written went with the process.
TEST_CASE(
    "A node that drains stays until its answers are written and its record says that it is gone", "[drain]")
{
    auto end = begin();
    REQUIRE(end.next({ false, true, false }, begun + 1s) == Step::Stay);
    REQUIRE(end.next({ false, false, true }, begun + 1100ms) == Step::Stay);
    REQUIRE(end.next({}, begun + 1200ms) == Step::Drained);
}

// Calls in progress at the limit were cut without an answer.
TEST_CASE("At its limit a node answers all, and ends as soon as that is written", "[drain]")
{
    auto end = begin();
    REQUIRE(end.next({ true, false, false }, begun + limit) == Step::AnswerAll);
    REQUIRE(end.next({ false, true, true }, begun + limit + 10ms) == Step::Stay);
    REQUIRE(end.next({ false, false, true }, begun + limit + 20ms) == Step::OutOfTime);
}

// Messages to peers that were queued went with the process; waiting for a peer that is gone must have an end.
TEST_CASE("Messages to peers have what is left of a node's time, within bounds", "[drain]")
{
    const auto end = begin();
    REQUIRE(end.lingerFor(begun) == DrainEnd::longestLinger);
    REQUIRE(end.lingerFor(begun + limit) == DrainEnd::lastAnswers);
    REQUIRE(end.lingerFor(begun + limit + 1s) == DrainEnd::leastLinger);
}

// A caller that reads nothing, or a store that is down, must not hold a process beyond the grace time.
TEST_CASE("A node is gone soon after its limit, whatever it still has", "[drain]")
{
    rc::prop("asked every 50 ms, it answers all once before it runs out of time", [] {
        auto end = begin();
        int answered = 0;
        for (Instant now = begun;; now += 50ms) {
            const DrainEnd::Work work { *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                *rc::gen::arbitrary<bool>() };
            const auto step = end.next(work, now);
            answered += step == Step::AnswerAll;
            RC_ASSERT(now <= begun + limit + DrainEnd::lastAnswers + 50ms);
            if (step == Step::Drained) {
                RC_ASSERT(!work.hasCalls && !work.hasUnwritten && !work.hasUnsaid);
                RC_ASSERT(now < begun + limit);
                return;
            }
            if (step == Step::OutOfTime) {
                RC_ASSERT(answered == 1);
                return;
            }
        }
    });
}
