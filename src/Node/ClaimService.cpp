#include "Node/ClaimService.h"

#include "Control/Tree.h"
#include "Core/Log.h"
#include "Wire/ClaimCodec.h"

#include <vector>

namespace robinrun {
namespace {

    constexpr std::size_t pageRecords = 500;
    constexpr Duration readWait = 1s;
    constexpr Duration readRetry = 200ms;
    constexpr Duration homeLife = 60s;
    constexpr Duration homeNamesLife = 1s;
    constexpr double appendBurst = 5;

    /// How many homes are asked in turn when one doesn't answer.
    constexpr std::size_t maxHomes = 3;

} // namespace

std::string claimStream(std::uint32_t partition)
{
    return "claims-" + std::to_string(partition);
}

ClaimService::ClaimService(
    NodeContext& context, AppendLog& log, const Membership& members, SendToPeer send, Instant now)
    : m_context(&context)
    , m_log(&log)
    , m_members(&members)
    , m_send(std::move(send))
    , m_appendBudget(context.settings.claims.appendsPerSecond, appendBurst, appendBurst, now)
{
}

std::string ClaimService::homeOf(std::uint32_t partition, std::size_t rank, Instant now)
{
    auto& it = m_homeNames[partition];
    if (now >= it.validUntil || it.names.empty()) {
        std::vector<std::string> live;
        for (auto& name : m_members->hostNames()) {
            if (m_members->isLive(name, now))
                live.push_back(std::move(name));
        }
        it.names = topRankedByHash(live, claimStream(partition), maxHomes);
        it.validUntil = now + homeNamesLife;
    }
    if (it.names.empty())
        return m_context->settings.name;
    return it.names[rank % it.names.size()];
}

void ClaimService::claim(const Claim& claim, Decided decided, Instant now)
{
    if (!isBusy() && m_becameBusy)
        m_becameBusy();
    const auto number = ++m_lastNumber;
    const auto partition
        = static_cast<std::uint32_t>(claim.keyHash.high % m_context->settings.claims.partitions);
    auto& asked = m_asked[number];
    asked = { claim, partition, std::move(decided), now, 0, {} };
    ask(number, asked, now);
}

void ClaimService::ask(std::uint64_t number, Asked& asked, Instant now)
{
    const auto patience = m_context->settings.claims.decideWithin / 2;
    while (asked.askedHomes < maxHomes) {
        const auto name = homeOf(asked.partition, asked.askedHomes++, now);
        asked.askAgainAt = now + patience;
        if (name == m_context->settings.name) {
            auto decided = [this, number](const ClaimDecision& decision) {
                auto node = m_asked.extract(number);
                if (!node.empty())
                    node.mapped().decided(decision);
            };
            return decideHere(asked.partition, asked.claim, std::move(decided), now);
        }
        const auto* host = m_members->find(name);
        proto::PeerMessage message;
        auto& request = *message.mutable_claim_request();
        request.set_number(number);
        request.set_partition(asked.partition);
        encode(asked.claim, *request.mutable_claim());
        const auto result = host ? m_send(host->peerAddress, message, now) : SendResult::Unreachable;
        if (result == SendResult::Sent)
            return;
        if (result == SendResult::Connecting) {
            --asked.askedHomes;
            asked.askAgainAt = now + connectRetry;
            return;
        }
    }
}

void ClaimService::takeReply(const proto::ClaimReply& reply)
{
    auto node = m_asked.extract(reply.number());
    if (node.empty())
        return;
    ClaimDecision decision;
    if (reply.decided())
        decision.kind = reply.too_old() ? ClaimDecision::Kind::TooOld : ClaimDecision::Kind::Won;
    decision.winner = decode(reply.winner());
    node.mapped().decided(decision);
}

void ClaimService::takeRequest(const proto::ClaimRequest& request, Answer answer, Instant now)
{
    const Claim claim = decode(request.claim());
    const auto partition = request.partition();
    if (partition >= m_context->settings.claims.partitions)
        return;
    auto decided = [number = request.number(), answer = std::move(answer)](const ClaimDecision& decision) {
        proto::ClaimReply reply;
        reply.set_number(number);
        reply.set_decided(decision.kind != ClaimDecision::Kind::Undecided);
        reply.set_too_old(decision.kind == ClaimDecision::Kind::TooOld);
        encode(decision.winner, *reply.mutable_winner());
        answer(reply);
    };
    decideHere(partition, claim, std::move(decided), now);
}

ClaimService::Home& ClaimService::home(std::uint32_t partition)
{
    const auto it = m_homes.find(partition);
    if (it != m_homes.end())
        return it->second;
    const auto& settings = m_context->settings.claims;
    ClaimFold::Options foldOptions;
    foldOptions.keyLifetime = settings.keyLifetime;
    foldOptions.maxClockSkew = settings.clockSkew;
    ClaimBatcher::Options batchOptions;
    batchOptions.maxBatchDelay = settings.gather;
    batchOptions.decisionTimeout = settings.decideWithin;
    const auto stream = claimStream(partition);
    return m_homes.try_emplace(partition, foldOptions, batchOptions, m_context->incarnation, stream)
        .first->second;
}

void ClaimService::decideHere(std::uint32_t partition, const Claim& claim, Decided decided, Instant now)
{
    if (!isBusy() && m_becameBusy)
        m_becameBusy();
    auto& it = home(partition);
    it.lastRequest = now;
    const auto wallMs = m_context->wallClock();
    // A winner is final as soon as it is seen: repeats need no append.
    const auto status = it.fold.status(claim.keyHash, claim.keyCreatedMs, wallMs);
    if (status.kind == ClaimStatus::Kind::Won)
        return decided({ 0, ClaimDecision::Kind::Won, status.winner });
    read(partition, it, now);
    if (it.isLogOut)
        return decided({ 0, ClaimDecision::Kind::Undecided, {} });
    const auto number = ++m_lastNumber;
    it.deciders.emplace(number, std::move(decided));
    it.batcher.addClaim(number, claim, now);
}

void ClaimService::read(std::uint32_t partition, Home& home, Instant now)
{
    if (home.isReading || now < home.readAgainAt)
        return;
    home.isReading = true;
    // The first read only shows what stands there; later ones wait for more.
    const auto wait = home.fold.hasAppliedPage() ? readWait : Duration::zero();
    m_log->read(claimStream(partition), home.fold.nextOffset(), pageRecords, wait,
        [this, partition](Result<LogPage, PlatformError> page) {
            const auto it = m_homes.find(partition);
            if (it == m_homes.end())
                return;
            const auto end = m_context->clock();
            it->second.isReading = false;
            it->second.isLogOut = !page.has_value();
            if (!page) {
                it->second.readAgainAt = end + readRetry;
                return;
            }
            const auto wallMs = m_context->wallClock();
            const auto batches = it->second.fold.applyPage(page.value(), wallMs);
            it->second.batcher.onStreamRead(it->second.fold, batches, wallMs);
            deliver(it->second);
            if (it->second.batcher.pendingCount())
                read(partition, it->second, end);
        });
}

void ClaimService::flush(std::uint32_t partition, Home& home, Instant now)
{
    // Nothing is appended before the stream has been read: an old claim of the key may stand there.
    if (!home.fold.hasAppliedPage() || !home.batcher.isBatchDue(now) || !m_appendBudget.tryTake(1, now))
        return;
    const auto batch = home.batcher.takeNextBatch(now);
    ++m_appends;
    m_log->append(claimStream(partition), batch->serialize(),
        [this, partition, id = batch->id](Result<std::uint64_t, PlatformError> offset) {
            const auto it = m_homes.find(partition);
            if (offset || it == m_homes.end())
                return;
            const bool isCertain = offset.error().kind == PlatformErrorKind::Unreachable
                || offset.error().kind == PlatformErrorKind::Refused;
            if (isCertain)
                it->second.batcher.onAppendFailed(id, m_context->clock());
        });
}

void ClaimService::deliver(Home& home)
{
    for (const auto& decision : home.batcher.takeDecisions()) {
        auto node = home.deciders.extract(decision.requestId);
        if (!node.empty())
            node.mapped()(decision);
    }
}

void ClaimService::tick(Instant now)
{
    for (auto& [partition, home] : m_homes) {
        flush(partition, home, now);
        home.batcher.expireOldClaims(now);
        deliver(home);
        if (home.batcher.pendingCount() || home.isLogOut)
            read(partition, home, now);
    }
    std::erase_if(m_homes, [&](const auto& it) {
        return !it.second.isReading && !it.second.batcher.pendingCount()
            && now - it.second.lastRequest > homeLife;
    });
    tickAsked(now);
}

void ClaimService::tickAsked(Instant now)
{
    const auto limit = m_context->settings.claims.decideWithin * 3 / 2;
    std::vector<std::uint64_t> givenUp;
    std::vector<std::uint64_t> askAgain;
    for (const auto& [number, asked] : m_asked) {
        if (now - asked.since > limit)
            givenUp.push_back(number);
        else if (now >= asked.askAgainAt && asked.askedHomes < maxHomes)
            askAgain.push_back(number);
    }
    // Callbacks may change the map: go by number.
    for (const auto number : givenUp) {
        auto node = m_asked.extract(number);
        node.mapped().decided({ 0, ClaimDecision::Kind::Undecided, {} });
    }
    for (const auto number : askAgain) {
        const auto it = m_asked.find(number);
        if (it != m_asked.end())
            ask(number, it->second, now);
    }
}

} // namespace robinrun
