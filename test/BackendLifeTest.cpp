#include "Core/BackendLife.h"
#include "Mesh/AnnouncedUpstream.h"
#include "Mesh/NodeRegistry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

/// \file Tests which life of a backend server is the current one, at a single node and at many, regardless of
/// the order of messages.

using namespace robinrun;

namespace {

Announcement makeAnnouncement(const BackendLife& life, std::uint64_t sequence, AnnouncedState state)
{
    Announcement out;
    out.life = life;
    out.slots = 4;
    out.sequence = sequence;
    out.state = state;
    return out;
}

/// \brief Creates all announcements of one life of a server in order: ready, then optionally draining, then
/// optionally gone.
std::vector<Announcement> makeAnnouncements(const BackendLife& life)
{
    std::vector<Announcement> out;
    const auto ready = *rc::gen::inRange<std::uint64_t>(1, 6);
    for (std::uint64_t i = 1; i <= ready; ++i)
        out.push_back(makeAnnouncement(life, i, AnnouncedState::Ready));
    const auto draining = *rc::gen::inRange<std::uint64_t>(0, 3);
    for (std::uint64_t i = 1; i <= draining; ++i)
        out.push_back(makeAnnouncement(life, ready + i, AnnouncedState::Draining));
    if (*rc::gen::arbitrary<bool>())
        out.push_back(makeAnnouncement(life, 0, AnnouncedState::Gone));
    return out;
}

/// \brief Simulates an unreliable network: drops some messages of \a sent, duplicates others and shuffles
/// them.
/// \returns the delivered messages.
template <class T> std::vector<T> deliverInRandomOrder(const std::vector<T>& sent)
{
    std::vector<T> out;
    for (const auto& it : sent) {
        const auto copyCount = *rc::gen::inRange(0, 3);
        out.insert(out.end(), static_cast<std::size_t>(copyCount), it);
    }
    for (std::size_t i = out.size(); i > 1; --i)
        std::swap(out[i - 1], out[*rc::gen::inRange<std::size_t>(0, i)]);
    return out;
}

/// \returns the latest start time in \a delivered, computed independently of the code under test.
std::uint64_t latestStart(const std::vector<Announcement>& delivered)
{
    std::uint64_t out = 0;
    for (const auto& it : delivered)
        out = std::max(out, it.life.born());
    return out;
}

} // namespace

TEST_CASE("The key of a life can be parsed again, and text without a start time is an id", "[life]")
{
    rc::prop("key", [](std::uint64_t born) {
        const BackendLife life("i-7f3a", born);
        RC_ASSERT(BackendLife::fromKey(life.key()) == life);
    });
    REQUIRE(BackendLife("i-1", 5).key() == "i-1#5");
    REQUIRE(BackendLife("i-1").key() == "i-1");
    for (const char* it : { "", "#", "a#", "a#x", "a#1x", "#99999999999999999999999" })
        REQUIRE(BackendLife::fromKey(it) == BackendLife(it));
    REQUIRE(BackendLife::fromKey("a#1#2") == BackendLife("a#1", 2));
}

TEST_CASE(
    "Lives are ordered by their start times, and one without a start time precedes those of its id", "[life]")
{
    const BackendLife first("a", 1);
    const BackendLife second("a", 2);
    const BackendLife other("b", 2);
    REQUIRE(first.isBefore(second));
    REQUIRE_FALSE(second.isBefore(first));
    REQUIRE(first.isBefore(other));
    REQUIRE_FALSE(other.isBefore(second));
    REQUIRE(BackendLife("a").isBefore(first));
    REQUIRE_FALSE(BackendLife("b").isBefore(first));
    REQUIRE_FALSE(first.isBefore(BackendLife("a")));
    REQUIRE(first.isMeantBy(first));
    REQUIRE(first.isMeantBy(BackendLife("a")));
    REQUIRE_FALSE(first.isMeantBy(second));
    REQUIRE_FALSE(BackendLife("a").isMeantBy(first));
}

TEST_CASE("The latest announced life is current, and it leaves if it ever announced so", "[life]")
{
    rc::prop("order, loss and repeats", [] {
        std::vector<Announcement> sent;
        const auto lives = *rc::gen::inRange<std::uint64_t>(1, 5);
        for (std::uint64_t i = 1; i <= lives; ++i) {
            // Some lives have the same id as the previous one.
            const BackendLife life(*rc::gen::arbitrary<bool>() ? "same" : "i-" + std::to_string(i), i);
            const auto announcements = makeAnnouncements(life);
            sent.insert(sent.end(), announcements.begin(), announcements.end());
        }
        const auto delivered = deliverInRandomOrder(sent);
        AnnouncedUpstream upstream;
        for (const auto& it : delivered)
            upstream.applyAnnouncement(it);
        const auto latest = latestStart(delivered);
        const auto isOfLatestLife = [&](const auto& it) { return it.life.born() == latest; };
        const bool hasLeft = std::any_of(delivered.begin(), delivered.end(),
            [&](const auto& it) { return isOfLatestLife(it) && it.state != AnnouncedState::Ready; });
        const bool wasReady = std::any_of(delivered.begin(), delivered.end(),
            [&](const auto& it) { return isOfLatestLife(it) && it.state == AnnouncedState::Ready; });
        // If the latest life has announced that it leaves, no usable server is known. Otherwise the latest
        // life is the current one.
        if (wasReady && !hasLeft) {
            RC_ASSERT(upstream.current().has_value());
            RC_ASSERT(upstream.current()->life.born() == latest);
            RC_ASSERT(!upstream.isLeaving());
        } else {
            RC_ASSERT(
                !upstream.current() || upstream.isLeaving() || upstream.current()->life.born() < latest);
        }
        if (hasLeft)
            RC_ASSERT(!upstream.current() || upstream.isLeaving());
    });
}

