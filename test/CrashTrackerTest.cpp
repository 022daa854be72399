#include "Crashes/CrashTracker.h"
#include "Crashes/CrashDetector.h"
#include "Crashes/RecentSuccesses.h"
#include "support/CrashModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace robinrun;
using robinrun::support::CrashModel;
using Verdict = CrashTracker::Verdict;

namespace {

constexpr ContentId poisonContent = 7;
constexpr ContentId otherPoisonContent = 8;
constexpr ContentId frequentContent = 1000; ///< A call that is always in flight at some server.
constexpr ContentId slowContent = 1001;
constexpr std::size_t maxLateRuns = 3; ///< Runs later than maxPropagationDelay after the third crash.

struct RunningCall {
    ContentId content = 0;
    Duration runTime = 50ms;
    bool hadSucceededBefore = false;
};

/// \brief A tracker and the reports given to it, each with a new id.
struct TrackerFixture {
    CrashTracker tracker;
    Instant now { 1h };
    std::uint64_t lastReportId = 0;

    /// \brief Reports a crash of a server at which the calls \a running ran.
    void reportCrash(const std::vector<RunningCall>& running)
    {
        proto::CrashReport report;
        report.set_id(++lastReportId);
        report.set_at_ms(static_cast<std::uint64_t>(now.time_since_epoch().count() / 1000));
        for (const auto& it : running) {
            auto& suspect = *report.add_suspects();
            suspect.set_content(it.content);
            suspect.set_ran_ms(static_cast<std::uint32_t>(it.runTime.count() / 1000));
            suspect.set_ended_well_before(it.hadSucceededBefore);
        }
        REQUIRE(tracker.addReport(report, now));
        REQUIRE_FALSE(tracker.addReport(report, now)); // A duplicate of the report.
        tracker.updateHolds();
    }

    void reportSuccess(ContentId content)
    {
        if (const auto acquittal = tracker.acquittalOf(content))
            tracker.applyAcquittal(*acquittal);
        tracker.updateHolds();
    }

    Verdict verdict(ContentId content) const { return tracker.verdictOf(content, now); }
};

} // namespace

TEST_CASE("The third crash holds back the content that ran at all three, and no other", "[crash]")
{
    TrackerFixture f;
    for (ContentId i = 0; i < 3; ++i) {
        REQUIRE(f.verdict(poisonContent) == Verdict::Free);
        f.reportCrash({ { poisonContent }, { 100 + i }, { 200 + i } });
        f.now += 1s;
    }
    REQUIRE(f.verdict(poisonContent) == Verdict::Held);
    for (ContentId i = 0; i < 3; ++i)
        REQUIRE(f.verdict(100 + i) == Verdict::Free);
    REQUIRE(f.tracker.holds().size() == 1);
}

TEST_CASE(
    "Simultaneous crashes count as one strike, so that three power failures hold back nothing", "[crash]")
{
    TrackerFixture f;
    for (int i = 0; i < 8; ++i)
        f.reportCrash({ { frequentContent, 150ms }, { slowContent, 900ms } });
    REQUIRE(f.tracker.strikeCount(frequentContent) == 1);
    f.now += 20s;
    f.reportSuccess(frequentContent);
    for (int i = 0; i < 8; ++i)
        f.reportCrash({ { frequentContent, 150ms, true }, { slowContent, 900ms } });
    f.now += 20s;
    f.reportSuccess(frequentContent);
    for (int i = 0; i < 8; ++i)
        f.reportCrash({ { frequentContent, 150ms, true } });
    REQUIRE_FALSE(f.tracker.hasHolds());
}

