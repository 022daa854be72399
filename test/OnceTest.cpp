#include "Once/ClaimBatcher.h"
#include "Once/ClaimFold.h"
#include "Once/KeyAge.h"
#include "Once/TicketTable.h"
#include "Wire/SeenCalls.h"
#include "support/OnceModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace robinrun;
using support::OnceModel;

namespace {

constexpr std::int64_t wall = 1700000000000;

LogPage page(std::uint64_t from, const std::vector<Claim>& claims, std::string logId = "log")
{
    LogPage out { std::move(logId), from, 0, from + claims.size(), 0, {} };
    for (const auto& it : claims)
        out.records.push_back(ClaimBatch { "b", { it } }.serialize());
    return out;
}

Claim claim(std::uint64_t key, std::uint64_t nonce, std::int64_t born = wall)
{
    return { { 0, key }, born, { "u", 1, 0, { 0, nonce } } };
}

/// \brief Broken on purpose: the last claim wins.
class LastWinsFold : public ClaimFold {
public:
    LastWinsFold()
        : ClaimFold({ 3s, 100ms })
    {
    }

protected:
    void enter(const Claim& it) override { m_winners[it.key] = { it.ticket, it.bornMs }; }
};

/// \brief Broken on purpose: tickets of a former incarnation are taken.
class ForgetfulTable : public TicketTable {
public:
    ForgetfulTable(std::string upstream, std::uint64_t incarnation, Instant now)
        : TicketTable(upstream, incarnation, { 500ms, 4, 1U << 20U }, now)
        , m_incarnation(incarnation)
    {
    }
    Begin begin(const Ticket& ticket, Hash128 fingerprint, std::uint64_t id, Instant now) override
    {
        auto own = ticket;
        own.incarnation = m_incarnation;
        own.epoch = 0;
        return TicketTable::begin(own, fingerprint, id, now);
    }

private:
    std::uint64_t m_incarnation;
};

int badSchedules(const OnceModel::Parts& parts, int n)
{
    int bad = 0;
    for (int seed = 1; seed <= n; ++seed)
        bad += !OnceModel(static_cast<std::uint64_t>(seed), parts).run().isGood();
    return bad;
}

} // namespace

TEST_CASE("Nothing runs twice and no 'not run' is false, under random faults", "[once]")
{
    REQUIRE(badSchedules(OnceModel::soundParts(), 3000) == 0);
}

TEST_CASE("The same schedules catch parts that are broken on purpose", "[once]")
{
    auto parts = OnceModel::soundParts();
    parts.fold = [] { return std::make_unique<LastWinsFold>(); };
    REQUIRE(badSchedules(parts, 300) > 0);
    parts = OnceModel::soundParts();
    parts.table = [](std::string upstream, std::uint64_t incarnation, Instant now) {
        return std::make_unique<ForgetfulTable>(std::move(upstream), incarnation, now);
    };
    REQUIRE(badSchedules(parts, 300) > 0);
}

TEST_CASE("A ticket runs once; repeats join it, then get its record", "[once]")
{
    Random random(1);
    TicketTable table("u", 7, {}, {});
    const auto ticket = table.mint(random, {});
    const Hash128 request { 1, 1 };
    REQUIRE(table.begin(ticket, request, 1, {}).step == TicketStep::Run);
    const auto joined = table.begin(ticket, request, 2, {});
    REQUIRE(joined.step == TicketStep::Join);
    REQUIRE(joined.firstId == 1);
    const auto other = table.begin(ticket, { 2, 2 }, 3, {});
    REQUIRE(other.reason == Reason::TicketMismatch);
    REQUIRE(other.isNotRun);
    table.ended(ticket.nonce, { true, 200, {}, "done" });
    REQUIRE(table.begin(ticket, request, 4, {}).record->body == "done");
}

TEST_CASE("A ticket given up before it ran may run later", "[once]")
{
    Random random(1);
    TicketTable table("u", 7, {}, {});
    const auto ticket = table.mint(random, {});
    table.begin(ticket, {}, 1, {});
    table.notRun(ticket.nonce);
    REQUIRE(table.size() == 0);
    REQUIRE(table.bytes() == 0);
    REQUIRE(table.begin(ticket, {}, 2, {}).step == TicketStep::Run);
}

TEST_CASE("A ticket of another incarnation, or too old, is unknown for ever", "[once]")
{
    Random random(1);
    TicketTable table("u", 7, { 60s, 10, 1000 }, {});
    auto ticket = table.mint(random, {});
    auto former = ticket;
    former.incarnation = 6;
    REQUIRE(table.begin(former, {}, 1, {}).reason == Reason::TicketUnknown);
    REQUIRE_FALSE(table.begin(former, {}, 1, {}).isNotRun);
    table.begin(ticket, {}, 1, {});
    table.ended(ticket.nonce, {});
    REQUIRE(table.begin(ticket, {}, 2, Instant(659s)).step == TicketStep::Replay);
    REQUIRE(table.begin(ticket, {}, 2, Instant(660s)).reason == Reason::TicketUnknown);
    REQUIRE(table.size() == 0);
    // Memory is bounded: new tickets are refused as not run, live records stay.
    const auto first = table.mint(random, Instant(700s));
    REQUIRE(table.begin(first, {}, 1, Instant(700s)).step == TicketStep::Run);
    table.ended(first.nonce, { true, 200, {}, std::string(1000, 'x') });
    const auto full = table.begin(table.mint(random, Instant(700s)), {}, 2, Instant(700s));
    REQUIRE(full.reason == Reason::TooManyTickets);
    REQUIRE(full.isNotRun);
    REQUIRE(table.begin(first, {}, 3, Instant(700s)).step == TicketStep::Replay);
}

