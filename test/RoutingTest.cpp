#include "Routing/Ejection.h"
#include "Routing/NodeRetryBounds.h"
#include "Routing/RetryBudget.h"
#include "Routing/ServiceRouter.h"
#include "Routing/Subset.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <set>

using namespace robinrun;

namespace {

constexpr std::uint32_t group = 1;

std::vector<UpstreamConfig> targets(int n)
{
    std::vector<UpstreamConfig> out;
    for (int i = 0; i < n; ++i)
        out.push_back({ "u" + std::to_string(i), 12, 1ms });
    return out;
}

OwnerReport report(std::uint32_t inUse, Duration service, Instant heard, double errors = 0)
{
    OwnerReport out;
    out.load = { 12, inUse, 0, service };
    out.errorShare = errors;
    out.receivedAt = heard;
    return out;
}

/// \brief Sends \a n calls together and gives them up again. \returns how many went to each.
std::map<std::string, int> spread(ServiceRouter& router, int n, Instant now, Random& random)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < n; ++i) {
        const auto name = *router.pickUpstream({}, { group }, now, random);
        router.onAttemptSent(name, group);
        ++counts[name];
    }
    for (const auto& [name, sent] : counts) {
        for (int i = 0; i < sent; ++i)
            router.onAttemptAbandoned(name, group);
    }
    return counts;
}

} // namespace

TEST_CASE("Own calls in flight spread an ingress's calls evenly", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(4), {});
    std::map<std::string, int> counts;
    for (int i = 0; i < 40; ++i) {
        const auto name = *router.pickUpstream({}, { group }, {}, random);
        router.onAttemptSent(name, group);
        ++counts[name];
    }
    for (const auto& [name, n] : counts)
        REQUIRE(n == 10);
}

TEST_CASE("Ingresses with the same good news don't all follow it", "[routing]")
{
    // Four idle-looking upstreams, twenty ingresses, two calls each: no upstream may get more than its slots.
    std::map<std::string, int> counts;
    for (int ingress = 0; ingress < 20; ++ingress) {
        ServiceRouter router({});
        Random random(static_cast<std::uint64_t>(ingress));
        router.setUpstreams(targets(4), {});
        for (int i = 0; i < 4; ++i) {
            router.onAttemptSent("u" + std::to_string(i), group);
            router.onAttemptAnswered(
                "u" + std::to_string(i), group, report(i == 0 ? 5 : 6, 10ms, {}), 10ms, false, {});
        }
        for (int i = 0; i < 2; ++i) {
            const auto name = *router.pickUpstream({}, { group }, Instant(20ms), random);
            router.onAttemptSent(name, group);
            ++counts[name];
        }
    }
    for (const auto& [name, n] : counts)
        REQUIRE(n <= 24);
}

TEST_CASE("A slow upstream is left alone, and old news of it counts less and less", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(4), {});
    for (int i = 0; i < 4; ++i) {
        const auto name = "u" + std::to_string(i);
        router.onAttemptSent(name, group);
        router.onAttemptAnswered(name, group, report(3, i == 0 ? 100ms : 10ms, {}), 10ms, false, {});
    }
    REQUIRE(spread(router, 12, Instant(1ms), random)["u0"] == 0);
    REQUIRE(spread(router, 12, Instant(60s), random)["u0"] == 3);
}

TEST_CASE("A fast error is not a fast server: it is ejected, for longer each time", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(4), {});
    Instant now {};
    for (int i = 0; i < 10; ++i) {
        router.onAttemptSent("u0", group);
        router.onAttemptAnswered("u0", group, report(0, 1ms, now, 1), 0ms, true, now);
    }
    REQUIRE(spread(router, 100, now + 30ms, random)["u0"] == 0);
    REQUIRE(router.ejection().isEjected(0, now + 30ms));
    REQUIRE_FALSE(router.ejection().isEjected(0, now + 1100ms));
}

TEST_CASE("No more than half are ejected, and when most look bad all are tried", "[routing]")
{
    rc::prop("cap and panic hold for any pattern of errors", [](const std::vector<bool>& bad) {
        RC_PRE(!bad.empty());
        std::vector<UpstreamView> views;
        for (std::size_t i = 0; i < bad.size(); ++i) {
            views.emplace_back("u" + std::to_string(i), 12, 1ms);
            for (int k = 0; k < 5; ++k)
                views.back().onAttemptAnswered(group, report(0, 1ms, {}, bad[i]), bad[i], {});
        }
        Ejection ejection({});
        ejection.update(views, {});
        RC_ASSERT(ejection.ejectedCount({}) <= bad.size() / 2);
        std::vector<std::size_t> out;
        ejection.collectCandidates(views, {}, {}, out);
        RC_ASSERT(2 * out.size() >= bad.size());
    });
}

