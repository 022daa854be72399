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
