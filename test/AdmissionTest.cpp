#include "Queueing/Admission.h"
#include "Core/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace robinrun;

namespace {

Admission::Options makeOptions(std::uint32_t slots)
{
    Admission::Options out;
    out.slots = slots;
    out.queueLimit = 20;
    return out;
}

OfferedCall makeOffer(std::uint64_t id, std::uint32_t group, Instant deadline)
{
    OfferedCall out;
    out.id = id;
    out.group = group;
    out.deadline = deadline;
    return out;
}

} // namespace

TEST_CASE(
    "Slots are never exceeded, each call ends once, and a call that ran is never refused", "[admission]")
{
    rc::prop("for random offers, ends, cancellations, leaving and probes", [](std::uint64_t seed) {
        Random random(seed);
        const auto slots = static_cast<std::uint32_t>(1 + random.below(8));
        Admission admission(makeOptions(slots));
        std::set<std::uint64_t> runningIds;
        std::set<std::uint64_t> waitingIds;
        std::set<std::uint64_t> endedIds;
        Instant now {};
        bool isProbing = false;
        const auto applyResult = [&](const AdmissionResult& result) {
            for (const auto& it : result.refusals) {
                RC_ASSERT(!runningIds.contains(it.id));
                RC_ASSERT(endedIds.insert(it.id).second);
                waitingIds.erase(it.id);
                RC_ASSERT(it.retryAfter > 0us);
            }
            for (const auto id : result.callsToRun) {
                RC_ASSERT(!endedIds.contains(id));
                RC_ASSERT(runningIds.insert(id).second);
                waitingIds.erase(id);
            }
            RC_ASSERT(runningIds.size() + isProbing <= slots);
        };
        for (std::uint64_t id = 1; id <= 400; ++id) {
            now += Duration(static_cast<std::int64_t>(random.exponential(2000)));
            const auto actionDraw = random.unit();
            if (actionDraw < 0.6) {
                const auto group = static_cast<std::uint32_t>(random.below(3));
                waitingIds.insert(id);
                applyResult(admission.offer(
                    makeOffer(id, group, now + Duration(std::int64_t(random.below(200000)))), now));
            } else if (actionDraw < 0.9 && !runningIds.empty()) {
                const auto endedId = *runningIds.begin();
                runningIds.erase(endedId);
                endedIds.insert(endedId);
                applyResult(admission.onRunEnded(endedId, RunOutcome::Answered, now));
            } else if (actionDraw < 0.93 && !waitingIds.empty()) {
                const auto cancelledId = *waitingIds.begin();
                RC_ASSERT(admission.cancelWaiting(cancelledId));
                waitingIds.erase(cancelledId);
                endedIds.insert(cancelledId);
            } else if (actionDraw < 0.94) {
                applyResult(admission.refuseCallsMissingDeadline(now));
            } else if (actionDraw < 0.95) {
                applyResult(admission.setLeaving(!admission.isLeaving(), now));
                RC_ASSERT(!admission.isLeaving() || waitingIds.empty());
            } else if (!isProbing && admission.slotsInUse() < slots) {
                admission.holdSlot();
                isProbing = true;
            } else if (isProbing) {
                isProbing = false;
                applyResult(admission.releaseSlot(now));
            }
            RC_ASSERT(admission.slotsInUse() == runningIds.size() + isProbing);
            // Work-conserving: no call waits while a slot is free.
            RC_ASSERT(admission.slotsInUse() >= slots || admission.load(now).waitingCalls == 0);
        }
    });
}

TEST_CASE("A call that is expected to miss its deadline is refused on arrival", "[admission]")
{
    Admission admission(makeOptions(1));
    const Instant now {};
    REQUIRE(admission.offer(makeOffer(1, 1, now + 1s), now).callsToRun.size() == 1);
    REQUIRE(admission.offer(makeOffer(2, 1, now + 1s), now).refusals.empty());
    const auto tooLate = admission.offer(makeOffer(3, 1, now + 15ms), now);
    REQUIRE(tooLate.refusals.at(0).reason == Reason::WouldMissDeadline);
    const auto expired = admission.offer(makeOffer(4, 1, now), now);
    REQUIRE(expired.refusals.at(0).reason == Reason::DeadlinePassed);
    const auto afterEnd = admission.onRunEnded(1, RunOutcome::Answered, now + 999ms);
    REQUIRE(afterEnd.callsToRun.empty());
    REQUIRE(afterEnd.refusals.at(0).id == 2);
}

