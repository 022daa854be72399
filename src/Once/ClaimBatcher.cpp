#include "Once/ClaimBatcher.h"

#include <algorithm>

namespace robinrun {

ClaimBatcher::ClaimBatcher(Options options, std::uint64_t incarnation, const std::string& stream)
    : m_options(options)
    , m_prefix(stream + "/" + std::to_string(incarnation) + "/")
{
}

void ClaimBatcher::request(std::uint64_t request, const Claim& claim, Instant now)
{
    m_unsent.emplace(request, Pending { claim, now, {} });
}

bool ClaimBatcher::isDue(Instant now) const
{
    if (m_unsent.empty())
        return false;
    return m_unsent.size() >= m_options.maxBatch || now >= m_unsent.begin()->second.since + m_options.gather;
}

std::optional<ClaimBatch> ClaimBatcher::nextBatch(Instant now)
{
    if (!isDue(now))
        return std::nullopt;
    ClaimBatch batch { m_prefix + std::to_string(++m_batches), {} };
    while (!m_unsent.empty() && batch.claims.size() < m_options.maxBatch) {
        auto node = m_unsent.extract(m_unsent.begin());
        node.mapped().batch = batch.id;
        batch.claims.push_back(node.mapped().claim);
        m_sent.insert(std::move(node));
    }
    return batch;
}

void ClaimBatcher::appendFailed(const std::string& id, Instant)
{
    for (auto it = m_sent.begin(); it != m_sent.end();) {
        const auto current = it++;
        if (current->second.batch == id)
            m_unsent.insert(m_sent.extract(current));
    }
}

bool ClaimBatcher::decide(
    std::uint64_t request, const Claim& claim, const ClaimFold& fold, std::int64_t wallMs)
{
    const auto status = fold.status(claim.key, claim.bornMs, wallMs);
    if (status.kind == ClaimStatus::Kind::Free)
        return false;
    const bool isWon = status.kind == ClaimStatus::Kind::Won;
    m_decisions.push_back(
        { request, isWon ? ClaimDecision::Kind::Won : ClaimDecision::Kind::TooOld, status.winner });
    return true;
}

void ClaimBatcher::streamAdvanced(
    const ClaimFold& fold, const std::vector<std::string>& batches, std::int64_t wallMs)
{
    std::erase_if(m_unsent, [&](const auto& it) { return decide(it.first, it.second.claim, fold, wallMs); });
    const auto isRead = [&](const Pending& it) {
        return std::find(batches.begin(), batches.end(), it.batch) != batches.end();
    };
    std::erase_if(m_sent,
        [&](const auto& it) { return isRead(it.second) && decide(it.first, it.second.claim, fold, wallMs); });
}

void ClaimBatcher::expireIn(PendingMap& pending, Instant now)
{
    std::erase_if(pending, [&](const auto& it) {
        if (now < it.second.since + m_options.decideWithin)
            return false;
        m_decisions.push_back({ it.first, ClaimDecision::Kind::Undecided, {} });
        return true;
    });
}

void ClaimBatcher::expire(Instant now)
{
    expireIn(m_unsent, now);
    expireIn(m_sent, now);
}

std::vector<ClaimDecision> ClaimBatcher::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace robinrun
