#include "Core/Hash.h"
#include "Core/Loop.h"
#include "Wire/PeerSocket.h"
#include "support/FaultProxy.h"
#include "support/Loopback.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <utility>
#include <vector>
#include <zmq.hpp>

using namespace robinrun;
using support::FaultProxy;
using support::freeAddress;
using support::runUntil;

namespace {

/// As on the machines of the incidents (docs/incidents/riga-7.md): 10 Mbit/s, and a heartbeat each 250 ms, of
/// which two may be missed.
constexpr std::size_t linkBytesPerSecond = 1250000;
constexpr Duration heartbeat = 250ms;
/// Takes 3.2 s, which is more than six times the two heartbeats after which a silent link ends.
constexpr std::size_t largeBytes = 4U << 20U;

/// \returns bytes of which no two stretches are alike.
std::string bodyOf(std::size_t n)
{
    std::string out;
    out.reserve(n + sizeof(std::uint64_t));
    for (std::uint64_t i = 0; out.size() < n; ++i) {
        const auto word = hash64("body", i);
        out.append(reinterpret_cast<const char*>(&word), sizeof(word));
    }
    out.resize(n);
    return out;
}

proto::PeerMessage callOf(std::uint64_t number, std::size_t bytes)
{
    proto::PeerMessage out;
    out.mutable_call()->set_number(number);
    out.mutable_call()->set_remaining_us(static_cast<std::uint32_t>(Duration(30s).count()));
    out.mutable_call()->set_body(bodyOf(bytes));
    return out;
}

proto::PeerMessage answerOf(std::uint64_t number, std::size_t bytes)
{
    proto::PeerMessage out;
    out.mutable_answer()->set_number(number);
    out.mutable_answer()->set_body(bodyOf(bytes));
    return out;
}

/// \brief A socket, and what came to it in its order.
struct Peer {
    std::string address = freeAddress();
    std::unique_ptr<PeerSocket> socket;
    std::vector<std::uint64_t> calls; ///< numbers
    std::vector<std::uint64_t> answers; ///< numbers
    std::vector<std::string> bodies; ///< of both
    std::vector<std::string> lost;
    std::size_t answerBytes = 0; ///< of the answer to each call; 0: none is given
    bool isRefused = false; ///< whether its socket is to refuse the answers

    Peer(event_base* base, const std::string& name,
        std::int64_t maxMessage = PeerSocket::Options {}.maxMessage)
    {
        PeerSocket::Options options;
        options.address = address;
        options.node = name;
        options.incarnation = 1;
        options.heartbeat = heartbeat;
        options.maxMessage = maxMessage;
        const auto onMessage
            = [this](const PeerSocket::Sender& from, proto::PeerMessage& message) { take(from, message); };
        socket = std::move(PeerSocket::bind(base, options, onMessage).value());
        socket->onLost([this](const std::string& peer) { lost.push_back(peer); });
    }

    void take(const PeerSocket::Sender& from, proto::PeerMessage& message)
    {
        if (message.has_answer()) {
            answers.push_back(message.answer().number());
            bodies.push_back(message.answer().body());
            return;
        }
        calls.push_back(message.call().number());
        bodies.push_back(message.call().body());
        auto answer = answerOf(message.call().number(), answerBytes);
        if (answerBytes)
            REQUIRE(socket->answer(from, answer, monotonicNow()) != isRefused);
    }

    void send(event_base* base, const std::string& to, proto::PeerMessage message) const
    {
        bool isSent = false;
        REQUIRE(runUntil(base, [&] {
            isSent = isSent || socket->send(to, message, monotonicNow()) == SendResult::Sent;
            return isSent;
        }));
    }
};

/// \brief Peer `one` talks to peer `two` by a relay of bounded rate.
struct SlowLink {
    LoopPtr base = makeLoop();
    Peer one { base.get(), "one" };
    Peer two { base.get(), "two" };
    std::string slow = freeAddress();
    FaultProxy proxy { base.get(), slow, two.address };

    SlowLink()
    {
        proxy.limit(linkBytesPerSecond);
        proxy.limitUp(linkBytesPerSecond);
    }

    template <class F> void until(F isDone) { REQUIRE(runUntil(base.get(), isDone)); }

    void requireOneLink() const
    {
        REQUIRE(one.lost.empty());
        REQUIRE(proxy.accepted() == 1);
    }
};

} // namespace

