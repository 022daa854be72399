#include "Http/internal/KeepAlive.h"

#include <catch2/catch.hpp>

using namespace robinrun;

TEST_CASE("A connection rests for less than its server says, and never longer than usual", "[http]")
{
    const auto kept = [](const std::string& field) {
        return internal::keptFor({ 200, { { "Keep-Alive", field } }, "" }, 8s);
    };
    REQUIRE(kept("timeout=5") == 4s);
    REQUIRE(kept("max=100, timeout=2") == 1s);
    REQUIRE(kept("timeout=1") == 500ms);
    REQUIRE(kept("timeout=0") == 0s);
    REQUIRE(kept("timeout=-7") == 0s);
    REQUIRE(kept("timeout=60") == 8s);
    REQUIRE(kept("max=100") == 8s);
    REQUIRE(internal::keptFor({ 200, {}, "" }, 8s) == 8s);
}
