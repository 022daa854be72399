#include "platform/AnnouncementReader.h"
#include "platform/ConfigurationReader.h"
#include "support/ShopFixture.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

/// \file Entries of other writers that are nested very deeply, or hold a number or a port out of range.

using namespace robinrun;
using support::ShopFixture;

namespace {

constexpr std::size_t levels = 200000;

std::string nested(std::size_t n)
{
    return std::string(n, '[') + std::string(n, ']');
}

/// \returns the record of a node that nobody runs.
proto::NodeRecord strangeRecord()
{
    proto::NodeRecord out;
    out.set_node("strange");
    out.set_peer_address("127.0.0.1:9");
    out.set_address("127.0.0.1:9");
    out.set_data_hall("h1");
    out.set_region("r");
    out.set_service("shop");
    out.set_upstream("i-strange");
    out.set_slots(4);
    out.set_incarnation(5);
    out.set_sequence(1);
    return out;
}

/// \returns rows of the nodes' topic that no node writes.
std::vector<std::pair<std::string, std::string>> oddRows()
{
    auto farPort = strangeRecord();
    farPort.set_peer_address("127.0.0.1:70000");
    auto farAddress = strangeRecord();
    farAddress.set_address("127.0.0.1:99999999999999999999");
    auto large = strangeRecord();
    large.set_sequence(UINT64_MAX);
    return { { "strange", nested(levels) }, { "strange", R"({"slots":1e999})" },
        { "strange", std::string(levels, '\x0b') }, // groups in groups, as protobuf encodes them
        { "strange", farPort.SerializeAsString() }, { "strange", farAddress.SerializeAsString() },
        { "strange", large.SerializeAsString() }, { std::string(255, 'k'), "" }, { "", "x" } };
}

} // namespace

TEST_CASE("Entries that are nested very deeply are refused alone", "[odd-entries]")
{
    const std::string entry = R"({"type":"routes","metadata":{"name":"odd"},"spec":)" + nested(levels) + "},";
    auto text = ShopFixture::configuration(12);
    const std::string list = R"("resources":[)";
    text.insert(text.find(list) + list.size(), entry);
    const auto read = platform::readConfiguration(text);
    REQUIRE(read);
    REQUIRE(read.value().errors.size() == 1);
    REQUIRE(read.value().resources.size() == 4);
    REQUIRE(platform::versionOf(text) == 12U);
    REQUIRE_FALSE(platform::readAnnouncement({ "PUT", "/instances/i-1", {}, nested(levels) }));
}

TEST_CASE("Rows of another writer among those of the nodes end no node and stop none from following",
    "[odd-entries]")
{
    ShopFixture f;
    for (const auto& [key, value] : oddRows())
        f.store.put("keyed.nodes", key, value);
    f.store.putRaw("keyed.nodes", "");
    f.store.putRaw("keyed.nodes", std::string(1, '\xff') + "short");
    auto last = strangeRecord();
    last.set_node("last");
    f.store.put("keyed.nodes", "last", last.SerializeAsString());
    const auto knowsLast = [&](std::size_t i) {
        const auto metrics = f.send(f.places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return metrics.find("robinrun_nodes_known 4") != std::string::npos;
    };
    for (const std::size_t i : { 0, 1, 2 }) {
        f.until([&] { return knowsLast(i); });
        REQUIRE(f.call(i, "GET", "/read/x").status == 200);
    }
    f.store.put("keyed.op", "config", ShopFixture::configuration(9));
    f.until([&] {
        const auto metrics = f.send(f.places[0].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return metrics.find("robinrun_config_version 9") != std::string::npos;
    });
}

TEST_CASE(
    "Announcements with odd numbers and ports are refused, and the server keeps its calls", "[odd-entries]")
{
    ShopFixture f;
    const auto announce = [&](const std::string& address, const std::string& slots,
                              const std::string& sequence) {
        return f.sendAnnouncement(1,
            R"({"address":")" + address + R"(","info":{"service":"shop","version":"v1","zone":"z","slots":)"
                + slots + R"(},"status":{"state":"ready","seq":)" + sequence + R"(,"warmup_left_ms":0}})");
    };
    const auto& address = f.places[1].backend->address;
    REQUIRE(announce("127.0.0.1:70000", "4", "1") == 400);
    REQUIRE(announce("127.0.0.1:-1", "4", "1") == 400);
    REQUIRE(announce(address, "1e999", "1") == 400);
    REQUIRE(announce(address, "99999999999999999999", "1") == 400);
    REQUIRE(announce(address, "4", "1e30") == 400);
    REQUIRE(f.sendAnnouncement(1, nested(30000)) == 400);
    REQUIRE(announce(address, "4294967295", "1") == 200);
    for (const std::size_t i : { 0, 1, 2 })
        REQUIRE(f.call(i, "GET", "/read/x").status == 200);
    REQUIRE(announce(address, "4", "2") == 200);
}