TEST_CASE("A lost upstream gets one call at a time until it answers", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(2), {});
    Instant now {};
    router.onAttemptSent("u0", group);
    router.onAttemptLost("u0", group, now);
    REQUIRE(spread(router, 50, now + 500ms, random)["u0"] == 0);
    now += 1100ms;
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i) {
        const auto name = *router.pickUpstream({}, { group }, now, random);
        router.onAttemptSent(name, group);
        ++counts[name];
    }
    REQUIRE(counts["u0"] == 1);
    router.onAttemptAnswered("u0", group, report(0, 10ms, now), 10ms, false, now);
    REQUIRE(spread(router, 50, now + 10s, random)["u0"] > 0);
}

TEST_CASE("When all upstreams are lost they are tried all the same, but none that leaves", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(3), {});
    for (const std::string it : { "u0", "u1" }) {
        router.onAttemptSent(it, group);
        router.onAttemptLost(it, group, {});
    }
    REQUIRE(router.pickUpstream({}, { group }, {}, random) == "u2");
    REQUIRE_FALSE(router.pickUpstream(std::vector<std::string> { "u2" }, { group }, {}, random));
    router.setLeaving("u2", true, {});
    const std::vector<std::string> tried { "u0" };
    REQUIRE(router.pickUpstream(tried, { group }, {}, random) == "u1");
    const std::vector<std::string> both { "u0", "u1" };
    REQUIRE_FALSE(router.pickUpstream(both, { group }, {}, random));
}

TEST_CASE("A leaving upstream gets nothing, until it stays after all or a while has passed", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(2), {});
    router.setLeaving("u0", true, {});
    REQUIRE(spread(router, 50, Instant(1s), random)["u0"] == 0);
    router.setLeaving("u0", false, Instant(1s));
    REQUIRE(spread(router, 50, Instant(10s), random)["u0"] > 0);
    router.setLeaving("u0", true, Instant(10s));
    REQUIRE(spread(router, 50, Instant(16s), random)["u0"] > 0);
}

TEST_CASE("What a group used elsewhere is told once, to the owner it is sent to", "[routing]")
{
    ServiceRouter router({});
    router.setUpstreams(targets(2), {});
    REQUIRE(router.onAttemptSent("u0", group) == 0us);
    router.onAttemptAnswered("u0", group, report(0, 10ms, {}), 10ms, false, {});
    REQUIRE(router.onAttemptSent("u1", group) == 0us); // the first call to it has no earlier one
    router.onAttemptAnswered("u1", group, report(0, 10ms, {}), 7ms, false, {});
    REQUIRE(router.onAttemptSent("u0", group) == 7ms);
    REQUIRE(router.onAttemptSent("u0", group) == 0us);
    REQUIRE(router.onAttemptSent("u1", group) == 0us);
}

TEST_CASE("Retries stay within the burst and a fraction of first attempts", "[routing]")
{
    rc::prop("in any order", [](const std::vector<bool>& isRetry) {
        RetryBudget budget(0.1, 3);
        double first = 0;
        double retries = 0;
        for (const bool it : isRetry) {
            if (it) {
                retries += budget.trySpend(RetryPriority::Outside, {});
            } else {
                budget.recordFirstAttempt();
                ++first;
            }
            RC_ASSERT(retries <= 3 + 0.1 * first + 1e-9);
        }
    });
}

TEST_CASE("Retries of all nodes stay inside the bound of the deployment while nodes start anew", "[routing]")
{
    rc::prop("whoever spends", [] {
        enum class Step { Request, Retry, GiveBack, Start };
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
        const double ratio = *rc::gen::inRange(0, 50) / 100.0;
        const double slack = static_cast<double>(nodes) * *rc::gen::inRange(2, 8);
        const auto fresh = [&] { return RetryBudget(nodeRetryFraction(ratio), minRetryBurst); };
        std::vector<RetryBudget> budgets;
        for (std::size_t i = 0; i < nodes; ++i)
            budgets.emplace_back(nodeRetryFraction(ratio), nodeRetryBurst(slack, nodes));
        std::vector<bool> hasStarted(nodes);
        std::vector<double> pending(nodes);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::size_t>(0, nodes)));
        double requests = 0;
        double arrivals = 0;
        for (const auto& [what, i] : steps) {
            const auto step = static_cast<Step>(what);
            if (step == Step::Request) {
                ++requests;
                budgets[i].recordFirstAttempt();
            } else if (step == Step::Retry) {
                const bool isPaid = budgets[i].trySpend(static_cast<RetryPriority>(steps.size() % 3), {});
                arrivals += isPaid;
                pending[i] += isPaid;
            } else if (step == Step::GiveBack && pending[i] > 0) {
                budgets[i].charge(-1);
                --arrivals;
                --pending[i];
            } else if (step == Step::Start && !hasStarted[i]) {
                hasStarted[i] = true;
                budgets[i] = fresh();
                budgets[i].setBounds(nodeRetryFraction(ratio), nodeRetryBurst(slack, nodes));
                pending[i] = 0;
            }
            RC_ASSERT(arrivals <= ratio * requests + slack + 1e-9);
        }
    });
}

