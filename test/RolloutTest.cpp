#include "Rollout/RolloutJudge.h"
#include "Rollout/RolloutTable.h"
#include "Rollout/ServerVersions.h"
#include "Rollout/VersionComparison.h"
#include "support/RolloutModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

/// \file Decisions on roll-outs of a version: the comparison of two versions, the phases of an order, and the
/// bound on the calls that a faulty version gets over all nodes.

using namespace robinrun;
using support::RolloutModel;

namespace {

const Instant start { 100s };

RolloutOrder makeOrder(const std::string& version, std::uint64_t offset)
{
    return { "shop", version, 15s, { 1, offset } };
}

/// \brief Reads records whose key is "rollout/SERVICE" and whose value is the version.
RolloutTable::Parsers makeParsers(std::vector<std::string>& unreadable)
{
    return { [](std::string_view key) -> std::optional<std::string> {
                if (!key.starts_with("rollout/"))
                    return std::nullopt;
                return std::string(key.substr(8));
            },
        [](const std::string& service, std::string_view text) -> Result<RolloutOrder, std::string> {
            if (text == "bad")
                return failure(std::string("target_version: is missing"));
            return RolloutOrder { service, std::string(text), 15s, {} };
        },
        [&](const std::string& service, const std::string& error) {
            unreadable.push_back(service + ": " + error);
        } };
}

KeyedPage makePage(std::vector<KeyedRecord> records, StorePosition next, bool isWhole = false)
{
    return { std::move(records), next, 0, isWhole };
}

RouteCounts makeCounts(std::uint64_t answers, std::uint64_t failures, double seconds)
{
    RouteCounts out;
    out.answers = answers;
    out.failures = failures;
    const auto good = static_cast<double>(answers - failures);
    const double logSeconds = std::log(seconds);
    out.logSeconds = good * logSeconds;
    out.logSecondsSquare = good * (logSeconds * logSeconds + 0.3);
    return out;
}

/// \returns the counts of \a n servers with the same \a counts of one route.
std::vector<ServerCounts> makeServers(std::size_t n, const RouteCounts& counts)
{
    return std::vector<ServerCounts>(n, ServerCounts { { "read", counts } });
}

struct Cell {
    const char* name;
    RolloutModel::Options options;
};

RolloutModel::Options faulty(RolloutModel::Fault fault, double callsPerSecond, std::size_t nodes = 60)
{
    RolloutModel::Options out;
    out.fault = fault;
    out.callsPerSecond = callsPerSecond;
    out.nodes = nodes;
    return out;
}

} // namespace

TEST_CASE("A version that fails, or takes a multiple of the time, is worse; chance is not", "[rollout]")
{
    const auto former = makeServers(20, makeCounts(50, 0, 0.25));
    REQUIRE(compareVersions(former, {}).verdict == VersionVerdict::Undecided);
    REQUIRE(
        compareVersions(former, makeServers(4, makeCounts(1, 0, 0.25))).verdict == VersionVerdict::Undecided);
    REQUIRE(compareVersions(former, makeServers(4, makeCounts(10, 0, 0.25))).verdict
        == VersionVerdict::Comparable);
    const auto failing = compareVersions(former, makeServers(4, makeCounts(10, 5, 0.25)));
    REQUIRE(failing.verdict == VersionVerdict::Worse);
    REQUIRE(failing.cause.find("failures") != std::string::npos);
    const auto slow = compareVersions(former, makeServers(4, makeCounts(10, 0, 1.0)));
    REQUIRE(slow.verdict == VersionVerdict::Worse);
    REQUIRE(slow.cause.find("time") != std::string::npos);
    REQUIRE(compareVersions(former, makeServers(4, makeCounts(10, 0, 0.3))).verdict
        == VersionVerdict::Comparable);
}

TEST_CASE("Failures of both versions, as in an outage of what they call, make neither worse", "[rollout]")
{
    const auto former = makeServers(20, makeCounts(50, 20, 0.25));
    REQUIRE(compareVersions(former, makeServers(4, makeCounts(20, 8, 0.25))).verdict
        == VersionVerdict::Comparable);
}

