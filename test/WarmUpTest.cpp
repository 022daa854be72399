#include "Queueing/WarmUp.h"
#include "Core/Random.h"
#include "Queueing/Admission.h"
#include "Routing/ServiceRouter.h"
#include "support/VirtualLoop.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

using namespace robinrun;
using support::VirtualLoop;

namespace {

constexpr Duration warmUpLength = 3s;

WarmUpSettings makeSettings()
{
    return { warmUpLength, { 24, 6 } };
}

/// \returns the maximum number of \a starts in any second.
std::size_t maxStartsInOneSecond(const std::vector<Instant>& starts)
{
    std::size_t maxStarts = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < starts.size(); ++i) {
        while (starts[i] - starts[first] >= 1s)
            ++first;
        maxStarts = std::max(maxStarts, i - first + 1);
    }
    return maxStarts;
}

} // namespace

TEST_CASE(
    "A cold server gets no more calls per second than the limit, even if its owner restarts", "[warm-up]")
{
    rc::prop("for random arrivals, late or lost news, uncertain states and owner restarts",
        [](std::uint64_t seed) {
            Random random(seed);
            const auto kind = random.chance(0.5) ? WarmUpPacerKind::Smooth : WarmUpPacerKind::Window;
            const double rate = 5 + 395 * random.unit();
            Instant now { 100s };
            auto coldUntil = now + warmUpLength;
            WarmUp warmUp(kind);
            warmUp.setSettings(makeSettings());
            warmUp.markUncertain(now);
            std::vector<Instant> startsWhileCold;
            for (int i = 0; i < 2000; ++i) {
                now += Duration(static_cast<std::int64_t>(random.exponential(1e6 / rate)) + 1);
                const auto eventDraw = random.unit();
                if (eventDraw < 0.005) {
                    // The owner is killed. Its successor starts 5 ms later without any state.
                    warmUp = WarmUp(kind);
                    warmUp.setSettings(makeSettings());
                    warmUp.markUncertain(now += 5ms);
                } else if (eventDraw < 0.01) {
                    // The server turns cold unnoticed, and the owner marks its state as uncertain before it
                    // sends a call.
                    coldUntil = now + warmUpLength;
                    warmUp.markUncertain(now);
                } else if (eventDraw < 0.03) {
                    warmUp.onAnnouncement(std::max(coldUntil - now, Duration::zero()), now);
                } else if (eventDraw < 0.05) {
                    warmUp.onHealthAnswer(std::max(coldUntil - now, Duration::zero()), now, now);
                }
                if (warmUp.nextStart(now) > now)
                    continue;
                warmUp.onCallStarted(now);
                if (now < coldUntil)
                    startsWhileCold.push_back(now);
            }
            RC_ASSERT(maxStartsInOneSecond(startsWhileCold) <= 30U);
        });
}

TEST_CASE("Pacing allows the full sustained rate and ends with the warm-up", "[warm-up]")
{
    const auto kind = GENERATE(WarmUpPacerKind::Smooth, WarmUpPacerKind::Window);
    WarmUp warmUp(kind);
    warmUp.setSettings(makeSettings());
    Instant now { 100s };
    const auto begin = now;
    warmUp.onAnnouncement(warmUpLength, now);
    int started = 0;
    for (; now < begin + warmUpLength; now += 1ms) {
        if (warmUp.nextStart(now) > now)
            continue;
        warmUp.onCallStarted(now);
        ++started;
    }
    REQUIRE(started >= 72); // 24 calls per second for 3 s
    REQUIRE_FALSE(warmUp.isCold(now));
    REQUIRE(warmUp.nextStart(now) <= now);
}

TEST_CASE("Only the answer to a later health request ends the uncertain state", "[warm-up]")
{
    WarmUp warmUp;
    warmUp.setSettings(makeSettings());
    const Instant now { 100s };
    warmUp.onAnnouncement(Duration::zero(), now);
    REQUIRE_FALSE(warmUp.isCold(now));
    warmUp.markUncertain(now + 1s);
    warmUp.onAnnouncement(Duration::zero(), now + 1100ms); // may have been sent before the server turned cold
    warmUp.onHealthAnswer(Duration::zero(), now + 900ms, now + 1100ms);
    REQUIRE(warmUp.isUncertain(now + 1200ms));
    warmUp.onHealthAnswer(2s, now + 1100ms, now + 1200ms);
    REQUIRE_FALSE(warmUp.isUncertain(now + 1200ms));
    REQUIRE(warmUp.remainingTime(now + 1200ms) == 2s);
    warmUp.onAnnouncement(Duration::zero(), now + 1300ms);
    REQUIRE_FALSE(warmUp.isCold(now + 1300ms));
}

TEST_CASE("Calls to a service without warm-up settings are not paced", "[warm-up]")
{
    WarmUp warmUp;
    const Instant now { 100s };
    warmUp.markUncertain(now);
    REQUIRE_FALSE(warmUp.isCold(now));
    warmUp.onAnnouncement(3s, now); // cold, but without a rate limit
    REQUIRE(warmUp.nextStart(now) <= now);
    REQUIRE_FALSE(warmUp.isPaced(now));
}

namespace {

/// \brief Simulates a service whose servers all restart cold at once under 2.5 times the load that they can
/// handle while cold. A server that gets more calls than it can handle in one second crashes and restarts
/// cold: without pacing, six servers kept crashing for 16 s and served 0.58 of the calls.
struct ColdService {
    static constexpr std::size_t servers = 6;
    static constexpr std::uint32_t slots = 8;
    static constexpr double offeredCallsPerSecond = 2.5 * servers * 24;
    static constexpr Duration work = 64ms;
    static constexpr Duration targetLatency = 200ms;
    static constexpr Duration deadline = 600ms;
    static constexpr Duration retryDelay = 150ms;
    static constexpr Duration length = 8s;
    static constexpr std::uint32_t group = 1;

