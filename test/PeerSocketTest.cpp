#include "Wire/PeerSocket.h"
#include "support/Loopback.h"

#include "Core/Loop.h"

#include <catch2/catch.hpp>

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
