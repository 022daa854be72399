#include "Client/EmptiedHallLog.h"

#include <catch2/catch.hpp>

using namespace robinrun;

namespace {

std::string line(const std::string& node, const std::string& second, const std::string& rest)
{
    return R"({"time":"2026-12-02T10:11:)" + second + R"(.000Z","level":"info","source":")" + node + R"(",)"
        + rest + "}\n";
}

} // namespace

TEST_CASE("Logs tell which halls are emptied, who has heard it and what still runs there", "[halls]")
{
    const auto emptied = R"("event":"hall-emptied","hall":"h2","era":1,"offset":7)";
    const auto draining = R"("event":"upstream-life","upstream":"u","state":"draining")";
    const auto drained = R"("event":"upstream-life","upstream":"u","state":"drained")";
    const auto first = line("n1", "12", emptied) + line("n1", "12", draining);
    const auto second = line("n2", "14", emptied) + line("n2", "14", draining) + line("n2", "15", drained);
    const auto told = emptiedHalls({ first, second });
    CHECK(told.find("data hall h2: emptied, known to 2 nodes since 2026-12-02T10:11:12.000Z (n1) to "
                    "2026-12-02T10:11:14.000Z (n2); calls still run at n1")
        == 0);
    const auto back = R"("event":"hall-taken-back","hall":"h2","era":1,"offset":9)";
    CHECK(emptiedHalls({ first + line("n1", "20", back), second + line("n2", "20", back) })
        == "no data hall is emptied\n");
    CHECK(emptiedHalls({ "no log\n" }) == "no data hall is emptied\n");
}