TEST_CASE("Tickets survive the way to the caller and back", "[once]")
{
    rc::prop("text and back", [](std::uint64_t a, std::uint64_t b, std::uint64_t c, std::uint64_t d) {
        const Ticket ticket { "cards-1.riga", a, b, { c, d } };
        RC_ASSERT(Ticket::parse(ticket.text()).value() == ticket);
    });
    for (const auto* bad : { "", "x", "u.1.2.3", "u.1.2.3.zz", ".1.2.3.4" })
        REQUIRE_FALSE(Ticket::parse(bad).has_value());
}

TEST_CASE("The first claim by offset wins, and a losing claim wins nothing later", "[once]")
{
    ClaimFold fold({ 600s, 2s });
    fold.take(page(0, { claim(1, 10), claim(1, 11) }), wall);
    REQUIRE(fold.status({ 0, 1 }, wall, wall).winner.nonce.low == 10);
    REQUIRE(fold.status({ 0, 2 }, wall, wall).kind == ClaimStatus::Kind::Free);
    // Another fold starts after the log forgot the first claim: it must not take the second for it.
    ClaimFold late({ 600s, 2s });
    auto rest = page(1, { claim(1, 11) });
    rest.first = 1;
    rest.keptSinceMs = wall + 1;
    late.take(rest, wall + 10);
    REQUIRE(late.status({ 0, 1 }, wall, wall + 10).kind == ClaimStatus::Kind::TooOld);
    REQUIRE(late.status({ 0, 5 }, wall + 5000, wall + 5000).kind == ClaimStatus::Kind::Free);
}

TEST_CASE("A replaced log is read from its start and decides no older key", "[once]")
{
    ClaimFold fold({ 600s, 2s });
    fold.take(page(0, { claim(1, 10), claim(2, 20) }), wall);
    auto other = page(2, { claim(3, 31, wall + 9000) }, "another");
    fold.take(other, wall + 5000);
    REQUIRE(fold.nextOffset() == 0);
    REQUIRE(fold.status({ 0, 3 }, wall + 9000, wall + 9000).kind == ClaimStatus::Kind::Free);
    REQUIRE(fold.status({ 0, 4 }, wall, wall + 5000).kind == ClaimStatus::Kind::TooOld);
    REQUIRE(fold.status({ 0, 1 }, wall, wall + 5000).winner.nonce.low == 10);
}

TEST_CASE("Claims gather into few appends and give up in time", "[once]")
{
    ClaimBatcher batcher({ 200, 3ms, 2s }, 1, "claims-0");
    for (std::uint64_t i = 1; i <= 100; ++i)
        batcher.request(i, claim(i, i), {});
    REQUIRE_FALSE(batcher.nextBatch({}));
    const auto batch = batcher.nextBatch(Instant(3ms));
    REQUIRE(batch->claims.size() == 100);
    batcher.appendFailed(batch->id, Instant(4ms));
    const auto again = batcher.nextBatch(Instant(5ms));
    REQUIRE(again->claims.size() == 100);
    ClaimFold fold({ 600s, 2s });
    auto read = page(0, {});
    read.records.push_back(again->serialize());
    read.end = 1;
    const auto ids = fold.take(read, wall);
    batcher.streamAdvanced(fold, ids, wall);
    REQUIRE(batcher.takeDecisions().size() == 100);
    batcher.request(200, claim(200, 1), Instant(1s));
    batcher.expire(Instant(4s));
    REQUIRE(batcher.takeDecisions().at(0).kind == ClaimDecision::Kind::Undecided);
    REQUIRE(batcher.waiting() == 0);
}

TEST_CASE("A key tells its age, or is none", "[once]")
{
    REQUIRE(keyBornMs("018bcfe5-6800-7abc-8def-0123456789ab") == 0x018bcfe56800);
    REQUIRE(keyBornMs("1700000000:order-7") == 1700000000000);
    for (const auto* bad :
        { "", "order-7", "1700000000:", "17x:a", "018bcfe5-6800-4abc-8def-0123456789ab", "-5:a" })
        REQUIRE_FALSE(keyBornMs(bad));
}

TEST_CASE("A doubled or far too old call number is refused", "[once]")
{
    rc::prop("each number passes at most once", [](const std::vector<std::uint16_t>& numbers) {
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
