#include "Mesh/PullPlan.h"

namespace robinrun {

void PullPlan::heard(const std::string& address, std::uint64_t version, bool isNear, Instant now)
{
    if (version < m_version)
        return;
    if (version > m_version) {
        // A peer that has the newer one is asked even while another answers for an older one.
        if (m_version == 0)
            m_firstHeard = now;
        m_version = version;
        m_near.clear();
        m_far.clear();
    }
    (isNear ? m_near : m_far) = address;
}

void PullPlan::got(std::uint64_t version)
{
    if (version < m_version)
        return;
    m_version = 0;
    m_near.clear();
    m_far.clear();
    m_askedUntil = {};
}

std::optional<std::string> PullPlan::due(bool readsStore, Instant now) const
{
    if (m_version == 0 || now < m_askedUntil)
        return std::nullopt;
    const auto waited = now - m_firstHeard;
    const auto toStore = readsStore ? m_options.storeFirst : Duration::zero();
    const bool isNear = !m_near.empty();
    if (waited < toStore + (isNear ? Duration::zero() : m_options.nearFirst))
        return std::nullopt;
    const auto& chosen = isNear ? m_near : m_far;
    return chosen.empty() ? std::nullopt : std::optional(chosen);
}

void PullPlan::asked(const std::string& address, Instant now)
{
    m_askedUntil = now + m_options.patience;
    if (m_near == address)
        m_near.clear();
    if (m_far == address)
        m_far.clear();
}

} // namespace robinrun