TEST_CASE("A success clears the strikes before it, not later ones", "[crash]")
{
    TrackerFixture f;
    for (int round = 0; round < 4; ++round) {
        f.reportCrash({ { frequentContent } });
        f.now += 1s;
        f.reportCrash({ { frequentContent } });
        f.now += 1s;
        f.reportSuccess(frequentContent);
        REQUIRE(f.tracker.strikeCount(frequentContent) == 0);
        REQUIRE(f.verdict(frequentContent) == Verdict::Free);
    }
    // From here on the content crashes its servers.
    for (int i = 0; i < 3; ++i) {
        f.reportCrash({ { frequentContent } });
        f.now += 1s;
    }
    REQUIRE(f.verdict(frequentContent) == Verdict::Held);
}

TEST_CASE("A content that succeeded before is held back at the fifth strike instead of the third", "[crash]")
{
    TrackerFixture f;
    for (int i = 0; i < 4; ++i) {
        f.reportCrash({ { frequentContent, 50ms, true } });
        f.now += 1s;
    }
    REQUIRE(f.verdict(frequentContent) == Verdict::Free);
    f.reportCrash({ { frequentContent, 50ms, true } });
    REQUIRE(f.verdict(frequentContent) == Verdict::Held);
}

TEST_CASE("A frequent content is not held back for crashes that another content causes", "[crash]")
{
    TrackerFixture f;
    for (int i = 0; i < 12; ++i) {
        f.reportCrash({ { poisonContent }, { frequentContent, 400ms, true } });
        f.now += 1s;
    }
    REQUIRE(f.verdict(poisonContent) == Verdict::Held);
    REQUIRE(f.verdict(frequentContent) == Verdict::Free);
}

TEST_CASE(
    "Two contents that ran at the same crashes are both held, and a successful trial frees one", "[crash]")
{
    TrackerFixture f;
    for (int i = 0; i < 3; ++i) {
        f.reportCrash({ { poisonContent }, { slowContent } });
        f.now += 1s;
    }
    REQUIRE(f.verdict(poisonContent) == Verdict::Held);
    REQUIRE(f.verdict(slowContent) == Verdict::Held);
    REQUIRE(f.tracker.timeUntilTrial(slowContent, f.now) <= 5s);
    f.now += 5s;
    REQUIRE(f.verdict(slowContent) == Verdict::Trial);
    f.reportSuccess(slowContent);
    REQUIRE(f.verdict(slowContent) == Verdict::Free);
    f.reportCrash({ { poisonContent } });
    f.now += 5s;
    REQUIRE(f.verdict(poisonContent) == Verdict::Held);
    REQUIRE(f.tracker.timeUntilTrial(poisonContent, f.now) > 9min);
}

TEST_CASE("The trials of a held content become rarer with each further crash", "[crash]")
{
    TrackerFixture f;
    for (int i = 0; i < 3; ++i) {
        f.reportCrash({ { poisonContent } });
        f.now += 1s;
    }
    int trials = 0;
    for (const auto end = f.now + 24h; f.now < end; f.now += 1min) {
        f.tracker.forgetOldReports(f.now);
        if (f.verdict(poisonContent) != Verdict::Trial)
            continue;
        ++trials;
        f.reportCrash({ { poisonContent } });
    }
    REQUIRE(trials == 3);
}

TEST_CASE("An acquittal frees a content at every node, also if it arrives before the reports", "[crash]")
{
    TrackerFixture f;
    std::vector<proto::CrashReport> reports;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        proto::CrashReport report;
        report.set_id(i);
        report.set_at_ms(i * 1000);
        report.add_suspects()->set_content(poisonContent);
        reports.push_back(report);
    }
    proto::CrashAcquittal acquittal;
    acquittal.set_content(poisonContent);
    for (const auto& it : reports)
        acquittal.add_reports(it.id());
    for (const auto& it : reports)
        f.tracker.addReport(it, f.now);
    f.tracker.updateHolds();
    REQUIRE(f.verdict(poisonContent) == Verdict::Held);
    REQUIRE(f.tracker.applyAcquittal(acquittal));
    REQUIRE(f.verdict(poisonContent) == Verdict::Free);
    // Another node receives the acquittal before the reports.
    CrashTracker other;
    other.applyAcquittal(acquittal);
    for (const auto& it : reports)
        other.addReport(it, f.now);
    other.updateHolds();
    REQUIRE(other.verdictOf(poisonContent, f.now) == Verdict::Free);
}

