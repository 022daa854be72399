#include "support/RatesModel.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

/// \file Tests the distributed rate limits of groups: how many calls run in any window, and how many calls
/// below the rate are refused.

using namespace robinrun;
using support::RatesModel;

namespace {

constexpr std::size_t hostCount = 74;

/// \brief Generates calls of groups at the nodes of a model, with exponentially distributed gaps.
class CallGenerator {
public:
    CallGenerator(RatesModel& model, std::uint64_t seed)
        : m_model(&model)
        , m_random(seed)
    {
    }

    /// \brief Runs the model for \a length, with \a perSecond calls of \a group spread over \a count nodes
    /// from index \a first on.
    void generate(
        const std::string& group, double perSecond, std::size_t first, std::size_t count, Duration length)
    {
        const auto end = m_model->now + length;
        while (m_model->now < end) {
            m_model->step();
            m_pendingCalls += perSecond * 0.001 * -std::log(1 - m_random.unit());
            for (; m_pendingCalls >= 1; --m_pendingCalls) {
                const auto i = first + m_random.below(count);
                if (!m_model->nodes[i].isFrozen)
                    m_model->startCall(i, group);
            }
        }
    }

private:
    RatesModel* m_model;
    Random m_random;
    double m_pendingCalls = 0;
};

} // namespace

TEST_CASE("A group never exceeds its tolerated rate in any window under random faults", "[rates]")
{
    rc::prop("message loss, partitions, restarts, frozen nodes and changing demand", [] {
        const GroupRate rate { *rc::gen::element(0.0, 2.0, 20.0, 100.0) + 0.5,
            *rc::gen::element(0.0, 2.0, 100.0) };
        const auto nodeCount = *rc::gen::inRange<std::size_t>(1, 12);
        RatesModel model(nodeCount, { { "g", rate } }, *rc::gen::inRange(1, 1000));
        model.lossProbability = *rc::gen::element(0.0, 0.05, 0.5);
        model.maxJitterFraction = *rc::gen::element(0.3, 100.0);
        model.refusedFraction = *rc::gen::element(0.0, 0.3);
        CallGenerator generator(model, *rc::gen::inRange(1, 1000));
        const auto faults = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 8));
        for (const auto fault : faults) {
            const auto i = model.random.below(nodeCount);
            auto& node = model.nodes[i];
            if (fault == 0)
                model.restartNode(i);
            if (fault == 1)
                node.partition = 1 - node.partition;
            if (fault == 2)
                node.isFrozen = !node.isFrozen;
            if (fault == 3) {
                for (auto& it : model.nodes)
                    it.partition = 0;
            }
            generator.generate(
                "g", *rc::gen::element(0.5, 1.5, 7.0) * rate.callsPerSecond, 0, nodeCount, 700ms);
        }
        RC_ASSERT(double(model.maxRunsInWindow("g")) <= model.tolerance.maxCallsPerWindow(rate));
    });
}

TEST_CASE("Repeated restarts of all nodes do not allow another burst", "[rates]")
{
    const GroupRate rate { 20, 20 };
    RatesModel model(8, { { "g", rate } }, 3);
    CallGenerator generator(model, 4);
    generator.generate("g", 10, 0, 8, 5s);
    for (int k = 0; k < 4; ++k) {
        for (std::size_t i = 0; i < 8; ++i)
            model.restartNode(i);
        generator.generate("g", 140, 0, 8, 1s);
    }
    REQUIRE(double(model.maxRunsInWindow("g")) <= model.tolerance.maxCallsPerWindow(rate));
}

TEST_CASE("Nearly no call of a group below its rate is refused, for large and small rates", "[rates]")
{
    for (const double perSecond : { 189.0, 20.0, 1.6 }) {
        const GroupRate rate { perSecond, perSecond };
        RatesModel model(hostCount, { { "g", rate } }, 5);
        CallGenerator generator(model, 6);
        // The calls of a small group come in at few hosts.
        const auto hostsUsed = std::clamp<std::size_t>(static_cast<std::size_t>(perSecond), 2, hostCount);
        generator.generate("g", perSecond / 1.6, 0, hostsUsed, 12s);
        const auto refusedBefore = model.refusedCounts["g"];
        const auto callsBefore = model.callCounts["g"];
        generator.generate("g", perSecond / 1.6, 0, hostsUsed, 20s);
        CAPTURE(perSecond);
        REQUIRE(double(model.refusedCounts["g"] - refusedBefore)
            <= 0.005 * double(model.callCounts["g"] - callsBefore));
    }
}

