#include "Core/MemoryBudget.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

using namespace robinrun;

TEST_CASE("Holders keep no more together than the budget has", "[memory-budget]")
{
    const MemoryBudget budget(100);
    auto a = budget.share();
    auto b = budget.share();
    REQUIRE(a.resize(60));
    REQUIRE_FALSE(b.resize(50));
    REQUIRE(b.bytes() == 0);
    REQUIRE(b.resize(40));
    REQUIRE_FALSE(a.resize(61));
    REQUIRE(a.resize(20));
    REQUIRE(b.resize(80));
    REQUIRE(budget.used() == 100);
}

TEST_CASE("A holder that is alone has room for any number of bytes, and nobody beside it", "[memory-budget]")
{
    const MemoryBudget budget(100);
    auto a = budget.share();
    auto b = budget.share();
    REQUIRE(a.resize(1000));
    REQUIRE_FALSE(b.resize(1));
    REQUIRE(a.resize(1001));
    REQUIRE(a.resize(0));
    REQUIRE(b.resize(1));
}

TEST_CASE("A share is given back once, wherever it was moved", "[memory-budget]")
{
    std::optional<MemoryBudget> budget(100);
    auto a = budget->share();
    REQUIRE(a.resize(70));
    auto b = std::move(a);
    REQUIRE(budget->used() == 70);
    a = MemoryBudget::Share();
    REQUIRE(budget->used() == 70);
    b = budget->share();
    REQUIRE(budget->used() == 0);
    REQUIRE(b.resize(30));
    budget.reset();
    REQUIRE(b.resize(0)); // outlives the budget
}