TEST_CASE("The fault of one server is not a fault of its version, unless it is the only one", "[rollout]")
{
    const auto former = makeServers(20, makeCounts(50, 0, 0.25));
    auto target = makeServers(3, makeCounts(10, 0, 0.25));
    target.push_back({ { "read", makeCounts(20, 16, 0.25) } });
    REQUIRE(compareVersions(former, target).verdict == VersionVerdict::Comparable);
    // Too few calls of the others to tell.
    auto thin = makeServers(3, makeCounts(4, 0, 0.25));
    thin.push_back({ { "read", makeCounts(20, 16, 0.25) } });
    REQUIRE(compareVersions(former, thin).verdict == VersionVerdict::Suspect);
    REQUIRE(
        compareVersions(former, makeServers(1, makeCounts(20, 16, 0.25))).verdict == VersionVerdict::Worse);
}

TEST_CASE("Runs that were given up late count as failures of a slow version, early ones do not", "[rollout]")
{
    const auto former = makeServers(20, makeCounts(50, 0, 0.25));
    RouteCounts late;
    late.cutOff = 5;
    late.cutOffLogSeconds = 5 * std::log(1.5);
    REQUIRE(compareVersions(former, makeServers(4, late)).verdict == VersionVerdict::Worse);
    RouteCounts early;
    early.cutOff = 5;
    early.cutOffLogSeconds = 5 * std::log(0.1);
    REQUIRE(compareVersions(former, makeServers(4, early)).verdict == VersionVerdict::Comparable);
}

TEST_CASE("The newest order of a service is valid, by any path and in any order", "[rollout]")
{
    std::vector<std::string> unreadable;
    const auto parsers = makeParsers(unreadable);
    RolloutTable table;
    REQUIRE(table.applyPage(
        makePage({ { "config", "x", { 1, 4 } }, { "rollout/shop", "v2", { 1, 5 } } }, { 1, 6 }), parsers,
        start));
    REQUIRE(table.find("shop")->order.targetVersion == "v2");
    const auto early = table.records(true, start);
    REQUIRE(
        table.applyPage(makePage({ { "rollout/shop", "v3", { 1, 9 } } }, { 1, 10 }), parsers, start + 2s));
    REQUIRE_FALSE(table.applyRecord(early.records(0), start + 3s));
    REQUIRE(table.find("shop")->order.targetVersion == "v3");
    RolloutTable other;
    REQUIRE(other.applyRecord(table.records(true, start + 4s).records(0), start + 4s));
    REQUIRE(other.find("shop")->orderedAt == start + 2s);
    REQUIRE_FALSE(
        table.applyPage(makePage({ { "rollout/shop", "bad", { 1, 11 } } }, { 1, 12 }), parsers, start));
    REQUIRE(unreadable == std::vector<std::string> { "shop: target_version: is missing" });
    REQUIRE(table.find("shop")->order.targetVersion == "v3");
}

TEST_CASE("An order that is withdrawn, or is missing in a whole page, is rolled back", "[rollout]")
{
    std::vector<std::string> unreadable;
    const auto parsers = makeParsers(unreadable);
    const auto order = makePage({ { "rollout/shop", "v2", { 1, 5 } } }, { 1, 6 });
    RolloutTable table;
    table.applyPage(order, parsers, start);
    REQUIRE(table.applyPage(makePage({ { "rollout/shop", "", { 1, 8 } } }, { 1, 9 }), parsers, start));
    REQUIRE(table.find("shop")->phase == RolloutPhase::RolledBack);
    RolloutTable other;
    other.applyPage(order, parsers, start);
    // A page of before the order, and one of another era of the store, say nothing of it.
    REQUIRE_FALSE(other.applyPage(makePage({}, { 1, 4 }, true), parsers, start));
    REQUIRE_FALSE(other.applyPage(makePage({}, { 2, 9 }, true), parsers, start));
    REQUIRE(other.applyPage(makePage({}, { 1, 9 }, true), parsers, start));
    REQUIRE(other.find("shop")->phase == RolloutPhase::RolledBack);
}

