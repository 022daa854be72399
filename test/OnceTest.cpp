#include "Once/ClaimBatcher.h"
#include "Once/ClaimFold.h"
#include "Once/KeyCreationTime.h"
#include "Once/TicketTable.h"
#include "Wire/SeenCalls.h"
#include "support/OnceModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace robinrun;
using support::OnceModel;

namespace {

constexpr std::int64_t baseWallMs = 1700000000000;

LogPage makePage(std::uint64_t from, const std::vector<Claim>& claims, std::string logId = "log")
{
    LogPage out { std::move(logId), from, 0, from + claims.size(), 0, {} };
    for (const auto& it : claims)
        out.records.push_back(ClaimBatch { "b", { it } }.serialize());
    return out;
}

Claim makeClaim(std::uint64_t key, std::uint64_t nonce, std::int64_t keyCreatedMs = baseWallMs)
{
    return { { 0, key }, keyCreatedMs, { "u", 1, 0, { 0, nonce } } };
}

/// \brief Faulty on purpose: the last claim of a key wins, not the first.
class LastWinsFold : public ClaimFold {
public:
    LastWinsFold()
        : ClaimFold({ 3s, 100ms })
    {
    }

protected:
    void recordClaim(const Claim& it) override { m_winners[it.keyHash] = { it.ticket, it.keyCreatedMs }; }
};

/// \brief Faulty on purpose: accepts tickets of former incarnations.
class IncarnationBlindTable : public TicketTable {
public:
    IncarnationBlindTable(std::string upstream, std::uint64_t incarnation, Instant now)
        : TicketTable(upstream, incarnation, { 500ms, 4, 1U << 20U }, now)
        , m_incarnation(incarnation)
    {
    }
    Decision beginCall(const Ticket& ticket, Hash128 fingerprint, std::uint64_t id, Instant now) override
    {
        auto own = ticket;
        own.incarnation = m_incarnation;
        own.epoch = 0;
        return TicketTable::beginCall(own, fingerprint, id, now);
    }

private:
    std::uint64_t m_incarnation;
};

int countBadSchedules(const OnceModel::Parts& parts, int n)
{
    int bad = 0;
    for (int seed = 1; seed <= n; ++seed)
        bad += !OnceModel(static_cast<std::uint64_t>(seed), parts).run().hasNoViolation();
    return bad;
}

} // namespace

TEST_CASE("Under random faults no key runs twice and no call that ran is reported as not run", "[once]")
{
    REQUIRE(countBadSchedules(OnceModel::correctParts(), 3000) == 0);
}

TEST_CASE("The random schedules detect a faulty claim fold and a faulty ticket table", "[once]")
{
    auto parts = OnceModel::correctParts();
    parts.makeFold = [] { return std::make_unique<LastWinsFold>(); };
    REQUIRE(countBadSchedules(parts, 300) > 0);
    parts = OnceModel::correctParts();
    parts.makeTable = [](std::string upstream, std::uint64_t incarnation, Instant now) {
        return std::make_unique<IncarnationBlindTable>(std::move(upstream), incarnation, now);
    };
    REQUIRE(countBadSchedules(parts, 300) > 0);
}

TEST_CASE("A ticket runs once; repeats join the running call, then get its recorded answer", "[once]")
{
    Random random(1);
    TicketTable table("u", 7, {}, {});
    const auto ticket = table.mint(random, {});
    const Hash128 request { 1, 1 };
    REQUIRE(table.beginCall(ticket, request, 1, {}).action == TicketAction::Run);
    const auto joined = table.beginCall(ticket, request, 2, {});
    REQUIRE(joined.action == TicketAction::Join);
    REQUIRE(joined.firstCallId == 1);
    const auto other = table.beginCall(ticket, { 2, 2 }, 3, {});
    REQUIRE(other.reason == Reason::TicketMismatch);
    REQUIRE(other.isNotRun);
    table.recordAnswer(ticket.nonce, { true, 200, {}, "done" });
    REQUIRE(table.beginCall(ticket, request, 4, {}).answer->body == "done");
}

