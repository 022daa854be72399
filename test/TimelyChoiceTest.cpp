#include "Node/BackendReply.h"
#include "Queueing/Admission.h"
#include "Queueing/ClassSlotTimeEstimate.h"
#include "Queueing/WorkClock.h"
#include "Routing/CallSizeEstimate.h"
#include "Routing/RemainingTimeEstimate.h"
#include "Routing/ServiceRouter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace robinrun;

namespace {

constexpr Instant start { 1s };

OfferedCall makeOffer(std::uint64_t id, std::uint32_t priority, Duration target, Duration deadline = 1s)
{
    OfferedCall out;
    out.id = id;
    out.priority = priority;
    out.deadline = start + deadline;
    out.softDeadline = start + target;
    return out;
}

/// \returns the admission of an owner whose only slot is in use by call 1; slot times are 100 ms.
Admission admissionWithBusySlot()
{
    Admission::Options options;
    options.slots = 1;
    options.initialSlotTime = 100ms;
    Admission admission(options);
    admission.offer(makeOffer(1, 1, 500ms), start);
    return admission;
}

ServiceRouter timelyRouter(std::vector<UpstreamConfig> upstreams)
{
    ServiceRouter::Options options;
    options.policyKind = ChoicePolicyKind::Timely;
    ServiceRouter router(options);
    router.setUpstreams(upstreams, start);
    for (int i = 0; i < 50; ++i)
        router.recordSlotTime("c", 100ms, 1);
    return router;
}

OwnerReport ownerReport(double slowdown, std::uint32_t inUse)
{
    OwnerReport report;
    report.load = { 9, inUse, 0, 100ms, slowdown };
    report.receivedAt = start;
    return report;
}

} // namespace

TEST_CASE("A call that can't be in time is not queued but gets a free slot", "[timely]")
{
    auto admission = admissionWithBusySlot();
    const auto late = admission.offer(makeOffer(2, 1, 150ms), start);
    REQUIRE(late.refusals.at(0).reason == Reason::WouldBeLate);
    REQUIRE(late.refusals.at(0).retryAfter > 0ms);
    REQUIRE(admission.offer(makeOffer(3, 1, 400ms), start).refusals.empty());
    Admission idle { Admission::Options {} };
    REQUIRE(idle.offer(makeOffer(4, 1, 1us), start).callsToRun == std::vector<std::uint64_t> { 4 });
}

