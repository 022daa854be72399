#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "Node/Timer.h"
#include "Platform/HttpPlatform.h"
#include "support/Loopback.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <rapidcheck/catch.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace robinrun;
using support::freeAddress;

namespace {

/// \brief A loop with a server on it that keeps the exchanges it is handed.
struct Fixture {
    LoopPtr base = makeLoop();
    std::string address = freeAddress();
    std::vector<std::unique_ptr<HttpExchange>> held;
    bool answersAtOnce = true;
    int hungUp = 0;
    std::unique_ptr<HttpServer> server;

    Fixture()
    {
        HttpServer::Options options;
        options.address = address;
        options.maxBody = 1000;
        server = std::move(HttpServer::listen(base.get(), options, [this](auto exchange) {
            take(std::move(exchange));
        }).value());
    }

    void take(std::unique_ptr<HttpExchange> exchange)
    {
        if (answersAtOnce)
            return exchange->reply(
                { 200, { { "Seen", exchange->request().target } }, exchange->request().body });
        exchange->onHangUp([this] { ++hungUp; });
        held.push_back(std::move(exchange));
    }

    /// \brief Runs the loop until \a isDone, but no longer than a few seconds.
    template <class F> void runUntil(F isDone) { REQUIRE(support::runUntil(base.get(), isDone)); }

    HttpPool::Options pool(std::size_t connections = 2) const
    {
        HttpPool::Options options;
        options.address = address;
        options.maxConnections = connections;
        return options;
    }
};

} // namespace

TEST_CASE("Requests and replies pass whole, over kept connections", "[http]")
{
    Fixture fixture;
    HttpPool pool(fixture.base.get(), fixture.pool());
    int done = 0;
    for (int i = 0; i < 50; ++i) {
        const auto body = std::string(static_cast<std::size_t>(i) * 10, 'x') + std::to_string(i);
        pool.send({ "POST", "/p?q=" + std::to_string(i), {}, body }, 2s, [&, i, body](auto reply) {
            ++done;
            REQUIRE(reply.value().body == body);
            REQUIRE(findHeader(reply.value().headers, "seen") == "/p?q=" + std::to_string(i));
        });
    }
    fixture.runUntil([&] { return done == 50; });
    REQUIRE(pool.connections() == 2);
}

TEST_CASE("A server that isn't there has provably got nothing", "[http]")
{
    Fixture fixture;
    HttpPool::Options options;
    options.address = freeAddress();
    HttpPool pool(fixture.base.get(), options);
    std::optional<HttpErrorKind> kind;
    pool.send({ "GET", "/", {}, {} }, 2s, [&](auto reply) { kind = reply.error().kind; });
    fixture.runUntil([&] { return kind.has_value(); });
    REQUIRE(*kind == HttpErrorKind::NotConnected);
}

TEST_CASE("A connection that ends before the reply is broken, not unconnected", "[http]")
{
    Fixture fixture;
    const auto address = freeAddress();
    std::string ip;
    std::uint16_t port = 0;
    splitAddress(address, ip, port);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
    REQUIRE(listen(listener, 5) == 0);
    HttpPool::Options options;
    options.address = address;
    HttpPool pool(fixture.base.get(), options);
    std::optional<HttpErrorKind> kind;
    pool.send({ "GET", "/", {}, {} }, 2s, [&](auto reply) { kind = reply.error().kind; });
    auto hangUp = Timer::once(fixture.base.get(), 50ms, [&] {
        const int fd = accept(listener, nullptr, nullptr);
        char buf[1000];
        REQUIRE(read(fd, buf, sizeof(buf)) > 0);
        REQUIRE(write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", 45) > 0);
        close(fd);
    });
    fixture.runUntil([&] { return kind.has_value(); });
    REQUIRE(*kind == HttpErrorKind::Broken);
    close(listener);
}

TEST_CASE("A late reply times out, and the server sees the caller go", "[http]")
{
    Fixture fixture;
    fixture.answersAtOnce = false;
    HttpPool pool(fixture.base.get(), fixture.pool());
    std::optional<HttpErrorKind> kind;
    pool.send({ "GET", "/", {}, {} }, 100ms, [&](auto reply) { kind = reply.error().kind; });
    fixture.runUntil([&] { return kind.has_value() && fixture.hungUp == 1; });
    REQUIRE(*kind == HttpErrorKind::TimedOut);
    // A cancelled request is seen to go as well, and its callback never runs.
    const auto number
        = pool.send({ "GET", "/", {}, {} }, 2s, [&](auto) { FAIL("a cancelled request was answered"); });
    fixture.runUntil([&] { return fixture.held.size() == 2; });
    pool.cancel(number);
    fixture.runUntil([&] { return fixture.hungUp == 2; });
    REQUIRE(pool.connections() == 0);
}

TEST_CASE("Too long a body, and what is no method, are refused", "[http]")
{
    Fixture fixture;
    HttpPool pool(fixture.base.get(), fixture.pool());
    int status = 0;
    pool.send(
        { "POST", "/", {}, std::string(2000, 'x') }, 2s, [&](auto reply) { status = reply.value().status; });
    fixture.runUntil([&] { return status != 0; });
    REQUIRE(status == 413);
    std::optional<HttpErrorKind> kind;
    pool.send({ "BREW", "/", {}, {} }, 2s, [&](auto reply) { kind = reply.error().kind; });
    fixture.runUntil([&] { return kind.has_value(); });
    REQUIRE(*kind == HttpErrorKind::BadRequest);
}

TEST_CASE("Headers of one connection stay on it", "[http]")
{
    for (const auto* name : { "Connection", "TRANSFER-ENCODING", "Keep-Alive", "Upgrade", "host" })
        REQUIRE(isHopByHop(name));
    REQUIRE_FALSE(isHopByHop("Content-Type"));
    REQUIRE(equalIgnoringCase("Abc", "aBC"));
    REQUIRE_FALSE(equalIgnoringCase("Abc", "Abcd"));
}

TEST_CASE("Framed records come back, cut ones are noticed", "[platform]")
{
    rc::prop("frames", [](const std::vector<std::string>& records) {
        const auto body = frameRecords(records);
        RC_ASSERT(*unframeRecords(body) == records);
        if (!body.empty())
            RC_ASSERT(unframeRecords(std::string_view(body).substr(0, body.size() - 1)) != records);
    });
}