TEST_CASE("A ticket whose call was given up before it ran can run later", "[once]")
{
    Random random(1);
    TicketTable table("u", 7, {}, {});
    const auto ticket = table.mint(random, {});
    table.beginCall(ticket, {}, 1, {});
    table.releaseTicket(ticket.nonce);
    REQUIRE(table.size() == 0);
    REQUIRE(table.usedBytes() == 0);
    REQUIRE(table.beginCall(ticket, {}, 2, {}).action == TicketAction::Run);
}

TEST_CASE("A ticket of another incarnation or past its retention is refused as unknown", "[once]")
{
    Random random(1);
    TicketTable table("u", 7, { 60s, 10, 1000 }, {});
    auto ticket = table.mint(random, {});
    auto former = ticket;
    former.incarnation = 6;
    REQUIRE(table.beginCall(former, {}, 1, {}).reason == Reason::TicketUnknown);
    REQUIRE_FALSE(table.beginCall(former, {}, 1, {}).isNotRun);
    table.beginCall(ticket, {}, 1, {});
    table.recordAnswer(ticket.nonce, {});
    REQUIRE(table.beginCall(ticket, {}, 2, Instant(659s)).action == TicketAction::Replay);
    REQUIRE(table.beginCall(ticket, {}, 2, Instant(660s)).reason == Reason::TicketUnknown);
    REQUIRE(table.size() == 0);
    // A full table refuses new tickets as not run and keeps the records it has.
    const auto first = table.mint(random, Instant(700s));
    REQUIRE(table.beginCall(first, {}, 1, Instant(700s)).action == TicketAction::Run);
    table.recordAnswer(first.nonce, { true, 200, {}, std::string(1000, 'x') });
    const auto full = table.beginCall(table.mint(random, Instant(700s)), {}, 2, Instant(700s));
    REQUIRE(full.reason == Reason::TooManyTickets);
    REQUIRE(full.isNotRun);
    REQUIRE(table.beginCall(first, {}, 3, Instant(700s)).action == TicketAction::Replay);
}

TEST_CASE("Parsing the text of a ticket gives the same ticket", "[once]")
{
    rc::prop("toString() and parse() are inverse",
        [](std::uint64_t a, std::uint64_t b, std::uint64_t c, std::uint64_t d) {
            const Ticket ticket { "cards-1.riga", a, b, { c, d } };
            RC_ASSERT(Ticket::parse(ticket.toString()).value() == ticket);
        });
    for (const auto* bad : { "", "x", "u.1.2.3", "u.1.2.3.zz", ".1.2.3.4" })
        REQUIRE_FALSE(Ticket::parse(bad).has_value());
}

TEST_CASE("The first claim by offset wins, also for a fold that starts after it was dropped", "[once]")
{
    ClaimFold fold({ 600s, 2s });
    fold.applyPage(makePage(0, { makeClaim(1, 10), makeClaim(1, 11) }), baseWallMs);
    REQUIRE(fold.status({ 0, 1 }, baseWallMs, baseWallMs).winner.nonce.low == 10);
    REQUIRE(fold.status({ 0, 2 }, baseWallMs, baseWallMs).kind == ClaimStatus::Kind::Unclaimed);
    // A fold that starts after the log has dropped the first claim must not take the second for the winner.
    ClaimFold late({ 600s, 2s });
    auto rest = makePage(1, { makeClaim(1, 11) });
    rest.first = 1;
    rest.keptSinceMs = baseWallMs + 1;
    late.applyPage(rest, baseWallMs + 10);
    REQUIRE(late.status({ 0, 1 }, baseWallMs, baseWallMs + 10).kind == ClaimStatus::Kind::TooOld);
    REQUIRE(late.status({ 0, 5 }, baseWallMs + 5000, baseWallMs + 5000).kind == ClaimStatus::Kind::Unclaimed);
}

