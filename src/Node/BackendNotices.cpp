#include "Node/BackendNotices.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// \returns whether \a a and \a b may be the same life: a node that has restarted may not have heard the
    /// start time of its server yet.
    bool mayBeSame(const BackendLife& a, const BackendLife& b)
    {
        return a.id() == b.id() && (a.born() == b.born() || !a.hasBorn() || !b.hasBorn());
    }

} // namespace

bool BackendNotices::add(const std::string& upstream, const BackendStatement& statement, Instant now)
{
    if (!statement.rateLimit && !statement.isLeaving && m_limits.empty())
        return false;
    const auto life = BackendLife::fromKey(upstream);
    setRateLimit(life, statement, now);
    if (!statement.isLeaving || !m_leaving[life.id()].insert(life.born()).second)
        return false;
    m_leavingOrder.push_back(life);
    if (m_leavingOrder.size() <= maxEntries)
        return true;
    const auto& oldest = m_leavingOrder.front();
    const auto it = m_leaving.find(oldest.id());
    it->second.erase(oldest.born());
    if (it->second.empty())
        m_leaving.erase(it);
    m_leavingOrder.pop_front();
    return true;
}

void BackendNotices::setRateLimit(const BackendLife& life, const BackendStatement& statement, Instant now)
{
    if (!statement.rateLimit) {
        const auto it = m_limits.find(life.id());
        if (it != m_limits.end() && statement.isRateLimitReadable && mayBeSame(it->second.life, life))
            m_limits.erase(it);
        return;
    }
    m_limits[life.id()] = { life, { *statement.rateLimit, now } };
    if (m_limits.size() <= maxEntries)
        return;
    const auto isOlder
        = [](const auto& a, const auto& b) { return a.second.limit.heardAt < b.second.limit.heardAt; };
    m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(), isOlder));
}

std::optional<BackendNotices::RateLimit> BackendNotices::rateLimitOf(const std::string& upstream) const
{
    if (m_limits.empty())
        return std::nullopt;
    const auto life = BackendLife::fromKey(upstream);
    const auto it = m_limits.find(life.id());
    const bool isKnown = it != m_limits.end() && mayBeSame(it->second.life, life);
    return isKnown ? std::optional(it->second.limit) : std::nullopt;
}

bool BackendNotices::isLeaving(const std::string& upstream) const
{
    if (m_leaving.empty())
        return false;
    const auto life = BackendLife::fromKey(upstream);
    const auto it = m_leaving.find(life.id());
    return it != m_leaving.end() && (!life.hasBorn() || it->second.contains(life.born()));
}

} // namespace robinrun