TEST_CASE(
    "A group gets its full rate soon after its calls concentrate on few hosts or move to others", "[rates]")
{
    const GroupRate rate { 100, 100 };
    RatesModel model(hostCount, { { "g", rate } }, 7);
    CallGenerator generator(model, 8);
    generator.generate("g", 60, 20, 50, 10s);
    generator.generate("g", 400, 0, 3, 4s); // Uses up the burst and lets the call rates adapt.
    auto measuredFrom = model.now;
    generator.generate("g", 400, 0, 3, 4s);
    REQUIRE(double(model.runsSince("g", measuredFrom)) >= 0.95 * 4 * rate.callsPerSecond);
    generator.generate("g", 400, 40, 20, 2s);
    measuredFrom = model.now;
    generator.generate("g", 400, 40, 20, 4s);
    REQUIRE(double(model.runsSince("g", measuredFrom)) >= 0.95 * 4 * rate.callsPerSecond);
    REQUIRE(double(model.maxRunsInWindow("g")) <= model.tolerance.maxCallsPerWindow(rate));
}

TEST_CASE("A group far above its rate is limited to it, and causes few messages", "[rates]")
{
    const GroupRate rate { 180, 180 };
    RatesModel model(hostCount, { { "g", rate } }, 9);
    CallGenerator generator(model, 10);
    generator.generate("g", 112, 0, hostCount, 6s);
    const auto sentBefore = model.sentMessages;
    generator.generate("g", 840, 0, hostCount, 8s);
    REQUIRE(double(model.maxRunsInWindow("g")) <= model.tolerance.maxCallsPerWindow(rate));
    REQUIRE(double(model.runsSince("g", model.now - 6s)) >= 0.9 * 6 * rate.callsPerSecond);
    // Requests and grants per node and second.
    REQUIRE(double(model.sentMessages - sentBefore) / 8 / hostCount <= 30);
}

TEST_CASE("The loss of a lender refuses few calls of a group below its rate", "[rates]")
{
    const GroupRate rate { 100, 100 };
    RatesModel model(hostCount, { { "g", rate } }, 11);
    CallGenerator generator(model, 12);
    generator.generate("g", 60, 0, hostCount, 8s);
    LenderAssignment homes;
    homes.setNodes(model.nodeCapacities());
    const auto& lender = homes.lenderOf("g", 0);
    for (auto& it : model.nodes)
        it.isFrozen = it.name == lender;
    generator.generate("g", 60, 0, hostCount, 500ms);
    const auto callsBefore = model.callCounts["g"];
    const auto refusedBefore = model.refusedCounts["g"];
    generator.generate("g", 60, 0, hostCount, 6s);
    REQUIRE(double(model.refusedCounts["g"] - refusedBefore)
        <= 0.05 * double(model.callCounts["g"] - callsBefore));
}

// Guards against two lenders of one part that together exceed the tolerance while a partition lasts and
// after.
TEST_CASE("A group never exceeds its tolerated rate while lenders are succeeded and come back", "[rates]")
{
    rc::prop("partitions of several lengths, with demand on both sides", [] {
        const GroupRate rate { *rc::gen::element(1.6, 20.0, 45.0, 180.0), *rc::gen::element(0.0, 20.0) };
        constexpr std::size_t n = 12;
        constexpr std::size_t cutCount = 5;
        RatesModel model(n, { { "g", rate } }, *rc::gen::inRange(1, 1000));
        CallGenerator generator(model, *rc::gen::inRange(1, 1000));
        const double demand = *rc::gen::element(0.8, 2.0, 6.0) * rate.callsPerSecond;
        generator.generate("g", *rc::gen::element(0.0, 1.0) * demand, 0, n, 4s);
        const auto isCut = [](std::size_t i) { return i < cutCount; };
        for (std::size_t i = 0; i < n; ++i)
            model.nodes[i].partition = isCut(i) ? 1 : 0;
        generator.generate("g", demand, 0, n, 1500ms);
        // The smaller side notices that its contacts are lost, and after a while that it may be succeeded.
        for (std::size_t i = 0; i < cutCount; ++i)
            model.nodes[i].limiter->setReachableFraction(double(cutCount) / n);
        generator.generate("g", demand, 0, n, 3s);
        for (std::size_t i = 0; i < cutCount; ++i)
            model.nodes[i].limiter->setMayBeSucceeded(true);
        generator.generate("g", demand, 0, n, 500ms);
        auto left = model.nodeCapacities();
        left.erase(left.begin(), left.begin() + cutCount);
        for (std::size_t i = cutCount; i < n; ++i)
            model.nodes[i].limiter->setNodes(left);
        generator.generate("g", demand, 0, n, *rc::gen::element(500ms, 3s, 9s));
        // The sides meet: those that were cut off take their marks back, and the others hear of it.
        for (std::size_t i = 0; i < n; ++i)
            model.nodes[i].partition = 0;
        for (std::size_t i = 0; i < cutCount; ++i) {
            model.nodes[i].limiter->restartLending();
            model.nodes[i].limiter->setReachableFraction(1);
            model.nodes[i].limiter->setMayBeSucceeded(false);
        }
        generator.generate("g", demand, 0, n, 50ms);
        for (std::size_t i = cutCount; i < n; ++i)
            model.nodes[i].limiter->setNodes(model.nodeCapacities());
        generator.generate("g", demand, 0, n, 6s);
        RC_ASSERT(double(model.maxRunsInWindow("g")) <= model.tolerance.maxCallsPerWindow(rate));
    });
}

