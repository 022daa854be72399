#include "Wire/BulkPacer.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace robinrun;

namespace {

constexpr double linkBytesPerSecond = 1'500'000;
constexpr std::size_t longBytes = 90'000;

/// \returns the longest that a short message waits on the link while \a burst long ones are given to the host
/// at once, held back by the pacer or not.
Duration worstWaitOfShort(int burst, bool isPaced)
{
    BulkPacer pacer(isPaced ? linkBytesPerSecond : 0);
    std::deque<std::size_t> held(static_cast<std::size_t>(burst), longBytes);
    Instant linkFree {};
    Duration worst {};
    for (Instant now {}; now < Instant { 3s }; now += 1ms) {
        while (!held.empty() && (!pacer.isBulk(held.front()) || now >= pacer.freeAt())) {
            linkFree = std::max(linkFree, now) + fromSeconds(double(held.front()) / linkBytesPerSecond);
            pacer.went(held.front(), now);
            held.pop_front();
        }
        worst = std::max(worst, linkFree - now);
    }
    REQUIRE(held.empty());
    return worst;
}

} // namespace

// Answers to nested calls waited behind several long answers on the link of their host, and were late.
TEST_CASE("While a host has many long answers to send, a short one waits for one of them at most", "[wire]")
{
    REQUIRE(worstWaitOfShort(10, false) > 500ms);
    REQUIRE(worstWaitOfShort(10, true) <= 61ms);
}

TEST_CASE("Short messages, and all where the rate of the link is not known, are not held back", "[wire]")
{
    BulkPacer pacer(linkBytesPerSecond);
    REQUIRE_FALSE(pacer.isBulk(1000));
    REQUIRE(pacer.isBulk(longBytes));
    REQUIRE_FALSE(BulkPacer(0).isBulk(longBytes));
}

TEST_CASE("A long message that comes when none went lately goes at once", "[wire]")
{
    BulkPacer pacer(linkBytesPerSecond);
    const Instant now { 1s };
    REQUIRE(pacer.freeAt() <= now);
    pacer.went(longBytes, now);
    REQUIRE(pacer.freeAt() == now + 75ms);
}
