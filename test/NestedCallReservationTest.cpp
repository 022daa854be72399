#include "Queueing/NestedCallReservation.h"
#include "Queueing/Admission.h"

#include <catch2/catch.hpp>

using namespace robinrun;

namespace {

OfferedCall makeOffer(std::uint64_t id, std::uint32_t callClass, std::uint32_t urgency, Instant now)
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

OfferedCall makeNestedOffer(std::uint64_t id, std::uint32_t parentUrgency, Instant now)
{
    auto out = makeOffer(id, 9, 0, now);
    out.priority = 0;
    out.parentUrgency = parentUrgency;
    return out;
}

Admission makeFullAdmission(std::uint32_t slots, std::uint32_t urgency, Instant now)
{
    Admission::Options options;
    options.slots = slots;
    Admission out(options);
    for (std::uint64_t id = 1; id <= slots; ++id)
        out.offer(makeOffer(id, 1, urgency, now), now);
    return out;
}

} // namespace

TEST_CASE(
    "In a burst of less urgent calls, half of the slots are reserved for waiting nested calls", "[admission]")
{
    Instant now { 1s };
    auto admission = makeFullAdmission(4, 7, now);
    for (std::uint64_t id = 11; id < 15; ++id)
        admission.offer(makeOffer(id, 1, 7, now), now);
    admission.offer(makeNestedOffer(21, 3, now), now);
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 21 });
    // Three calls of the burst still run. No other call of the burst starts until fewer than half of the
    // slots are used by the burst.
    REQUIRE(admission.onRunEnded(2, RunOutcome::Answered, now).callsToRun.empty());
    REQUIRE(
        admission.onRunEnded(3, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 11 });
    // The next nested call gets a slot at once.
    REQUIRE(
        admission.offer(makeNestedOffer(22, 3, now), now).callsToRun == std::vector<std::uint64_t> { 22 });
}

TEST_CASE("Calls as urgent as the parents of the nested calls may use all slots", "[admission]")
{
    Instant now { 1s };
    auto admission = makeFullAdmission(4, 3, now);
    admission.offer(makeOffer(11, 1, 3, now), now);
    admission.offer(makeNestedOffer(21, 3, now), now);
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 21 });
    REQUIRE(
        admission.onRunEnded(2, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 11 });
}

TEST_CASE("The reservation ends shortly after nested calls stop waiting", "[admission]")
{
    Instant now { 1s };
    auto admission = makeFullAdmission(2, 7, now);
    admission.offer(makeOffer(11, 1, 7, now), now);
    admission.offer(makeNestedOffer(21, 3, now), now);
    now += 10ms;
    REQUIRE(
        admission.onRunEnded(1, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 21 });
    now += 400ms;
    REQUIRE(
        admission.onRunEnded(21, RunOutcome::Answered, now).callsToRun == std::vector<std::uint64_t> { 11 });
}

TEST_CASE("At least one slot is left to less urgent calls", "[admission]")
{
    REQUIRE(NestedCallReservation::maxLessUrgentSlots(1) == 1);
    REQUIRE(NestedCallReservation::maxLessUrgentSlots(2) == 1);
    REQUIRE(NestedCallReservation::maxLessUrgentSlots(7) == 3);
}