TEST_CASE("An acquittal clears all runs of a content in a report, also if it arrives first", "[crash]")
{
    TrackerFixture f;
    proto::CrashAcquittal acquittal;
    acquittal.set_content(frequentContent);
    for (std::uint64_t id = 1; id <= 4; ++id)
        acquittal.add_reports(id);
    f.tracker.applyAcquittal(acquittal);
    for (int i = 0; i < 4; ++i) {
        f.reportCrash({ { frequentContent }, { frequentContent, 80ms }, { frequentContent, 10ms } });
        f.now += 1s;
    }
    REQUIRE(f.tracker.strikeCount(frequentContent) == 0);
    REQUIRE_FALSE(f.tracker.hasHolds());
}

TEST_CASE("A flood of new contents stays within the bound on reports and frees no held content", "[crash]")
{
    TrackerFixture f;
    for (int i = 0; i < 3; ++i) {
        f.reportCrash({ { poisonContent } });
        f.now += 1s;
    }
    for (ContentId i = 0; i < 2000; ++i) {
        f.reportCrash({ { 10'000 + 2 * i }, { 10'001 + 2 * i } });
        f.now += 100ms;
    }
    REQUIRE(f.tracker.reportCount() <= CrashTracker::Options().maxReports);
    REQUIRE(f.verdict(poisonContent) == Verdict::Held);
    REQUIRE(f.tracker.holds().size() == 1);
}

TEST_CASE("Trackers with the same reports and acquittals agree, in whichever order these arrived", "[crash]")
{
    rc::prop("order of reports and acquittals", [] {
        std::vector<proto::CrashReport> reports;
        std::vector<proto::CrashAcquittal> acquittals;
        const auto n = *rc::gen::inRange<std::uint64_t>(1, 8);
        for (std::uint64_t id = 1; id <= n; ++id) {
            proto::CrashReport report;
            report.set_id(id);
            report.set_at_ms(id * 1000);
            for (ContentId content = 1; content <= 3; ++content) {
                if (!*rc::gen::arbitrary<bool>())
                    continue;
                auto& suspect = *report.add_suspects();
                suspect.set_content(content);
                suspect.set_ended_well_before(content == 3);
                if (*rc::gen::inRange(0, 4) == 0) {
                    proto::CrashAcquittal acquittal;
                    acquittal.set_content(content);
                    acquittal.add_reports(id);
                    acquittals.push_back(acquittal);
                }
            }
            reports.push_back(report);
        }
        const auto total = reports.size() + acquittals.size();
        std::vector<std::size_t> order(total);
        for (std::size_t i = 0; i < total; ++i)
            order[i] = i;
        for (std::size_t i = total; i > 1; --i)
            std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
        CrashTracker first;
        CrashTracker second;
        const auto deliver = [&](CrashTracker& tracker, std::size_t i) {
            if (i < reports.size())
                tracker.addReport(reports[i], Instant(1h));
            else
                tracker.applyAcquittal(acquittals[i - reports.size()]);
        };
        for (std::size_t i = 0; i < total; ++i) {
            deliver(first, i);
            deliver(second, order[i]);
        }
        first.updateHolds();
        second.updateHolds();
        for (ContentId content = 1; content <= 3; ++content) {
            const auto a = first.acquittalOf(content);
            const auto b = second.acquittalOf(content);
            RC_ASSERT(first.verdictOf(content, Instant(1h)) == second.verdictOf(content, Instant(1h)));
            RC_ASSERT(a.has_value() == b.has_value());
            if (a)
                RC_ASSERT(a->reports_size() == b->reports_size());
        }
    });
}

