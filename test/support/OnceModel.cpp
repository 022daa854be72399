#include "OnceModel.h"

#include <algorithm>

namespace robinrun::support {
namespace {

    constexpr int keyCount = 4;
    constexpr int ownerCount = 3;
    constexpr int homeCount = 2;
    constexpr Duration scheduleLength = 4s;
    /// An ingress reports an outcome to its caller within this time.
    constexpr Duration ingressTimeout = 800ms;
    constexpr Duration tickInterval = 5ms;
    constexpr const char* claimStream = "claims";

    FakeLog::Faults randomFaults(Random& random)
    {
        FakeLog::Faults faults;
        faults.loseReply = random.unit() * 0.3;
        faults.delayEffect = random.unit() * 0.2;
        faults.swallow = random.unit() * 0.2;
        faults.refuse = random.unit() * 0.2;
        return faults;
    }

} // namespace

OnceModel::Parts OnceModel::correctParts()
{
    Parts parts;
    parts.makeTable = [](std::string upstream, std::uint64_t incarnation, Instant now) {
        const TicketTable::Options options { 500ms, 4, 1U << 20U };
        return std::make_unique<TicketTable>(std::move(upstream), incarnation, options, now);
    };
    parts.makeFold = [] { return std::make_unique<ClaimFold>(ClaimFold::Options { 3s, 100ms }); };
    return parts;
}

OnceModel::OnceModel(std::uint64_t seed, Parts parts)
    : m_random(seed)
    , m_parts(std::move(parts))
    , m_log(m_loop, seed + 1, randomFaults(m_random))
    , m_owners(ownerCount)
    , m_homes(homeCount)
    , m_keys(keyCount)
{
    for (int i = 0; i < ownerCount; ++i) {
        m_owners[i].name = "u" + std::to_string(i);
        restart(m_owners[i]);
    }
    for (auto& it : m_homes)
        restart(it);
    scheduleCallsAndFaults();
}

Duration OnceModel::networkDelay()
{
    return fromSeconds(m_random.exponential(0.01));
}

void OnceModel::deliverUnreliably(const std::function<void()>& f)
{
    constexpr double lossProbability = 0.08;
    constexpr double duplicateProbability = 0.08;
    if (m_random.chance(lossProbability))
        return;
    m_loop.after(networkDelay(), f);
    if (m_random.chance(duplicateProbability))
        m_loop.after(10 * networkDelay(), f);
}

void OnceModel::scheduleCallsAndFaults()
{
    const auto randomTime
        = [this] { return Instant(fromSeconds(m_random.unit() * toSeconds(scheduleLength))); };
    for (int keyIndex = 0; keyIndex < keyCount; ++keyIndex) {
        m_keys[keyIndex].usesTicket = m_random.chance(0.3);
        const auto firstTime = randomTime();
        m_keys[keyIndex].keyCreatedMs = FakeLog::epochMs + firstTime.time_since_epoch().count() / 1000;
        const auto attemptCount = 1 + m_random.below(4);
        for (std::size_t i = 0; i < attemptCount; ++i)
            m_loop.at(firstTime + fromSeconds(m_random.exponential(0.3)) * (i > 0),
                [this, keyIndex] { startAttempt(keyIndex); });
    }
    for (std::size_t i = 0; i < m_homes.size(); ++i) {
        m_loop.at(Instant(tickInterval), [this, i] { tickHome(i); });
        if (m_random.chance(0.5))
            m_loop.at(randomTime(),
                [this, i] { m_homes[i].pausedUntil = m_loop.now() + fromSeconds(m_random.unit() * 2); });
        if (m_random.chance(0.3))
            m_loop.at(randomTime(), [this, i] { restart(m_homes[i]); });
    }
    for (auto& it : m_owners) {
        if (m_random.chance(0.3))
            m_loop.at(randomTime(), [this, owner = &it] { restart(*owner); });
    }
    if (m_random.chance(0.4))
        m_loop.at(randomTime(), [this] { m_log.outageUntil(m_loop.now() + fromSeconds(m_random.unit())); });
    if (m_random.chance(0.3))
        m_loop.at(randomTime(), [this] { m_log.trim(claimStream, m_random.below(3)); });
    if (m_random.chance(0.1))
        m_loop.at(randomTime(), [this] { m_log.replace(); });
}

void OnceModel::restart(Owner& owner)
{
    owner.incarnation = ++m_lastIncarnation;
    owner.table = m_parts.makeTable(owner.name, owner.incarnation, m_loop.now());
    owner.seenCalls = SeenCalls(60s);
    owner.waitingAttempts.clear();
}

void OnceModel::restart(Home& home)
{
    home.fold = m_parts.makeFold();
    ++home.restartCount;
    ClaimBatcher::Options options;
    options.decisionTimeout = 500ms;
    home.batcher = std::make_unique<ClaimBatcher>(options, ++m_lastIncarnation, claimStream);
    home.decisionCallbacks.clear();
    home.isReadInFlight = false;
}

Hash128 OnceModel::keyHash(int keyIndex) const
{
    return { 1, static_cast<std::uint64_t>(keyIndex) };
}

OnceModel::Owner* OnceModel::findOwner(const Ticket& ticket)
{
    const auto it = std::find_if(
        m_owners.begin(), m_owners.end(), [&](const auto& owner) { return owner.name == ticket.upstream; });
    return it == m_owners.end() ? nullptr : &*it;
}

void OnceModel::startAttempt(int keyIndex)
{
    const int attempt = static_cast<int>(m_attempts.size());
    m_attempts.push_back({});
    m_attempts[attempt].keyIndex = keyIndex;
    m_loop.after(ingressTimeout, [this, attempt] {
        reportOutcome(attempt, m_attempts[attempt].isSentToOwner ? proto::UNKNOWN : proto::NOT_RUN);
    });
    if (m_keys[keyIndex].usesTicket && m_keys[keyIndex].ticket)
        return sendCall(attempt, *m_keys[keyIndex].ticket);
    auto& owner = m_owners[m_random.below(m_owners.size())];
    deliverUnreliably([this, attempt, &owner] {
        const auto ticket = owner.table->mint(m_random, m_loop.now());
        deliverUnreliably([this, attempt, ticket] {
            auto& it = m_attempts[attempt];
            if (it.isAnswered || it.isSentToOwner)
                return;
            auto& keyState = m_keys[it.keyIndex];
            if (!keyState.usesTicket)
                return requestClaim(attempt, ticket);
            if (!keyState.ticket)
                keyState.ticket = ticket;
            sendCall(attempt, *keyState.ticket);
        });
    });
}

void OnceModel::requestClaim(int attempt, const Ticket& minted)
{
    const int keyIndex = m_attempts[attempt].keyIndex;
    const Claim claim { keyHash(keyIndex), m_keys[keyIndex].keyCreatedMs, minted };
    // Nodes may differ in their view of the members, so either home may get the request.
    auto& home = m_homes[m_random.below(m_homes.size())];
    deliverUnreliably([this, attempt, claim, &home] {
        requestDecision(home, claim, [this, attempt](const ClaimDecision& decision) {
            deliverUnreliably([this, attempt, decision] {
                const auto& it = m_attempts[attempt];
                if (it.isAnswered || it.isSentToOwner)
                    return;
                if (decision.kind == ClaimDecision::Kind::Won)
                    sendCall(attempt, decision.winner);
                else
                    reportOutcome(attempt,
                        decision.kind == ClaimDecision::Kind::TooOld ? proto::UNKNOWN : proto::NOT_RUN);
            });
        });
    });
}

void OnceModel::requestDecision(Home& home, const Claim& claim, std::function<void(ClaimDecision)> decided)
{
    const auto status = home.fold->status(claim.keyHash, claim.keyCreatedMs, m_log.wallMs());
    if (status.kind == ClaimStatus::Kind::Won)
        return decided({ 0, ClaimDecision::Kind::Won, status.winner });
    const auto requestId = ++home.lastRequestId;
    home.decisionCallbacks[requestId] = std::move(decided);
    home.batcher->addClaim(requestId, claim, m_loop.now());
}

void OnceModel::readClaimStream(Home& home)
{
    if (home.isReadInFlight)
        return;
    home.isReadInFlight = true;
    m_log.read(claimStream, home.fold->nextOffset(), 100, 0ms,
        [this, &home, restartCount = home.restartCount](const Result<LogPage, PlatformError>& page) {
            if (restartCount != home.restartCount)
                return;
            home.isReadInFlight = false;
            if (!page)
                return;
            const auto batches = home.fold->applyPage(page.value(), m_log.wallMs());
            home.batcher->onStreamRead(*home.fold, batches, m_log.wallMs());
        });
}

void OnceModel::tickHome(std::size_t index)
{
    auto& home = m_homes[index];
    if (m_loop.now() < Instant(scheduleLength + 3s))
        m_loop.after(tickInterval, [this, index] { tickHome(index); });
    if (m_loop.now() < home.pausedUntil)
        return;
    readClaimStream(home);
    if (home.fold->hasAppliedPage()) {
        if (const auto batch = home.batcher->takeNextBatch(m_loop.now())) {
            const auto onAppended = [this, &home, restartCount = home.restartCount, batchId = batch->id](
                                        const Result<std::uint64_t, PlatformError>& offset) {
                const bool isCertain = !offset && offset.error().kind != PlatformErrorKind::Uncertain;
                if (restartCount == home.restartCount && isCertain)
                    home.batcher->onAppendFailed(batchId, m_loop.now());
            };
            m_log.append(claimStream, batch->serialize(), onAppended);
        }
    }
    home.batcher->expireOldClaims(m_loop.now());
    for (const auto& it : home.batcher->takeDecisions()) {
        auto node = home.decisionCallbacks.extract(it.requestId);
        if (!node.empty())
            node.mapped()(it);
    }
}

void OnceModel::sendCall(int attempt, const Ticket& ticket)
{
    m_attempts[attempt].isSentToOwner = true;
    auto* owner = findOwner(ticket);
    deliverUnreliably([this, owner, attempt, ticket] { receiveCall(*owner, attempt, ticket); });
}

void OnceModel::receiveCall(Owner& owner, int attempt, const Ticket& ticket)
{
    if (!owner.seenCalls.isNew(1, static_cast<std::uint64_t>(attempt) + 1, m_loop.now()))
        return;
    const int keyIndex = m_attempts[attempt].keyIndex;
    const auto callId = ++m_lastCallId;
    const auto decision = owner.table->beginCall(ticket, keyHash(keyIndex), callId, m_loop.now());
    switch (decision.action) {
    case TicketAction::Refuse:
        return sendAnswer(attempt, decision.isNotRun ? proto::NOT_RUN : proto::UNKNOWN, keyIndex);
    case TicketAction::Replay:
        return sendAnswer(attempt, decision.answer->isOutcomeKnown ? proto::ANSWERED : proto::UNKNOWN,
            std::atoi(decision.answer->body.c_str()));
    case TicketAction::Join:
        owner.waitingAttempts[decision.firstCallId].push_back(attempt);
        return;
    case TicketAction::Run:
        break;
    }
    owner.waitingAttempts[callId].push_back(attempt);
    const auto incarnation = owner.incarnation;
    m_loop.after(networkDelay(), [this, &owner, callId, attempt, ticket, incarnation] {
        if (owner.incarnation == incarnation)
            runCall(owner, callId, attempt, ticket);
    });
}

void OnceModel::runCall(Owner& owner, std::uint64_t callId, int attempt, const Ticket& ticket)
{
    constexpr double refusalProbability = 0.15;
    constexpr double unknownOutcomeProbability = 0.1;
    const int keyIndex = m_attempts[attempt].keyIndex;
    if (m_random.chance(refusalProbability)) {
        owner.table->releaseTicket(ticket.nonce);
        for (const int it : owner.waitingAttempts[callId])
            sendAnswer(it, proto::NOT_RUN, keyIndex);
        owner.waitingAttempts.erase(callId);
        return;
    }
    ++m_keys[keyIndex].runCount;
    m_attempts[attempt].hasRun = true;
    if (m_attempts[attempt].wasReportedNotRun)
        ++m_verdict.falseNotRun;
    const bool isOutcomeKnown = !m_random.chance(unknownOutcomeProbability);
    const auto incarnation = owner.incarnation;
    m_loop.after(networkDelay(), [this, &owner, callId, keyIndex, ticket, isOutcomeKnown, incarnation] {
        if (owner.incarnation != incarnation)
            return; // the owner has restarted and lost the call
        RecordedAnswer answer;
        answer.isOutcomeKnown = isOutcomeKnown;
        answer.body = std::to_string(keyIndex);
        owner.table->recordAnswer(ticket.nonce, answer);
        for (const int it : owner.waitingAttempts[callId])
            sendAnswer(it, isOutcomeKnown ? proto::ANSWERED : proto::UNKNOWN, keyIndex);
        owner.waitingAttempts.erase(callId);
    });
}

void OnceModel::sendAnswer(int attempt, proto::Outcome outcome, int answeredKey)
{
    deliverUnreliably([this, attempt, outcome, answeredKey] {
        if (!m_attempts[attempt].isAnswered && outcome == proto::ANSWERED
            && answeredKey != m_attempts[attempt].keyIndex)
            ++m_verdict.foreignAnswers;
        reportOutcome(attempt, outcome);
    });
}

void OnceModel::reportOutcome(int attempt, proto::Outcome outcome)
{
    auto& it = m_attempts[attempt];
    if (it.isAnswered)
        return;
    it.isAnswered = true;
    if (outcome == proto::NOT_RUN) {
        it.wasReportedNotRun = true;
        ++m_verdict.notRun;
        if (it.hasRun)
            ++m_verdict.falseNotRun;
    } else {
        ++(outcome == proto::ANSWERED ? m_verdict.answered : m_verdict.unknown);
    }
}

OnceVerdict OnceModel::run()
{
    m_loop.run(Instant(scheduleLength + 5s));
    for (const auto& it : m_keys)
        m_verdict.keysRunTwice += it.runCount > 1;
    return m_verdict;
}

} // namespace robinrun::support