TEST_CASE("A lender is silent once it has left requests of the timeout without an answer", "[rates]")
{
    const GroupRate rate { 20, 20 };
    RatesModel model(4, { { "g", rate } }, 19);
    CallGenerator generator(model, 20);
    generator.generate("g", 12, 0, 4, 5s);
    LenderAssignment homes;
    homes.setNodes(model.nodeCapacities());
    const auto lender = homes.lenderOf("g", 0);
    for (auto& it : model.nodes)
        it.isFrozen = it.name == lender;
    generator.generate("g", 12, 0, 4, 2s);
    for (const auto& it : model.nodes)
        REQUIRE(it.limiter->silentLenders(3s, model.now).empty());
    generator.generate("g", 12, 0, 4, 2500ms);
    std::size_t noticedBy = 0;
    for (const auto& it : model.nodes) {
        const auto silent = it.limiter->silentLenders(3s, model.now);
        noticedBy += silent == std::vector<std::string> { lender } ? 1 : 0;
        REQUIRE(silent.size() <= 1);
    }
    REQUIRE(noticedBy > 0);
    // Without calls nobody asks, and what was seen of the lender says nothing of it any more.
    generator.generate("g", 0, 0, 4, 8s);
    for (const auto& it : model.nodes)
        REQUIRE(it.limiter->silentLenders(3s, model.now).empty());
    generator.generate("g", 12, 0, 4, 4500ms);
    for (auto& it : model.nodes) {
        it.limiter->onLenderHeard(lender);
        REQUIRE(it.limiter->silentLenders(3s, model.now).empty());
        it.isFrozen = false;
    }
    generator.generate("g", 12, 0, 4, 1s);
    for (const auto& it : model.nodes)
        REQUIRE(it.limiter->silentLenders(3s, model.now).empty());
}

TEST_CASE("A part whose lender is lost is lent again by its successor", "[rates]")
{
    for (const double perSecond : { 1.6, 20.0, 180.0 }) {
        const GroupRate rate { perSecond, perSecond };
        RatesModel model(hostCount, { { "g", rate } }, 17);
        CallGenerator generator(model, 18);
        generator.generate("g", perSecond / 1.6, 8, hostCount - 8, 8s);
        LenderAssignment homes;
        homes.setNodes(model.nodeCapacities());
        auto left = model.nodeCapacities();
        for (std::uint32_t part = 0; part < ratePartCount(rate); ++part) {
            const auto lost = homes.lenderOf("g", part);
            for (auto& it : model.nodes)
                it.isFrozen = it.isFrozen || it.name == lost;
            std::erase_if(left, [&](const auto& it) { return it.name == lost; });
        }
        generator.generate("g", perSecond / 1.6, 8, hostCount - 8, 5s);
        for (auto& it : model.nodes)
            it.limiter->setNodes(left);
        generator.generate("g", perSecond / 1.6, 8, hostCount - 8, 3s);
        const auto callsBefore = model.callCounts["g"];
        const auto refusedBefore = model.refusedCounts["g"];
        generator.generate("g", perSecond / 1.6, 8, hostCount - 8, 20s);
        CAPTURE(perSecond);
        REQUIRE(double(model.refusedCounts["g"] - refusedBefore)
            <= 0.02 * double(model.callCounts["g"] - callsBefore));
    }
}

// Guards against groups that get nothing at the hosts that ask the lost lender first.
TEST_CASE("A lender whose link can't be opened counts as silent and the other one is asked", "[rates]")
{
    const GroupRate rate { 1.6, 1.6 };
    RatesModel model(hostCount, { { "g", rate } }, 13);
    CallGenerator generator(model, 14);
    generator.generate("g", 1, 0, hostCount, 8s);
    LenderAssignment homes;
    homes.setNodes(model.nodeCapacities());
    for (auto& it : model.nodes)
        it.isConnecting = it.name == homes.lenderOf("g", 0);
    generator.generate("g", 1, 0, hostCount, 5s);
    const auto from = model.now;
    generator.generate("g", 1, 0, hostCount, 60s);
    const double leftRate = rate.callsPerSecond / 2; // Of the lender that is left.
    REQUIRE(double(model.runsSince("g", from)) >= 0.9 * leftRate * 60);
}

