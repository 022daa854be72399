#include "Core/Loop.h"
#include "Http/HttpServer.h"
#include "Platform/HttpPlatform.h"
#include "platform/StoreClient.h"
#include "support/FakeStore.h"
#include "support/FaultProxy.h"
#include "support/MeshFixture.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

/// \file Long replies of what the nodes depend on, over links that take longer for them than an answer may.

using namespace robinrun;
using support::FakeStore;
using support::MeshFixture;

// Not seen, found by looking for the same cause: a whole answer had to come within the time in which the
// store is to answer, so a configuration of some thousand routes was given up half way, and read anew from
// its start.
TEST_CASE(
    "A long record comes over a slow link, though all of it takes longer than an answer may", "[platform]")
{
    constexpr Duration timeout = 300ms;
    constexpr std::size_t linkBytesPerSecond = 250000; // the record takes four times the timeout
    const auto base = makeLoop();
    FakeStore store(base.get());
    const auto slow = support::freeAddress();
    support::FaultProxy link(base.get(), slow, store.address);
    link.limit(linkBytesPerSecond);
    platform::StoreClient client(base.get(), slow, timeout);
    const auto text = MeshFixture::largeConfiguration(7, 1400);
    store.put("keyed.op", "config", text);
    std::vector<Result<KeyedPage, PlatformError>> pages;
    const auto take = [&](auto page) { pages.push_back(std::move(page)); };
    client.newest("keyed.op", take);
    client.follow("keyed.op", {}, Duration::zero(), take);
    REQUIRE(support::runUntil(base.get(), [&] { return pages.size() == 2; }));
    for (const auto& it : pages) {
        REQUIRE(it);
        REQUIRE((it.value().records.front().value == text));
    }
    // One that falls silent half way is still given up.
    client.follow("keyed.op", {}, Duration::zero(), take);
    bool isUnderWay = false;
    const auto underWay = Timer::once(base.get(), timeout / 2, [&] { isUnderWay = true; });
    REQUIRE(support::runUntil(base.get(), [&] { return isUnderWay; }));
    link.set(support::LinkFault::Silence);
    REQUIRE(support::runUntil(base.get(), [&] { return pages.size() == 3; }));
    REQUIRE_FALSE(pages.back());
}

TEST_CASE(
    "Pages of the log and lists of hosts come over a slow link, though they take longer than an answer may",
    "[http]")
{
    constexpr Duration timeout = 200ms;
    constexpr std::size_t linkBytesPerSecond = 250000; // each takes four times the timeout
    const std::string record(200000, 'x');
    const auto base = makeLoop();
    HttpServer::Options options;
    options.address = support::freeAddress();
    const auto server = std::move(HttpServer::listen(base.get(), options, [&](auto exchange) {
        const bool isLog = exchange->request().target.starts_with("/streams");
        const HttpHeaders headers { { "Log-Id", "l" }, { "From-Offset", "0" }, { "First-Offset", "0" },
            { "End-Offset", "1" }, { "Kept-Since-Ms", "0" }, { "Version", "1" }, { "Whole", "true" } };
        exchange->reply({ 200, headers, isLog ? frameRecords({ record }) : record });
    }).value());
    const auto slow = support::freeAddress();
    support::FaultProxy link(base.get(), slow, options.address);
    link.limit(linkBytesPerSecond);
    HttpAppendLog log(base.get(), slow, timeout);
    std::optional<bool> isRead;
    log.read("s", 0, 1, Duration::zero(), [&](auto page) { isRead = page.has_value(); });
    REQUIRE(support::runUntil(base.get(), [&] { return isRead.has_value(); }));
    REQUIRE(*isRead);
    HttpHostList hosts(base.get(), slow, timeout);
    std::optional<bool> isFetched;
    hosts.fetch(0, [&](auto list) { isFetched = list.has_value(); });
    REQUIRE(support::runUntil(base.get(), [&] { return isFetched.has_value(); }));
    REQUIRE(*isFetched);
}
