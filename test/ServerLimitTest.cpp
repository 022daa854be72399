#include "support/ShopFixture.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

/// \file A backend server that names in its answers how many requests a second it accepts, in a mesh of
/// nodes.

using namespace robinrun;
using support::FakeBackend;
using support::ShopFixture;

namespace {

/// The users' bound: in any 4 s, one and a half times the limit and five requests.
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;
constexpr double windowSeconds = 4;

std::size_t allowedAt(double limit)
{
    return static_cast<std::size_t>(allowedFactor * limit * windowSeconds + allowedExtra);
}

/// \brief The shop, whose callers send calls without waiting for the answers to earlier ones.
struct LimitFixture : ShopFixture {
    std::vector<Timer> clients;
    std::vector<HttpReply> replies;

    FakeBackend& shop(std::size_t i) { return *places[i].backend; }

    /// \brief Sends \a n calls to node \a i, one each \a gap, and waits until all are answered.
    void callOften(std::size_t i, std::size_t n, Duration gap, const std::string& deadlineMs = "1500")
    {
        clients.clear();
        replies.clear();
        HttpPool::Options options;
        options.address = places[i].settings.listen.callers;
        callers.push_back(std::make_unique<HttpPool>(base.get(), options));
        for (std::size_t k = 0; k < n; ++k)
            clients.push_back(Timer::once(base.get(), Duration(1) + k * gap, [this, deadlineMs] {
                auto it = request("GET", "/read/x");
                it.headers.back().second = deadlineMs;
                callers.back()->send(it, 9s, [this](auto result) {
                    replies.push_back(result.has_value() ? result.value() : HttpReply { 0, {}, {} });
                });
            }));
        until([&] { return replies.size() == n; });
    }

    /// \brief Leaves only server 1 in the shop, which names \a limit in its answers to calls alone, and lets
    /// node 0 pass on such an answer.
    void limitOnlyServer(const std::string& limit)
    {
        REQUIRE(announce(2, "draining", 1) == 200);
        shop(1).limit = limit;
        shop(1).healthSaysAll = false;
        const auto ranBefore = shop(1).requests.size();
        callOften(0, 3, 100ms);
        REQUIRE(shop(1).requests.size() > ranBefore);
    }

    /// \brief Kills node \a i and starts it again.
    void restart(std::size_t i)
    {
        places[i].node.reset();
        startNode(i);
        pass(1s);
    }
};

} // namespace

// A limit that a backend server named in its answers was not read: it got as many calls as before.
TEST_CASE("A backend server gets no more requests than the limit that it names", "[server-limit]")
{
    LimitFixture f;
    constexpr double limit = 3;
    for (const std::size_t i : { 1, 2 }) {
        f.shop(i).limit = "3";
        f.shop(i).arrivals.clear();
    }
    f.callOften(0, 120, 10ms);
    REQUIRE(f.shop(1).arrivals.size() <= allowedAt(limit));
    REQUIRE(f.shop(2).arrivals.size() <= allowedAt(limit));
}

// An owner that was killed forgot the limit: until the first answer it filled all slots of the server.
TEST_CASE("An owner that has restarted keeps the limit that its server named before", "[server-limit]")
{
    LimitFixture f;
    f.shop(1).slots = 20;
    constexpr double limit = 1;
    f.limitOnlyServer("1");
    f.restart(1);
    f.shop(1).holds = true;
    f.shop(1).arrivals.clear();
    f.callOften(0, 60, 5ms, "2500");
    REQUIRE(f.shop(1).arrivals.size() >= 1);
    REQUIRE(f.shop(1).arrivals.size() <= allowedAt(limit));
}

// Guards against a server that gets no calls although its limit has ended.
TEST_CASE(
    "A server whose limit has ended gets its share of the calls again within a second", "[server-limit]")
{
    LimitFixture f;
    f.store.put("keyed.op", "config", ShopFixture::configuration(9, "shop", "300"));
    f.until([&] { return f.call(0, "GET", "/read/x").status == 200; });
    f.pass(200ms);
    f.shop(1).limit = "4";
    constexpr auto gap = 12ms;
    f.callOften(0, 250, gap, "1500");
    REQUIRE(f.shop(1).arrivals.size() > 4);
    f.shop(1).limit.reset();
    f.callOften(0, 83, gap, "1500");
    f.shop(1).arrivals.clear();
    f.shop(2).arrivals.clear();
    f.callOften(0, 83, gap, "1500");
    const auto share = static_cast<double>(f.shop(1).arrivals.size())
        / static_cast<double>(f.shop(1).arrivals.size() + f.shop(2).arrivals.size());
    REQUIRE(share > 0.25);
}
