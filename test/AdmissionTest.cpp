#include "Queueing/Admission.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace robinrun;

namespace {

Admission::Options options(std::uint32_t slots)
{
    Admission::Options out;
    out.slots = slots;
    out.queueLimit = 20;
    return out;
}

OfferedCall offer(std::uint64_t id, std::uint32_t group, Instant deadline)
{
    OfferedCall out;
    out.id = id;
    out.group = group;
    out.deadline = deadline;
    return out;
}

} // namespace

TEST_CASE("Slots are never exceeded, each call has one end, and what ran is never refused", "[admission]")
{
    rc::prop("over random offers, ends, cancels, drains and probes", [](std::uint64_t seed) {
        Random random(seed);
        const auto slots = static_cast<std::uint32_t>(1 + random.below(8));
        Admission admission(options(slots));
        std::set<std::uint64_t> running;
        std::set<std::uint64_t> waiting;
        std::set<std::uint64_t> over;
        Instant now {};
        bool isProbing = false;
        const auto act = [&](const AdmissionResult& dispatch) {
            for (const auto& it : dispatch.refusals) {
                RC_ASSERT(!running.contains(it.id));
                RC_ASSERT(over.insert(it.id).second);
                waiting.erase(it.id);
                RC_ASSERT(it.retryAfter > 0us);
            }
            for (const auto id : dispatch.callsToRun) {
                RC_ASSERT(!over.contains(id));
                RC_ASSERT(running.insert(id).second);
                waiting.erase(id);
            }
            RC_ASSERT(running.size() + isProbing <= slots);
        };
        for (std::uint64_t id = 1; id <= 400; ++id) {
            now += Duration(static_cast<std::int64_t>(random.exponential(2000)));
            const auto dice = random.unit();
            if (dice < 0.6) {
                const auto group = static_cast<std::uint32_t>(random.below(3));
                waiting.insert(id);
                act(admission.offer(
                    offer(id, group, now + Duration(std::int64_t(random.below(200000)))), now));
            } else if (dice < 0.9 && !running.empty()) {
                const auto done = *running.begin();
                running.erase(done);
                over.insert(done);
                act(admission.onRunEnded(done, RunOutcome::Answered, now));
            } else if (dice < 0.93 && !waiting.empty()) {
                const auto id2 = *waiting.begin();
                RC_ASSERT(admission.cancelWaiting(id2));
                waiting.erase(id2);
                over.insert(id2);
            } else if (dice < 0.94) {
                act(admission.refuseCallsMissingDeadline(now));
            } else if (dice < 0.95) {
                act(admission.setLeaving(!admission.isLeaving(), now));
                RC_ASSERT(!admission.isLeaving() || waiting.empty());
            } else if (!isProbing && admission.slotsInUse() < slots) {
                admission.holdSlot();
                isProbing = true;
            } else if (isProbing) {
                isProbing = false;
                act(admission.releaseSlot(now));
            }
            RC_ASSERT(admission.slotsInUse() == running.size() + isProbing);
            // Work-conserving: nothing waits beside a free slot.
            RC_ASSERT(admission.slotsInUse() >= slots || admission.load(now).waitingCalls == 0);
        }
    });
}

TEST_CASE("A call that can't end in time is refused before it waits", "[admission]")
{
    Admission admission(options(1));
    const Instant now {};
    REQUIRE(admission.offer(offer(1, 1, now + 1s), now).callsToRun.size() == 1);
    REQUIRE(admission.offer(offer(2, 1, now + 1s), now).refusals.empty());
    const auto late = admission.offer(offer(3, 1, now + 15ms), now);
    REQUIRE(late.refusals.at(0).reason == Reason::WouldMissDeadline);
    const auto past = admission.offer(offer(4, 1, now), now);
    REQUIRE(past.refusals.at(0).reason == Reason::DeadlinePassed);
    const auto next = admission.onRunEnded(1, RunOutcome::Answered, now + 999ms);
    REQUIRE(next.callsToRun.empty());
    REQUIRE(next.refusals.at(0).id == 2);
}

