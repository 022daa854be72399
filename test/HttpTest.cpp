#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "Http/internal/HttpParser.h"
#include "Node/Timer.h"
#include "Platform/HttpPlatform.h"
#include "support/Loopback.h"
#include "support/RawCaller.h"
#include "support/RawServer.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <memory>
#include <netinet/in.h>
#include <rapidcheck/catch.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace robinrun;
using support::ask;
using support::Ending;
using support::freeAddress;
using support::RawServer;

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

/// \brief What a server says to raw \a bytes until it closes or nothing comes for a moment.
std::string rawAnswer(Fixture& fixture, const std::string& bytes)
{
    std::string ip;
    std::uint16_t port = 0;
    splitAddress(fixture.address, ip, port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
    REQUIRE(write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    shutdown(fd, SHUT_WR);
    std::string out;
    bool isOver = false;
    // The loop has nothing to do while the answer is only to be read here.
    const auto wake = Timer::repeating(fixture.base.get(), 1ms, [] {});
    fixture.runUntil([&] {
        char buf[4096];
        const auto n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
        if (n > 0)
            out.append(buf, static_cast<std::size_t>(n));
        isOver = n == 0 || (n < 0 && errno != EAGAIN);
        return isOver;
    });
    close(fd);
    return out;
}

} // namespace

TEST_CASE("Requests that can be read in two ways are refused, and end their connection", "[http]")
{
    const auto status = [](const std::string& head, const std::string& body = "") {
        Fixture fixture;
        return rawAnswer(fixture, head + "\r\n\r\n" + body).substr(0, 12);
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
    REQUIRE(status("GET / HTTP/1.1\r\nHost: a") == "HTTP/1.1 200");
    REQUIRE(status("GET / HTTP/1.1") == "HTTP/1.1 400");
    REQUIRE(status("GET / HTTP/1.1\r\nHost: a\r\nHost: a") == "HTTP/1.1 400");
    REQUIRE(status(post + "Content-Length: 1\r\nContent-Length: 2", "ab") == "HTTP/1.1 400");
    REQUIRE(status(post + "Content-Length: +1", "a") == "HTTP/1.1 400");
    REQUIRE(status(post + "Content-Length: 1\r\nTransfer-Encoding: chunked", "1\r\na\r\n0\r\n\r\n")
        == "HTTP/1.1 400");
    REQUIRE(status("GET / HTTP/1.1\r\nHost: a\r\nX : b") == "HTTP/1.1 400");
    REQUIRE(status("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c") == "HTTP/1.1 400");
    REQUIRE(status(std::string("GET / HTTP/1.1\r\nHost: a\r\nX: b") + '\0' + "c") == "HTTP/1.1 400");
    REQUIRE(status(post + "Transfer-Encoding: chunked", "z\r\n") == "HTTP/1.1 400");
    REQUIRE(status(post + "Transfer-Encoding: chunked", "1;x=y\r\na\r\n0\r\n\r\n") == "HTTP/1.1 200");
    REQUIRE(status("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40000, 'x')) == "HTTP/1.1 431");
}

// A body that begins with a blank looked like a folded field if it came with the last byte of the header.
TEST_CASE("A body that begins with a blank is no part of the header, wherever the request is cut", "[http]")
{
    const std::string body = " a\r\n b";
    const auto bytes
        = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t at = 0; at <= bytes.size(); ++at) {
        CAPTURE(at);
        internal::RequestParser parser(1000, 1000);
        const std::unique_ptr<evbuffer, void (*)(evbuffer*)> in(evbuffer_new(), &evbuffer_free);
        evbuffer_add(in.get(), bytes.data(), at);
        CHECK(parser.feed(in.get()));
        evbuffer_add(in.get(), bytes.data() + at, bytes.size() - at);
        CHECK(parser.feed(in.get()));
        CHECK((parser.isDone() && parser.take().body == body));
    }
}

// Trailers and the lines of chunks were read on for as long as they came.
TEST_CASE("Trailers and the lines of chunks have the bound of the header", "[http]")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string longer(40000, 'x');
    for (const auto& rest : { "1\r\na\r\n0\r\nX: " + longer, "1;x=" + longer, "1\r\na\r\n0;x=" + longer }) {
        Fixture fixture;
        REQUIRE(rawAnswer(fixture, head + rest).substr(0, 12) == "HTTP/1.1 431");
    }
    Fixture fixture;
    REQUIRE(rawAnswer(fixture, head + "1\r\na\r\n0\r\nX: y\r\n\r\n").substr(0, 12) == "HTTP/1.1 200");
    std::string emptyLines;
    while (emptyLines.size() < longer.size())
        emptyLines += "\r\n";
    REQUIRE(rawAnswer(fixture, emptyLines).substr(0, 10) == "HTTP/1.1 4");
}

// The time for a header began anew with each of its bytes.
TEST_CASE("A header that comes too slowly is refused", "[http]")
{
    Fixture f;
    f.server->setLimits(1000, 1000, 200ms, 10s);
    support::RawCaller caller(f.base.get(), f.address);
    caller.write("GET / HTTP/1.1\r\n");
    int sent = 0;
    const auto trickle = Timer::repeating(f.base.get(), 80ms, [&] {
        if (++sent < 4)
            caller.write("X");
    });
    REQUIRE(caller.readAll().substr(0, 12) == "HTTP/1.1 408");
}

TEST_CASE("Bodies share the memory of their server; small ones take none", "[http]")
{
    const auto base = makeLoop();
    HttpServer::Options options;
    options.address = freeAddress();
    options.bodies = MemoryBudget(300000);
    const auto server = std::move(HttpServer::listen(base.get(), options, [](auto exchange) {
        exchange->reply({ 200, {}, std::to_string(exchange->takeBody().bytes.size()) });
    }).value());
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ";
    const auto send = [&](std::size_t n) {
        support::RawCaller caller(base.get(), options.address);
        caller.write(head + std::to_string(n) + "\r\n\r\n" + std::string(n, 'x'));
        return caller.readAll();
    };
    auto stalled = std::make_unique<support::RawCaller>(base.get(), options.address);
    stalled->write(head + "200000\r\n\r\n" + std::string(100000, 'x'));
    REQUIRE(support::runUntil(base.get(), [&] { return options.bodies.used() == 200000; }));
    const auto refused = send(150000);
    REQUIRE(refused.substr(0, 12) == "HTTP/1.1 503");
    REQUIRE(refused.find("Retry-After: 1") != std::string::npos);
    REQUIRE(send(60000).substr(0, 12) == "HTTP/1.1 200");
    stalled.reset();
    REQUIRE(support::runUntil(base.get(), [&] { return options.bodies.used() == 0; }));
    REQUIRE(send(150000).substr(0, 12) == "HTTP/1.1 200");
    REQUIRE(send(900000).substr(0, 12) == "HTTP/1.1 200"); // alone
    REQUIRE(options.bodies.used() == 0);
}

TEST_CASE("A connection beyond the bound takes the place of the one that waits longest", "[http]")
{
    const auto base = makeLoop();
    HttpServer::Options options;
    options.address = freeAddress();
    options.maxConnections = 2;
    std::vector<std::unique_ptr<HttpExchange>> held;
    const auto server = std::move(HttpServer::listen(base.get(), options, [&](auto exchange) {
        held.push_back(std::move(exchange));
    }).value());
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    support::RawCaller first(base.get(), options.address);
    first.write(request);
    REQUIRE(support::runUntil(base.get(), [&] { return held.size() == 1; }));
    support::RawCaller second(base.get(), options.address);
    second.write("GET / HT");
    REQUIRE(support::runUntil(base.get(), [&] { return server->connections() == 2; }));
    support::RawCaller third(base.get(), options.address);
    third.write(request);
    REQUIRE(support::runUntil(base.get(), [&] { return held.size() == 2; }));
    REQUIRE(second.readAll().empty());
    // Both are being answered now.
    support::RawCaller fourth(base.get(), options.address);
    REQUIRE(fourth.readAll().empty());
    held[0]->reply({ 200, { { "Connection", "close" } }, "a" });
    REQUIRE(server->connections() == 2);
}

TEST_CASE("Pipelined requests are answered in turn; one hidden in a body is no request", "[http]")
{
    Fixture fixture;
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto out = rawAnswer(fixture,
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n"
            + hidden + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(out.find("Seen: /1") < out.find("Seen: /2"));
    REQUIRE(out.find("Seen: /2") != std::string::npos);
    REQUIRE(out.find("Seen: /hidden") == std::string::npos);
}

TEST_CASE("A reply without a length ends with its connection, but not by a reset", "[http]")
{
    const RawServer whole({ "HTTP/1.1 200 OK\r\n\r\nall of it", Ending::Closes });
    REQUIRE(ask(whole).result.value().body == "all of it");
    const RawServer reset({ "HTTP/1.1 200 OK\r\n\r\nall of it", Ending::Resets, 50ms });
    REQUIRE(ask(reset).result.error().kind == HttpErrorKind::Broken);
}

// A connection that was to end cut its last answer off one second after it was given.
TEST_CASE("A last answer is whole for a caller that reads it slowly", "[http]")
{
    Fixture f;
    f.answersAtOnce = false;
    f.server->setClosing(true);
    constexpr std::size_t bodyBytes = 32U << 20U;
    support::RawCaller caller(f.base.get(), f.address);
    caller.write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    f.runUntil([&] { return f.held.size() == 1; });
    f.held[0]->reply({ 200, {}, std::string(bodyBytes, 'b') });
    bool hasRested = false;
    const auto rest = Timer::once(f.base.get(), 1500ms, [&] { hasRested = true; });
    f.runUntil([&] { return hasRested; });
    const auto answer = caller.readAll();
    REQUIRE(answer.find("Connection: close") != std::string::npos);
    REQUIRE(answer.size() - answer.find("\r\n\r\n") - 4 == bodyBytes);
}

TEST_CASE("Bytes after a whole reply belong to no request", "[http]")
{
    const RawServer server(
        { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb" });
    const auto [result, isKept] = ask(server);
    REQUIRE(result.value().body == "a");
    REQUIRE_FALSE(isKept);
}

TEST_CASE("A reply to another request is dropped and the right one awaited", "[http]")
{
    const RawServer server({ "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nId: "
                             "mine\r\nContent-Length: 1\r\n\r\nb" });
    HttpPool::SendOptions options { 2s };
    options.isOurs = [](const HttpReply& reply) { return findHeader(reply.headers, "Id") == "mine"; };
    const auto [result, isKept] = ask(server, options);
    REQUIRE(result.value().body == "b");
    REQUIRE_FALSE(isKept);
}

TEST_CASE("Interim replies are passed over; what is no reply is an error", "[http]")
{
    const RawServer interim({ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" });
    REQUIRE(ask(interim).result.value().body == "a");
    const RawServer noise({ "\x16\x03 what is this\r\n\r\n" });
    REQUIRE(ask(noise).result.error().kind == HttpErrorKind::Broken);
}

// Interim replies, and replies to other requests, were passed over for as long as they came.
TEST_CASE("A server that never comes to its reply is given up before the time is over", "[http]")
{
    const auto errorOf = [](const std::string& bytes) {
        const RawServer server({ bytes });
        HttpPool::SendOptions options { 5s };
        options.isOurs = [](const HttpReply& reply) { return findHeader(reply.headers, "Id") == "mine"; };
        return ask(server, options).result.error().kind;
    };
    const auto repeated = [](const std::string& text, std::size_t times) {
        std::string out;
        for (std::size_t i = 0; i < times; ++i)
            out += text;
        return out;
    };
    constexpr std::size_t longer = 100000;
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
    REQUIRE(errorOf(repeated("HTTP/1.1 100 Continue\r\n\r\n", 100)) == HttpErrorKind::Broken);
    REQUIRE(errorOf(repeated("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\na", 100))
        == HttpErrorKind::Broken);
    REQUIRE(errorOf("HTTP/1.1 200 OK\r\nX: " + std::string(longer, 'x')) == HttpErrorKind::TooLarge);
    REQUIRE(errorOf(chunked + "1\r\na\r\n0\r\nX: " + std::string(longer, 'x')) == HttpErrorKind::TooLarge);
    REQUIRE(errorOf(chunked + "1;x=" + std::string(longer, 'x')) == HttpErrorKind::TooLarge);
}

TEST_CASE("A body without end is given up at the bound of replies", "[http]")
{
    const std::string piece(5U << 20U, 'x');
    for (const auto* head :
        { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" }) {
        CAPTURE(head);
        const RawServer server({ head + piece });
        REQUIRE(ask(server, { 5s }).result.error().kind == HttpErrorKind::TooLarge);
    }
}

TEST_CASE("A reply that comes before the request was read ends the connection", "[http]")
{
    const RawServer server({ "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n" });
    const auto base = makeLoop();
    HttpPool::Options options;
    options.address = server.address;
    HttpPool pool(base.get(), options);
    int status = 0;
    // More than the sockets hold, so that a part is still here when the reply comes.
    pool.send({ "POST", "/", {}, std::string(32U << 20U, 'x') }, 5s,
        [&](auto result) { status = result.value().status; });
    REQUIRE(support::runUntil(base.get(), [&] { return status != 0; }));
    REQUIRE(status == 413);
    REQUIRE(pool.connections() == 0);
}

TEST_CASE("A connection that rested too long is not used for what must not be lost", "[http]")
{
    Fixture fixture;
    HttpPool pool(fixture.base.get(), fixture.pool());
    int done = 0;
    const auto sendOne = [&](Duration longestRest) {
        HttpPool::SendOptions options { 2s };
        options.longestRest = longestRest;
        const int before = done;
        pool.send({ "GET", "/", {}, {} }, options, [&](auto) { ++done; });
        fixture.runUntil([&] { return done > before; });
    };
    sendOne(1h);
    sendOne(1h);
    REQUIRE(pool.opened() == 1);
    usleep(30000);
    sendOne(10ms);
    REQUIRE(pool.opened() == 2);
}

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

TEST_CASE("A time limit counts from the sending, also late in a long turn of the loop", "[http]")
{
    Fixture fixture;
    fixture.answersAtOnce = false;
    HttpPool pool(fixture.base.get(), fixture.pool());
    std::optional<Duration> took;
    const auto turn = Timer::once(fixture.base.get(), 1ms, [&] {
        std::this_thread::sleep_for(
            300ms); // as reading a large configuration takes on a small share of a core
        const auto sent = monotonicNow();
        pool.send({ "GET", "/", {}, {} }, 400ms, [&, sent](auto reply) {
            REQUIRE(reply.error().kind == HttpErrorKind::TimedOut);
            took = monotonicNow() - sent;
        });
    });
    fixture.runUntil([&] { return took.has_value(); });
    REQUIRE(*took >= 399ms);
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
