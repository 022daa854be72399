#include "Core/Random.h"
#include "Queueing/Admission.h"
#include "Routing/ServiceRouter.h"
#include "support/VirtualLoop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file Ingresses and owners of one service whose backend servers name limits, in virtual time: the
/// decisions of the node's own classes, with the news that messages carry.

using namespace robinrun;
using support::VirtualLoop;

namespace {

constexpr Instant begun { 1000s };
constexpr Duration hop = 1ms; ///< one way of a message
constexpr Duration target = 400ms;
constexpr Duration deadline = 1s;
constexpr double meanWorkSeconds = 0.1;
constexpr int freeMoves = 2; ///< to another owner after a refusal that asked no server

/// \brief A service of `size` servers of 12 slots, and as many ingresses.
class LimitedService {
public:
    struct Server {
        Admission admission { Admission::Options { .slots = 12, .initialSlotTime = 100ms } };
        std::optional<double> limit; ///< that its answers name
        std::deque<Instant> starts;
    };

    LimitedService(std::size_t size, std::uint64_t seed)
        : m_random(seed)
    {
        m_loop.run(begun);
        std::vector<UpstreamConfig> upstreams;
        for (std::size_t i = 0; i < size; ++i) {
            upstreams.push_back({ std::to_string(i), 12, 2 * hop });
            m_servers.push_back(std::make_unique<Server>());
        }
        ServiceRouter::Options options;
        options.policyKind = ChoicePolicyKind::Timely;
        for (std::size_t i = 0; i < size; ++i) {
            m_routers.push_back(std::make_unique<ServiceRouter>(options));
            m_routers.back()->setUpstreams(upstreams, begun);
            m_routers.back()->recordSlotTime("read", 100ms, 1);
        }
    }

    Instant now() const { return m_loop.now(); }
    Server& server(std::size_t i) { return *m_servers[i]; }

    /// \brief Offers \a perSecond calls a second at random ingresses, for \a length.
    void offer(double perSecond, Duration length)
    {
        for (auto at = now(); at < begun + length + (now() - begun);
             at += fromSeconds(m_random.exponential(1 / perSecond)))
            m_loop.at(at, [this] { begin(); });
        m_loop.run(now() + length + deadline);
    }

    void at(Instant when, std::function<void()> f) { m_loop.at(when, std::move(f)); }

    std::size_t calls = 0;
    std::size_t inTime = 0;
    std::size_t refused = 0;
    std::size_t attempts = 0;

private:
    struct Call {
        std::size_t ingress = 0;
        Instant arrived {};
        std::vector<std::string> tried;
    };
    using CallPtr = std::shared_ptr<Call>;

    void begin()
    {
        ++calls;
        const auto call = std::make_shared<Call>();
        call->ingress = m_random.below(m_routers.size());
        call->arrived = now();
        proceed(call);
    }

    void proceed(const CallPtr& call)
    {
        auto& router = *m_routers[call->ingress];
        const CallProfile profile { 0, "read", std::max(target - (now() - call->arrived), Duration(1)) };
        const auto upstream = router.pickUpstream(call->tried, profile, now(), m_random);
        if (!upstream || call->tried.size() > freeMoves) {
            ++refused;
            return;
        }
        ++attempts;
        call->tried.push_back(*upstream);
        router.onAttemptSent(*upstream, 0);
        m_loop.after(hop, [=, this] { arrive(call, std::stoul(*upstream)); });
    }

    void arrive(const CallPtr& call, std::size_t i)
    {
        OfferedCall offered;
        offered.id = ++m_lastId;
        offered.deadline = call->arrived + deadline;
        offered.softDeadline = call->arrived + target;
        m_calls[offered.id] = call;
        act(i, server(i).admission.offer(offered, now()));
    }

    void act(std::size_t i, const AdmissionResult& result)
    {
        for (const auto& it : result.refusals) {
            const auto call = m_calls.extract(it.id).mapped();
            answer(call, i, [this, call] { proceed(call); });
        }
        for (const auto id : result.callsToRun)
            run(i, id);
        if (const auto next = server(i).admission.nextPacedStart(now()))
            m_loop.after(std::max(*next - now(), Duration(1)),
                [this, i] { act(i, server(i).admission.startReadyCalls(now())); });
    }

    void run(std::size_t i, std::uint64_t id)
    {
        server(i).starts.push_back(now());
        const auto started = now();
        m_loop.after(fromSeconds(m_random.exponential(meanWorkSeconds)), [=, this] {
            auto& admission = server(i).admission;
            const auto before = admission.rateLimit().requestsPerSecond();
            admission.rateLimit().onAnswer(RateLimitSource::CallAnswer, server(i).limit, started, now());
            const auto result = admission.onRunEnded(id, RunOutcome::Answered, now());
            const auto call = m_calls.extract(id).mapped();
            answer(call, i, [this, call] { inTime += now() - call->arrived <= target; });
            if (before != admission.rateLimit().requestsPerSecond())
                tellAll(i);
            act(i, admission.refuseCallsMissingDeadline(now()));
            act(i, result);
        });
    }