TEST_CASE(
    "A request that crashes servers runs only a bounded number of times, and others are served", "[crash]")
{
    const bool isSlow = GENERATE(false, true);
    const int attempts = GENERATE(1, 2, 3);
    rc::prop("lost reports, node restarts, isolated nodes and killed servers", [&](std::uint64_t seed) {
        CrashModel model(seed, {});
        auto& loop = model.loop();
        const Duration duration = isSlow ? 120s : 40s;
        const Duration interval = isSlow ? 4s : 250ms;
        for (auto t = 5s + Duration(0); t < duration; t += interval) {
            loop.at(
                Instant(t), [&model, attempts] { model.sendRequest(poisonContent, std::nullopt, attempts); });
            // The caller repeats the request at another node.
            loop.at(Instant(t + 150ms),
                [&model, attempts] { model.sendRequest(poisonContent, std::nullopt, attempts); });
        }
        for (auto t = Duration(0); t < duration + 10s; t += 20ms)
            loop.at(Instant(t), [&model] { model.sendRequest(frequentContent, 150ms, 2); });
        for (auto t = Duration(0); t < duration + 10s; t += 900ms)
            loop.at(Instant(t), [&model] { model.sendRequest(slowContent, 800ms, 2); });
        auto& random = model.random();
        for (int i = 0; i < 6; ++i) {
            const Instant at { fromSeconds(random.unit() * toSeconds(duration)) };
            loop.at(at, [&model] { model.restartNode(model.random().below(13)); });
            loop.at(at + 1s, [&model] { model.isolateNode(model.random().below(13), 3s); });
        }
        for (int i = 0; i < 3; ++i) {
            // Servers that are killed have restarted before the end of the run.
            const Instant at { fromSeconds(random.unit() * toSeconds(duration - 5s)) };
            loop.at(at,
                [&model, i] { i == 0 ? model.killAllServers() : model.killServer(model.random().below(4)); });
        }
        loop.run(Instant(duration));
        const auto thirdCrash = model.thirdCrashTime(poisonContent);
        // If it also ran at a server that was killed, it may be held after crashing only two servers.
        if (thirdCrash)
            RC_ASSERT(
                model.runsAfter(poisonContent, *thirdCrash + CrashModel::maxPropagationDelay) <= maxLateRuns);
        else
            RC_ASSERT(model.holdingNodeCount(poisonContent) > 0U);
        const auto requestsBefore = model.requestCount(frequentContent);
        const auto successesBefore = model.successCount(frequentContent);
        loop.run(Instant(duration + 10s));
        RC_ASSERT(model.holdingNodeCount(frequentContent) == 0U);
        RC_ASSERT(model.holdingNodeCount(slowContent) == 0U);
        RC_ASSERT(model.successCount(frequentContent) - successesBefore
            >= (model.requestCount(frequentContent) - requestsBefore) * 9 / 10);
    });
}

TEST_CASE(
    "Two requests that crash servers at the same time each run only a bounded number of times", "[crash]")
{
    rc::prop("two crashing requests at once", [](std::uint64_t seed) {
        CrashModel model(seed, {});
        auto& loop = model.loop();
        for (auto t = 5s + Duration(0); t < 60s; t += 400ms) {
            loop.at(Instant(t), [&model] { model.sendRequest(poisonContent, std::nullopt, 2); });
            loop.at(Instant(t + 130ms), [&model] { model.sendRequest(otherPoisonContent, std::nullopt, 2); });
        }
        for (auto t = Duration(0); t < 60s; t += 20ms)
            loop.at(Instant(t), [&model] { model.sendRequest(frequentContent, 150ms, 2); });
        loop.run(Instant(60s));
        for (const auto content : { poisonContent, otherPoisonContent }) {
            const auto thirdCrash = model.thirdCrashTime(content);
            if (thirdCrash)
                RC_ASSERT(
                    model.runsAfter(content, *thirdCrash + CrashModel::maxPropagationDelay) <= maxLateRuns);
        }
        RC_ASSERT(model.holdingNodeCount(frequentContent) == 0U);
    });
}