TEST_CASE("A message that takes many heartbeats to pass arrives whole over a link of our own", "[wire]")
{
    SlowLink f;
    f.one.send(f.base.get(), f.slow, callOf(1, largeBytes));
    f.until([&] { return !f.two.calls.empty() || !f.one.lost.empty(); });
    f.requireOneLink();
    REQUIRE((f.two.bodies.at(0) == bodyOf(largeBytes)));
    f.one.send(f.base.get(), f.slow, callOf(2, 10));
    f.until([&] { return f.two.calls.size() == 2; });
    f.requireOneLink();
}

TEST_CASE("A message that takes many heartbeats to pass arrives whole along the link that asked", "[wire]")
{
    SlowLink f;
    f.two.answerBytes = largeBytes;
    f.one.send(f.base.get(), f.slow, callOf(1, 10));
    f.until([&] { return !f.one.answers.empty() || !f.one.lost.empty(); });
    f.requireOneLink();
    REQUIRE((f.one.bodies.at(0) == bodyOf(largeBytes)));
}

TEST_CASE("Large messages in both directions of a link at once arrive whole", "[wire]")
{
    SlowLink f;
    f.two.answerBytes = largeBytes;
    f.one.send(f.base.get(), f.slow, callOf(1, 10));
    f.one.send(f.base.get(), f.slow, callOf(2, largeBytes));
    f.until([&] { return f.one.answers.size() == 2 || !f.one.lost.empty(); });
    f.requireOneLink();
    REQUIRE((f.two.bodies.at(1) == bodyOf(largeBytes)));
}

TEST_CASE(
    "Large messages over links that share a slow host link arrive, and small ones beside them", "[wire]")
{
    constexpr std::size_t askers = 5; // as many as asked one node in the incident
    SlowLink f;
    std::vector<std::unique_ptr<Peer>> more;
    for (std::size_t i = 0; i < askers; ++i)
        more.push_back(std::make_unique<Peer>(f.base.get(), "asker" + std::to_string(i)));
    SECTION("up")
    {
        for (auto& it : more)
            it->send(f.base.get(), f.slow, callOf(1, largeBytes / askers));
        f.one.send(f.base.get(), f.slow, callOf(2, 10));
        f.until([&] { return f.two.calls.size() == askers + 1; });
        REQUIRE(f.two.calls.back() == 1);
    }
    SECTION("down")
    {
        f.two.answerBytes = largeBytes / askers;
        for (auto& it : more)
            it->send(f.base.get(), f.slow, callOf(1, 10));
        f.until([&] {
            return std::all_of(more.begin(), more.end(), [](const auto& it) { return !it->answers.empty(); });
        });
    }
    for (const auto& it : more)
        REQUIRE(it->lost.empty());
    REQUIRE(f.one.lost.empty());
}

TEST_CASE("A peer that says nothing is still taken for lost while a large message waits for it", "[wire]")
{
    SlowLink f;
    f.one.send(f.base.get(), f.slow, callOf(1, largeBytes));
    f.proxy.set(support::LinkFault::Silence);
    f.until([&] { return !f.one.lost.empty(); });
    REQUIRE(f.two.calls.empty());
}

TEST_CASE("A link that ends amid a large message leaves nothing of it to those that follow", "[wire]")
{
    SlowLink f;
    f.two.answerBytes = largeBytes / 4;
    constexpr int rounds = 10;
    for (int i = 0; i < rounds; ++i) {
        const auto number = static_cast<std::uint64_t>(i) + 1;
        const auto lostBefore = f.one.lost.size();
        f.one.send(f.base.get(), f.slow, callOf(number, largeBytes / 4));
        // A connection that the relay has not accepted yet would not be reset.
        f.until([&] { return f.proxy.accepted() >= number; });
        const auto part = Timer::once(f.base.get(), 10ms * i, [&] {
            f.proxy.set(support::LinkFault::Reset);
            f.proxy.set(support::LinkFault::None);
        });
        f.until([&] { return f.one.lost.size() > lostBefore; });
    }
    f.two.answerBytes = 10;
    f.one.send(f.base.get(), f.slow, callOf(rounds + 1, 10));
    f.until([&] { return !f.one.answers.empty() && f.one.answers.back() == rounds + 1; });
    for (const auto& it : f.two.bodies)
        REQUIRE((it == bodyOf(largeBytes / 4) || it == bodyOf(10)));
}

