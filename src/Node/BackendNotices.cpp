#include "Node/BackendNotices.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// \returns whether \a life may be the life that \a known names: a node that has restarted may not have
    /// heard the start time of its server yet.
    bool mayBeSame(const BackendLife& known, const BackendLife& life)
    {
        return known == life || (known.id() == life.id() && !life.hasBorn());
    }

} // namespace

bool BackendNotices::add(const BackendLife& life, const BackendStatement& statement, Instant now)
{
    if (!statement.rateLimit && statement.isRateLimitReadable) {
        m_limits.erase(life.id());
    } else if (statement.rateLimit) {
        m_limits[life.id()] = { life, { *statement.rateLimit, now } };
        if (m_limits.size() > maxEntries)
            m_limits.erase(
                std::min_element(m_limits.begin(), m_limits.end(), [](const auto& a, const auto& b) {
                    return a.second.limit.heardAt < b.second.limit.heardAt;
                }));
    }
    if (!statement.isLeaving || isLeaving(life))
        return false;
    m_leaving.push_back(life);
    if (m_leaving.size() > maxEntries)
        m_leaving.pop_front();
    return true;
}

std::optional<BackendNotices::RateLimit> BackendNotices::rateLimitOf(const BackendLife& life) const
{
    const auto it = m_limits.find(life.id());
    const bool isKnown
        = it != m_limits.end() && (mayBeSame(it->second.life, life) || mayBeSame(life, it->second.life));
    return isKnown ? std::optional(it->second.limit) : std::nullopt;
}

bool BackendNotices::isLeaving(const BackendLife& life) const
{
    return std::any_of(
        m_leaving.begin(), m_leaving.end(), [&](const auto& it) { return mayBeSame(it, life); });
}

} // namespace robinrun
