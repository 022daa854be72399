#include "Node/LeavingNews.h"
#include "support/Loopback.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

/// \file How word that an upstream leaves gets to those who call it.

using namespace robinrun;
using support::freeAddress;
using support::runUntil;

namespace {

constexpr Instant begun { 1000s };

proto::PeerMessage leaving(bool isUndone = false)
{
    proto::PeerMessage out;
    out.mutable_leaving()->set_upstream("u1");
    out.mutable_leaving()->set_undone(isUndone);
    return out;
}

/// \brief Links that take messages or not, as the test says.
struct NewsFixture {
    LoopPtr base = makeLoop();
    bool isRouteOpen = false;
    SendResult result = SendResult::Connecting;
    std::vector<proto::PeerMessage> answered;
    std::vector<proto::PeerMessage> sent;
    int tries = 0;
    LeavingNews news { base.get(),
        { [this](const std::string&, proto::PeerMessage& message, Instant) {
             ++tries;
             if (result == SendResult::Sent)
                 sent.push_back(message);
             return result;
         },
            [this](const PeerSocket::Sender&, proto::PeerMessage& message, Instant) {
                if (isRouteOpen)
                    answered.push_back(message);
                return isRouteOpen;
            } } };
    PeerSocket::Sender ingress { "ingress", "10.0.0.9:1", 1, "route" };
};

} // namespace

// News of leaving was dropped where the link to the ingress was only being opened: it called on until the
// node was gone.
TEST_CASE("News of leaving arrives over a link that is only being opened", "[leaving]")
{
    const auto base = makeLoop();
    std::vector<proto::PeerMessage> received;
    const auto makeSocket = [&](const std::string& address) {
        PeerSocket::Options options;
        options.address = address;
        options.node = address;
        return std::move(PeerSocket::bind(base.get(), options, [&](const auto&, auto& message) {
            received.push_back(message);
        }).value());
    };
    const auto owner = makeSocket(freeAddress());
    const auto address = freeAddress();
    const auto ingress = makeSocket(address);
    LeavingNews news(base.get(),
        { [&](const std::string& to, proto::PeerMessage& message, Instant now) {
             return owner->send(to, message, now);
         },
            [](const auto&, auto&, Instant) { return false; } });
    news.tell({ "ingress", address, 1, "gone" }, leaving(), monotonicNow());
    REQUIRE(runUntil(base.get(), [&] { return received.size() == 1; }));
    REQUIRE(received[0].leaving().upstream() == "u1");
    REQUIRE(news.pending() == 0);
}

TEST_CASE("News of leaving goes back along the link that calls came by", "[leaving]")
{
    NewsFixture f;
    f.isRouteOpen = true;
    f.news.tell(f.ingress, leaving(), begun);
    REQUIRE(f.answered.size() == 1);
    REQUIRE(f.tries == 0);
    REQUIRE(f.news.pending() == 0);
}

TEST_CASE("News of leaving is told again only while a link is being opened, and not for long", "[leaving]")
{
    NewsFixture f;
    f.news.tell(f.ingress, leaving(), begun);
    REQUIRE(f.news.pending() == 1);
    f.news.tellAgain(begun + LeavingNews::patience);
    REQUIRE(f.news.pending() == 1);
    f.news.tellAgain(begun + LeavingNews::patience + 1us);
    REQUIRE(f.news.pending() == 0);
    f.news.tell(f.ingress, leaving(), begun);
    f.result = SendResult::Unreachable;
    f.news.tellAgain(begun + 5ms);
    REQUIRE(f.news.pending() == 0);
    REQUIRE(f.sent.empty());
}

TEST_CASE("News that was overtaken is not told any more", "[leaving]")
{
    NewsFixture f;
    f.news.tell(f.ingress, leaving(), begun);
    f.news.tell(f.ingress, leaving(true), begun + 1ms);
    f.result = SendResult::Sent;
    f.news.tellAgain(begun + 5ms);
    REQUIRE(f.sent.size() == 1);
    REQUIRE(f.sent[0].leaving().undone());
}
