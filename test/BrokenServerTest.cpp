/// \file Real nodes as processes beside a backend server whose replies to calls are broken: what callers see.

#include "support/BrokenServer.h"
#include "support/MeshProcesses.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

using namespace robinrun;
using support::BrokenServer;
using support::Ending;
using support::MeshProcesses;
using support::RawReply;
using support::withoutEnd;

namespace {

constexpr std::size_t longestBody = 16U << 20U;
/// More than the sockets hold.
constexpr std::size_t uploadBytes = 8U << 20U;

/// \brief Replies that are none, by what is wrong with them.
std::vector<std::pair<std::string, BrokenServer::Reply>> brokenReplies()
{
    const auto with = [](std::string begin, std::string end, Ending ending = Ending::StaysOpen,
                          Duration pause = {}) {
        return [=](const std::string& fields) { return RawReply { begin + fields + end, ending, pause }; };
    };
    const std::string ok = "HTTP/1.1 200 X\r\n";
    const std::string length = "Content-Length: 1\r\n\r\na";
    const std::string part(1000, 'b');
    return {
        { "reset at once", with(ok, "\r\n" + part, Ending::Resets) },
        { "reset later", with(ok, "\r\n" + part, Ending::Resets, 50ms) },
        { "reset, no body", with(ok, "\r\n", Ending::Resets, 50ms) },
        { "status 000", with("HTTP/1.1 000 X\r\n", length) },
        { "status 600", with("HTTP/1.1 600 X\r\n", length) },
        { "blank in a name", with(ok, "X Y: z\r\n" + length) },
        { "control byte in a name", with(ok, "X\x01Y: z\r\n" + length) },
        { "folded length", with(ok, "X: y\r\n " + length, Ending::Closes) },
        { "transfer coding",
            with(ok, "Transfer-Encoding: chunked, gzip\r\n\r\n1\r\na\r\n0\r\n\r\n", Ending::Closes) },
        { "cut header", with(ok, "X", Ending::Closes) },
        { "header without end",
            [=](const std::string& fields) { return withoutEnd(ok + fields + "X: ", "x"); } },
        { "body without end",
            [=](const std::string& fields) { return withoutEnd(ok + fields + "\r\n", "x"); } },
    };
}

class BrokenServerSite : public MeshProcesses {
public:
    BrokenServerSite()
        : MeshProcesses("broken-server", {})
    {
        store.put("keyed.op", "config", configurationWithBodies(5, longestBody));
        server.replyWith(BrokenServer::sound());
        startProcess(newPlace("other"));
        auto place = newPlace("shop");
        place.backend->stop();
        place.settings.backend = server.address();
        startProcess(std::move(place));
        untilServed(0);
        untilServed(1);
    }

    HttpReply upload(std::size_t from)
    {
        auto it = request("POST", "/buy/x");
        it.body.assign(uploadBytes, 'u');
        return send(places[from].settings.listen.callers, it);
    }

    /// \brief Adds a node with a server whose replies are sound, and waits until node 0 calls it.
    void addSoundServer()
    {
        startProcess(newPlace("shop"));
        for (int n = 0; n < 200; ++n) {
            if (isReadSound())
                return;
            pass(20ms);
        }
        FAIL("no read reaches the sound server");
    }

    /// \returns whether the sound server has answered a read that is sent to node 0.
    bool isReadSound()
    {
        const auto result = call(0, "GET", "/read/x");
        return result.status == 200 && result.body == "body of i-n2";
    }

    BrokenServer server;
};

} // namespace

TEST_CASE("Callers get no broken reply, from the node beside the server or from another one", "[reply]")
{
    BrokenServerSite f;
    for (const std::size_t from : { 0, 1 }) {
        for (const auto& [name, reply] : brokenReplies()) {
            CAPTURE(from, name);
            f.server.replyWith(reply);
            const auto result = f.upload(from);
            CHECK(result.status == 504);
            CHECK(findHeader(result.headers, "Robinrun-Outcome") == "unknown");
            // Not at the deadline.
            CHECK(findHeader(result.headers, "Robinrun-Reason") == "backend-failed");
        }
        f.server.replyWith(BrokenServer::sound());
        CHECK(f.upload(from).status == 200);
    }
}

TEST_CASE("A server whose replies are broken loses its calls to another one, and callers see only that one",
    "[reply]")
{
    constexpr int reads = 60;
    for (const auto& [name, reply] : brokenReplies()) {
        CAPTURE(name);
        BrokenServerSite f;
        f.addSoundServer();
        f.server.replyWith(reply);
        const auto before = f.server.calls();
        int answered = 0;
        for (int i = 0; i < reads; ++i) {
            answered += f.isReadSound() ? 1 : 0;
        }
        CHECK(answered == reads);
        CHECK(f.server.calls() - before < reads / 2);
    }
}
