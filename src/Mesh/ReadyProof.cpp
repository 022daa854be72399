#include "Mesh/ReadyProof.h"

#include "Core/Log.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    /// Lives of the backend server whose announcements can arrive within `maxDelay` of each other.
    constexpr std::size_t maxLives = 8;

} // namespace

bool ReadyProof::admitAnnouncement(const Announcement& ready, LeaveKnowledge known, Instant now)
{
    if (m_isProven)
        return true;
    if (known == LeaveKnowledge::Peers || isProvenBySeries(ready, now)) {
        setProven();
        m_withheld.reset();
        return true;
    }
    if (!m_withheld || m_withheld->life != ready.life)
        log(LogLevel::Info, "upstream-ready-unproven",
            { { "upstream", ready.life.key() }, { "sequence", ready.sequence },
                { "leaves_known_from", nameOf(known) } });
    m_withheld = ready;
    return false;
}

bool ReadyProof::admitHealthAnswer(const std::string& upstream, LeaveKnowledge known)
{
    const auto agrees = [&](const auto& it) {
        const auto& [life, series] = it;
        return BackendLife::fromKey(life).id() == upstream && series.last - series.began >= agreedSeries;
    };
    if (!m_isProven && known == LeaveKnowledge::None
        && std::none_of(m_series.begin(), m_series.end(), agrees))
        return false;
    setProven();
    return true;
}

std::optional<Announcement> ReadyProof::releaseWithheld(LeaveKnowledge known)
{
    if (known != LeaveKnowledge::Peers || !m_withheld)
        return std::nullopt;
    setProven();
    return std::exchange(m_withheld, std::nullopt);
}

std::optional<Announcement> ReadyProof::takeWithheld(const std::string& upstream)
{
    auto out = std::exchange(m_withheld, std::nullopt);
    return out && out->life.id() == upstream ? out : std::nullopt;
}

void ReadyProof::setProven()
{
    m_isProven = true;
    m_series.clear();
}

bool ReadyProof::isProvenBySeries(const Announcement& ready, Instant now)
{
    const auto [it, isNew] = m_series.try_emplace(ready.life.key(), Series { now, now, ready.sequence });
    if (isNew) {
        if (m_series.size() > maxLives)
            m_series.clear(); // no server starts so often: the series begin anew
        return false;
    }
    if (ready.sequence <= it->second.sequence)
        return false;
    it->second.sequence = ready.sequence;
    it->second.last = now;
    return now - it->second.began >= maxDelay;
}

} // namespace robinrun
