#include "support/BrokenServer.h"
#include "support/Crowd.h"
#include "support/MeshProcesses.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

/// \file Clients outside the limits at real nodes, which run as processes on small hosts: each node lives,
/// stays within the memory and the descriptors of its host and answers an ordinary request afterwards.

using namespace robinrun;
using support::CrowdMember;
using support::MeshProcesses;

namespace {

/// The hosts have 64 MB and 256 descriptors, and bodies may have 16 MiB: in proportion to what a node needs
/// for itself that is a host of 160 MB with bodies of 64 MiB.
constexpr std::uint64_t memoryMegabytes = 64;
constexpr std::size_t descriptors = 256;
constexpr std::size_t longestBody = 16U << 20U;
/// The bound of replies is the same on every host; this is the smallest one that it is meant for.
constexpr support::HostLimits hostsOfLongReplies { 160, descriptors };
constexpr std::uint64_t farOver = 8 * std::uint64_t { longestBody };
constexpr Duration patience = 60s; ///< ends a run that hangs

std::uint64_t peakKilobytes(pid_t pid)
{
    std::istringstream status(support::readFile("/proc/" + std::to_string(pid) + "/status"));
    const std::string field = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoull(line.substr(field.size()));
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// \brief Three nodes as processes: node 0 is of the service `other`, nodes 1 and 2 are beside the backend
/// servers of `shop`. The crowd comes to node 0.
class SmallHosts : public MeshProcesses {
public:
    explicit SmallHosts(support::HostLimits limits = { memoryMegabytes, descriptors })
        : MeshProcesses("memory", limits)
        , m_limits(limits)
    {
        store.put("keyed.op", "config", configurationWithBodies(5, longestBody));
        for (const auto* service : { "other", "shop", "shop" })
            addProcess(service);
        untilServed(0);
        untilServed(1);
        untilServed(2);
    }

    /// \brief Adds \a n members to the crowd at node \a place.
    void come(std::size_t n, const CrowdMember::Script& script, std::size_t place = 0)
    {
        for (std::size_t i = 0; i < n; ++i)
            m_crowd.push_back(
                std::make_unique<CrowdMember>(base.get(), places[place].settings.listen.callers, script));
    }

    /// \returns the start of a request with a body, up to the fields that say how long that is.
    std::string headOf(const std::string& path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Robinrun-Request-Id: q"
            + std::to_string(++lastRequest) + "\r\nX-Robinrun-Deadline-Ms: 6000\r\n";
    }

    /// \brief Runs until each member has sent all or was closed.
    void untilAllSent()
    {
        untilLong([&] {
            return std::all_of(m_crowd.begin(), m_crowd.end(), [](const auto& it) { return it->isDone(); });
        });
    }

    /// \brief Runs until each member has got an answer or was closed.
    void untilAllAnswered()
    {
        untilLong([&] {
            return std::all_of(m_crowd.begin(), m_crowd.end(),
                [](const auto& it) { return it->hasEnded() || !it->received().empty(); });
        });
    }

    /// \brief Runs until the node has closed the connections of all members.
    void untilAllClosed()
    {
        untilLong([&] {
            return std::all_of(m_crowd.begin(), m_crowd.end(), [](const auto& it) { return it->isClosed(); });
        });
    }

    template <class F> void untilLong(F isDone)
    {
        bool isOver = false;
        const auto limit = Timer::once(base.get(), patience, [&] { isOver = true; });
        const auto look = Timer::repeating(base.get(), 5ms, [] {});
        while (!isDone() && !isOver)
            event_base_loop(base.get(), EVLOOP_ONCE);
        CHECK(isDone());
    }

    /// \brief Checks that an ordinary request is answered and all nodes are within their bounds.
    void checkNodes()
    {
        CHECK(call(0, "GET", "/read/x").status == 200);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            CAPTURE(i);
            REQUIRE(nodes[i]->isRunning());
            CHECK(peakKilobytes(nodes[i]->pid()) <= m_limits.memoryMegabytes * 1000 * 1000 / 1024);
            CHECK(openDescriptors(nodes[i]->pid()) <= m_limits.descriptors);
        }
    }

    /// \returns the status of a purchase with the longest body, which \a framing and \a body transfer.
    std::string purchase(const std::string& framing, const CrowdMember::Script& body)
    {
        auto script = body;
        script.head = headOf("/buy/x") + framing + "\r\n" + body.head;
        CrowdMember caller(base.get(), places[0].settings.listen.callers, script);
        const std::string_view begin = "HTTP/1.1 ";
        untilLong([&] { return caller.hasEnded() || caller.received().size() > begin.size() + 3; });
        return caller.received().substr(0, begin.size() + 3);
    }

    /// \brief Adds a node of `shop` beside \a server.
    void addBeside(const support::BrokenServer& server)
    {
        auto place = newPlace("shop");
        place.backend->stop();
        place.settings.backend = server.address();
        startProcess(std::move(place));
        untilServed(places.size() - 1);
    }

private:
    void addProcess(const std::string& service)
    {
        auto place = newPlace(service);
        auto& backend = *place.backend;
        backend.stop();
        backend.longestBody = longestBody;
        backend.start();
        startProcess(std::move(place));
    }

    support::HostLimits m_limits;
    std::vector<std::unique_ptr<CrowdMember>> m_crowd;
};

std::string lengthOf(std::uint64_t n)
{
    return "Content-Length: " + std::to_string(n) + "\r\n";
}

std::string hexOf(std::uint64_t n)
{
    std::ostringstream out;
    out << std::hex << n;
    return out.str();
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";

/// \returns how to send a body of \a n bytes in one chunk, but for its end.
CrowdMember::Script inChunk(std::uint64_t n)
{
    return { hexOf(n) + "\r\n", "x", n };
}

} // namespace

// Six copies of one request at the limit were held, more than a small host has.
TEST_CASE("A request at the limit of bodies is served within the memory of a small host", "[memory]")
{
    SmallHosts f;
    REQUIRE(f.purchase(lengthOf(longestBody), { "", "x", longestBody }) == "HTTP/1.1 200");
    auto body = inChunk(longestBody);
    body.tail = "\r\n0\r\n\r\n";
    REQUIRE(f.purchase(chunked, body) == "HTTP/1.1 200");
    f.checkNodes();
}

// Fields behind a chunked body were kept without a bound.
TEST_CASE("Trailers without end are not kept", "[memory]")
{
    SmallHosts f;
    f.come(2, { f.headOf("/buy/x") + chunked + "\r\n1\r\nx\r\n0\r\n", "A: bcdefghijklm\r\n", farOver });
    f.untilAllSent();
    f.checkNodes();
}

// All bodies that were on their way were kept, however many.
TEST_CASE("Bodies that stop short of their end stay within the memory of the node", "[memory]")
{
    SmallHosts f;
    f.come(4, { f.headOf("/buy/x") + lengthOf(longestBody) + "\r\n", "x", longestBody - 1 });
    auto script = inChunk(longestBody);
    script.head = f.headOf("/buy/x") + chunked + "\r\n" + script.head;
    script.bytes = longestBody - 1;
    f.come(4, script);
    f.untilAllSent();
    f.checkNodes();
}

// All whole requests that were in progress were kept, in several copies each.
TEST_CASE("Many bodies at the limit at once stay within the memory of the nodes", "[memory]")
{
    SmallHosts f;
    f.come(8, { f.headOf("/buy/x") + lengthOf(longestBody) + "\r\n", "x", longestBody });
    f.untilAllSent();
    f.checkNodes();
}

// Owners kept what all ingresses sent them.
TEST_CASE("Many bodies at the limit from several nodes stay within the memory of the owners", "[memory]")
{
    SmallHosts f;
    for (const std::size_t place : { 0, 1, 2 })
        f.come(4, { f.headOf("/buy/x") + lengthOf(longestBody) + "\r\n", "x", longestBody }, place);
    f.untilAllAnswered();
    f.checkNodes();
}

// Answers that a caller did not read were kept, however many it asked for.
TEST_CASE("Answers that a caller does not read are not piled up", "[memory]")
{
    SmallHosts f;
    constexpr std::size_t requests = 120;
    constexpr Duration longEnough = 4s;
    for (const std::size_t i : { 1, 2 }) {
        auto& backend = *f.places[i].backend;
        backend.instead = [&](const HttpRequest& request) {
            auto reply = backend.signedReply(request);
            if (request.target == "/read/long")
                reply.body.assign(1U << 20U, 'b');
            backend.requests.push_back(request);
            return reply;
        };
    }
    CrowdMember::Script script;
    for (std::size_t i = 0; i < requests; ++i)
        script.head += "GET /read/long HTTP/1.1\r\nHost: a.example\r\nX-Robinrun-Request-Id: p"
            + std::to_string(i) + "\r\nX-Robinrun-Deadline-Ms: 6000\r\n\r\n";
    script.reads = false;
    f.come(1, script);
    const auto end = monotonicNow() + longEnough;
    const auto ran
        = [&] { return f.places[1].backend->requests.size() + f.places[2].backend->requests.size(); };
    f.untilLong([&] { return ran() >= requests || monotonicNow() >= end; });
    f.checkNodes();
}

// A refused sender was read for as long as it went on.
TEST_CASE("Bodies over the limit are refused and their connections end", "[memory]")
{
    SmallHosts f;
    constexpr std::uint64_t withoutEnd = std::uint64_t { 1 } << 50U;
    f.come(2, { f.headOf("/buy/x") + lengthOf(withoutEnd) + "\r\n", "x", withoutEnd });
    auto script = inChunk(withoutEnd);
    script.head = f.headOf("/buy/x") + chunked + "\r\n" + script.head;
    f.come(2, script);
    // Chunks of 64 KiB each.
    f.come(2,
        { f.headOf("/buy/x") + chunked + "\r\n", "fff8\r\n" + std::string(0xfff8, 'x') + "\r\n",
            withoutEnd });
    f.untilAllClosed();
    f.checkNodes();
}

// Connections were accepted until the process had no descriptor left.
TEST_CASE("A crowd of connections leaves the node its descriptors", "[memory]")
{
    SmallHosts f;
    f.come(300, { "GET /read/x HTTP/1.1\r\n" });
    f.untilAllSent();
    f.checkNodes();
}

TEST_CASE("Replies of a server without end are not kept", "[memory]")
{
    constexpr int callers = 48;
    static_assert(callers > support::BrokenServer::slots);
    const std::string codingField = chunked + "\r\n";
    for (const auto& [rest, text] : std::vector<std::pair<std::string, std::string>> { { "X: ", "x" },
             { "", "X: y\r\n" }, { "\r\n", "x" }, { "Content-Length: 99999999\r\n\r\n", "x" },
             { codingField + "1;", "x" }, { codingField, "400\r\n" + std::string(0x400, 'x') + "\r\n" },
             { codingField + "0\r\n", "X: y\r\n" } }) {
        CAPTURE(rest, text.substr(0, 10));
        support::BrokenServer server;
        SmallHosts f(hostsOfLongReplies);
        f.addBeside(server);
        server.replyWith([rest = rest, text = text](const std::string& fields) {
            return support::withoutEnd("HTTP/1.1 200 X\r\n" + fields + rest, text);
        });
        const auto before = server.calls();
        for (int i = 0; i < callers; ++i)
            f.come(1,
                { "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Robinrun-Request-Id: p" + std::to_string(i)
                    + "\r\nX-Robinrun-Deadline-Ms: 6000\r\n\r\n" },
                3);
        f.untilAllAnswered();
        CHECK(server.calls() - before >= support::BrokenServer::slots / 4);
        f.checkNodes();
    }
}
