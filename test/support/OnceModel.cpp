#include "OnceModel.h"

#include <algorithm>

namespace robinrun::support {
namespace {

    constexpr int keys = 4;
    constexpr int owners = 3;
    constexpr int homes = 2;
    constexpr Duration length = 4s;
    constexpr Duration patience = 800ms; ///< an ingress answers its caller within this
    constexpr Duration tickEvery = 5ms;
    constexpr const char* stream = "claims";

    FakeLog::Faults faultsOf(Random& random)
    {
        FakeLog::Faults faults;
        faults.loseReply = random.unit() * 0.3;
        faults.delayEffect = random.unit() * 0.2;
        faults.swallow = random.unit() * 0.2;
        faults.refuse = random.unit() * 0.2;
        return faults;
    }

} // namespace

OnceModel::Parts OnceModel::soundParts()
{
    Parts parts;
    parts.table = [](std::string upstream, std::uint64_t incarnation, Instant now) {
        const TicketTable::Options options { 500ms, 4, 1U << 20U };
        return std::make_unique<TicketTable>(std::move(upstream), incarnation, options, now);
    };
    parts.fold = [] { return std::make_unique<ClaimFold>(ClaimFold::Options { 3s, 100ms }); };
    return parts;
}

OnceModel::OnceModel(std::uint64_t seed, Parts parts)
    : m_random(seed)
    , m_parts(std::move(parts))
    , m_log(m_loop, seed + 1, faultsOf(m_random))
    , m_owners(owners)
    , m_homes(homes)
    , m_keys(keys)
{
    for (int i = 0; i < owners; ++i) {
        m_owners[i].name = "u" + std::to_string(i);
        restart(m_owners[i]);
    }
    for (auto& it : m_homes)
        restart(it);
    schedule();
}

Duration OnceModel::networkDelay()
{
    return fromSeconds(m_random.exponential(0.01));
}

void OnceModel::network(const std::function<void()>& f)
{
    constexpr double lost = 0.08;
    constexpr double doubled = 0.08;
    if (m_random.chance(lost))
        return;
    m_loop.after(networkDelay(), f);
    if (m_random.chance(doubled))
        m_loop.after(10 * networkDelay(), f);
}

void OnceModel::schedule()
{
    const auto anyTime = [this] { return Instant(fromSeconds(m_random.unit() * toSeconds(length))); };
    for (int key = 0; key < keys; ++key) {
        m_keys[key].usesTicket = m_random.chance(0.3);
        const auto first = anyTime();
        m_keys[key].bornMs = FakeLog::epochMs + first.time_since_epoch().count() / 1000;
        const auto times = 1 + m_random.below(4);
        for (std::size_t i = 0; i < times; ++i)
            m_loop.at(first + fromSeconds(m_random.exponential(0.3)) * (i > 0), [this, key] { begin(key); });
    }
    for (std::size_t i = 0; i < m_homes.size(); ++i) {
        m_loop.at(Instant(tickEvery), [this, i] { tickHome(i); });
        if (m_random.chance(0.5))
            m_loop.at(anyTime(),
                [this, i] { m_homes[i].pausedUntil = m_loop.now() + fromSeconds(m_random.unit() * 2); });
        if (m_random.chance(0.3))
            m_loop.at(anyTime(), [this, i] { restart(m_homes[i]); });
    }
    for (auto& it : m_owners) {
        if (m_random.chance(0.3))
            m_loop.at(anyTime(), [this, owner = &it] { restart(*owner); });
    }
    if (m_random.chance(0.4))
        m_loop.at(anyTime(), [this] { m_log.outageUntil(m_loop.now() + fromSeconds(m_random.unit())); });
    if (m_random.chance(0.3))
        m_loop.at(anyTime(), [this] { m_log.trim(stream, m_random.below(3)); });
    if (m_random.chance(0.1))
        m_loop.at(anyTime(), [this] { m_log.replace(); });
}

void OnceModel::restart(Owner& owner)
{
    owner.incarnation = ++m_lastIncarnation;
    owner.table = m_parts.table(owner.name, owner.incarnation, m_loop.now());
    owner.seen = SeenCalls(60s);
    owner.waiting.clear();
}

void OnceModel::restart(Home& home)
{
    home.fold = m_parts.fold();
    ++home.life;
    ClaimBatcher::Options options;
    options.decideWithin = 500ms;
    home.batcher = std::make_unique<ClaimBatcher>(options, ++m_lastIncarnation, stream);
    home.deciders.clear();
    home.isReading = false;
}

Hash128 OnceModel::hashOf(int key) const
{
    return { 1, static_cast<std::uint64_t>(key) };
}

OnceModel::Owner* OnceModel::ownerOf(const Ticket& ticket)
{
    const auto it = std::find_if(
        m_owners.begin(), m_owners.end(), [&](const auto& owner) { return owner.name == ticket.upstream; });
    return it == m_owners.end() ? nullptr : &*it;
}

void OnceModel::begin(int key)
{
    const int attempt = static_cast<int>(m_attempts.size());
    m_attempts.push_back({});
    m_attempts[attempt].key = key;
    m_loop.after(patience,
        [this, attempt] { tell(attempt, m_attempts[attempt].isOut ? proto::UNKNOWN : proto::NOT_RUN); });
    if (m_keys[key].usesTicket && m_keys[key].ticket)
        return sendCall(attempt, *m_keys[key].ticket);
    auto& owner = m_owners[m_random.below(m_owners.size())];
    network([this, attempt, &owner] {
        const auto ticket = owner.table->mint(m_random, m_loop.now());
        network([this, attempt, ticket] {
            auto& it = m_attempts[attempt];
            if (it.isOver || it.isOut)
                return;
            auto& known = m_keys[it.key];
            if (!known.usesTicket)
                return claim(attempt, ticket);
            if (!known.ticket)
                known.ticket = ticket;
            sendCall(attempt, *known.ticket);
        });
    });
}

void OnceModel::claim(int attempt, const Ticket& minted)
{
    const int key = m_attempts[attempt].key;
    const Claim claim { hashOf(key), m_keys[key].bornMs, minted };
    // Views of the members differ: any home may be asked, now and then both.
    auto& home = m_homes[m_random.below(m_homes.size())];
    network([this, attempt, claim, &home] {
        decideAt(home, claim, [this, attempt](const ClaimDecision& decision) {
            network([this, attempt, decision] {
                const auto& it = m_attempts[attempt];
                if (it.isOver || it.isOut)
                    return;
                if (decision.kind == ClaimDecision::Kind::Won)
                    sendCall(attempt, decision.winner);
                else
                    tell(attempt,
                        decision.kind == ClaimDecision::Kind::TooOld ? proto::UNKNOWN : proto::NOT_RUN);
            });
        });
    });
}

void OnceModel::decideAt(Home& home, const Claim& claim, std::function<void(ClaimDecision)> decided)
{
    const auto status = home.fold->status(claim.key, claim.bornMs, m_log.wallMs());
    if (status.kind == ClaimStatus::Kind::Won)
        return decided({ 0, ClaimDecision::Kind::Won, status.winner });
    const auto request = ++home.lastRequest;
    home.deciders[request] = std::move(decided);
    home.batcher->request(request, claim, m_loop.now());
}

void OnceModel::readHome(Home& home)
{
    if (home.isReading)
        return;
    home.isReading = true;
    m_log.read(stream, home.fold->nextOffset(), 100, 0ms,
        [this, &home, life = home.life](const Result<LogPage, PlatformError>& page) {
            if (life != home.life)
                return;
            home.isReading = false;
            if (!page)
                return;
            const auto batches = home.fold->take(page.value(), m_log.wallMs());
            home.batcher->streamAdvanced(*home.fold, batches, m_log.wallMs());
        });
}

void OnceModel::tickHome(std::size_t index)
{
    auto& home = m_homes[index];
    if (m_loop.now() < Instant(length + 3s))
        m_loop.after(tickEvery, [this, index] { tickHome(index); });
    if (m_loop.now() < home.pausedUntil)
        return;
    readHome(home);
    if (home.fold->hasRead()) {
        if (const auto batch = home.batcher->nextBatch(m_loop.now())) {
            const auto taken = [this, &home, life = home.life, id = batch->id](
                                   const Result<std::uint64_t, PlatformError>& offset) {
                const bool isCertain = !offset && offset.error().kind != PlatformErrorKind::Uncertain;
                if (life == home.life && isCertain)
                    home.batcher->appendFailed(id, m_loop.now());
            };
            m_log.append(stream, batch->serialize(), taken);
        }
    }
    home.batcher->expire(m_loop.now());
    for (const auto& it : home.batcher->takeDecisions()) {
        auto node = home.deciders.extract(it.request);
        if (!node.empty())
            node.mapped()(it);
    }
}

void OnceModel::sendCall(int attempt, const Ticket& ticket)
{
    m_attempts[attempt].isOut = true;
    auto* owner = ownerOf(ticket);
    network([this, owner, attempt, ticket] { takeCall(*owner, attempt, ticket); });
}

void OnceModel::takeCall(Owner& owner, int attempt, const Ticket& ticket)
{
    if (!owner.seen.isNew(1, static_cast<std::uint64_t>(attempt) + 1, m_loop.now()))
        return;
    const int key = m_attempts[attempt].key;
    const auto id = ++m_lastCall;
    const auto begin = owner.table->begin(ticket, hashOf(key), id, m_loop.now());
    switch (begin.step) {
    case TicketStep::Refuse:
        return answerAttempt(attempt, begin.isNotRun ? proto::NOT_RUN : proto::UNKNOWN, key);
    case TicketStep::Replay:
        return answerAttempt(attempt, begin.record->isKnown ? proto::ANSWERED : proto::UNKNOWN,
            std::atoi(begin.record->body.c_str()));
    case TicketStep::Join:
        owner.waiting[begin.firstId].push_back(attempt);
        return;
    case TicketStep::Run:
        break;
    }
    owner.waiting[id].push_back(attempt);
    const auto incarnation = owner.incarnation;
    m_loop.after(networkDelay(), [this, &owner, id, attempt, ticket, incarnation] {
        if (owner.incarnation == incarnation)
            runCall(owner, id, attempt, ticket);
    });
}

void OnceModel::runCall(Owner& owner, std::uint64_t id, int attempt, const Ticket& ticket)
{
    constexpr double refused = 0.15;
    constexpr double broken = 0.1;
    const int key = m_attempts[attempt].key;
    if (m_random.chance(refused)) {
        owner.table->notRun(ticket.nonce);
        for (const int it : owner.waiting[id])
            answerAttempt(it, proto::NOT_RUN, key);
        owner.waiting.erase(id);
        return;
    }
    ++m_keys[key].runs;
    m_attempts[attempt].hasRun = true;
    if (m_attempts[attempt].wasToldNotRun)
        ++m_verdict.falseNotRun;
    const bool isKnown = !m_random.chance(broken);
    const auto incarnation = owner.incarnation;
    m_loop.after(networkDelay(), [this, &owner, id, key, ticket, isKnown, incarnation] {
        if (owner.incarnation != incarnation)
            return; // the owner that waited for it is gone
        RecordedAnswer record;
        record.isKnown = isKnown;
        record.body = std::to_string(key);
        owner.table->ended(ticket.nonce, record);
        for (const int it : owner.waiting[id])
            answerAttempt(it, isKnown ? proto::ANSWERED : proto::UNKNOWN, key);
        owner.waiting.erase(id);
    });
}

void OnceModel::answerAttempt(int attempt, proto::Outcome outcome, int ofKey)
{
    network([this, attempt, outcome, ofKey] {
        if (!m_attempts[attempt].isOver && outcome == proto::ANSWERED && ofKey != m_attempts[attempt].key)
            ++m_verdict.foreignAnswers;
        tell(attempt, outcome);
    });
}

void OnceModel::tell(int attempt, proto::Outcome outcome)
{
    auto& it = m_attempts[attempt];
    if (it.isOver)
        return;
    it.isOver = true;
    if (outcome == proto::NOT_RUN) {
        it.wasToldNotRun = true;
        ++m_verdict.notRun;
        if (it.hasRun)
            ++m_verdict.falseNotRun;
    } else {
        ++(outcome == proto::ANSWERED ? m_verdict.answered : m_verdict.unknown);
    }
}

OnceVerdict OnceModel::run()
{
    m_loop.run(Instant(length + 5s));
    for (const auto& it : m_keys)
        m_verdict.keysRunTwice += it.runs > 1;
    return m_verdict;
}

} // namespace robinrun::support