TEST_CASE("A late final announcement of an earlier life has no effect", "[life]")
{
    AnnouncedUpstream upstream;
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement(BackendLife("a", 1), 900, AnnouncedState::Ready)));
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement(BackendLife("a", 2), 1, AnnouncedState::Ready)));
    REQUIRE_FALSE(upstream.applyAnnouncement(makeAnnouncement(BackendLife("a", 1), 0, AnnouncedState::Gone)));
    REQUIRE_FALSE(
        upstream.applyAnnouncement(makeAnnouncement(BackendLife("a", 1), 901, AnnouncedState::Draining)));
    REQUIRE_FALSE(upstream.isLeaving());
    // An announcement without a start time comes from another sender if the server reports start times.
    REQUIRE_FALSE(
        upstream.applyAnnouncement(makeAnnouncement(BackendLife("a"), 999, AnnouncedState::Draining)));
    REQUIRE_FALSE(upstream.applyAnnouncement(makeAnnouncement(BackendLife("b"), 999, AnnouncedState::Ready)));
    REQUIRE(upstream.current()->life == BackendLife("a", 2));
    REQUIRE_FALSE(upstream.isLeaving());
}

TEST_CASE(
    "A server whose id is known from its health answer keeps its state once it announces its start time",
    "[life]")
{
    AnnouncedUpstream upstream;
    REQUIRE(upstream.applyHealthAnswer(makeAnnouncement(BackendLife("a"), 0, AnnouncedState::Ready)));
    REQUIRE(upstream.applyAnnouncement(makeAnnouncement(BackendLife("a", 7), 3, AnnouncedState::Ready)));
    REQUIRE(upstream.current()->life == BackendLife("a", 7));
    AnnouncedUpstream second;
    REQUIRE(second.applyHealthAnswer(makeAnnouncement(BackendLife("a"), 0, AnnouncedState::Ready)));
    REQUIRE(second.markLeaving(BackendLife("a", 7)));
    REQUIRE_FALSE(second.applyAnnouncement(makeAnnouncement(BackendLife("a", 7), 9, AnnouncedState::Ready)));
    REQUIRE(second.isLeaving());
    REQUIRE(second.applyAnnouncement(makeAnnouncement(BackendLife("a", 8), 1, AnnouncedState::Ready)));
    REQUIRE_FALSE(second.isLeaving());
}

TEST_CASE("Nodes that received the same records in any order list the same latest lives", "[life]")
{
    rc::prop("nodes, lives, losses and repeats", [] {
        std::vector<proto::NodeRecord> sent;
        const auto nodes = *rc::gen::inRange(1, 4);
        for (int node = 0; node < nodes; ++node) {
            const auto starts = *rc::gen::inRange<std::uint64_t>(1, 5);
            for (std::uint64_t i = 1; i <= starts; ++i) {
                proto::NodeRecord record;
                record.set_node("n" + std::to_string(node));
                record.set_incarnation(1 + i / 3);
                record.set_sequence(i);
                // A server may restart with the same id beside another node.
                record.set_upstream("u" + std::to_string(*rc::gen::inRange(0, 2)));
                record.set_born(*rc::gen::inRange<std::uint64_t>(0, 4));
                record.set_slots(4);
                sent.push_back(record);
            }
        }
        const auto delivered = deliverInRandomOrder(sent);
        NodeRegistry registry;
        for (const auto& it : delivered)
            registry.mergeRecord(it);
        // Expected result, computed independently: the last record of each node, and of the records with the
        // same id the latest start.
        std::map<std::string, proto::NodeRecord> lastRecords;
        for (const auto& it : delivered) {
            auto& lastRecord = lastRecords[it.node()];
            if (lastRecord.node().empty()
                || std::pair(it.incarnation(), it.sequence())
                    > std::pair(lastRecord.incarnation(), lastRecord.sequence()))
                lastRecord = it;
        }
        std::map<std::string, std::uint64_t> latestStarts;
        for (const auto& [node, it] : lastRecords) {
            auto& born = latestStarts.try_emplace(it.upstream(), it.born()).first->second;
            born = std::max(born, it.born());
        }
        std::map<std::string, std::uint64_t> listed;
        for (const auto& it : registry.upstreams()) {
            const auto life = BackendLife::fromKey(it.name().substr(std::string("upstreams/").size()));
            RC_ASSERT(listed.emplace(life.id(), life.born()).second);
        }
        RC_ASSERT(listed == latestStarts);
    });
}

TEST_CASE("The error for an invalid record names the field", "[life]")
{
    proto::NodeRecord good;
    good.set_node("n");
    good.set_peer_address("10.0.0.1:7");
    REQUIRE(validationError(good).empty());
    const auto faultWith = [&](auto change) {
        auto it = good;
        change(it);
        return validationError(it);
    };
    REQUIRE(faultWith([](auto& it) { it.set_node(""); }) == "node: must not be empty");
    REQUIRE(faultWith([](auto& it) { it.set_peer_address("x"); }) == "peer_address: must be ip:port");
    REQUIRE(faultWith([](auto& it) { it.set_address("x"); }) == "address: must be ip:port");
    REQUIRE(
        faultWith([](auto& it) { it.set_incarnation(UINT64_MAX); }) == "incarnation: must be at most 2^53");
    REQUIRE(faultWith([](auto& it) { it.set_sequence(UINT64_MAX); }) == "sequence: must be at most 2^53");
    REQUIRE(faultWith([](auto& it) { it.set_born(UINT64_MAX); }) == "born: must be at most 2^53");
    REQUIRE(faultWith([](auto& it) { it.set_upstream(std::string(256, 'x')); })
        == "upstream: must have at most 255 bytes");
}