// A nested call that was refused found the budget empty: calls from outside and second attempts beside late
// ones had taken each retry as soon as it was earned.
TEST_CASE("While higher claims go without a retry, what is earned is kept for them", "[routing]")
{
    const Instant start {};
    RetryBudget budget(0.5, 1);
    const auto earn = [&] {
        budget.recordFirstAttempt();
        budget.recordFirstAttempt();
    };
    REQUIRE(budget.trySpend(RetryPriority::Outside, start));
    REQUIRE_FALSE(budget.trySpend(RetryPriority::Nested, start));
    earn();
    REQUIRE_FALSE(budget.trySpend(RetryPriority::Outside, start + 100ms));
    REQUIRE(budget.trySpend(RetryPriority::Nested, start + 200ms));
    REQUIRE_FALSE(budget.trySpend(RetryPriority::LastNested, start + 300ms));
    earn();
    REQUIRE_FALSE(budget.trySpend(RetryPriority::Nested, start + 400ms));
    REQUIRE(budget.trySpend(RetryPriority::LastNested, start + 500ms));
    earn();
    REQUIRE(budget.trySpend(RetryPriority::Outside, start + 2s));
}

TEST_CASE("A changed share of the retries gives no new ones", "[routing]")
{
    ServiceRouter router({ .retryFraction = 0, .retryBurst = 3 });
    const auto spend = [&](int n) {
        int spent = 0;
        for (int i = 0; i < n; ++i)
            spent += router.trySpendRetry(group, RetryPriority::Outside, {});
        return spent;
    };
    REQUIRE(spend(2) == 2);
    router.setRetryBurst(2); // a node more
    router.setRetryBurst(3); // and gone again
    REQUIRE(spend(5) == 1);
    router.setRetryFraction(0.5);
    REQUIRE(spend(5) == 0);
    router.recordFirstAttempt(group);
    router.recordFirstAttempt(group);
    REQUIRE(spend(5) == 1);
}

TEST_CASE("Subsets are even, and change little when upstreams or ingresses come and go", "[routing]")
{
    constexpr std::size_t size = 20;
    const auto names = [](const std::string& prefix, int n) {
        std::vector<std::string> out;
        for (int i = 0; i < n; ++i)
            out.push_back(prefix + std::to_string(i));
        return out;
    };
    const auto upstreams = names("u", 100);
    const auto ingresses = names("n", 700);
    std::map<std::size_t, int> load;
    for (const auto& it : ingresses) {
        for (const auto i : chooseSubset(upstreams, ingresses, it, size))
            ++load[i];
    }
    for (const auto& [i, n] : load)
        REQUIRE(std::abs(n - 140) <= 2);
    REQUIRE(load.size() == 100);

    auto fewer = upstreams;
    fewer.erase(fewer.begin() + 50);
    auto more = ingresses;
    more.push_back("another");
    double changes = 0;
    for (const auto& it : ingresses) {
        std::set<std::string> before;
        for (const auto i : chooseSubset(upstreams, ingresses, it, size))
            before.insert(upstreams[i]);
        for (const auto i : chooseSubset(fewer, more, it, size))
            changes += !before.contains(fewer[i]);
    }
    REQUIRE(changes / 700 <= 1.5);
    REQUIRE(chooseSubset(names("u", 3), ingresses, "n1", size).size() == 3);
}

TEST_CASE("A lone upstream is still used when its answers are late", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(targets(2), {});
    for (int i = 0; i < 3; ++i) {
        router.onAttemptSent("u0", group);
        router.onAttemptLate("u0", {});
    }
    REQUIRE(spread(router, 20, {}, random)["u0"] == 0);
    const std::vector<std::string> other { "u1" };
    REQUIRE(router.pickUpstream(other, { group }, {}, random) == "u0");
    REQUIRE(spread(router, 20, Instant(900ms), random)["u0"] == 0);
    for (int i = 0; i < 3; ++i)
        router.onAttemptAbandoned("u0", group);
    REQUIRE(spread(router, 20, Instant(1100ms), random)["u0"] == 1);
}

TEST_CASE("An answer is late beyond nearly all others, and never before a few milliseconds", "[routing]")
{
    ServiceRouter router({});
    REQUIRE_FALSE(router.hedgeDelay());
    for (int i = 0; i < 30; ++i)
        router.recordCallLatency(100us);
    REQUIRE(router.hedgeDelay() == 5ms);
    Random random(1);
    int late = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto latency = fromSeconds(random.logNormal(0.05, 0.5));
        late += i > 1000 && latency > *router.hedgeDelay();
        router.recordCallLatency(latency);
    }
    REQUIRE(late > 5);
    REQUIRE(late < 100);
}
