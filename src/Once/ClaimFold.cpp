#include "Once/ClaimFold.h"

#include "Wire/ClaimCodec.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr std::int64_t forgetEveryMs = 5000;

    std::int64_t milliseconds(Duration d)
    {
        return d.count() / 1000;
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

std::int64_t ClaimFold::lifetimeMs() const
{
    return milliseconds(m_options.keyLifetime);
}
std::int64_t ClaimFold::skewMs() const
{
    return milliseconds(m_options.clockSkew);
}

void ClaimFold::follow(const LogPage& page, std::int64_t wallMs)
{
    const bool isReplaced = m_hasRead && (page.logId != m_logId || page.end < m_next);
    if (isReplaced) {
        // Claims that only the lost part held are gone: no key made before now can be decided.
        // The new log is read from its start; this page may begin in the middle of it.
        m_completeSinceMs = wallMs;
        m_next = 0;
    } else if (!m_hasRead || page.from > m_next) {
        m_completeSinceMs = std::max(m_completeSinceMs, page.keptSinceMs);
        m_next = page.from;
    }
    m_logId = page.logId;
    m_hasRead = true;
}

std::vector<std::string> ClaimFold::take(const LogPage& page, std::int64_t wallMs)
{
    follow(page, wallMs);
    std::vector<std::string> ids;
    if (page.from > m_next)
        return ids;
    std::uint64_t offset = page.from;
    for (const auto& record : page.records) {
        if (offset++ < m_next)
            continue;
        ++m_next;
        auto batch = ClaimBatch::parse(record);
        if (!batch)
            continue;
        for (const auto& it : batch->claims) {
            // Before a key as old as this an earlier claim may have been forgotten: this one proves nothing.
            if (mayBeFirst(it.bornMs))
                enter(it);
        }
        ids.push_back(std::move(batch->id));
    }
    forgetOld(wallMs);
    return ids;
}

bool ClaimFold::mayBeFirst(std::int64_t bornMs) const
{
    return bornMs >= m_completeSinceMs + skewMs();
}

void ClaimFold::enter(const Claim& claim)
{
    m_winners.try_emplace(claim.key, Winner { claim.ticket, claim.bornMs });
}

ClaimStatus ClaimFold::status(Hash128 key, std::int64_t bornMs, std::int64_t wallMs) const
{
    const bool isTooOld = bornMs + lifetimeMs() < wallMs;
    const bool isFromFuture = bornMs > wallMs + skewMs();
    const auto it = m_winners.find(key);
    if (it != m_winners.end() && !isTooOld)
        return { ClaimStatus::Kind::Won, it->second.ticket };
    // A key from the future would outlive the memory of its claim by as much as it is ahead.
    if (isTooOld || isFromFuture || !m_hasRead || !mayBeFirst(bornMs))
        return { ClaimStatus::Kind::TooOld, {} };
    return { ClaimStatus::Kind::Free, {} };
}

void ClaimFold::forgetOld(std::int64_t wallMs)
{
    if (wallMs < m_lastForgetMs + forgetEveryMs)
        return;
    m_lastForgetMs = wallMs;
    const auto horizon = wallMs - lifetimeMs() - 2 * skewMs();
    std::erase_if(m_winners, [horizon](const auto& it) { return it.second.bornMs < horizon; });
}

} // namespace robinrun
