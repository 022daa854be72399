/// \file Answers that are cut short or are no HTTP/1.1 replies, from a server that writes them byte by byte.

#include "Http/HttpPool.h"
#include "support/ParsedReply.h"
#include "support/RawServer.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace robinrun;
using support::ask;
using support::Ending;
using support::parsed;
using support::RawReply;
using support::RawServer;
using support::withoutEnd;

namespace {

/// More than the sockets hold, so that a part of the request is still to be written when the reply comes.
constexpr std::size_t uploadBytes = 8U << 20U;
// Replies of up to 40,000 bytes fit in what a client's socket takes at first, so a reset leaves them there
// whole.

Result<HttpReply, HttpError> upload(const RawServer& server)
{
    return ask(server, { 5s }, { "POST", "/", {}, std::string(uploadBytes, 'u') }).result;
}

/// \brief As upload(), but the client's loop does not run from the first bytes of the request until the
/// connection has ended, so that the reply and its end are told together.
Result<HttpReply, HttpError> uploadUnheard(const RawReply& reply)
{
    std::atomic<bool> hasCome = false;
    const RawServer server([&](std::string_view) {
        hasCome = true;
        std::this_thread::sleep_for(50ms);
        return reply;
    });
    const auto base = makeLoop();
    HttpPool::Options options;
    options.address = server.address;
    HttpPool pool(base.get(), options);
    std::optional<Result<HttpReply, HttpError>> out;
    pool.send({ "POST", "/", {}, std::string(uploadBytes, 'u') }, 5s,
        [&](auto result) { out.emplace(std::move(result)); });
    const auto look = Timer::repeating(base.get(), 1ms, [] {});
    REQUIRE(support::runUntil(base.get(), [&] { return hasCome.load(); }));
    support::awaitServed(server, 1);
    REQUIRE(support::runUntil(base.get(), [&] { return out.has_value(); }));
    return std::move(*out);
}

std::string withLength(int status, std::size_t n)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(n) + "\r\n\r\n"
        + std::string(n, 'b');
}

/// The rest of a reply, behind its status line.
const std::string shortBody = "Content-Length: 1\r\n\r\na";

/// \returns how a request that is answered with \a reply fails; nothing if it does not.
std::optional<HttpErrorKind> errorOf(const RawReply& reply)
{
    const RawServer server(reply);
    const auto result = ask(server).result;
    return result ? std::nullopt : std::optional(result.error().kind);
}

} // namespace

// The write that failed took the error of the socket, and the end that was read after it looked like an
// orderly one.
TEST_CASE("A reply without a length that is reset during an upload is not whole", "[reply]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    for (const auto ending : { Ending::Resets, Ending::Closes }) {
        for (const auto pause : { 0ms, 20ms, 100ms }) {
            for (const std::size_t n : { 0, 1000, 100000 }) {
                CAPTURE(static_cast<int>(ending), pause.count(), n);
                const RawServer server({ head + std::string(n, 'b'), ending, pause });
                const auto result = upload(server);
                CHECK_FALSE(result.has_value());
                if (!result)
                    CHECK(result.error().kind == HttpErrorKind::Broken);
            }
        }
    }
}

TEST_CASE("A reply without a length that ends in order during an upload is whole", "[reply]")
{
    for (const std::size_t n : { 0, 1000, 100000 }) {
        CAPTURE(n);
        const RawServer server({ "HTTP/1.1 200 OK\r\n\r\n" + std::string(n, 'b'), Ending::HalfCloses });
        CHECK(upload(server).value().body.size() == n);
    }
}

TEST_CASE("A reply of known length that came whole before a reset is delivered", "[reply]")
{
    for (const auto ending : { Ending::StaysOpen, Ending::Resets, Ending::Closes }) {
        for (const std::size_t n : { 0, 1000, 40000 }) {
            CAPTURE(static_cast<int>(ending), n);
            const RawServer server({ withLength(413, n), ending, 100ms });
            const auto result = upload(server);
            CHECK(result.has_value());
            if (result) {
                CHECK(result.value().status == 413);
                CHECK(result.value().body.size() == n);
            }
        }
    }
}

