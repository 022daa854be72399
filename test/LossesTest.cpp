#include "Client/Losses.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace robinrun;

namespace {

std::string line(const std::string& second, const std::string& event, const std::string& rest)
{
    return R"({"time":"2026-12-02T10:11:)" + second + R"(.000Z","level":"info","source":"n1","event":")"
        + event + "\"," + rest + "}\n";
}

/// The lines of one request: route, server's slow-down and the wait there, and the end.
std::string request(const std::string& id, const std::string& second, int slowdownPercent, int queuedMs,
    const std::string& event, const std::string& end)
{
    const auto r = R"("request":")" + id + "\"";
    return line(second, "route-chosen", r + R"(,"target":"cards cardserve","target_ms":400,"nested":0)")
        + line(second, "upstream-chosen", r + R"(,"attempt":1,"upstream":"u1")")
        + line(second, "queued",
            r + R"(,"from":"n2","attempt":1,"slowdown_percent":)" + std::to_string(slowdownPercent))
        + line(second, "backend-answered",
            r + R"(,"from":"n2","attempt":1,"queued_ms":)" + std::to_string(queuedMs))
        + line(second, event, r + "," + end);
}

std::string late(
    const std::string& id, const std::string& second, int slowdownPercent, int queuedMs, int tried = 1)
{
    return request(id, second, slowdownPercent, queuedMs, "request-answered",
        R"("status":200,"total_ms":500,"late":1,"upstreams_tried":)" + std::to_string(tried)
            + R"(,"left_ms":100)");
}

std::string refused(const std::string& id, const std::string& second, const std::string& reason)
{
    return request(
        id, second, 100, 0, "request-refused", R"("reason":")" + reason + R"(","status":503,"total_ms":1)");
}

LossCause onlyCause(const std::string& log)
{
    const auto losses = findLosses({ log }, {}).value();
    REQUIRE(losses.size() == 1);
    return losses.front().cause;
}

} // namespace

TEST_CASE("Each lost call has one cause, by its lines", "[losses]")
{
    REQUIRE(onlyCause(refused("a", "01", "would-be-late")) == LossCause::NoRoom);
    REQUIRE(onlyCause(refused("a", "01", "queue-full")) == LossCause::NoRoom);
    REQUIRE(onlyCause(refused("a", "01", "would-miss-deadline")) == LossCause::Hopeless);
    REQUIRE(onlyCause(refused("a", "01", "crashes-servers")) == LossCause::HeldBack);
    REQUIRE(onlyCause(refused("a", "01", "no-upstream")) == LossCause::NoUpstream);
    REQUIRE(onlyCause(refused("a", "01", "leaving")) == LossCause::NotReady);
    REQUIRE(onlyCause(late("a", "01", 100, 60)) == LossCause::LateWaited);
    REQUIRE(onlyCause(late("a", "01", 400, 40)) == LossCause::LateSlowServer);
    REQUIRE(onlyCause(late("a", "01", 100, 40)) == LossCause::LateWork);
    REQUIRE(onlyCause(late("a", "01", 400, 90, 2)) == LossCause::LateSecondAttempt);
    REQUIRE(onlyCause(request("a", "01", 100, 0, "request-answered", R"("status":500,"left_ms":10)"))
        == LossCause::ServerFailed);
    REQUIRE(onlyCause(request("a", "01", 100, 0, "request-answered", R"("status":504,"left_ms":0)"))
        == LossCause::OutOfTime);
    REQUIRE(onlyCause(request("a", "01", 100, 0, "request-unknown", R"("reason":"owner-lost")"))
        == LossCause::CutOff);
    REQUIRE(onlyCause(request("a", "01", 100, 0, "request-unknown", R"("reason":"deadline-passed")"))
        == LossCause::OutOfTime);
    REQUIRE(onlyCause(request("a", "01", 100, 0, "caller-gone", R"("status":0)")) == LossCause::CallerLeft);
}

TEST_CASE("Calls that were answered in time, or have not ended, are no losses", "[losses]")
{
    const auto good
        = request("a", "01", 100, 0, "request-answered", R"("status":200,"late":0,"total_ms":100)");
    const auto open = line("01", "route-chosen", R"("request":"b","target":"cards cardserve")");
    REQUIRE(findLosses({ good + open }, {}).value().empty());
}

TEST_CASE("Losses are gathered over nodes' logs, with the worst second and an example", "[losses]")
{
    const auto first
        = refused("b", "01", "queue-full") + refused("c", "03", "queue-full") + late("d", "03", 100, 60);
    const auto second = refused("a", "03", "would-be-late");
    const auto losses = findLosses({ first, second }, {}).value();
    REQUIRE(losses.size() == 2);
    const auto& most = losses.front();
    REQUIRE(most.calls == 3);
    REQUIRE(most.inWorstSecond == 2);
    REQUIRE(most.example == "a");
    REQUIRE(most.upstream == "u1");
    REQUIRE(most.route == "cards cardserve");
    const auto text = showLosses(losses);
    REQUIRE(text.find("10:11:03 (2)") != std::string::npos);
    REQUIRE(text.find("refused: no room") != std::string::npos);
}

TEST_CASE("Only losses of the span are counted", "[losses]")
{
    const auto log = refused("a", "01", "queue-full") + refused("b", "02", "queue-full")
        + refused("c", "03", "queue-full");
    const auto all = findLosses({ log }, {}).value();
    const auto second = all.front().worstSecondMs; // the first of equals
    REQUIRE(findLosses({ log }, { second + 1000, second + 2000 }).value().front().calls == 1);
    REQUIRE(findLosses({ log }, { second, second + 2000 }).value().front().calls == 2);
}

TEST_CASE("A log without any line of a node is an error that names it", "[losses]")
{
    const auto result = findLosses({ refused("a", "01", "queue-full"), "no log\n{}\n" }, {});
    REQUIRE_FALSE(result);
    REQUIRE(result.error().log == 1);
}
