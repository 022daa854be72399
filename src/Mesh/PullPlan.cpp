#include "Mesh/PullPlan.h"

namespace robinrun {

void PullPlan::heard(const std::string& address, std::uint64_t version, bool isNear, Instant now)
{
    if (version < m_version)
        return;
    if (version > m_version) {
        // A peer that has the newer one is asked even while another answers for an older one.
        if (m_version == 0) {
            m_firstHeard = now;
            m_lastCame = now;
        }
        m_version = version;
        m_near.clear();
        m_far.clear();
    }
    auto& peers = isNear ? m_near : m_far;
    std::erase(peers, address);
    peers.push_back(address);
}

void PullPlan::got(std::uint64_t version, Instant now)
{
    // The answer to what was asked has come; what is newer still can be asked for at once.
    m_askedUntil = {};
    m_lastCame = now;
    if (version < m_version)
        return;
    m_version = 0;
    m_near.clear();
    m_far.clear();
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
    return chosen.empty() ? std::nullopt : std::optional(chosen.back());
}

void PullPlan::asked(const std::string& address, Instant now)
{
    m_askedUntil = now + m_options.patience;
    unreachable(address);
}

void PullPlan::unreachable(const std::string& address)
{
    std::erase(m_near, address);
    std::erase(m_far, address);
}

void PullPlan::progressed(Instant now)
{
    m_askedUntil = now + m_options.patience;
    m_lastCame = now;
}

} // namespace robinrun