TEST_CASE("A replaced log is read from its start and decides no key created before the replacement", "[once]")
{
    ClaimFold fold({ 600s, 2s });
    fold.applyPage(makePage(0, { makeClaim(1, 10), makeClaim(2, 20) }), baseWallMs);
    auto other = makePage(2, { makeClaim(3, 31, baseWallMs + 9000) }, "another");
    fold.applyPage(other, baseWallMs + 5000);
    REQUIRE(fold.nextOffset() == 0);
    REQUIRE(fold.status({ 0, 3 }, baseWallMs + 9000, baseWallMs + 9000).kind == ClaimStatus::Kind::Unclaimed);
    REQUIRE(fold.status({ 0, 4 }, baseWallMs, baseWallMs + 5000).kind == ClaimStatus::Kind::TooOld);
    REQUIRE(fold.status({ 0, 1 }, baseWallMs, baseWallMs + 5000).winner.nonce.low == 10);
}

TEST_CASE("Claims share one append, are sent again after a failed one, and time out as undecided", "[once]")
{
    ClaimBatcher batcher({ 200, 3ms, 2s }, 1, "claims-0");
    for (std::uint64_t i = 1; i <= 100; ++i)
        batcher.addClaim(i, makeClaim(i, i), {});
    REQUIRE_FALSE(batcher.takeNextBatch({}));
    const auto batch = batcher.takeNextBatch(Instant(3ms));
    REQUIRE(batch->claims.size() == 100);
    batcher.onAppendFailed(batch->id, Instant(4ms));
    const auto again = batcher.takeNextBatch(Instant(5ms));
    REQUIRE(again->claims.size() == 100);
    ClaimFold fold({ 600s, 2s });
    auto pageRead = makePage(0, {});
    pageRead.records.push_back(again->serialize());
    pageRead.end = 1;
    const auto ids = fold.applyPage(pageRead, baseWallMs);
    batcher.onStreamRead(fold, ids, baseWallMs);
    REQUIRE(batcher.takeDecisions().size() == 100);
    batcher.addClaim(200, makeClaim(200, 1), Instant(1s));
    batcher.expireOldClaims(Instant(4s));
    REQUIRE(batcher.takeDecisions().at(0).kind == ClaimDecision::Kind::Undecided);
    REQUIRE(batcher.pendingCount() == 0);
}

TEST_CASE("The creation time is read from keys of both forms, and other keys are rejected", "[once]")
{
    REQUIRE(keyCreationTimeMs("018bcfe5-6800-7abc-8def-0123456789ab") == 0x018bcfe56800);
    REQUIRE(keyCreationTimeMs("1700000000:order-7") == 1700000000000);
    for (const auto* bad :
        { "", "order-7", "1700000000:", "17x:a", "018bcfe5-6800-4abc-8def-0123456789ab", "-5:a" })
        REQUIRE_FALSE(keyCreationTimeMs(bad));
}

TEST_CASE("A call number that was seen before or lies below the window is refused", "[once]")
{
    rc::prop("each number is accepted at most once", [](const std::vector<std::uint16_t>& numbers) {
        SeenCalls seen(60s);
        std::set<std::uint64_t> passed;
        for (const auto it : numbers) {
            if (seen.isNew(1, it, {}))
                RC_ASSERT(passed.insert(it).second);
        }
    });
    SeenCalls seen(60s);
    REQUIRE(seen.isNew(1, 5000, {}));
    REQUIRE(seen.isNew(1, 4999, {}));
    REQUIRE_FALSE(seen.isNew(1, 5000, {}));
    REQUIRE_FALSE(seen.isNew(1, 5000 - SeenCalls::window, {}));
    REQUIRE(seen.isNew(2, 5000, {}));
    seen.forgetSilent(Instant(61s));
    REQUIRE(seen.senders() == 0);
}
