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

std::vector<UpstreamConfig> upstreamConfigs(int n)
{
    std::vector<UpstreamConfig> out;
    for (int i = 0; i < n; ++i)
        out.push_back({ "u" + std::to_string(i), 12, 1ms });
    return out;
}

OwnerReport ownerReport(std::uint32_t inUse, Duration service, Instant receivedAt, double errorShare = 0)
{
    OwnerReport out;
    out.load = { 12, inUse, 0, service };
    out.errorShare = errorShare;
    out.receivedAt = receivedAt;
    return out;
}

/// \brief Sends \a n concurrent calls and then abandons them. \returns the number of calls to each upstream.
std::map<std::string, int> countPicks(ServiceRouter& router, int n, Instant now, Random& random)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < n; ++i) {
        const auto name = *router.pickUpstream({}, { group }, now, random);
        router.onAttemptSent(name, group);
        ++counts[name];
    }
    for (const auto& [name, picks] : counts) {
        for (int i = 0; i < picks; ++i)
            router.onAttemptAbandoned(name, group);
    }
    return counts;
}

} // namespace

TEST_CASE("An ingress spreads concurrent calls evenly over equal upstreams", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(4), {});
    std::map<std::string, int> counts;
    for (int i = 0; i < 40; ++i) {
        const auto name = *router.pickUpstream({}, { group }, {}, random);
        router.onAttemptSent(name, group);
        ++counts[name];
    }
    for (const auto& [name, n] : counts)
        REQUIRE(n == 10);
}

TEST_CASE("Ingresses with the same load reports don't all choose the same upstream", "[routing]")
{
    // Twenty ingresses send two calls each to four half-loaded upstreams, one of which reports a slightly
    // lower load. No upstream may get more than 24 of the 40 calls.
    std::map<std::string, int> counts;
    for (int ingress = 0; ingress < 20; ++ingress) {
        ServiceRouter router({});
        Random random(static_cast<std::uint64_t>(ingress));
        router.setUpstreams(upstreamConfigs(4), {});
        for (int i = 0; i < 4; ++i) {
            router.onAttemptSent("u" + std::to_string(i), group);
            router.onAttemptAnswered(
                "u" + std::to_string(i), group, ownerReport(i == 0 ? 5 : 6, 10ms, {}), 10ms, false, {});
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

TEST_CASE("A slow upstream gets no calls until its report is old", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(4), {});
    for (int i = 0; i < 4; ++i) {
        const auto name = "u" + std::to_string(i);
        router.onAttemptSent(name, group);
        router.onAttemptAnswered(name, group, ownerReport(3, i == 0 ? 100ms : 10ms, {}), 10ms, false, {});
    }
    REQUIRE(countPicks(router, 12, Instant(1ms), random)["u0"] == 0);
    REQUIRE(countPicks(router, 12, Instant(60s), random)["u0"] == 3);
}

TEST_CASE("An upstream that fails fast is ejected for a limited time", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(4), {});
    Instant now {};
    for (int i = 0; i < 10; ++i) {
        router.onAttemptSent("u0", group);
        router.onAttemptAnswered("u0", group, ownerReport(0, 1ms, now, 1), 0ms, true, now);
    }
    REQUIRE(countPicks(router, 100, now + 30ms, random)["u0"] == 0);
    REQUIRE(router.ejection().isEjected(0, now + 30ms));
    REQUIRE_FALSE(router.ejection().isEjected(0, now + 1100ms));
}

TEST_CASE("At most half of the upstreams are ejected, and at least half are candidates", "[routing]")
{
    rc::prop("for any pattern of failing upstreams", [](const std::vector<bool>& isFailing) {
        RC_PRE(!isFailing.empty());
        std::vector<UpstreamView> views;
        for (std::size_t i = 0; i < isFailing.size(); ++i) {
            views.emplace_back("u" + std::to_string(i), 12, 1ms);
            for (int k = 0; k < 5; ++k)
                views.back().onAttemptAnswered(
                    group, ownerReport(0, 1ms, {}, isFailing[i]), isFailing[i], {});
        }
        Ejection ejection({});
        ejection.update(views, {});
        RC_ASSERT(ejection.ejectedCount({}) <= isFailing.size() / 2);
        std::vector<std::size_t> out;
        ejection.collectCandidates(views, {}, {}, out);
        RC_ASSERT(2 * out.size() >= isFailing.size());
    });
}

TEST_CASE("A lost upstream gets no calls during its pause, then one at a time until it answers", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(2), {});
    Instant now {};
    router.onAttemptSent("u0", group);
    router.onAttemptLost("u0", group, now);
    REQUIRE(countPicks(router, 50, now + 500ms, random)["u0"] == 0);
    now += 1100ms;
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i) {
        const auto name = *router.pickUpstream({}, { group }, now, random);
        router.onAttemptSent(name, group);
        ++counts[name];
    }
    REQUIRE(counts["u0"] == 1);
    router.onAttemptAnswered("u0", group, ownerReport(0, 10ms, now), 10ms, false, now);
    REQUIRE(countPicks(router, 50, now + 10s, random)["u0"] > 0);
}

TEST_CASE(
    "If all upstreams are lost or leaving, the lost ones are used and the leaving ones are not", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(3), {});
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

TEST_CASE("A leaving upstream gets no calls until it stops leaving or the timeout has passed", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(2), {});
    router.setLeaving("u0", true, {});
    REQUIRE(countPicks(router, 50, Instant(1s), random)["u0"] == 0);
    router.setLeaving("u0", false, Instant(1s));
    REQUIRE(countPicks(router, 50, Instant(10s), random)["u0"] > 0);
    router.setLeaving("u0", true, Instant(10s));
    REQUIRE(countPicks(router, 50, Instant(16s), random)["u0"] > 0);
}