TEST_CASE("An order that is read again from a store restored from a copy keeps its phase", "[rollout]")
{
    std::vector<std::string> unreadable;
    const auto parsers = makeParsers(unreadable);
    RolloutTable table;
    table.applyPage(makePage({ { "rollout/shop", "v2", { 1, 5 } } }, { 1, 6 }), parsers, start);
    table.advance(table.find("shop")->order.id(), RolloutPhase::RolledBack, "failures", start + 3s);
    REQUIRE_FALSE(table.applyPage(
        makePage({ { "rollout/shop", "v2", { 2, 5 } } }, { 2, 6 }, true), parsers, start + 9s));
    REQUIRE(table.find("shop")->phase == RolloutPhase::RolledBack);
    REQUIRE(table.find("shop")->order.position.era == 2);
}

TEST_CASE(
    "The status of a roll-out is due again after the store was restored from an older copy", "[rollout]")
{
    std::vector<std::string> unreadable;
    RolloutTable table;
    table.applyPage(
        makePage({ { "rollout/shop", "v2", { 1, 5 } } }, { 1, 6 }), makeParsers(unreadable), start);
    const auto id = table.find("shop")->order.id();
    table.advance(id, RolloutPhase::RolledBack, "failures", start);
    table.setStatusWritten(id, RolloutOutcome::RolledBack, start);
    REQUIRE_FALSE(table.hasRunning());
    table.forgetWrittenStatus();
    REQUIRE(table.hasRunning());
    REQUIRE(table.find("shop")->phase == RolloutPhase::RolledBack);
}

TEST_CASE("What the store holds of the end of a roll-out counts above what a node has decided", "[rollout]")
{
    std::vector<std::string> unreadable;
    RolloutTable table;
    table.applyPage(
        makePage({ { "rollout/shop", "v2", { 1, 5 } } }, { 1, 6 }), makeParsers(unreadable), start);
    const auto id = table.find("shop")->order.id();
    table.advance(id, RolloutPhase::RolledBack, "failures", start);
    REQUIRE_FALSE(table.find("shop")->isStatusWritten);
    REQUIRE(table.setStatusWritten(id, RolloutOutcome::Completed, start));
    REQUIRE(table.find("shop")->phase == RolloutPhase::Completed);
    REQUIRE_FALSE(table.advance(id, RolloutPhase::RolledBack, "failures", start));
    REQUIRE(table.findRestricting("shop", start + 1s));
    REQUIRE_FALSE(table.findRestricting("shop", start + 1min));
}

TEST_CASE("All nodes reach the same roll-out whatever messages are lost, late or doubled", "[rollout]")
{
    rc::prop("merge", [](const std::vector<std::uint8_t>& steps) {
        std::vector<std::string> unreadable;
        const auto parsers = makeParsers(unreadable);
        std::vector<RolloutTable> nodes(3);
        std::vector<proto::RolloutRecords> sent;
        std::uint64_t offset = 1;
        Instant now = start;
        for (const auto step : steps) {
            now += 100ms;
            auto& node = nodes[step % 3];
            const auto action = (step / 3) % 5;
            const auto* entry = node.find("shop");
            if (action == 0)
                node.applyPage(makePage({ { "rollout/shop", "v" + std::to_string(offset), { 1, offset } } },
                                   { 1, offset + 1 }),
                    parsers, now),
                    ++offset;
            else if (action == 1 && entry)
                node.advance(entry->order.id(), static_cast<RolloutPhase>((step / 15) % 4), "", now);
            else if (action == 2)
                sent.push_back(node.records(true, now));
            else if (!sent.empty()) {
                const auto before = entry ? std::optional(*entry) : std::nullopt;
                for (const auto& it : sent[(step / 15) % sent.size()].records())
                    node.applyRecord(it, now);
                const auto* after = node.find("shop");
                if (before && before->order.id() == after->order.id())
                    RC_ASSERT(after->phase >= before->phase);
                if (before)
                    RC_ASSERT(after->order.position >= before->order.position);
            }
        }
        for (int round = 0; round < 2; ++round) {
            for (auto& from : nodes) {
                for (auto& to : nodes) {
                    const auto records = from.records(true, now);
                    for (const auto& it : records.records())
                        to.applyRecord(it, now);
                }
            }
        }
        for (const auto& it : nodes) {
            const auto* a = nodes.front().find("shop");
            const auto* b = it.find("shop");
            RC_ASSERT((a == nullptr) == (b == nullptr));
            const bool isSame = !a || (a->order.id() == b->order.id() && a->phase == b->phase);
            RC_ASSERT(isSame);
        }
    });
}

