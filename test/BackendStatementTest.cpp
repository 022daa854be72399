#include "Node/BackendReply.h"

#include <catch2/catch.hpp>
#include <string>

/// \file What a backend server states about itself in the header fields of its answers.

using namespace robinrun;

namespace {

CallHeaders names()
{
    CallHeaders out;
    out.rateLimit = { "X-Server-Limit", "Server-Limit" };
    out.leaving = { "X-Server-Leaving", "Server-Leaving" };
    return out;
}

} // namespace

TEST_CASE("A rate limit is a decimal number that isn't negative", "[server-limit]")
{
    REQUIRE(parseRateLimit("10.8") == 10.8);
    REQUIRE(parseRateLimit("0") == 0.0);
    REQUIRE(parseRateLimit("0.2") == 0.2);
    REQUIRE(parseRateLimit("007") == 7.0);
    const auto* text = GENERATE("", " ", "abc", "-1", "-0", "+1", "nan", "inf", "1e308", "1e2", "10,8",
        "10.8.1", "10.8 ", ".5", "5.", "0x10", "10/s");
    INFO(text);
    REQUIRE_FALSE(parseRateLimit(text));
    REQUIRE_FALSE(parseRateLimit(std::string(400, '9')));
}

TEST_CASE("An unreadable field is listed with its value, and says nothing", "[server-limit]")
{
    const auto* text = GENERATE("", "abc", "-1", "nan", "1e308", "10,8");
    const auto statement = readStatement({ { "Server-Limit", text }, { "Server-Leaving", text } }, names());
    REQUIRE_FALSE(statement.isRateLimitReadable);
    REQUIRE_FALSE(statement.rateLimit);
    REQUIRE_FALSE(statement.isLeaving);
    REQUIRE(statement.faults.size() == 2);
    REQUIRE(statement.faults[0].field == "Server-Limit");
    REQUIRE(statement.faults[0].value == text);
    REQUIRE(statement.faults[1].field == "Server-Leaving");
}

TEST_CASE("Fields under all names count, and must agree", "[server-limit]")
{
    const auto agreeing = readStatement(
        { { "server-limit", "10" }, { "X-Server-Limit", "10.0" }, { "X-Server-Leaving", "1" } }, names());
    REQUIRE(agreeing.faults.empty());
    REQUIRE(agreeing.rateLimit == 10.0);
    REQUIRE(agreeing.isLeaving);
    const auto differing = readStatement({ { "Server-Limit", "10" }, { "X-Server-Limit", "11" },
                                             { "Server-Leaving", "0" }, { "Server-Leaving", "1" } },
        names());
    REQUIRE_FALSE(differing.isRateLimitReadable);
    REQUIRE_FALSE(differing.rateLimit);
    REQUIRE_FALSE(differing.isLeaving);
    REQUIRE(differing.faults.size() == 2);
    REQUIRE(differing.faults[0].value == "11");
}

TEST_CASE("An answer without the fields names no limit and no leaving", "[server-limit]")
{
    const auto statement = readStatement({ { "Server-Load", "1,2,3" } }, names());
    REQUIRE(statement.isRateLimitReadable);
    REQUIRE_FALSE(statement.rateLimit);
    REQUIRE_FALSE(statement.isLeaving);
    REQUIRE(statement.faults.empty());
}
