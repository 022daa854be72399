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

WarmUpSettings terms()
{
    return { warmUpLength, { 24, 6 } };
}

/// \returns the most of \a starts that lie in one second.
std::size_t mostInOneSecond(const std::vector<Instant>& starts)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < starts.size(); ++i) {
        while (starts[i] - starts[first] >= 1s)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

} // namespace

TEST_CASE("A cold server gets no more in any second than it bears, whoever owns it meanwhile", "[warm-up]")
{
    rc::prop(
        "over arrivals, news that is late or lost, doubts and restarts of its owner", [](std::uint64_t seed) {
            Random random(seed);
            const auto kind = random.chance(0.5) ? WarmUpPacerKind::Smooth : WarmUpPacerKind::Window;
            const double rate = 5 + 395 * random.unit();
            Instant now { 100s };
            auto coldUntil = now + warmUpLength;
            WarmUp owner(kind);
            owner.setSettings(terms());
            owner.markUncertain(now);
            std::vector<Instant> whileCold;
            for (int i = 0; i < 2000; ++i) {
                now += Duration(static_cast<std::int64_t>(random.exponential(1e6 / rate)) + 1);
                const auto dice = random.unit();
                if (dice < 0.005) {
                    // The owner is killed; the next one knows nothing, and comes up a moment later.
                    owner = WarmUp(kind);
                    owner.setSettings(terms());
                    owner.markUncertain(now += 5ms);
                } else if (dice < 0.01) {
                    // The server turns cold unseen, and something makes the owner doubt before it sends.
                    coldUntil = now + warmUpLength;
                    owner.markUncertain(now);
                } else if (dice < 0.03) {
                    owner.onAnnouncement(std::max(coldUntil - now, Duration::zero()), now);
                } else if (dice < 0.05) {
                    owner.onHealthAnswer(std::max(coldUntil - now, Duration::zero()), now, now);
                }
                if (owner.nextStart(now) > now)
                    continue;
                owner.onCallStarted(now);
                if (now < coldUntil)
                    whileCold.push_back(now);
            }
            RC_ASSERT(mostInOneSecond(whileCold) <= 30U);
        });
}

TEST_CASE("A pace serves what the bound allows, and ends with the warm-up", "[warm-up]")
{
    const auto kind = GENERATE(WarmUpPacerKind::Smooth, WarmUpPacerKind::Window);
    WarmUp owner(kind);
    owner.setSettings(terms());
    Instant now { 100s };
    const auto begin = now;
    owner.onAnnouncement(warmUpLength, now);
    int started = 0;
    for (; now < begin + warmUpLength; now += 1ms) {
        if (owner.nextStart(now) > now)
            continue;
        owner.onCallStarted(now);
        ++started;
    }
    REQUIRE(started >= 72); // 24 a second
    REQUIRE_FALSE(owner.isCold(now));
    REQUIRE(owner.nextStart(now) <= now);
}

TEST_CASE("Only an answer to a question of later ends a doubt; a late announcement doesn't", "[warm-up]")
{
    WarmUp owner;
    owner.setSettings(terms());
    const Instant now { 100s };
    owner.onAnnouncement(Duration::zero(), now);
    REQUIRE_FALSE(owner.isCold(now));
    owner.markUncertain(now + 1s);
    owner.onAnnouncement(Duration::zero(), now + 1100ms); // sent before it turned cold
    owner.onHealthAnswer(Duration::zero(), now + 900ms, now + 1100ms);
    REQUIRE(owner.isUncertain(now + 1200ms));
    owner.onHealthAnswer(2s, now + 1100ms, now + 1200ms);
    REQUIRE_FALSE(owner.isUncertain(now + 1200ms));
    REQUIRE(owner.remainingTime(now + 1200ms) == 2s);
    owner.onAnnouncement(Duration::zero(), now + 1300ms);
    REQUIRE_FALSE(owner.isCold(now + 1300ms));
}

TEST_CASE("A service that says nothing of warm-ups is served as before", "[warm-up]")
{
    WarmUp owner;
    const Instant now { 100s };
    owner.markUncertain(now);
    REQUIRE_FALSE(owner.isCold(now));
    owner.onAnnouncement(3s, now); // told, but without a bound
    REQUIRE(owner.nextStart(now) <= now);
    REQUIRE_FALSE(owner.isPaced(now));
}