TEST_CASE("Calls go to the servers of the version that they were drawn for", "[rollout]")
{
    RolloutTable::Entry entry;
    entry.order = makeOrder("v2", 5);
    entry.observedShare = 0.05;
    std::vector<std::pair<std::string, std::string>> servers;
    for (int i = 0; i < 20; ++i)
        servers.emplace_back("a" + std::to_string(i), "v1");
    for (int i = 0; i < 20; ++i)
        servers.emplace_back("b" + std::to_string(i), "v2");
    servers.emplace_back("c", ""); // not known
    const auto versions = ServerVersions::divide(entry, servers);
    REQUIRE(versions.former.size() == 20);
    REQUIRE(versions.target.size() == 21);
    REQUIRE(versions.observed.size() == 4);
    REQUIRE(versions.excluded(RolloutPhase::Observing, false).size() == 21);
    REQUIRE(versions.excluded(RolloutPhase::Observing, true).size() == 20 + 21 - 4);
    REQUIRE(versions.excluded(RolloutPhase::Promoting, true).size() == 20);
}

// Faulty versions of each kind, at thin and dense traffic, seen by few and by many nodes.
TEST_CASE("A faulty version gets no more calls than its bound over all nodes", "[rollout]")
{
    const Cell cells[] = {
        { "half fail", faulty({ 0.5 }, 200) },
        { "half fail, thin traffic", faulty({ 0.5 }, 5) },
        { "half fail, dense traffic", faulty({ 0.5 }, 500, 300) },
        { "half fail, late", faulty({ 0.5, 1, 3s }, 200) },
        { "a fifth fail", faulty({ 0.2 }, 200) },
        { "all fail", faulty({ 1.0 }, 200) },
        { "eight times the time", faulty({ 0, 8 }, 200) },
        { "four times the time, late", faulty({ 0, 4, 3s }, 200) },
        { "half fail under load", faulty({ 0.5, 1, {}, true }, 200) },
        { "half fail on one route", faulty({ 0.5, 1, {}, false, true }, 200) },
        { "half fail, many nodes", faulty({ 0.5 }, 100, 1000) },
    };
    constexpr std::uint64_t seeds = 12;
    for (const auto& it : cells) {
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            const auto outcome = RolloutModel(seed, it.options).run();
            INFO(it.name << ", seed " << seed << ": " << outcome.targetCalls << " of " << outcome.calls
                         << ", " << nameOf(outcome.phase) << " after " << toSeconds(outcome.endedAfter)
                         << " s, " << outcome.cause);
            CHECK_FALSE(outcome.isOverExposed(RolloutModel::bounds));
            CHECK(outcome.phase == RolloutPhase::RolledBack);
            CHECK(outcome.endedAfter < it.options.duration);
        }
    }
}

TEST_CASE("A good version is completed in time, also with a faulty server or lost judges", "[rollout]")
{
    auto oneBadServer = faulty({}, 200);
    oneBadServer.badServers = 1;
    auto lostJudges = faulty({}, 200);
    lostJudges.judgeLossInterval = 700ms;
    auto failing = faulty({}, 200);
    failing.commonFailures = 0.2;
    const Cell cells[] = {
        { "dense traffic", faulty({}, 500, 300) },
        { "usual traffic", faulty({}, 200) },
        { "thin traffic", faulty({}, 10) },
        { "many nodes", faulty({}, 200, 1000) },
        { "one bad server", oneBadServer },
        { "judges are lost", lostJudges },
        { "both versions fail", failing },
    };
    constexpr std::uint64_t seeds = 12;
    for (const auto& it : cells) {
        std::uint64_t completed = 0;
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            const auto outcome = RolloutModel(seed, it.options).run();
            completed += outcome.phase == RolloutPhase::Completed && outcome.endedAfter < it.options.duration;
            UNSCOPED_INFO(it.name << ", seed " << seed << ": " << nameOf(outcome.phase) << " after "
                                  << toSeconds(outcome.endedAfter) << " s, " << outcome.cause);
        }
        CHECK(completed == seeds);
    }
}