TEST_CASE("The slot time that a group used on other upstreams is reported once to each owner", "[routing]")
{
    ServiceRouter router({});
    router.setUpstreams(upstreamConfigs(2), {});
    REQUIRE(router.onAttemptSent("u0", group) == 0us);
    router.onAttemptAnswered("u0", group, ownerReport(0, 10ms, {}), 10ms, false, {});
    REQUIRE(router.onAttemptSent("u1", group) == 0us); // no earlier call to u1 to count from
    router.onAttemptAnswered("u1", group, ownerReport(0, 10ms, {}), 7ms, false, {});
    REQUIRE(router.onAttemptSent("u0", group) == 7ms);
    REQUIRE(router.onAttemptSent("u0", group) == 0us);
    REQUIRE(router.onAttemptSent("u1", group) == 0us);
}

TEST_CASE("Retries stay within the burst and a fraction of first attempts", "[routing]")
{
    rc::prop("in any order", [](const std::vector<bool>& isRetry) {
        RetryBudget budget(0.1, 3);
        double firstAttempts = 0;
        double retries = 0;
        for (const bool it : isRetry) {
            if (it) {
                retries += budget.trySpend(RetryPriority::Outside, {});
            } else {
                budget.recordFirstAttempt();
                ++firstAttempts;
            }
            RC_ASSERT(retries <= 3 + 0.1 * firstAttempts + 1e-9);
        }
    });
}

TEST_CASE("Retries of all nodes stay within the bound of the deployment while nodes restart", "[routing]")
{
    rc::prop("for any sequence of calls, retries and restarts", [] {
        enum class Step { Request, Retry, ReturnRetry, Restart };
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
        const double ratio = *rc::gen::inRange(0, 50) / 100.0;
        const double slack = static_cast<double>(nodes) * *rc::gen::inRange(2, 8);
        const auto newBudget = [&] { return RetryBudget(nodeRetryFraction(ratio), minRetryBurst); };
        std::vector<RetryBudget> budgets;
        for (std::size_t i = 0; i < nodes; ++i)
            budgets.emplace_back(nodeRetryFraction(ratio), nodeRetryBurst(slack, nodes));
        std::vector<bool> hasRestarted(nodes);
        std::vector<double> pending(nodes);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::size_t>(0, nodes)));
        double requests = 0;
        double sentRetries = 0;
        for (const auto& [stepNumber, i] : steps) {
            const auto step = static_cast<Step>(stepNumber);
            if (step == Step::Request) {
                ++requests;
                budgets[i].recordFirstAttempt();
            } else if (step == Step::Retry) {
                const bool isPaid = budgets[i].trySpend(static_cast<RetryPriority>(steps.size() % 3), {});
                sentRetries += isPaid;
                pending[i] += isPaid;
            } else if (step == Step::ReturnRetry && pending[i] > 0) {
                budgets[i].charge(-1);
                --sentRetries;
                --pending[i];
            } else if (step == Step::Restart && !hasRestarted[i]) {
                hasRestarted[i] = true;
                budgets[i] = newBudget();
                budgets[i].setBounds(nodeRetryFraction(ratio), nodeRetryBurst(slack, nodes));
                pending[i] = 0;
            }
            RC_ASSERT(sentRetries <= ratio * requests + slack + 1e-9);
        }
    });
}

// Guards against a refused nested call that finds the retry budget empty because retries of calls from
// outside and hedged requests have spent each token as soon as it was earned.
TEST_CASE("After a retry is denied, earned tokens are reserved for its priority and higher ones", "[routing]")
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

TEST_CASE("Changing the bounds of a retry budget adds no retries", "[routing]")
{
    ServiceRouter router({ .retryFraction = 0, .retryBurst = 3 });
    const auto spend = [&](int n) {
        int spent = 0;
        for (int i = 0; i < n; ++i)
            spent += router.trySpendRetry(group, RetryPriority::Outside, {});
        return spent;
    };
    REQUIRE(spend(2) == 2);
    router.setRetryBurst(2); // a node joins
    router.setRetryBurst(3); // and leaves again
    REQUIRE(spend(5) == 1);
    router.setRetryFraction(0.5);
    REQUIRE(spend(5) == 0);
    router.recordFirstAttempt(group);
    router.recordFirstAttempt(group);
    REQUIRE(spend(5) == 1);
}

TEST_CASE("Subsets load upstreams evenly and change little when an upstream or ingress is added or removed",
    "[routing]")
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

TEST_CASE("An upstream with late answers is paused, but used if no other is left", "[routing]")
{
    ServiceRouter router({});
    Random random(1);
    router.setUpstreams(upstreamConfigs(2), {});
    for (int i = 0; i < 3; ++i) {
        router.onAttemptSent("u0", group);
        router.onAttemptLate("u0", {});
    }
    REQUIRE(countPicks(router, 20, {}, random)["u0"] == 0);
    const std::vector<std::string> other { "u1" };
    REQUIRE(router.pickUpstream(other, { group }, {}, random) == "u0");
    REQUIRE(countPicks(router, 20, Instant(900ms), random)["u0"] == 0);
    for (int i = 0; i < 3; ++i)
        router.onAttemptAbandoned("u0", group);
    REQUIRE(countPicks(router, 20, Instant(1100ms), random)["u0"] == 1);
}

TEST_CASE("The hedge delay exceeds nearly all latencies and is never below five milliseconds", "[routing]")
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
