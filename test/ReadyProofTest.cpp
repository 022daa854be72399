#include "Mesh/ReadyProof.h"
#include "Mesh/FormerLeaves.h"

#include <catch2/catch.hpp>
#include <string>

/// \file When a node that has just started believes that the backend server beside it is ready.

using namespace robinrun;

namespace {

const Instant started = Instant {} + 1h;

Announcement ready(std::uint64_t sequence, const std::string& upstream = "u")
{
    Announcement out;
    out.life = BackendLife(upstream);
    out.sequence = sequence;
    return out;
}

/// \returns whether the last of \a n announcements with rising sequence, \a interval apart, is admitted.
bool admitsSeries(std::uint64_t n, Duration interval, LeaveKnowledge known)
{
    ReadyProof proof;
    bool isAdmitted = false;
    for (std::uint64_t i = 1; i <= n; ++i)
        isAdmitted = proof.admitAnnouncement(ready(i), known, started + i * interval);
    return isAdmitted;
}

} // namespace

TEST_CASE("Announcements that can all be late prove nothing", "[ready-proof]")
{
    for (const auto known : { LeaveKnowledge::None, LeaveKnowledge::Store }) {
        CHECK_FALSE(admitsSeries(1, 1500ms, known));
        CHECK_FALSE(admitsSeries(4, 1500ms, known));
        CHECK_FALSE(admitsSeries(100, 40ms, known)); // a queue of them that is let go
    }
}

TEST_CASE(
    "A server that announces itself for longer than an announcement can be late is ready", "[ready-proof]")
{
    for (const auto known : { LeaveKnowledge::None, LeaveKnowledge::Store }) {
        CHECK(admitsSeries(5, 1500ms, known));
        CHECK(admitsSeries(2, ReadyProof::maxDelay, known));
    }
}

TEST_CASE("Only announcements of one life with rising sequence make a series", "[ready-proof]")
{
    ReadyProof proof;
    const auto end = started + 2 * ReadyProof::maxDelay;
    CHECK_FALSE(proof.admitAnnouncement(ready(7), LeaveKnowledge::None, started));
    CHECK_FALSE(proof.admitAnnouncement(ready(7), LeaveKnowledge::None, end));
    CHECK_FALSE(proof.admitAnnouncement(ready(6), LeaveKnowledge::None, end));
    CHECK_FALSE(proof.admitAnnouncement(ready(8, "other"), LeaveKnowledge::None, end));
    CHECK(proof.admitAnnouncement(ready(8), LeaveKnowledge::None, end));
    CHECK(proof.admitAnnouncement(ready(1, "other"), LeaveKnowledge::None, end)); // proven for all that comes
}

TEST_CASE("What peers know of former leaves makes an announcement believable at once", "[ready-proof]")
{
    ReadyProof proof;
    CHECK(proof.admitAnnouncement(ready(1), LeaveKnowledge::Peers, started));
    ReadyProof waiting;
    CHECK_FALSE(waiting.admitAnnouncement(ready(1), LeaveKnowledge::Store, started));
    CHECK_FALSE(waiting.releaseWithheld(LeaveKnowledge::Store));
    const auto released = waiting.releaseWithheld(LeaveKnowledge::Peers);
    REQUIRE(released);
    CHECK(released->sequence == 1);
    CHECK_FALSE(waiting.releaseWithheld(LeaveKnowledge::Peers));
    CHECK(waiting.admitAnnouncement(ready(1, "next"), LeaveKnowledge::None, started));
}

TEST_CASE("A health answer proves nothing unless the store or peers tell of former leaves", "[ready-proof]")
{
    ReadyProof proof;
    CHECK_FALSE(proof.admitAnnouncement(ready(3), LeaveKnowledge::None, started));
    CHECK_FALSE(proof.admitHealthAnswer("u", LeaveKnowledge::None));
    CHECK_FALSE(proof.admitAnnouncement(ready(4), LeaveKnowledge::None, started));
    CHECK(proof.admitHealthAnswer("u", LeaveKnowledge::Store));
    CHECK(proof.takeWithheld("u")->sequence == 4);
    CHECK(proof.admitAnnouncement(ready(5), LeaveKnowledge::None, started));
    ReadyProof other;
    CHECK_FALSE(other.admitAnnouncement(ready(3), LeaveKnowledge::Store, started));
    CHECK(other.admitHealthAnswer("u", LeaveKnowledge::Store));
    CHECK_FALSE(other.takeWithheld("v")); // the health answer is of another life
}

TEST_CASE(
    "A health answer that agrees halves the series where nothing is known of former leaves", "[ready-proof]")
{
    ReadyProof proof;
    CHECK_FALSE(proof.admitAnnouncement(ready(1), LeaveKnowledge::None, started));
    CHECK_FALSE(
        proof.admitAnnouncement(ready(2), LeaveKnowledge::None, started + ReadyProof::agreedSeries - 1ms));
    CHECK_FALSE(proof.admitHealthAnswer("u", LeaveKnowledge::None));
    CHECK_FALSE(proof.admitAnnouncement(ready(3), LeaveKnowledge::None, started + ReadyProof::agreedSeries));
    CHECK_FALSE(proof.admitHealthAnswer("other", LeaveKnowledge::None));
    CHECK(proof.admitHealthAnswer("u", LeaveKnowledge::None));
    CHECK(proof.takeWithheld("u")->sequence == 3);
}

TEST_CASE("Former leaves are known from the store if its first read succeeds", "[ready-proof]")
{
    FormerLeaves leaves(started);
    CHECK(leaves.knowledge() == LeaveKnowledge::None);
    leaves.onStoreRead(false);
    CHECK(leaves.knowledge() == LeaveKnowledge::None);
    FormerLeaves second(started);
    second.onStoreRead(true);
    CHECK(second.knowledge() == LeaveKnowledge::Store);
    CHECK(second.knownFor(started + 1s) == 1s);
}

TEST_CASE(
    "Former leaves are known from a peer that was there before, once its records are known", "[ready-proof]")
{
    FormerLeaves leaves(started);
    const auto before = started - FormerLeaves::startSpread;
    leaves.onRecordsCompared("p");
    CHECK(leaves.knowledge() == LeaveKnowledge::None);
    leaves.onContact("killed-too", before + 1ms);
    leaves.onRecordsCompared("killed-too");
    CHECK(leaves.knowledge() == LeaveKnowledge::None);
    leaves.onContact("p", before);
    CHECK(leaves.knowledge() == LeaveKnowledge::None);
    leaves.onRecordsCompared("q");
    CHECK(leaves.knowledge() == LeaveKnowledge::None);
    leaves.onRecordsCompared("p");
    CHECK(leaves.knowledge() == LeaveKnowledge::Peers);
    CHECK(leaves.knownFor(started) == FormerLeaves::startSpread); // which it tells in its turn
    leaves.onStoreRead(true);
    CHECK(leaves.knowledge() == LeaveKnowledge::Peers);
}
