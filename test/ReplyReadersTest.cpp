/// \file Broken replies at the readers beside calls: the store, the log, the list of hosts, the health of a
/// backend server, an operator's client.

#include "Client/OperatorClient.h"
#include "Mesh/BackendDiscovery.h"
#include "Node/Prober.h"
#include "Platform/HttpPlatform.h"
#include "platform/StoreClient.h"
#include "support/RawServer.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace robinrun;
using support::Ending;
using support::RawReply;
using support::RawServer;

namespace {

constexpr Duration timeout = 5s;

/// What each of the readers wants to know of a sound reply, but for its body.
const std::string fields
    = "Backend-Id: b1\r\nLog-Id: l\r\nFrom-Offset: 0\r\nFirst-Offset: 0\r\nEnd-Offset: 0\r\n"
      "Kept-Since-Ms: 0\r\nOffset: 1\r\nVersion: 1\r\nWhole: true\r\n";
const std::string noBody = "Content-Length: 0\r\n\r\n";

/// \brief Replies that are none, by what is wrong with them.
std::vector<std::pair<std::string, RawReply>> brokenReplies()
{
    const std::string begin = "HTTP/1.1 200 X\r\n" + fields;
    return {
        { "status 000", { "HTTP/1.1 000 X\r\n" + fields + noBody } },
        { "status 600", { "HTTP/1.1 600 X\r\n" + fields + noBody } },
        { "folded field", { begin + "X: y\r\n z\r\n" + noBody } },
        { "blank in a name", { begin + "X Y: z\r\n" + noBody } },
        { "transfer coding", { begin + "Transfer-Encoding: gzip\r\n" + noBody } },
        { "cut header", { begin, Ending::Closes } },
        { "cut body", { begin + "Content-Length: 9\r\n\r\n", Ending::Closes } },
        { "reset body", { begin + "\r\n", Ending::Resets, 50ms } },
        { "header without end", support::withoutEnd(begin, "x") },
        { "body without end", support::withoutEnd(begin + "\r\n", "x") },
    };
}

/// \returns the result of type T that \a start hands to the callback it is given, on \a base.
template <class T, class Start> T awaited(const LoopPtr& base, Start start)
{
    std::optional<T> result;
    start([&](T it) { result.emplace(std::move(it)); });
    REQUIRE(support::runUntil(base.get(), [&] { return result.has_value(); }));
    return std::move(*result);
}

/// \returns whether an exchange with the platform ended as it has to after a broken reply: it may have taken
/// effect, and that was told before its time was over.
template <class T> bool isUncertainAtOnce(const Result<T, PlatformError>& result)
{
    return !result && result.error().kind == PlatformErrorKind::Uncertain
        && result.error().message != nameOf(HttpErrorKind::TimedOut);
}

/// \returns what a probe of \a server shows.
ProbeNews probed(const RawServer& server)
{
    const auto base = makeLoop();
    Prober prober({}, monotonicNow());
    HttpPool::Options options;
    options.address = server.address;
    HttpPool pool(base.get(), options);
    std::optional<ProbeNews> news;
    REQUIRE(prober.probe(pool, monotonicNow(), [&](ProbeNews it, Duration) { news = std::move(it); }));
    REQUIRE(support::runUntil(base.get(), [&] { return news.has_value(); }));
    return *news;
}

using Appended = Result<std::uint64_t, PlatformError>;
using Fetched = Result<HostPage, PlatformError>;
using LogRead = Result<LogPage, PlatformError>;
using StoreRead = Result<KeyedPage, PlatformError>;
using Written = Result<void, PlatformError>;

} // namespace

TEST_CASE("A broken reply of the store tells nothing but that the call may have taken effect", "[reply]")
{
    for (const auto& [name, reply] : brokenReplies()) {
        CAPTURE(name);
        const RawServer server(reply);
        const auto base = makeLoop();
        platform::StoreClient store(base.get(), server.address, timeout);
        CHECK(isUncertainAtOnce(
            awaited<Written>(base, [&](auto done) { store.write("topic", "key", "value", done); })));
        CHECK(isUncertainAtOnce(awaited<StoreRead>(base, [&](auto done) { store.newest("topic", done); })));
        CHECK(isUncertainAtOnce(
            awaited<StoreRead>(base, [&](auto done) { store.follow("topic", {}, timeout, done); })));
    }
}

TEST_CASE("A broken reply of the log or of the list of hosts tells nothing", "[reply]")
{
    for (const auto& [name, reply] : brokenReplies()) {
        CAPTURE(name);
        const RawServer server(reply);
        const auto base = makeLoop();
        HttpAppendLog log(base.get(), server.address, timeout);
        CHECK(isUncertainAtOnce(
            awaited<Appended>(base, [&](auto done) { log.append("stream", "record", done); })));
        CHECK(isUncertainAtOnce(
            awaited<LogRead>(base, [&](auto done) { log.read("stream", 0, 1, timeout, done); })));
        HttpHostList hosts(base.get(), server.address, timeout);
        CHECK(isUncertainAtOnce(awaited<Fetched>(base, [&](auto done) { hosts.fetch(0, done); })));
    }
}

TEST_CASE("A broken health answer is none", "[reply]")
{
    for (const auto& [name, reply] : brokenReplies()) {
        CAPTURE(name);
        const RawServer server(reply);
        const auto news = probed(server);
        CHECK_FALSE(news.isReachable);
        CHECK_FALSE(news.isWell);
        CHECK(news.upstream.empty());
        const auto base = makeLoop();
        bool isFound = false;
        bool isOver = false;
        BackendDiscovery discovery(base.get(), server.address, [&](const Announcement&) { isFound = true; });
        discovery.start("/health", {});
        const auto end = Timer::once(base.get(), 200ms, [&] { isOver = true; });
        REQUIRE(support::runUntil(base.get(), [&] { return isFound || isOver; }));
        CHECK_FALSE(isFound);
    }
}

TEST_CASE("An operator's client takes no broken reply for an answer", "[reply]")
{
    for (const auto& [name, reply] : brokenReplies()) {
        CAPTURE(name);
        const RawServer server(reply);
        OperatorClient client(server.address, "token");
        const auto result = client.ask("GET", "/services/x");
        REQUIRE_FALSE(result);
        CHECK(
            (result.error().kind == HttpErrorKind::Broken || result.error().kind == HttpErrorKind::TooLarge));
    }
}

TEST_CASE("The readers take a sound reply", "[reply]")
{
    const RawServer server({ "HTTP/1.1 200 X\r\n" + fields + noBody });
    const auto news = probed(server);
    CHECK(news.isWell);
    CHECK(news.upstream == "b1");
    CHECK(OperatorClient(server.address, "token").ask("GET", "/services/x").value().status == 200);
    const auto base = makeLoop();
    platform::StoreClient store(base.get(), server.address, timeout);
    CHECK(awaited<Written>(base, [&](auto done) { store.write("topic", "key", "value", done); }));
    HttpAppendLog log(base.get(), server.address, timeout);
    CHECK(awaited<LogRead>(base, [&](auto done) { log.read("stream", 0, 1, timeout, done); }));
}
