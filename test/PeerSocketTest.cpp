#include "Wire/PeerSocket.h"
#include "Core/Loop.h"
#include "Core/Random.h"
#include "support/FaultProxy.h"
#include "support/Loopback.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace robinrun;
using support::freeAddress;
using support::runUntil;

namespace {

constexpr Duration idle = 5s;

/// \brief Two sockets; what the second one gets is counted.
struct PeerFixture {
    LoopPtr base = makeLoop();
    std::string address = freeAddress();
    int received = 0;
    std::string heardFrom;
    std::unique_ptr<PeerSocket> one = make("one", freeAddress(), "");
    std::unique_ptr<PeerSocket> two = make("two", address, "");

    std::unique_ptr<PeerSocket> make(
        const std::string& name, const std::string& reachedBy, const std::string& bound)
    {
        PeerSocket::Options options;
        options.address = reachedBy;
        options.bindAddress = bound;
        options.node = name;
        options.incarnation = 1;
        options.idleTimeout = idle;
        return std::move(PeerSocket::bind(base.get(), options, [this](const auto& sender, auto&) {
            ++received;
            heardFrom = sender.address;
        }).value());
    }

    void send(PeerSocket& from, proto::PeerMessage message, Instant now)
    {
        const auto before = received;
        REQUIRE(runUntil(base.get(),
            [&] { return from.send(address, message, now) == SendResult::Sent || received > before; }));
        REQUIRE(runUntil(base.get(), [&] { return received > before; }));
    }
};

} // namespace

TEST_CASE("A link stays while the answer to a call may come along it, and no longer", "[wire]")
{
    PeerFixture f;
    const auto now = monotonicNow();
    proto::PeerMessage call;
    call.mutable_call()->set_remaining_us(static_cast<std::uint32_t>(Duration(20s).count()));
    f.send(*f.one, call, now);
    f.one->closeIdle(now + idle + 1s);
    REQUIRE(f.one->links() == 1);
    f.one->closeIdle(now + 20s + idle + 1s);
    REQUIRE(f.one->links() == 0);
    proto::PeerMessage other;
    other.mutable_node_contact();
    f.send(*f.one, other, now);
    f.one->closeIdle(now + idle + 1s);
    REQUIRE(f.one->links() == 0);
}

TEST_CASE("Peers know a socket by the address it tells, whatever it binds", "[wire]")
{
    PeerFixture f;
    const auto told = freeAddress();
    const auto bound = freeAddress();
    const auto relayed = f.make("relayed", told, bound);
    proto::PeerMessage message;
    message.mutable_node_contact();
    f.send(*relayed, message, monotonicNow());
    REQUIRE(f.heardFrom == told);
    // It listens where it is bound.
    REQUIRE(runUntil(
        f.base.get(), [&] { return f.one->send(bound, message, monotonicNow()) == SendResult::Sent; }));
}

TEST_CASE("The end of a link is noticed, also of one that was closed and opened again at once", "[wire]")
{
    PeerFixture f;
    std::vector<std::string> lost;
    f.one->onLost([&](const std::string& address) { lost.push_back(address); });
    proto::PeerMessage message;
    message.mutable_node_contact();
    for (int i = 0; i < 20; ++i) {
        f.send(*f.one, message, monotonicNow());
        REQUIRE(runUntil(f.base.get(), [&] { // a link with something to read is not closed yet
            f.one->closeIdle(monotonicNow() + 1h);
            return f.one->links() == 0;
        }));
    }
    f.send(*f.one, message, monotonicNow());
    REQUIRE(lost.empty());
    f.two.reset();
    REQUIRE(runUntil(f.base.get(), [&] { return !lost.empty(); }));
}

namespace {

/// \brief A relay on a thread of its own that passes on so many bytes a second.
class SlowRelay {
public:
    SlowRelay(const std::string& address, const std::string& target, std::size_t bytesPerSecond)
        : m_thread([this, address, target, bytesPerSecond] { run(address, target, bytesPerSecond); })
    {
        while (!m_isListening)
            std::this_thread::yield();
    }
    SlowRelay(const SlowRelay&) = delete;
    SlowRelay& operator=(const SlowRelay&) = delete;
    ~SlowRelay()
    {
        m_isOver = true;
        m_thread.join();
    }

private:
    void run(const std::string& address, const std::string& target, std::size_t bytesPerSecond)
    {
        const auto base = makeLoop();
        support::FaultProxy proxy(base.get(), address, target);
        proxy.limitUp(bytesPerSecond);
        m_isListening = true;
        const auto look = Timer::repeating(base.get(), 5ms, [] {});
        while (!m_isOver)
            event_base_loop(base.get(), EVLOOP_ONCE);
    }

    std::atomic<bool> m_isOver = false;
    std::atomic<bool> m_isListening = false;
    std::thread m_thread;
};

proto::PeerMessage longAnswer(std::size_t bytes)
{
    proto::PeerMessage out;
    out.mutable_answer()->set_body(std::string(bytes, 'b'));
    return out;
}

} // namespace

