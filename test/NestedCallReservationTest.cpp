#include "Queueing/NestedCallReservation.h"
#include "Queueing/Admission.h"

#include <catch2/catch.hpp>

using namespace robinrun;

namespace {

OfferedCall offer(std::uint64_t id, std::uint32_t callClass, std::uint32_t urgency, Instant now)
{
    OfferedCall out;
    out.id = id;
    out.group = 1;
    out.callClass = callClass;
    out.priority = 2;
    out.urgency = urgency;
    out.deadline = now + 10s;
    out.softDeadline = now + 5s;
    return out;
}

OfferedCall nested(std::uint64_t id, std::uint32_t parentUrgency, Instant now)
{
    auto out = offer(id, 9, 0, now);
    out.priority = 0;
    out.parentUrgency = parentUrgency;
    return out;
}

Admission fullOf(std::uint32_t slots, std::uint32_t urgency, Instant now)
{
    Admission::Options options;
    options.slots = slots;
    Admission out(options);
    for (std::uint64_t id = 1; id <= slots; ++id)
        out.offer(offer(id, 1, urgency, now), now);
    return out;
}

} // namespace

TEST_CASE("In a burst of the least urgent calls, nested ones of more urgent runs get half of the slots",
    "[admission]")
{
    Instant now { 1s };
    auto admission = fullOf(4, 7, now);
    for (std::uint64_t id = 11; id < 15; ++id)
        admission.offer(offer(id, 1, 7, now), now);
    admission.offer(nested(21, 3, now), now);
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 21 });
    // Three of the burst still run: their slots are not given to others of it beyond half.
    REQUIRE(admission.onRunEnded(2, RunOutcome::Answered, now).callsToRun.empty());
    REQUIRE(
        admission.onRunEnded(3, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 11 });
    // The next nested call finds a slot at once.
    REQUIRE(admission.offer(nested(22, 3, now), now).callsToRun == std::vector<std::uint64_t> { 22 });
}

TEST_CASE("Calls as urgent as the runs that nested ones are for keep all slots", "[admission]")
{
    Instant now { 1s };
    auto admission = fullOf(4, 3, now);
    admission.offer(offer(11, 1, 3, now), now);
    admission.offer(nested(21, 3, now), now);
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 21 });
    REQUIRE(
        admission.onRunEnded(2, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 11 });
}

TEST_CASE("Slots that are kept are given back a moment after nested calls no longer wait", "[admission]")
{
    Instant now { 1s };
    auto admission = fullOf(2, 7, now);
    admission.offer(offer(11, 1, 7, now), now);
    admission.offer(nested(21, 3, now), now);
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 21 });
    now += 400ms;
    REQUIRE(
        admission.onRunEnded(21, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 11 });
}

TEST_CASE("Where one slot is all there is, the least urgent calls still get it in turn", "[admission]")
{
    REQUIRE(NestedCallReservation::maxLessUrgentSlots(1) == 1);
    REQUIRE(NestedCallReservation::maxLessUrgentSlots(2) == 1);
    REQUIRE(NestedCallReservation::maxLessUrgentSlots(7) == 3);
}