// A request that could no longer be written ended the exchange, whatever had come and was not read yet.
TEST_CASE("A reply of known length that came whole together with a reset is delivered", "[reply]")
{
    for (const auto ending : { Ending::Resets, Ending::Closes }) {
        for (const std::size_t n : { 0, 1000, 40000 }) {
            CAPTURE(static_cast<int>(ending), n);
            const auto result = uploadUnheard({ withLength(413, n), ending });
            CHECK(result.has_value());
            if (result)
                CHECK(result.value().body.size() == n);
            CHECK_FALSE(uploadUnheard({ "HTTP/1.1 200 OK\r\n\r\n" + std::string(n, 'b'), ending }));
            auto cut = withLength(200, n + 1);
            cut.pop_back();
            CHECK_FALSE(uploadUnheard({ cut, ending }));
        }
    }
}

// 000 to 099 were passed over as interim replies, until the time of the request was over; 600 and above
// passed on.
TEST_CASE("A status outside 100 to 599, or 101, is refused at once", "[reply]")
{
    for (const std::string status : { "000", "001", "099", "101", "600", "999" }) {
        CAPTURE(status);
        const auto bytes = "HTTP/1.1 " + status + " X\r\n" + shortBody;
        CHECK(errorOf({ bytes }) == HttpErrorKind::Broken);
        CHECK(errorOf({ bytes + withLength(200, 1) }) == HttpErrorKind::Broken);
        CHECK(errorOf({ "HTTP/1.1 " + status + " X\r\n\r\n" + withLength(200, 1) }) == HttpErrorKind::Broken);
    }
    for (const std::string status : { "20", "2000", "+20", "2 0", "-20", "0x1", "" }) {
        CAPTURE(status);
        CHECK(errorOf({ "HTTP/1.1 " + status + " X\r\n" + shortBody }) == HttpErrorKind::Broken);
    }
    for (const int status : { 200, 299, 599 })
        CHECK_FALSE(errorOf({ withLength(status, 1) }));
    CHECK_FALSE(errorOf({ "HTTP/1.1 103 X\r\n\r\n" + withLength(200, 1) }));
}

// A line that begins with a blank was joined to the value before it, also one that named the length of the
// body.
TEST_CASE("A folded header field is refused, wherever the header is cut into pieces", "[reply]")
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    for (const std::string field : { "X: a\r\n b", "X: a\r\n\tb", "X:\r\n b", "X: a\r\n \r\nY: b",
             "X: a\r\n Y: b", "X: a\r\n Content-Length: 7" }) {
        for (const auto& bytes : { statusLine + field + "\r\n" + shortBody,
                 "HTTP/1.1 103 X\r\n" + field + "\r\n\r\n" + statusLine + shortBody }) {
            CAPTURE(bytes);
            CHECK(errorOf({ bytes }) == HttpErrorKind::Broken);
            for (std::size_t at = 0; at <= bytes.size(); ++at)
                CHECK_FALSE(parsed(bytes, at));
        }
    }
    const std::string body = "\r\n a\r\n\tb: c\r\n\r\n d";
    const auto sound = statusLine + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t at = 0; at <= sound.size(); ++at) {
        const auto reply = parsed(sound, at);
        CHECK((reply && reply->body == body));
    }
}

