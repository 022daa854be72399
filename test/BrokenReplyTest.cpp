/// \file Answers that are cut short or are no HTTP/1.1 replies, from a server that writes them byte by byte.

#include "Http/HttpPool.h"
#include "support/RawServer.h"

#include <catch2/catch.hpp>
#include <string>

using namespace robinrun;
using support::ask;
using support::Ending;
using support::RawServer;

namespace {

/// More than the sockets hold, so that a part of the request is still to be written when the reply comes.
constexpr std::size_t uploadBytes = 8U << 20U;

Result<HttpReply, HttpError> upload(const RawServer& server)
{
    return ask(server, { 5s }, { "POST", "/", {}, std::string(uploadBytes, 'u') }).result;
}

std::string withLength(int status, std::size_t n)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(n) + "\r\n\r\n"
        + std::string(n, 'b');
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
        for (const std::size_t n : { 0, 1000, 100000 }) {
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
TEST_CASE("A reply of known length that came whole together with a reset is delivered", "[http]")
{
    constexpr int repeats = 20;
    for (const auto ending : { Ending::Resets, Ending::Closes }) {
        for (const std::size_t n : { 0, 1000, 40000 }) {
            CAPTURE(static_cast<int>(ending), n);
            int whole = 0;
            for (int i = 0; i < repeats; ++i) {
                const RawServer server({ withLength(413, n), ending });
                const auto result = upload(server);
                whole += result.has_value() && result.value().body.size() == n ? 1 : 0;
            }
            CHECK(whole == repeats);
        }
    }
}