namespace {

/// \brief A bare socket of ZeroMQ that talks to a peer, as a node of another version may.
struct BareLink {
    zmq::context_t context;
    zmq::socket_t socket { context, zmq::socket_type::dealer };

    explicit BareLink(const std::string& address)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.connect("tcp://" + address);
    }

    void send(const std::vector<std::string>& frames)
    {
        for (const auto& it : frames) {
            const auto more = &it == &frames.back() ? zmq::send_flags::none : zmq::send_flags::sndmore;
            REQUIRE(socket.send(zmq::buffer(it), more));
        }
    }

    /// \returns the bytes of each frame of the next message.
    std::vector<std::size_t> receive(event_base* base)
    {
        std::vector<std::size_t> sizes;
        zmq::message_t frame;
        do {
            REQUIRE(runUntil(base,
                [&] { return frame.size() || socket.recv(frame, zmq::recv_flags::dontwait).has_value(); }));
            sizes.push_back(frame.size());
        } while (std::exchange(frame, {}).more());
        return sizes;
    }
};

constexpr std::size_t longestFrame = 16384; // which nodes of other versions count on

} // namespace

TEST_CASE("Small messages are one frame, large ones many of a bounded size", "[wire]")
{
    LoopPtr base = makeLoop();
    Peer two(base.get(), "two");
    BareLink bare(two.address);
    const auto tick = Timer::repeating(base.get(), 1ms, [] {}); // the bare socket wakes no loop
    two.answerBytes = 1000;
    bare.send({ callOf(1, 10).SerializeAsString() });
    REQUIRE(bare.receive(base.get()).size() == 1);
    for (const auto bytes : { longestFrame - 100, longestFrame, 3 * longestFrame - 50, 3 * longestFrame }) {
        two.answerBytes = bytes;
        bare.send({ callOf(2, 10).SerializeAsString() });
        const auto sizes = bare.receive(base.get());
        const auto whole = std::accumulate(sizes.begin(), sizes.end(), std::size_t { 0 });
        REQUIRE(whole > bytes);
        REQUIRE(sizes.size() == (whole + longestFrame - 1) / longestFrame);
        REQUIRE(*std::max_element(sizes.begin(), sizes.end()) <= longestFrame);
    }
}

TEST_CASE("A large message is read from one frame, and from frames of any length", "[wire]")
{
    LoopPtr base = makeLoop();
    Peer two(base.get(), "two");
    BareLink bare(two.address);
    const auto text = callOf(1, largeBytes).SerializeAsString();
    bare.send({ text });
    bare.send({ text.substr(0, 1), "", text.substr(1, 70000), text.substr(70001) });
    REQUIRE(runUntil(base.get(), [&] { return two.bodies.size() == 2; }));
    for (const auto& it : two.bodies)
        REQUIRE((it == bodyOf(largeBytes)));
}

TEST_CASE("A message beyond the bound is neither sent nor read, in however many frames", "[wire]")
{
    constexpr std::int64_t bound = 100000;
    LoopPtr base = makeLoop();
    Peer one(base.get(), "one", bound);
    Peer two(base.get(), "two", bound);
    one.send(base.get(), two.address, callOf(1, 90000));
    auto tooLong = callOf(2, 100000);
    REQUIRE(one.socket->send(two.address, tooLong, monotonicNow()) != SendResult::Sent);
    BareLink bare(two.address);
    const auto text = tooLong.SerializeAsString();
    bare.send({ text.substr(0, 50000), text.substr(50000) });
    bare.send({ callOf(3, 10).SerializeAsString() });
    REQUIRE(runUntil(base.get(), [&] { return two.calls.size() == 2; }));
    REQUIRE(std::set<std::uint64_t>(two.calls.begin(), two.calls.end()) == std::set<std::uint64_t> { 1, 3 });
}

TEST_CASE("An answer beyond the bound is refused, and the next one comes", "[wire]")
{
    LoopPtr base = makeLoop();
    Peer one(base.get(), "one");
    Peer two(base.get(), "two", 100000);
    two.answerBytes = 100000;
    two.isRefused = true;
    one.send(base.get(), two.address, callOf(1, 10));
    REQUIRE(runUntil(base.get(), [&] { return two.calls.size() == 1; }));
    two.answerBytes = 10;
    two.isRefused = false;
    one.send(base.get(), two.address, callOf(2, 10));
    REQUIRE(runUntil(base.get(), [&] { return one.answers.size() == 1; }));
    REQUIRE(one.answers.at(0) == 2);
}