// Such bodies were delivered as the socket gave them, with the sizes of the chunks within.
TEST_CASE("A body with a transfer coding other than chunked alone is refused at once", "[reply]")
{
    const std::string chunks = "\r\n1\r\na\r\n0\r\n\r\n";
    const auto coded = [&](const std::string& codings, const std::string& more = "") {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings + "\r\n" + more + chunks;
    };
    for (const std::string codings : { "gzip", "gzip, chunked", "chunked, gzip", "identity", "x chunked",
             "chunked;q=1", "chunked, chunked", "\"chunked\"" }) {
        for (const std::string more : { "", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n" }) {
            CAPTURE(codings, more);
            CHECK(errorOf({ coded(codings, more) }) == HttpErrorKind::Broken);
        }
    }
    for (const std::string codings : { "", "," }) {
        CAPTURE(codings);
        CHECK(errorOf({ coded(codings) }) == HttpErrorKind::Broken);
        CHECK(errorOf({ coded(codings, "Content-Length: 5\r\n") }) == HttpErrorKind::Broken);
        // An empty item of a list says nothing, so both lines together name chunked alone.
        CHECK_FALSE(errorOf({ coded(codings, "Transfer-Encoding: chunked\r\n") }));
    }
    CHECK(errorOf({ coded("chunked", "Content-Length: 5\r\n") }) == HttpErrorKind::Broken);
    CHECK(errorOf({ coded("chunked", "Transfer-Encoding: chunked\r\n") }) == HttpErrorKind::Broken);
    CHECK(errorOf({ "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks }) == HttpErrorKind::Broken);
    for (const std::string codings : { "chunked", "Chunked", ", chunked ," }) {
        CAPTURE(codings);
        const RawServer server({ coded(codings) });
        CHECK(ask(server).result.value().body == "a");
    }
}

TEST_CASE("A reply that has no body may name any transfer coding", "[reply]")
{
    const std::string coding = "Transfer-Encoding: gzip, chunked\r\n\r\n";
    for (const int status : { 204, 304 }) {
        const RawServer server({ "HTTP/1.1 " + std::to_string(status) + " X\r\n" + coding });
        CHECK(ask(server).result.value().status == status);
    }
    const RawServer server({ "HTTP/1.1 200 OK\r\n" + coding });
    CHECK(ask(server, { 2s }, { "HEAD", "/", {}, {} }).result.value().status == 200);
}

// The parser joined them to the header, folded lines with the value before them.
TEST_CASE("Fields of a trailer are not those of the header", "[reply]")
{
    for (const std::string trailer : { "X: y", "X: y\r\n z", "X: y\r\n\tZ: 1" }) {
        const auto bytes = "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
            + trailer + "\r\n\r\n";
        for (std::size_t at = 0; at <= bytes.size(); ++at) {
            CAPTURE(trailer, at);
            const auto reply = parsed(bytes, at);
            REQUIRE(reply);
            CHECK(reply->body == "a");
            CHECK(findHeader(reply->headers, "A") == "b");
            CHECK_FALSE(findHeader(reply->headers, "X"));
        }
    }
}

TEST_CASE("A trailer that is none, or that names a framing, makes a reply broken", "[reply]")
{
    for (const std::string trailer : { "X : y", " X: y", "X\x01Y: z", "none", ": y", "Content-Length: 1",
             "Transfer-Encoding: chunked", "Transfer-Encoding: gzip" }) {
        CAPTURE(trailer);
        CHECK(errorOf({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + trailer
                  + "\r\n\r\n" })
            == HttpErrorKind::Broken);
    }
}

TEST_CASE("A malformed header is refused at once", "[reply]")
{
    const std::string nul(1, '\0');
    for (const std::string& field :
        { std::string("X : y"), std::string("X\t: y"), std::string("X Y: z"), std::string("X\x01Y: z"),
            std::string("\x01X: y"), std::string("X\x7fY: z"), "X" + nul + "Y: z", std::string(" X: y"),
            std::string("\tX: y"), std::string("X(: y"), std::string("X\xc3Y: z"), std::string(": y"),
            std::string("none"), std::string("X: a\x01z"), "X: a" + nul + "b", std::string("X: a\rb"),
            std::string("X: a\nb"), std::string("X: a\nY: b"), std::string("X: a\x7fz") }) {
        CAPTURE(field);
        CHECK(errorOf({ "HTTP/1.1 200 OK\r\n" + field + "\r\n" + shortBody }) == HttpErrorKind::Broken);
        CHECK(errorOf({ "HTTP/1.1 103 X\r\n" + field + "\r\n\r\n" + withLength(200, 1) })
            == HttpErrorKind::Broken);
    }
    for (const std::string& statusLine : { std::string("HTTP/1.2 200 X"), std::string("HTTP/2.0 200 X"),
             std::string("HTTP/0.9 200 X"), std::string("HTTP/11 200 X"), std::string("http/1.1 200 X"),
             std::string(" HTTP/1.1 200 X"), std::string("\r\nHTTP/1.1 200 X"),
             std::string("HTTP/1.1  200 X"), std::string("HTTP/1.1 200 \x01"),
             std::string("HTTP/1.1 200 a\rb"), std::string("HTTP/1.1 200 a\nb"), "HTTP/1.1 200 " + nul }) {
        CAPTURE(statusLine);
        CHECK(errorOf({ statusLine + "\r\n" + shortBody }) == HttpErrorKind::Broken);
    }
}

TEST_CASE("A malformed or contradicting length, or chunk, makes a reply broken", "[reply]")
{
    for (const std::string length : { "+1", "-1", "1 1", "0x1", "1, 2", "", "1.0", "1;", "\"1\"",
             "99999999999999999999999", "18446744073709551617", "1\r\nContent-Length: 2" }) {
        CAPTURE(length);
        CHECK(errorOf({ "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\na", Ending::Closes })
            == HttpErrorKind::Broken);
    }
    for (const std::string chunks : { "1\r\nab\r\n0\r\n\r\n", "2\r\na\r\n0\r\n\r\n", "1\na\n0\n\n",
             "-1\r\na\r\n0\r\n\r\n", "+1\r\na\r\n0\r\n\r\n", "0x1\r\na\r\n0\r\n\r\n", " 1\r\na\r\n0\r\n\r\n",
             "10000000000000001\r\na\r\n0\r\n\r\n", "g\r\na\r\n0\r\n\r\n", "\r\na\r\n0\r\n\r\n",
             "1;x\x01=y\r\na\r\n0\r\n\r\n", "1\r\na0\r\n\r\n" }) {
        CAPTURE(chunks);
        CHECK(errorOf({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, Ending::Closes })
            == HttpErrorKind::Broken);
    }
}

TEST_CASE("A reply that is cut anywhere is never taken for whole", "[reply]")
{
    const std::string interim = "HTTP/1.1 103 X\r\nA: b\r\n\r\n";
    const auto known = interim + "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello";
    const auto chunked = interim
        + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n5;x=y\r\nhello\r\n0\r\nC: d\r\n\r\n";
    for (const auto& bytes : { known, chunked }) {
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CAPTURE(bytes.substr(0, n));
            CHECK_FALSE(parsed(std::string_view(bytes).substr(0, n), n / 2));
        }
        CHECK(parsed(bytes, bytes.size() / 2));
    }
    const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n";
    for (std::size_t n = 0; n < head.size(); ++n) {
        for (const auto ending : { Ending::Closes, Ending::Resets }) {
            CAPTURE(n, static_cast<int>(ending));
            CHECK(errorOf({ head.substr(0, n), ending }) == HttpErrorKind::Broken);
        }
    }
}

TEST_CASE("Bytes without end are given up at a bound, wherever they stand", "[reply]")
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = statusLine + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& [begin, piece] : std::vector<std::pair<std::string, std::string>> { { "", "x" },
             { "", "\r\n" }, { "", std::string(1, '\0') }, { "HTTP/1.1 200 ", "x" },
             { statusLine, "X: y\r\n" }, { statusLine + "X", "x" }, { statusLine + "X: ", "x" },
             { "", "HTTP/1.1 103 X\r\n\r\n" }, { chunked, "0" }, { chunked + "1;", "x" },
             { chunked, "10\r\n0123456789abcdef\r\n" }, { chunked + "0\r\n", "X: y\r\n" },
             { statusLine + "\r\n", "x" }, { statusLine + "Content-Length: 99999999\r\n\r\n", "x" } }) {
        CAPTURE(begin, piece);
        const auto error = errorOf(withoutEnd(begin, piece));
        CHECK((error == HttpErrorKind::Broken || error == HttpErrorKind::TooLarge));
    }
}

// What had come for no request was read as the reply to the next one, and an end of the connection cut that
// one off.
TEST_CASE("A connection on which anything has come since its last reply carries no other request", "[reply]")
{
    const auto sound = withLength(200, 1);
    for (const auto& reply : { RawReply { sound, Ending::StaysOpen, 20ms, withLength(200, 5) },
             RawReply { sound, Ending::Closes, 20ms, withLength(408, 0) },
             RawReply { sound, Ending::Closes, 20ms }, RawReply { sound, Ending::Resets, 20ms } }) {
        CAPTURE(reply.late, static_cast<int>(reply.ending));
        const RawServer server(reply);
        const auto base = makeLoop();
        HttpPool::Options options;
        options.address = server.address;
        HttpPool pool(base.get(), options);
        const auto bodyOfNext = [&] {
            std::optional<std::string> body;
            pool.send({ "GET", "/", {}, {} }, 2s, [&](auto result) {
                body = result ? result.value().body : std::string(nameOf(result.error().kind));
            });
            REQUIRE(support::runUntil(base.get(), [&] { return body.has_value(); }));
            return *body;
        };
        CHECK(bodyOfNext() == "b");
        // The loop does not run meanwhile, so the pool is not told what comes.
        support::awaitServed(server, 1);
        CHECK(bodyOfNext() == "b");
        CHECK(pool.opened() == 2);
    }
}