    struct Server {
        std::string name;
        std::unique_ptr<Admission> admission;
        std::vector<Instant> starts;
    };
    struct Call {
        std::size_t server = 0;
        Instant firstArrival {};
        bool isRetry = false;
    };

    explicit ColdService(WarmUpPacerKind kind)
    {
        ServiceRouter::Options routing;
        routing.policyKind = ChoicePolicyKind::Timely;
        router = std::make_unique<ServiceRouter>(routing);
        std::vector<UpstreamConfig> targets;
        for (std::size_t i = 0; i < servers; ++i) {
            Admission::Options options;
            options.slots = slots;
            options.initialSlotTime = work;
            Server server { "s" + std::to_string(i), std::make_unique<Admission>(options), {} };
            server.admission->warmUp().setPacerKind(kind);
            server.admission->warmUp().setSettings(makeSettings());
            server.admission->warmUp().onAnnouncement(warmUpLength, loop.now());
            targets.push_back({ server.name, slots, 1ms, false });
            backends.push_back(std::move(server));
        }
        router->setUpstreams(targets, loop.now());
        scheduleArrival();
        loop.run(Instant(length));
    }

    void scheduleArrival()
    {
        loop.after(fromSeconds(random.exponential(1 / offeredCallsPerSecond)), [this] {
            if (loop.now() >= Instant(length - deadline))
                return;
            ++(loop.now() < Instant(warmUpLength + 1s) ? arrivedEarly : arrivedLater);
            sendCall({ 0, loop.now(), false });
            scheduleArrival();
        });
    }

    void sendCall(Call call)
    {
        const CallProfile needs { group, "read",
            std::max(call.firstArrival + targetLatency - loop.now(), Duration(1)) };
        const auto name = router->pickUpstream({}, needs, loop.now(), random);
        call.server = static_cast<std::size_t>(name->back() - '0');
        router->onAttemptSent(*name, group);
        const auto id = ++lastId;
        calls[id] = call;
        OfferedCall offer;
        offer.id = id;
        offer.group = group;
        offer.deadline = call.firstArrival + deadline;
        offer.softDeadline = call.firstArrival + targetLatency;
        applyResult(call.server, backends[call.server].admission->offer(offer, loop.now()));
    }

    void applyResult(std::size_t i, const AdmissionResult& result)
    {
        auto& server = backends[i];
        for (const auto& it : result.refusals)
            onRefused(it.id);
        for (const auto id : result.callsToRun) {
            server.starts.push_back(loop.now());
            const bool isCold = loop.now() < Instant(warmUpLength);
            loop.after(work * (isCold ? 2 : 1), [this, id] { onRunEnded(id); });
        }
        if (const auto next = server.admission->nextPacedStart(loop.now()))
            loop.after(std::max(*next - loop.now(), Duration(1)),
                [this, i] { applyResult(i, backends[i].admission->startReadyCalls(loop.now())); });
    }

    void reportLoad(const Call& call, Duration slotTime)
    {
        OwnerReport report;
        report.load = backends[call.server].admission->load(loop.now());
        report.queuedCalls = report.load.waitingCalls;
        report.receivedAt = loop.now();
        router->onAttemptAnswered(backends[call.server].name, group, report, slotTime, false, loop.now());
    }

    void onRefused(std::uint64_t id)
    {
        const auto call = calls.at(id);
        calls.erase(id);
        reportLoad(call, {});
        if (call.isRetry)
            return;
        loop.after(retryDelay, [this, call] { sendCall({ 0, call.firstArrival, true }); });
    }

    void onRunEnded(std::uint64_t id)
    {
        const auto call = calls.at(id);
        calls.erase(id);
        const bool isInTime = loop.now() <= call.firstArrival + targetLatency;
        ++(call.firstArrival < Instant(warmUpLength + 1s) ? servedEarly : servedLater);
        lateAnswers += !isInTime;
        applyResult(
            call.server, backends[call.server].admission->onRunEnded(id, RunOutcome::Answered, loop.now()));
        reportLoad(call, work);
    }

    VirtualLoop loop;
    Random random { 7 };
    std::unique_ptr<ServiceRouter> router;
    std::vector<Server> backends;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastId = 0;
    int arrivedEarly = 0;
    int arrivedLater = 0;
    int servedEarly = 0;
    int servedLater = 0;
    int lateAnswers = 0;
};

} // namespace

TEST_CASE("Servers that restart cold under 2.5 times their rate limit are not overloaded", "[warm-up]")
{
    const auto kind = GENERATE(WarmUpPacerKind::Smooth, WarmUpPacerKind::Window);
    ColdService service(kind);
    for (const auto& it : service.backends) {
        std::vector<Instant> startsWhileCold;
        for (const auto at : it.starts) {
            if (at < Instant(warmUpLength))
                startsWhileCold.push_back(at);
        }
        CHECK(maxStartsInOneSecond(startsWhileCold) <= 30);
    }
    // The sustained rate is used during the warm-up, and from one second after it all calls are served.
    CHECK(service.servedEarly >= 0.9 * ColdService::servers * 24 * toSeconds(warmUpLength));
    CHECK(service.servedLater >= 0.99 * service.arrivedLater);
}