namespace {

/// \brief All servers of a service come back cold at once, and callers ask for two and a half times what
/// those bear. A server that gets more than it bears in one second falls over and starts again, cold: before
/// calls were paced, six servers kept each other down for 16 s, and 0.58 of the calls were served.
struct ColdService {
    static constexpr std::size_t servers = 6;
    static constexpr std::uint32_t slots = 8;
    static constexpr double perSecond = 2.5 * servers * 24;
    static constexpr Duration work = 64ms;
    static constexpr Duration target = 200ms;
    static constexpr Duration deadline = 600ms;
    static constexpr Duration comeBackAfter = 150ms;
    static constexpr Duration length = 8s;
    static constexpr std::uint32_t group = 1;

    struct Server {
        std::string name;
        std::unique_ptr<Admission> admission;
        std::vector<Instant> starts;
    };
    struct Call {
        std::size_t server = 0;
        Instant first {};
        bool isSecondTry = false;
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
            server.admission->warmUp().setSettings(terms());
            server.admission->warmUp().onAnnouncement(warmUpLength, loop.now());
            targets.push_back({ server.name, slots, 1ms, false });
            all.push_back(std::move(server));
        }
        router->setUpstreams(targets, loop.now());
        nextArrival();
        loop.run(Instant(length));
    }

    void nextArrival()
    {
        loop.after(fromSeconds(random.exponential(1 / perSecond)), [this] {
            if (loop.now() >= Instant(length - deadline))
                return;
            ++(loop.now() < Instant(warmUpLength + 1s) ? askedEarly : askedLater);
            ask({ 0, loop.now(), false });
            nextArrival();
        });
    }

    void ask(Call call)
    {
        const CallProfile needs { group, "read", std::max(call.first + target - loop.now(), Duration(1)) };
        const auto name = router->pickUpstream({}, needs, loop.now(), random);
        call.server = static_cast<std::size_t>(name->back() - '0');
        router->onAttemptSent(*name, group);
        const auto id = ++lastId;
        calls[id] = call;
        OfferedCall offer;
        offer.id = id;
        offer.group = group;
        offer.deadline = call.first + deadline;
        offer.softDeadline = call.first + target;
        act(call.server, all[call.server].admission->offer(offer, loop.now()));
    }

    void act(std::size_t i, const AdmissionResult& dispatch)
    {
        auto& server = all[i];
        for (const auto& it : dispatch.refusals)
            refused(it.id);
        for (const auto id : dispatch.callsToRun) {
            server.starts.push_back(loop.now());
            const bool isCold = loop.now() < Instant(warmUpLength);
            loop.after(work * (isCold ? 2 : 1), [this, id] { ended(id); });
        }
        if (const auto next = server.admission->nextPacedStart(loop.now()))
            loop.after(std::max(*next - loop.now(), Duration(1)),
                [this, i] { act(i, all[i].admission->startReadyCalls(loop.now())); });
    }

    void told(const Call& call, Duration held)
    {
        OwnerReport report;
        report.load = all[call.server].admission->load(loop.now());
        report.queuedCalls = report.load.waitingCalls;
        report.receivedAt = loop.now();
        router->onAttemptAnswered(all[call.server].name, group, report, held, false, loop.now());
    }

    void refused(std::uint64_t id)
    {
        const auto call = calls.at(id);
        calls.erase(id);
        told(call, {});
        if (call.isSecondTry)
            return;
        loop.after(comeBackAfter, [this, call] { ask({ 0, call.first, true }); });
    }

    void ended(std::uint64_t id)
    {
        const auto call = calls.at(id);
        calls.erase(id);
        const bool isInTime = loop.now() <= call.first + target;
        ++(call.first < Instant(warmUpLength + 1s) ? servedEarly : servedLater);
        late += !isInTime;
        act(call.server, all[call.server].admission->onRunEnded(id, RunOutcome::Answered, loop.now()));
        told(call, work);
    }

    VirtualLoop loop;
    Random random { 7 };
    std::unique_ptr<ServiceRouter> router;
    std::vector<Server> all;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastId = 0;
    int askedEarly = 0;
    int askedLater = 0;
    int servedEarly = 0;
    int servedLater = 0;
    int late = 0;
};

} // namespace

TEST_CASE("A service that comes back cold under 2.5 times its pace is not driven down again", "[warm-up]")
{
    const auto kind = GENERATE(WarmUpPacerKind::Smooth, WarmUpPacerKind::Window);
    ColdService f(kind);
    for (const auto& it : f.all) {
        std::vector<Instant> whileCold;
        for (const auto at : it.starts) {
            if (at < Instant(warmUpLength))
                whileCold.push_back(at);
        }
        CHECK(mostInOneSecond(whileCold) <= 30);
    }
    // What the pace allows is used, and from a second after the warm-up on all are served.
    CHECK(f.servedEarly >= 0.9 * ColdService::servers * 24 * toSeconds(warmUpLength));
    CHECK(f.servedLater >= 0.99 * f.askedLater);
}
