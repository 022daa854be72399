#include "Client/HeldRequests.h"

#include <catch2/catch.hpp>

using namespace robinrun;

namespace {

std::string line(const std::string& second, const std::string& node, const std::string& rest)
{
    return R"(12.5 {"time":"2026-12-02T10:11:)" + second + R"(.000Z","level":"warning","source":")" + node
        + R"(","event":)" + rest + "}\n";
}

} // namespace

TEST_CASE("What is held back is told with the crashes that led to it", "[held]")
{
    const auto first = line("01", "n1", R"("backend-crashed","upstream":"u1","report":11,"suspects":"77 78")")
        + line("03", "n1",
            R"("request-held","content":77,"shared":false,"reports":"11 12","retry_after_ms":600000)");
    const auto second
        = line("02", "n2",
              R"("backend-crashed","upstream":"u2","report":18446744073709551615,"suspects":"77")")
        + line("04", "n2",
            R"("request-held","content":77,"shared":false,"reports":"11 12","retry_after_ms":599000)")
        + "no line of a log\n";
    const auto told = heldRequests({ second, first });
    CHECK(
        told.find("content 77: held back since 2026-12-02T10:11:03.000Z by 2 nodes, tried again after 600 s")
        != std::string::npos);
    CHECK(told.find("crash 11: 2026-12-02T10:11:01.000Z u1, seen by n1; ran there: 77 78")
        != std::string::npos);
    CHECK(told.find("crash 12: its node's log is missing") != std::string::npos);
    CHECK(told.find("freed") == std::string::npos);
    const auto freed = line("09", "n1", R"("request-freed","content":77)");
    CHECK(heldRequests({ first + freed, second }).find("freed at 1 nodes") != std::string::npos);
    CHECK(heldRequests({ "" }) == "nothing is held back\n");
}