    OwnerReport reportOf(std::size_t i) const
    {
        OwnerReport report;
        report.load = m_servers[i]->admission.load(now());
        report.queuedCalls = report.load.waitingCalls;
        return report;
    }

    template <class F> void answer(const CallPtr& call, std::size_t i, F then)
    {
        m_loop.after(hop, [=, this, report = reportOf(i)]() mutable {
            report.receivedAt = now();
            report.callsOfThisIngress = 0;
            m_routers[call->ingress]->onAttemptAnswered(std::to_string(i), 0, report, 100ms, false, now());
            then();
        });
    }

    void tellAll(std::size_t i)
    {
        m_loop.after(hop, [this, i, report = reportOf(i)]() mutable {
            report.receivedAt = now();
            for (const auto& it : m_routers)
                it->onLoadReport(std::to_string(i), report, now());
        });
    }

    VirtualLoop m_loop;
    Random m_random;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<ServiceRouter>> m_routers;
    std::map<std::uint64_t, CallPtr> m_calls;
    std::uint64_t m_lastId = 0;
};

/// \returns the maximum number of \a starts from \a begin on in any 4 s.
std::size_t mostInWindow(const std::deque<Instant>& starts, Instant begin)
{
    std::size_t most = 0;
    std::deque<Instant> window;
    for (const auto it : starts) {
        if (it < begin)
            continue;
        window.push_back(it);
        while (it - window.front() >= 4s)
            window.pop_front();
        most = std::max(most, window.size());
    }
    return most;
}

constexpr std::size_t size = 12;
/// Of five calls, one may be refused by an owner that has less room than its last news says.
constexpr double maxAttemptsPerCall = 1.2;
constexpr double callsPerSecond = 500; ///< of 1440 that all servers can run without a limit

} // namespace

TEST_CASE(
    "While a third of the servers name limits, all calls are served by the others in time", "[server-limit]")
{
    LimitedService free(size, 1);
    free.offer(callsPerSecond, 20s);
    LimitedService f(size, 1);
    for (std::size_t i = 0; i < size / 3; ++i)
        f.server(i).limit = 8;
    f.offer(callsPerSecond, 20s);
    INFO("without limits " << free.inTime << " of " << free.calls << " in time");
    REQUIRE(double(f.refused) < 0.001 * double(f.calls));
    REQUIRE(double(f.inTime) / double(f.calls) > double(free.inTime) / double(free.calls) - 0.02);
    REQUIRE(double(f.attempts) < maxAttemptsPerCall * double(f.calls));
    for (std::size_t i = 0; i < size / 3; ++i)
        REQUIRE(mostInWindow(f.server(i).starts, begun + 3s) <= 1.5 * 8 * 4 + 5);
}

TEST_CASE("Limits that swing each second cause no waves of refusals and repeats", "[server-limit]")
{
    LimitedService f(size, 2);
    for (int second = 0; second < 20; ++second)
        f.at(begun + second * 1s, [&f, second] {
            for (std::size_t i = 0; i < size / 3; ++i)
                f.server(i).limit = second % 2 ? std::optional(5.0) : std::nullopt;
        });
    f.offer(callsPerSecond, 20s);
    REQUIRE(double(f.inTime) > 0.95 * double(f.calls));
    REQUIRE(double(f.refused) < 0.01 * double(f.calls));
    REQUIRE(double(f.attempts) < maxAttemptsPerCall * double(f.calls));
    // None of the servers that name no limit gets far more than the others.
    std::size_t most = 0;
    std::size_t least = f.calls;
    for (std::size_t i = size / 3; i < size; ++i) {
        most = std::max(most, f.server(i).starts.size());
        least = std::min(least, f.server(i).starts.size());
    }
    REQUIRE(double(most) < 1.5 * double(least));
}

TEST_CASE(
    "Where all servers name limits, nearly all that they accept is used and the rest is refused at once",
    "[server-limit]")
{
    LimitedService f(size, 3);
    for (std::size_t i = 0; i < size; ++i)
        f.server(i).limit = 10;
    f.offer(callsPerSecond, 20s);
    std::size_t started = 0;
    for (std::size_t i = 0; i < size; ++i) {
        REQUIRE(mostInWindow(f.server(i).starts, begun + 3s) <= 1.5 * 10 * 4 + 5);
        started += f.server(i).starts.size();
    }
    REQUIRE(double(started) > 0.9 * 10 * size * 20);
    REQUIRE(double(f.attempts) < (1 + freeMoves) * double(f.calls));
}