// Guards against credits that are thrown away since they answer an earlier request than the last one.
TEST_CASE("Credits that come later than the next request still count", "[rates]")
{
    const GroupRate rate { 20, 20 };
    RatesModel model(hostCount, { { "g", rate } }, 15);
    model.oneWayDelay = 200ms; // The answer takes longer than the interval between requests.
    CallGenerator generator(model, 16);
    generator.generate("g", 10, 20, 2, 10s);
    const auto from = model.now;
    const auto callsBefore = model.callCounts["g"];
    generator.generate("g", 10, 20, 2, 20s);
    const auto calls = double(model.callCounts["g"] - callsBefore);
    CAPTURE(calls);
    REQUIRE(double(model.runsSince("g", from)) >= 0.25 * calls);
}

TEST_CASE(
    "Nodes with the same view assign the same lenders, and only the parts of a lost node move", "[rates]")
{
    LenderAssignment a;
    LenderAssignment b;
    std::vector<LenderAssignment::Node> nodes;
    for (std::size_t i = 0; i < 40; ++i)
        nodes.push_back({ "n" + std::to_string(i), 1 });
    a.setNodes(nodes);
    std::reverse(nodes.begin(), nodes.end());
    b.setNodes(nodes);
    std::map<std::string, int> partsPerNode;
    for (int g = 0; g < 100; ++g) {
        for (std::uint32_t part = 0; part < maxRateParts; ++part) {
            const auto name = "g" + std::to_string(g);
            REQUIRE(a.lenderOf(name, part) == b.lenderOf(name, part));
            ++partsPerNode[a.lenderOf(name, part)];
        }
    }
    REQUIRE(partsPerNode.size() == 40);
    const auto lostNode = a.lenderOf("g0", 0);
    std::erase_if(nodes, [&](const auto& it) { return it.name == lostNode; });
    b.setNodes(nodes);
    for (int g = 0; g < 100; ++g) {
        const auto name = "g" + std::to_string(g);
        REQUIRE((a.lenderOf(name, 0) == b.lenderOf(name, 0) || a.lenderOf(name, 0) == lostNode));
    }
    for (std::size_t i = 0; i < 8; ++i)
        nodes[i].capacity = 5; // More capacity than the other nodes.
    b.setNodes(nodes);
    for (int g = 0; g < 40; ++g) {
        const auto& lender = b.lenderOf("g" + std::to_string(g), 1);
        REQUIRE(
            std::any_of(nodes.begin(), nodes.begin() + 8, [&](const auto& it) { return it.name == lender; }));
    }
    b.setNodes({});
    REQUIRE(b.lenderOf("g0", 0).empty());
}

TEST_CASE(
    "A lender ignores reports of more credits than it lent and reports of an earlier generation", "[rates]")
{
    CreditLender lender { RateTolerance {} };
    const GroupRate rate { 40, 40 };
    const auto report
        = [](std::uint64_t opened, std::uint64_t used, std::uint64_t returned, std::uint32_t wanted) {
              proto::CreditAccount out;
              out.set_group("g");
              out.set_opened(opened);
              out.set_used(used);
              out.set_returned(returned);
              out.set_wanted(wanted);
              return out;
          };
    Instant now { 100s };
    (void)lender.lendCredits(1, report(1, 0, 0, 0), rate, now);
    now += 1s;
    const auto lent = lender.lendCredits(1, report(1, 0, 0, 5), rate, now).lent();
    REQUIRE(lent == 5);
    REQUIRE(lender.outstandingCredits() == 5);
    REQUIRE(lender.lendCredits(1, report(1, 0, 9, 5), rate, now).lent() == 5); // Only five were lent.
    REQUIRE(lender.outstandingCredits() == 5);
    REQUIRE(lender.lendCredits(1, report(1, 2, 3, 0), rate, now).lent() == 5);
    REQUIRE(lender.outstandingCredits() == 0);
    REQUIRE(lender.lendCredits(1, report(2, 0, 0, 4), rate, now).lent() == 4);
    REQUIRE(lender.lendCredits(1, report(1, 2, 3, 9), rate, now).opened() == 2); // A delayed report.
    REQUIRE(lender.outstandingCredits() == 4);
    now += 5s; // Longer than the credit lifetime.
    lender.closeSilentAccounts(now);
    REQUIRE(lender.outstandingCredits() == 0);
    REQUIRE(lender.accountCount() == 0);
}