TEST_CASE(
    "A broken run is a crash if the server then refuses connections or a new incarnation starts", "[crash]")
{
    const Instant at { 10s };
    const std::vector<CrashSuspect> running { { poisonContent, 50ms, false },
        { frequentContent, 10ms, true } };
    CrashDetector detector;
    SECTION("a refused connection after a broken run is a crash")
    {
        detector.onRunBroken(running, at);
        REQUIRE(detector.isBreakUnexplained(at + 1ms));
        const auto suspects = detector.onConnectionRefused(at + 5ms);
        REQUIRE(suspects);
        REQUIRE(suspects->size() == 2);
        REQUIRE_FALSE(detector.onConnectionRefused(at + 6ms)); // An incarnation crashes once.
        REQUIRE_FALSE(detector.onNewIncarnation(at + 2s));
    }
    SECTION("a new incarnation after a broken run is a crash")
    {
        detector.onRunBroken(running, at);
        REQUIRE(detector.onNewIncarnation(at + 2s));
    }
    SECTION("a server that answers after the break has not crashed")
    {
        detector.onRunBroken(running, at);
        detector.onAnswer(at - 1ms); // Sent before the break, so it proves nothing.
        REQUIRE(detector.isBreakUnexplained(at + 1ms));
        detector.onAnswer(at + 1ms);
        REQUIRE_FALSE(detector.isBreakUnexplained(at + 2ms));
        REQUIRE_FALSE(detector.onConnectionRefused(at + 3s));
    }
    SECTION("the crash of an idle server has no suspects")
    {
        REQUIRE_FALSE(detector.onConnectionRefused(at));
    }
    SECTION("a call that was cut off shortly before is a suspect")
    {
        detector.onCallCutOff({ poisonContent, 30ms, false }, at);
        const auto suspects = detector.onConnectionRefused(at + 100ms);
        REQUIRE(suspects);
        REQUIRE(suspects->front().content == poisonContent);
    }
    SECTION("a call that was cut off long before is no suspect")
    {
        detector.onCallCutOff({ poisonContent, 30ms, false }, at);
        REQUIRE_FALSE(detector.onConnectionRefused(at + 2s));
    }
    SECTION("a break that stays unexplained is forgotten")
    {
        detector.onRunBroken(running, at);
        REQUIRE_FALSE(detector.onConnectionRefused(at + 6s));
    }
}

TEST_CASE("Content ids differ if any field or the boundary between two fields differs", "[crash]")
{
    const CallContent content { "g", "GET", "h", "/x", "body" };
    auto other = content;
    const auto differs = [&] {
        const bool out
            = contentIdOf(content) != contentIdOf(other) && quickHashOf(content) != quickHashOf(other);
        other = content;
        return out;
    };
    other.group = "f";
    REQUIRE(differs());
    other.method = "POST";
    REQUIRE(differs());
    other.host = "i";
    REQUIRE(differs());
    other.target = "/y";
    REQUIRE(differs());
    other.body = "";
    REQUIRE(differs());
    other.host = "";
    other.target = "h/x";
    REQUIRE(differs());
    REQUIRE(contentIdOf(content) == contentIdOf(other));
}

TEST_CASE("Successes are remembered for the retention time", "[crash]")
{
    RecentSuccesses successes;
    const Instant at { 1h };
    REQUIRE_FALSE(successes.contains(0, at));
    successes.recordSuccess(5, at);
    REQUIRE(successes.contains(5, at + 1min));
    REQUIRE_FALSE(successes.contains(5 + RecentSuccesses::entryCount, at));
    REQUIRE_FALSE(successes.contains(5, at + 11min));
}