TEST_CASE("A waiting call that can no longer end before its deadline is refused early", "[admission]")
{
    Admission admission(makeOptions(1));
    const Instant now {};
    REQUIRE(admission.offer(makeOffer(1, 1, now + 1s), now).callsToRun.size()
        == 1); // expected to take 10 ms, but takes 100 ms
    REQUIRE(admission.offer(makeOffer(2, 1, now + 60ms), now).refusals.empty());
    REQUIRE(admission.offer(makeOffer(3, 2, now + 500ms), now).refusals.empty());
    REQUIRE(admission.refuseCallsMissingDeadline(now + 49ms).refusals.empty());
    const auto result = admission.refuseCallsMissingDeadline(now + 51ms);
    REQUIRE(result.refusals.size() == 1);
    REQUIRE(result.refusals.at(0).id == 2);
    REQUIRE(result.refusals.at(0).reason == Reason::WouldMissDeadline);
    REQUIRE(admission.load(now).waitingCalls == 1);
    REQUIRE(admission.onRunEnded(1, RunOutcome::Answered, now + 100ms).callsToRun
        == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("The slot time of a waiting call is estimated for the current speed of the server", "[admission]")
{
    Admission admission(makeOptions(1));
    Instant now {};
    const auto runOneCall = [&](std::uint64_t id, Duration slotTime) {
        admission.offer(makeOffer(id, 1, now + 9s), now);
        now += slotTime;
        admission.onRunEnded(id, RunOutcome::Answered, now);
    };
    for (std::uint64_t id = 1; id <= 20; ++id)
        runOneCall(id, 10ms);
    admission.setSlowdown(4, now);
    for (std::uint64_t id = 21; id <= 40; ++id)
        runOneCall(id, 40ms);
    admission.setSlowdown(1, now);
    admission.offer(makeOffer(50, 1, now + 9s), now);
    REQUIRE(admission.offer(makeOffer(51, 1, now + 70ms), now).refusals.empty());
    now += 35ms;
    REQUIRE(admission.refuseCallsMissingDeadline(now).refusals.empty());
    admission.setSlowdown(4, now);
    REQUIRE(admission.refuseCallsMissingDeadline(now).refusals.size() == 1);
}

TEST_CASE("A call whose expected wait exceeds the limit in slot times is refused on arrival", "[admission]")
{
    auto longQueueOptions = makeOptions(2);
    longQueueOptions.queueLimit = 1000; // so that only the limit on waiting time can refuse a call
    Admission admission(longQueueOptions);
    const Instant now {};
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 40; ++id)
        refused += admission.offer(makeOffer(id, 1, now + 10s), now).refusals.size();
    // Two calls run. With 10 ms per call on two slots, 20 calls fill the 100 ms of waiting allowed.
    REQUIRE(admission.load(now).waitingCalls <= 20);
    REQUIRE(refused >= 18);
}

TEST_CASE(
    "A leaving owner refuses waiting and new calls as not run until leaving is cancelled", "[admission]")
{
    Admission admission(makeOptions(1));
    const Instant now {};
    admission.offer(makeOffer(1, 1, now + 1s), now);
    admission.offer(makeOffer(2, 1, now + 1s), now);
    const auto leavingResult = admission.setLeaving(true, now);
    REQUIRE(leavingResult.refusals.at(0).id == 2);
    REQUIRE(leavingResult.refusals.at(0).reason == Reason::Leaving);
    REQUIRE(admission.offer(makeOffer(3, 1, now + 1s), now).refusals.at(0).reason == Reason::Leaving);
    REQUIRE_FALSE(admission.isIdle());
    REQUIRE(admission.onRunEnded(1, RunOutcome::Answered, now + 5ms).callsToRun.empty());
    REQUIRE(admission.isIdle());
    admission.setLeaving(false, now);
    REQUIRE(admission.offer(makeOffer(4, 1, now + 1s), now).callsToRun.size() == 1);
}

TEST_CASE("SojournControl refuses calls of a standing queue but not of a burst", "[admission]")
{
    SojournControl control;
    const SojournControl::Options controlOptions { 30ms, 200ms };
    Instant now {};
    int refused = 0;
    for (int i = 0; i < 50; ++i, now += 3ms)
        refused += control.shouldRefuse(controlOptions, 60ms, false, now);
    REQUIRE(refused == 0);
    for (int i = 0; i < 1000; ++i, now += 3ms)
        refused += control.shouldRefuse(controlOptions, 60ms, false, now);
    REQUIRE(refused > 20);
    REQUIRE_FALSE(control.shouldRefuse(controlOptions, 10ms, false, now));
    REQUIRE_FALSE(control.shouldRefuse(controlOptions, 60ms, true, now));
}

TEST_CASE("The slot time estimate rises with running calls before any of them ends", "[admission]")
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

TEST_CASE(
    "After a long slow period, one call at a time tests whether the server is still slow", "[admission]")
{
    // Without such trial runs no sample would lower the estimate, and all calls of the class would be refused
    // forever.
    Admission admission(makeOptions(2));
    Instant now {};
    for (std::uint64_t id = 1; id <= 200; ++id) {
        admission.offer(makeOffer(id, 1, now + 60s), now);
        now += 5s;
        admission.onRunEnded(id, RunOutcome::Answered, now);
    }
    REQUIRE(admission.offer(makeOffer(201, 1, now + 1s), now).callsToRun.size() == 1);
    const auto secondResult = admission.offer(makeOffer(202, 1, now + 1s), now);
    REQUIRE(secondResult.refusals.at(0).reason == Reason::WouldMissDeadline);
    for (std::uint64_t id = 201; id < 400; ++id) {
        now += 10ms;
        admission.onRunEnded(id, RunOutcome::Answered, now);
        REQUIRE(admission.offer(makeOffer(id + 1, 1, now + 1s), now).callsToRun.size() == 1);
    }
    REQUIRE(admission.offer(makeOffer(9001, 1, now + 1s), now).callsToRun.size() == 1);
}

TEST_CASE("One call runs at a time while the number of slots is unknown", "[admission]")
{
    // A node that starts beside a running server requests its health before it learns the number of slots.
    for (std::size_t i = 0; i < countOf<ConcurrencyLimitKind>(); ++i) {
        auto limitOptions = makeOptions(12);
        limitOptions.limitKind = static_cast<ConcurrencyLimitKind>(i);
        Admission admission(limitOptions);
        admission.setSlots(0);
        const Instant now {};
        REQUIRE(admission.offer(makeOffer(1, 1, now + 1s), now).callsToRun.size() == 1);
        REQUIRE(admission.offer(makeOffer(2, 1, now + 1s), now).callsToRun.empty());
        admission.setSlots(12);
        REQUIRE(admission.limit() > 1);
    }
}

TEST_CASE("A call served before all waiting calls gets the next free slot, whatever its group", "[admission]")
{
    // The only slot is in use, low-ranked calls of many groups wait, and a nested call arrives whose parent
    // holds a slot on another server.
    Admission admission(makeOptions(1));
    Instant now { 1s };
    const auto makeRankedOffer = [&](std::uint64_t id, std::uint32_t group, std::uint32_t rank) {
        auto out = makeOffer(id, group, now + 10s);
        out.rank = rank;
        out.softDeadline = now + 5s;
        return out;
    };
    REQUIRE(admission.offer(makeRankedOffer(1, 1, 5), now).callsToRun.size() == 1);
    REQUIRE(admission.wouldGetNextSlot(7, 0, 0));
    for (std::uint64_t id = 2; id < 6; ++id)
        admission.offer(makeRankedOffer(id, static_cast<std::uint32_t>(id), 5), now);
    REQUIRE(admission.wouldGetNextSlot(7, 0, 0));
    REQUIRE_FALSE(admission.wouldGetNextSlot(7, 6, 0));
    admission.offer(makeRankedOffer(9, 7, 0), now);
    REQUIRE_FALSE(admission.wouldGetNextSlot(7, 0, 0));
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 9 });
    (void)admission.setLeaving(true, now);
    REQUIRE_FALSE(admission.wouldGetNextSlot(7, 0, 0));
}

TEST_CASE("A run is overdue only well beyond the slot time expected for its class", "[admission]")
{
    Admission admission(makeOptions(4));
    Instant now { 1s };
    for (std::uint64_t id = 1; id <= 50; ++id) {
        admission.offer(makeOffer(id, 1, now + 10s), now);
        now += 100ms;
        (void)admission.onRunEnded(id, RunOutcome::Answered, now);
    }
    REQUIRE_FALSE(admission.hasOverdueRun(now));
    admission.offer(makeOffer(99, 1, now + 10s), now);
    REQUIRE_FALSE(admission.hasOverdueRun(now + 120ms));
    REQUIRE(admission.hasOverdueRun(now + 150ms));
    (void)admission.onRunEnded(99, RunOutcome::Answered, now + 200ms);
    REQUIRE_FALSE(admission.hasOverdueRun(now + 200ms));
}
