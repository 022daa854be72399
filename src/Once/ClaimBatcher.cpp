#include "Once/ClaimBatcher.h"

#include <algorithm>

namespace robinrun {

ClaimBatcher::ClaimBatcher(Options options, std::uint64_t incarnation, const std::string& stream)
    : m_options(options)
    , m_batchIdPrefix(stream + "/" + std::to_string(incarnation) + "/")
{
}

void ClaimBatcher::addClaim(std::uint64_t requestId, const Claim& claim, Instant now)
{
    m_unsent.emplace(requestId, PendingClaim { claim, now, {} });
}

bool ClaimBatcher::isBatchDue(Instant now) const
{
    if (m_unsent.empty())
        return false;
    return m_unsent.size() >= m_options.maxClaimsPerBatch
        || now >= m_unsent.begin()->second.requestedAt + m_options.maxBatchDelay;
}

std::optional<ClaimBatch> ClaimBatcher::takeNextBatch(Instant now)
{
    if (!isBatchDue(now))
        return std::nullopt;
    ClaimBatch batch { m_batchIdPrefix + std::to_string(++m_batchCount), {} };
    while (!m_unsent.empty() && batch.claims.size() < m_options.maxClaimsPerBatch) {
        auto node = m_unsent.extract(m_unsent.begin());
        node.mapped().batchId = batch.id;
        batch.claims.push_back(node.mapped().claim);
        m_sent.insert(std::move(node));
    }
    return batch;
}

void ClaimBatcher::onAppendFailed(const std::string& batchId, Instant)
{
    for (auto it = m_sent.begin(); it != m_sent.end();) {
        const auto current = it++;
        if (current->second.batchId == batchId)
            m_unsent.insert(m_sent.extract(current));
    }
}

bool ClaimBatcher::tryDecide(
    std::uint64_t requestId, const Claim& claim, const ClaimFold& fold, std::int64_t wallMs)
{
    const auto status = fold.status(claim.keyHash, claim.keyCreatedMs, wallMs);
    if (status.kind == ClaimStatus::Kind::Unclaimed)
        return false;
    const bool isWon = status.kind == ClaimStatus::Kind::Won;
    m_decisions.push_back(
        { requestId, isWon ? ClaimDecision::Kind::Won : ClaimDecision::Kind::TooOld, status.winner });
    return true;
}

void ClaimBatcher::onStreamRead(
    const ClaimFold& fold, const std::vector<std::string>& batchIds, std::int64_t wallMs)
{
    std::erase_if(
        m_unsent, [&](const auto& it) { return tryDecide(it.first, it.second.claim, fold, wallMs); });
    const auto isBatchRead = [&](const PendingClaim& it) {
        return std::find(batchIds.begin(), batchIds.end(), it.batchId) != batchIds.end();
    };
    std::erase_if(m_sent, [&](const auto& it) {
        return isBatchRead(it.second) && tryDecide(it.first, it.second.claim, fold, wallMs);
    });
}

void ClaimBatcher::expirePending(PendingClaimMap& pending, Instant now)
{
    std::erase_if(pending, [&](const auto& it) {
        if (now < it.second.requestedAt + m_options.decisionTimeout)
            return false;
        m_decisions.push_back({ it.first, ClaimDecision::Kind::Undecided, {} });
        return true;
    });
}

void ClaimBatcher::expireOldClaims(Instant now)
{
    expirePending(m_unsent, now);
    expirePending(m_sent, now);
}

std::vector<ClaimDecision> ClaimBatcher::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace robinrun