// A node that ended dropped the answers that were still queued for its peers.
TEST_CASE("What is queued for a peer goes out before a socket is gone", "[wire]")
{
    PeerFixture f;
    const auto address = freeAddress();
    const SlowRelay relay(address, f.address, 4U << 20U);
    auto answer = longAnswer(2U << 20U);
    REQUIRE(runUntil(
        f.base.get(), [&] { return f.one->send(address, answer, monotonicNow()) == SendResult::Sent; }));
    f.one->setLinger(5s);
    f.one.reset();
    REQUIRE(runUntil(f.base.get(), [&] { return f.received == 1; }));
}

// Timers, the limit of a drain among them, waited until all messages were taken that had come or came
// meanwhile.
TEST_CASE("Timers are not held up by messages that come faster than they are taken", "[wire]")
{
    PeerFixture f;
    constexpr int messages = 2000;
    int taken = 0;
    PeerSocket::Options options;
    options.address = freeAddress();
    options.node = "slow";
    PeerSocket* slow = nullptr;
    const auto socket = std::move(PeerSocket::bind(f.base.get(), options, [&](const auto& sender, auto&) {
        ++taken;
        std::this_thread::sleep_for(1ms);
        proto::PeerMessage answer;
        answer.mutable_answer();
        slow->answer(sender, answer, monotonicNow());
    }).value());
    slow = socket.get();
    proto::PeerMessage message;
    message.mutable_node_contact();
    REQUIRE(runUntil(f.base.get(),
        [&] { return f.one->send(options.address, message, monotonicNow()) == SendResult::Sent; }));
    REQUIRE(runUntil(f.base.get(), [&] { return taken > 0; }));
    const auto before = taken;
    for (int i = 0; i < messages; ++i)
        REQUIRE(f.one->send(options.address, message, monotonicNow()) == SendResult::Sent);
    bool isDue = false;
    const auto timer = Timer::once(f.base.get(), 50ms, [&] { isDue = true; });
    REQUIRE(runUntil(f.base.get(), [&] { return isDue; }));
    REQUIRE(taken < messages / 2);
    REQUIRE(runUntil(f.base.get(), [&] { return taken >= before + messages; }));
}

// An end that waits for a peer that is gone must not reach the end of the grace time.
TEST_CASE("A peer that takes nothing holds the end of a socket up for its linger and no longer", "[wire]")
{
    PeerFixture f;
    const auto address = freeAddress();
    const SlowRelay relay(address, f.address, 1000);
    auto answer = longAnswer(2U << 20U);
    // The greeting of a link takes some seconds at this rate.
    REQUIRE(runUntil(
        f.base.get(), [&] { return f.one->send(address, answer, monotonicNow()) == SendResult::Sent; }));
    f.one->setLinger(300ms);
    const auto before = monotonicNow();
    // The relay would take half an hour for what is queued: without the bound this would not return.
    f.one.reset();
    REQUIRE(monotonicNow() - before >= 250ms);
}

namespace {

/// \brief Peers that all end at the same moment, on a thread of their own.
class EndingPeers {
public:
    explicit EndingPeers(const std::vector<std::string>& addresses)
        : m_thread([this, addresses] { run(addresses); })
    {
    }
    EndingPeers(const EndingPeers&) = delete;
    EndingPeers& operator=(const EndingPeers&) = delete;
    ~EndingPeers()
    {
        end();
        m_thread.join();
    }

    void end() { m_isOver = true; }

private:
    void run(const std::vector<std::string>& addresses) const
    {
        const auto base = makeLoop();
        std::vector<std::unique_ptr<PeerSocket>> peers;
        for (const auto& it : addresses) {
            PeerSocket::Options options;
            options.address = it;
            options.node = it;
            peers.push_back(
                std::move(PeerSocket::bind(base.get(), options, [](const auto&, auto&) {}).value()));
        }
        while (!m_isOver)
            std::this_thread::yield();
    }

    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

} // namespace

TEST_CASE("Links that are closed while their connections end leave the others alone", "[wire]")
{
    PeerFixture f;
    Random random(2);
    proto::PeerMessage message;
    message.mutable_node_contact();
    std::vector<std::string> addresses;
    for (int i = 0; i < 20; ++i)
        addresses.push_back(freeAddress());
    for (int round = 0; round < 30; ++round) {
        EndingPeers peers(addresses);
        for (const auto& it : addresses)
            REQUIRE(runUntil(
                f.base.get(), [&] { return f.one->send(it, message, monotonicNow()) == SendResult::Sent; }));
        peers.end();
        std::this_thread::sleep_for(std::chrono::microseconds(random.below(3000)));
        f.one->closeIdle(monotonicNow() + 1h);
    }
    f.send(*f.one, message, monotonicNow());
}

// A socket that could not be made left an empty link behind, at which the node ended a moment later.
TEST_CASE("A node that runs out of descriptors while it opens a link goes on", "[wire]")
{
    PeerFixture f;
    const auto now = monotonicNow();
    rlimit before {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    const int next = open("/dev/null", O_RDONLY | O_CLOEXEC);
    REQUIRE(next >= 0);
    close(next);
    const rlimit none { static_cast<rlim_t>(next), before.rlim_max };
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    proto::PeerMessage message;
    message.mutable_cancel();
    const auto result = f.one->send(f.address, message, now);
    const auto links = f.one->links();
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    REQUIRE(result == SendResult::Unreachable);
    REQUIRE(links == 0);
    f.one->closeIdle(now + 2 * idle);
    f.send(*f.one, message, now);
}
