#include "Node/BackendNotices.h"

#include <catch2/catch.hpp>
#include <string>

using namespace robinrun;

namespace {

constexpr Instant now { 1000s };

BackendStatement naming(double limit)
{
    BackendStatement out;
    out.rateLimit = limit;
    return out;
}

BackendStatement leaving()
{
    BackendStatement out;
    out.isLeaving = true;
    return out;
}

} // namespace

TEST_CASE("The last limit of a life is remembered until an answer names none", "[server-limit]")
{
    BackendNotices notices;
    const std::string life = "i-1#7";
    notices.add(life, naming(5), now);
    notices.add(life, naming(6), now + 1s);
    REQUIRE(notices.rateLimitOf(life)->requestsPerSecond == 6);
    REQUIRE(notices.rateLimitOf(life)->heardAt == now + 1s);
    BackendStatement unreadable;
    unreadable.isRateLimitReadable = false;
    notices.add(life, unreadable, now + 2s);
    REQUIRE(notices.rateLimitOf(life));
    notices.add(life, {}, now + 3s);
    REQUIRE_FALSE(notices.rateLimitOf(life));
}

TEST_CASE("Another life has stated nothing, while one whose start isn't known yet may be the same",
    "[server-limit]")
{
    BackendNotices notices;
    notices.add("i-1#7", naming(5), now);
    notices.add("i-1#7", leaving(), now);
    REQUIRE_FALSE(notices.rateLimitOf("i-1#8"));
    REQUIRE_FALSE(notices.isLeaving("i-1#8"));
    REQUIRE_FALSE(notices.isLeaving("i-2#7"));
    REQUIRE(notices.isLeaving("i-1#7"));
    REQUIRE(notices.isLeaving("i-1"));
}

TEST_CASE("A life that has said that it leaves never comes back, whatever it says later", "[server-limit]")
{
    BackendNotices notices;
    const std::string life = "i-1";
    REQUIRE(notices.add(life, leaving(), now));
    REQUIRE_FALSE(notices.add(life, leaving(), now));
    REQUIRE_FALSE(notices.add(life, {}, now + 1h));
    REQUIRE(notices.isLeaving(life));
}

TEST_CASE("What is remembered is bounded, and the latest is kept", "[server-limit]")
{
    BackendNotices notices;
    constexpr auto n = BackendNotices::maxEntries + 10;
    for (std::size_t i = 0; i < n; ++i) {
        const auto life = "i-" + std::to_string(i);
        notices.add(life, naming(5), now + i * 1ms);
        notices.add(life, leaving(), now + i * 1ms);
        notices.add(life, naming(5), now + i * 1ms);
    }
    REQUIRE_FALSE(notices.rateLimitOf("i-0"));
    REQUIRE_FALSE(notices.isLeaving("i-0"));
    REQUIRE(notices.rateLimitOf("i-" + std::to_string(n - 1)));
    REQUIRE(notices.isLeaving("i-" + std::to_string(n - 1)));
}