TEST_CASE("A waiting call that can no longer end in time is given up before its deadline", "[admission]")
{
    Admission admission(options(1));
    const Instant now {};
    REQUIRE(
        admission.offer(offer(1, 1, now + 1s), now).callsToRun.size() == 1); // of 10 ms, but it takes longer
    REQUIRE(admission.offer(offer(2, 1, now + 60ms), now).refusals.empty());
    REQUIRE(admission.offer(offer(3, 2, now + 500ms), now).refusals.empty());
    REQUIRE(admission.refuseCallsMissingDeadline(now + 49ms).refusals.empty());
    const auto swept = admission.refuseCallsMissingDeadline(now + 51ms);
    REQUIRE(swept.refusals.size() == 1);
    REQUIRE(swept.refusals.at(0).id == 2);
    REQUIRE(swept.refusals.at(0).reason == Reason::WouldMissDeadline);
    REQUIRE(admission.load(now).waitingCalls == 1);
    REQUIRE(admission.onRunEnded(1, RunOutcome::Answered, now + 100ms).callsToRun
        == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("What a waiting call will take is judged by how fast the server is now", "[admission]")
{
    Admission admission(options(1));
    Instant now {};
    const auto runOne = [&](std::uint64_t id, Duration held) {
        admission.offer(offer(id, 1, now + 9s), now);
        now += held;
        admission.onRunEnded(id, RunOutcome::Answered, now);
    };
    for (std::uint64_t id = 1; id <= 20; ++id)
        runOne(id, 10ms);
    admission.setSlowdown(4, now);
    for (std::uint64_t id = 21; id <= 40; ++id)
        runOne(id, 40ms);
    admission.setSlowdown(1, now);
    admission.offer(offer(50, 1, now + 9s), now);
    REQUIRE(admission.offer(offer(51, 1, now + 70ms), now).refusals.empty());
    now += 35ms;
    REQUIRE(admission.refuseCallsMissingDeadline(now).refusals.empty());
    admission.setSlowdown(4, now);
    REQUIRE(admission.refuseCallsMissingDeadline(now).refusals.size() == 1);
}

TEST_CASE("Queues are bounded in time: a call that would wait too long is refused at once", "[admission]")
{
    auto wide = options(2);
    wide.queueLimit = 1000; // so that only the bound in time can refuse
    Admission admission(wide);
    const Instant now {};
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 40; ++id)
        refused += admission.offer(offer(id, 1, now + 10s), now).refusals.size();
    // 2 run; 10 ms each over 2 slots, at most 100 ms of waiting.
    REQUIRE(admission.load(now).waitingCalls <= 20);
    REQUIRE(refused >= 18);
}

TEST_CASE("A leaving owner moves waiting work on as not run, and can be undone", "[admission]")
{
    Admission admission(options(1));
    const Instant now {};
    admission.offer(offer(1, 1, now + 1s), now);
    admission.offer(offer(2, 1, now + 1s), now);
    const auto moved = admission.setLeaving(true, now);
    REQUIRE(moved.refusals.at(0).id == 2);
    REQUIRE(moved.refusals.at(0).reason == Reason::Leaving);
    REQUIRE(admission.offer(offer(3, 1, now + 1s), now).refusals.at(0).reason == Reason::Leaving);
    REQUIRE_FALSE(admission.isIdle());
    REQUIRE(admission.onRunEnded(1, RunOutcome::Answered, now + 5ms).callsToRun.empty());
    REQUIRE(admission.isIdle());
    admission.setLeaving(false, now);
    REQUIRE(admission.offer(offer(4, 1, now + 1s), now).callsToRun.size() == 1);
}

TEST_CASE("A queue that stands is moved, a burst is left alone", "[admission]")
{
    SojournControl control;
    const SojournControl::Options bounds { 30ms, 200ms };
    Instant now {};
    int refused = 0;
    for (int i = 0; i < 50; ++i, now += 3ms)
        refused += control.shouldRefuse(bounds, 60ms, false, now);
    REQUIRE(refused == 0);
    for (int i = 0; i < 1000; ++i, now += 3ms)
        refused += control.shouldRefuse(bounds, 60ms, false, now);
    REQUIRE(refused > 20);
    REQUIRE_FALSE(control.shouldRefuse(bounds, 10ms, false, now));
    REQUIRE_FALSE(control.shouldRefuse(bounds, 60ms, true, now));
}

TEST_CASE("A slow-down shows in running calls before any of them ends", "[admission]")
{
    SlotTimeEstimate estimate(10ms);
    Instant now {};
    for (std::uint64_t id = 0; id < 4; ++id)
        estimate.onRunStarted(id, now);
    REQUIRE(estimate.meanIncludingRunning(now + 5ms) == 10ms);
    REQUIRE(estimate.meanIncludingRunning(now + 50ms) == 50ms);
    REQUIRE(estimate.onRunEnded(0, 7, now + 50ms) == 50ms);
    REQUIRE(estimate.expectedSlotTime(7) == 50ms);
    REQUIRE(estimate.expectedSlotTime(8) > 10ms);
}

TEST_CASE("After a server was slow for long, one call at a time shows whether it still is", "[admission]")
{
    // Without it the estimate stays where it is, and the class is refused for good.
    Admission admission(options(2));
    Instant now {};
    for (std::uint64_t id = 1; id <= 200; ++id) {
        admission.offer(offer(id, 1, now + 60s), now);
        now += 5s;
        admission.onRunEnded(id, RunOutcome::Answered, now);
    }
    REQUIRE(admission.offer(offer(201, 1, now + 1s), now).callsToRun.size() == 1);
    const auto second = admission.offer(offer(202, 1, now + 1s), now);
    REQUIRE(second.refusals.at(0).reason == Reason::WouldMissDeadline);
    for (std::uint64_t id = 201; id < 400; ++id) {
        now += 10ms;
        admission.onRunEnded(id, RunOutcome::Answered, now);
        REQUIRE(admission.offer(offer(id + 1, 1, now + 1s), now).callsToRun.size() == 1);
    }
    REQUIRE(admission.offer(offer(9001, 1, now + 1s), now).callsToRun.size() == 1);
}

TEST_CASE("While the slots of a server are not known, one call runs at a time", "[admission]")
{
    // A node that starts beside a running server has asked for its health before it is told of its slots.
    for (std::size_t i = 0; i < countOf<ConcurrencyLimitKind>(); ++i) {
        auto withLimit = options(12);
        withLimit.limitKind = static_cast<ConcurrencyLimitKind>(i);
        Admission admission(withLimit);
        admission.setSlots(0);
        const Instant now {};
        REQUIRE(admission.offer(offer(1, 1, now + 1s), now).callsToRun.size() == 1);
        REQUIRE(admission.offer(offer(2, 1, now + 1s), now).callsToRun.empty());
        admission.setSlots(12);
        REQUIRE(admission.limit() > 1);
    }
}

TEST_CASE("A call that goes before all that wait gets the next slot, whichever group asks", "[admission]")
{
    // The load: one server is full, the least urgent calls of many groups wait, and a call comes for a run
    // that holds a slot elsewhere.
    Admission admission(options(1));
    Instant now { 1s };
    const auto ranked = [&](std::uint64_t id, std::uint32_t group, std::uint32_t rank) {
        auto out = offer(id, group, now + 10s);
        out.rank = rank;
        out.softDeadline = now + 5s;
        return out;
    };
    REQUIRE(admission.offer(ranked(1, 1, 5), now).callsToRun.size() == 1);
    REQUIRE(admission.wouldGetNextSlot(7, 0, 0));
    for (std::uint64_t id = 2; id < 6; ++id)
        admission.offer(ranked(id, static_cast<std::uint32_t>(id), 5), now);
    REQUIRE(admission.wouldGetNextSlot(7, 0, 0));
    REQUIRE_FALSE(admission.wouldGetNextSlot(7, 6, 0));
    admission.offer(ranked(9, 7, 0), now);
    REQUIRE_FALSE(admission.wouldGetNextSlot(7, 0, 0));
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 9 });
    (void)admission.setLeaving(true, now);
    REQUIRE_FALSE(admission.wouldGetNextSlot(7, 0, 0));
}

TEST_CASE("A run is overdue well beyond what its class took so far, not before", "[admission]")
{
    Admission admission(options(4));
    Instant now { 1s };
    for (std::uint64_t id = 1; id <= 50; ++id) {
        admission.offer(offer(id, 1, now + 10s), now);
        now += 100ms;
        (void)admission.onRunEnded(id, RunOutcome::Answered, now);
    }
    REQUIRE_FALSE(admission.hasOverdueRun(now));
    admission.offer(offer(99, 1, now + 10s), now);
    REQUIRE_FALSE(admission.hasOverdueRun(now + 120ms));
    REQUIRE(admission.hasOverdueRun(now + 150ms));
    (void)admission.onRunEnded(99, RunOutcome::Answered, now + 200ms);
    REQUIRE_FALSE(admission.hasOverdueRun(now + 200ms));
}