TEST_CASE("A waiting call that can no longer be in time is refused, and the next one runs", "[timely]")
{
    auto admission = admissionWithBusySlot();
    REQUIRE(admission.offer(makeOffer(2, 1, 250ms), start).refusals.empty());
    REQUIRE(admission.offer(makeOffer(3, 1, 900ms), start).refusals.empty());
    const auto next = admission.onRunEnded(1, RunOutcome::Answered, start + 200ms);
    REQUIRE(next.refusals.at(0).id == 2);
    REQUIRE(next.callsToRun == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("Calls with a more urgent priority run first", "[timely]")
{
    auto admission = admissionWithBusySlot();
    admission.offer(makeOffer(2, 2, 900ms), start);
    admission.offer(makeOffer(3, 0, 900ms), start);
    REQUIRE(admission.onRunEnded(1, RunOutcome::Answered, start + 100ms).callsToRun
        == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("Slot times are recorded separately for calls that start during a slow-down", "[timely]")
{
    ClassSlotTimeEstimate work;
    REQUIRE_FALSE(work.expectedSlotTime(1));
    work.addSample(100ms, 1);
    REQUIRE(work.expectedSlotTime(4) == 100ms); // no call has started during a slow-down
    work.addSample(300ms, 4);
    REQUIRE(work.expectedSlotTime(1) == 100ms);
    REQUIRE(work.expectedSlotTime(4) == 300ms);
}

TEST_CASE("Calls go to a near upstream if it is in time, otherwise to a far one", "[timely]")
{
    auto router = timelyRouter({ { "near", 9, 0ms, false }, { "far", 9, 2ms, true } });
    Random random(1);
    const CallProfile profile { 0, "c", 250ms };
    REQUIRE(router.pickUpstream({}, profile, start, random) == "near");
    router.onLoadReport("near", ownerReport(4, 1), start);
    REQUIRE(router.pickUpstream({}, profile, start, random) == "far");
    router.onLoadReport("near", ownerReport(1, 1), start);
    REQUIRE(router.pickUpstream({}, profile, start, random) == "near");
    router.onLoadReport("near", ownerReport(1, 40), start); // a queue that makes the call late
    REQUIRE(router.pickUpstream({}, profile, start, random) == "far");
}

TEST_CASE("An upstream whose backend server is down gets no calls until the server is up", "[timely]")
{
    auto router = timelyRouter({ { "a", 9, 0ms, false }, { "b", 9, 0ms, false } });
    Random random(1);
    auto down = ownerReport(1, 0);
    down.load.isUnreachable = true;
    router.onLoadReport("a", down, start);
    for (int i = 0; i < 10; ++i)
        REQUIRE(router.pickUpstream({}, { 0, "c", 250ms }, start, random) == "b");
    router.onLoadReport("a", ownerReport(1, 0), start);
    router.onLoadReport("b", down, start);
    REQUIRE(router.pickUpstream({}, { 0, "c", 250ms }, start, random) == "a");
}

TEST_CASE("Retries of one node stay within its budget in any order", "[timely]")
{
    rc::prop("for any order of first attempts and retries", [] {
        ServiceRouter::Options options;
        options.retryFraction = 0.1;
        options.retryBurst = 2;
        ServiceRouter router(options);
        int firstAttempts = 0;
        int retries = 0;
        const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        for (const bool isFirstAttempt : steps) {
            if (isFirstAttempt) {
                router.recordFirstAttempt(0);
                ++firstAttempts;
            } else {
                retries += router.trySpendRetry(0, RetryPriority::Outside, {});
            }
            RC_ASSERT(retries <= 2 + 0.1 * firstAttempts + 1e-9);
        }
    });
}

TEST_CASE("The status and headers of a backend server's reply give the outcome of the call", "[timely]")
{
    CallHeaders names;
    names.signature = "Sig";
    REQUIRE(judge({ 200, { { "Sig", "x" } }, "" }, names) == BackendVerdict::Answered);
    REQUIRE(judge({ 500, { { "sig", "x" } }, "" }, names) == BackendVerdict::Answered);
    REQUIRE(judge({ 200, {}, "" }, names) == BackendVerdict::Foreign);
    REQUIRE(judge({ 503, { { "Backend-Not-Run", "1" } }, "" }, names) == BackendVerdict::NotRun);
    REQUIRE(judge({ 421, {}, "" }, names) == BackendVerdict::OtherUpstream);
}

TEST_CASE("Valid load headers are parsed and malformed ones are ignored", "[timely]")
{
    const auto load = parseLoad("3,1,12,400");
    REQUIRE(load->running == 3);
    REQUIRE(load->waiting == 1);
    REQUIRE(load->slots == 12);
    REQUIRE(load->slowdown == Approx(4));
    REQUIRE(parseLoad("3,1,12")->slowdown == Approx(1));
    for (const auto* bad : { "", "3", "3,1", "a,b,c", "3,1,12,x", "-1,0,4", "3;1;12" })
        REQUIRE_FALSE(parseLoad(bad));
    rc::prop("any text", [](const std::string& text) { (void)parseLoad(text); });
}

TEST_CASE("The work clock runs slower during a reported slow-down and returns the length of the slow phase",
    "[timely]")
{
    WorkClock clock;
    REQUIRE_FALSE(clock.setSlowdown(1, start));
    const auto begin = clock.read(start);
    REQUIRE(clock.read(start + 100ms) - begin == 100ms);
    REQUIRE_FALSE(clock.setSlowdown(4, start + 100ms));
    REQUIRE(clock.read(start + 300ms) - begin == 150ms);
    REQUIRE_FALSE(clock.setSlowdown(8, start + 300ms)); // still slow
    REQUIRE(clock.setSlowdown(1, start + 700ms) == 600ms);
    REQUIRE(clock.read(start + 700ms) - begin == 200ms);
    REQUIRE(clock.read(start) - begin <= 200ms); // an earlier time doesn't turn the clock back
    REQUIRE_FALSE(clock.setSlowdown(0.5, start + 800ms)); // factors below 1 count as 1
    REQUIRE(clock.read(start + 900ms) - begin == 400ms);
}

TEST_CASE("The remaining time follows from the completed work and the mean length of slow phases", "[timely]")
{
    RemainingTimeEstimate remaining;
    REQUIRE(remaining.remainingTime("c", 0ms, 4) == 0ms); // no call of the class has been recorded
    for (int i = 0; i < 10; ++i)
        remaining.addRun("c", 200ms);
    remaining.addSlowPhase(400ms);
    REQUIRE(remaining.remainingTime("c", 50ms, 1) == 150ms);
    REQUIRE(remaining.remainingTime("c", 190ms, 1) == 40ms); // at least a fifth of the mean work is left
    REQUIRE(remaining.remainingTime("c", 150ms, 4) == 200ms); // ends within the slow phase
    REQUIRE(
        remaining.remainingTime("c", 0ms, 4) == 500ms); // 100 ms of work in the slow phase, the rest after it
}

TEST_CASE("A call with more bytes is less likely to leave its data hall", "[timely]")
{
    // The near backend server is slow enough to make some answers late; the far one isn't slowed down.
    auto router = timelyRouter({ { "near", 9, 0ms, false }, { "far", 9, 3ms, true } });
    router.onLoadReport("near", ownerReport(1.9, 0), start);
    router.onLoadReport("far", ownerReport(1, 0), start);
    Random random(1);
    const auto choiceOf = [&](double relativeBytes) {
        return *router.pickUpstream({}, { 0, "c", 210ms, relativeBytes }, start, random);
    };
    REQUIRE(choiceOf(0.2) == "far");
    REQUIRE(choiceOf(4) == "near");
}

TEST_CASE("The bytes of a class are relative to a mean call, and a class without calls counts as a mean one",
    "[timely]")
{
    CallSizeEstimate bytes;
    REQUIRE(bytes.relativeBytes("small") == 1);
    for (int i = 0; i < 300; ++i) {
        bytes.addCall("small", 1500);
        bytes.addCall("large", 9500);
    }
    REQUIRE(bytes.relativeBytes("small") == Approx(2000.0 / 6000).epsilon(0.05));
    REQUIRE(bytes.relativeBytes("large") == Approx(10000.0 / 6000).epsilon(0.05));
    REQUIRE(bytes.relativeBytes("unknown") == 1);
}
