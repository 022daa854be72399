#include "Once/ClaimFold.h"

#include "Wire/ClaimCodec.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr std::int64_t evictionIntervalMs = 5000;

    std::int64_t toWholeMilliseconds(Duration duration)
    {
        return duration.count() / 1000;
    }

} // namespace

std::string ClaimBatch::serialize() const
{
    proto::ClaimBatch out;
    out.set_id(id);
    for (const auto& it : claims)
        encode(it, *out.add_claims());
    return out.SerializeAsString();
}

std::optional<ClaimBatch> ClaimBatch::parse(std::string_view record)
{
    proto::ClaimBatch in;
    if (!in.ParseFromArray(record.data(), static_cast<int>(record.size())))
        return std::nullopt;
    ClaimBatch batch { in.id(), {} };
    for (const auto& it : in.claims())
        batch.claims.push_back(decode(it));
    return batch;
}

std::int64_t ClaimFold::keyLifetimeMs() const
{
    return toWholeMilliseconds(m_options.keyLifetime);
}
std::int64_t ClaimFold::maxClockSkewMs() const
{
    return toWholeMilliseconds(m_options.maxClockSkew);
}

void ClaimFold::updateReadPosition(const LogPage& page, std::int64_t wallMs)
{
    const bool isLogReplaced = m_hasAppliedPage && (page.logId != m_logId || page.end < m_nextOffset);
    if (isLogReplaced) {
        // Claims that only the former log held are lost: no unclaimed key created before now can be decided.
        // The new log is read from its start, since this page may begin in the middle of it.
        m_historyCompleteSinceMs = wallMs;
        m_nextOffset = 0;
    } else if (!m_hasAppliedPage || page.from > m_nextOffset) {
        m_historyCompleteSinceMs = std::max(m_historyCompleteSinceMs, page.keptSinceMs);
        m_nextOffset = page.from;
    }
    m_logId = page.logId;
    m_hasAppliedPage = true;
}

std::vector<std::string> ClaimFold::applyPage(const LogPage& page, std::int64_t wallMs)
{
    updateReadPosition(page, wallMs);
    std::vector<std::string> batchIds;
    if (page.from > m_nextOffset)
        return batchIds;
    std::uint64_t offset = page.from;
    for (const auto& record : page.records) {
        if (offset++ < m_nextOffset)
            continue;
        ++m_nextOffset;
        auto batch = ClaimBatch::parse(record);
        if (!batch)
            continue;
        for (const auto& it : batch->claims) {
            // The log may have dropped an earlier claim of a key outside the complete history.
            if (hasCompleteHistoryFor(it.keyCreatedMs))
                recordClaim(it);
        }
        batchIds.push_back(std::move(batch->id));
    }
    evictExpiredClaims(wallMs);
    return batchIds;
}

bool ClaimFold::hasCompleteHistoryFor(std::int64_t keyCreatedMs) const
{
    return keyCreatedMs >= m_historyCompleteSinceMs + maxClockSkewMs();
}

void ClaimFold::recordClaim(const Claim& claim)
{
    m_winners.try_emplace(claim.keyHash, Winner { claim.ticket, claim.keyCreatedMs });
}

ClaimStatus ClaimFold::status(Hash128 keyHash, std::int64_t keyCreatedMs, std::int64_t wallMs) const
{
    const bool isTooOld = keyCreatedMs + keyLifetimeMs() < wallMs;
    const bool isFromFuture = keyCreatedMs > wallMs + maxClockSkewMs();
    const auto it = m_winners.find(keyHash);
    if (it != m_winners.end() && !isTooOld)
        return { ClaimStatus::Kind::Won, it->second.ticket };
    // A key with a creation time in the future would stay valid after this fold has evicted its claim.
    if (isTooOld || isFromFuture || !m_hasAppliedPage || !hasCompleteHistoryFor(keyCreatedMs))
        return { ClaimStatus::Kind::TooOld, {} };
    return { ClaimStatus::Kind::Unclaimed, {} };
}

void ClaimFold::evictExpiredClaims(std::int64_t wallMs)
{
    if (wallMs < m_lastEvictionMs + evictionIntervalMs)
        return;
    m_lastEvictionMs = wallMs;
    const auto oldestKeptMs = wallMs - keyLifetimeMs() - 2 * maxClockSkewMs();
    std::erase_if(
        m_winners, [oldestKeptMs](const auto& it) { return it.second.keyCreatedMs < oldestKeptMs; });
}

} // namespace robinrun
