#include "Control/Membership.h"

namespace robinrun {
namespace {

    constexpr std::size_t maxRemovedHosts = 1000; ///< removed hosts that are remembered for changesSince()

} // namespace

bool Membership::applyPage(const HostPage& page)
{
    if (page.version <= m_version)
        return false;
    if (page.isWhole) {
        m_hosts.clear();
        m_lastChangeVersions.clear();
        m_oldestDeltaVersion = page.version;
    }
    for (const auto& it : page.hosts) {
        m_hosts[it.name] = it;
        m_lastChangeVersions[it.name] = page.version;
    }
    for (const auto& it : page.gone) {
        m_hosts.erase(it);
        m_lastChangeVersions[it] = page.version;
    }
    pruneRemovedHosts();
    m_version = page.version;
    rebuildHallIndex();
    return true;
}

void Membership::rebuildHallIndex()
{
    m_hostNamesByHall.clear();
    for (const auto& [name, host] : m_hosts)
        m_hostNamesByHall[host.region][host.dataHall].push_back(name);
}

void Membership::suspect(const std::string& name, Instant now)
{
    m_suspectedUntil[name] = now + m_options.suspicionDuration;
}

void Membership::clearSuspicion(const std::string& name)
{
    m_suspectedUntil.erase(name);
}

bool Membership::isSuspected(const std::string& name, Instant now) const
{
    const auto it = m_suspectedUntil.find(name);
    return it != m_suspectedUntil.end() && now < it->second;
}

bool Membership::isLive(const std::string& name, Instant now) const
{
    const auto* host = find(name);
    return host && !host->isLeaving && !isSuspected(name, now);
}

const HostEntry* Membership::find(const std::string& name) const
{
    const auto it = m_hosts.find(name);
    return it == m_hosts.end() ? nullptr : &it->second;
}

std::vector<std::string> Membership::listedHosts(const std::string& hall) const
{
    std::vector<std::string> listed;
    for (const auto& [region, halls] : m_hostNamesByHall) {
        const auto found = halls.find(hall);
        if (found == halls.end())
            continue;
        for (const auto& it : found->second) {
            if (!m_hosts.at(it).isLeaving)
                listed.push_back(it);
        }
    }
    return listed;
}

std::vector<std::string> Membership::liveHosts(const std::string& hall, Instant now) const
{
    auto live = listedHosts(hall);
    std::erase_if(live, [&](const auto& it) { return isSuspected(it, now); });
    return live;
}

std::vector<std::string> Membership::halls(const std::string& region) const
{
    std::vector<std::string> names;
    for (const auto& [name, halls] : m_hostNamesByHall) {
        if (!region.empty() && name != region)
            continue;
        for (const auto& it : halls)
            names.push_back(it.first);
    }
    return names;
}

std::vector<std::string> Membership::regions() const
{
    std::vector<std::string> names;
    for (const auto& it : m_hostNamesByHall)
        names.push_back(it.first);
    return names;
}

std::vector<std::string> Membership::hostNames() const
{
    std::vector<std::string> names;
    names.reserve(m_hosts.size());
    for (const auto& it : m_hosts)
        names.push_back(it.first);
    return names;
}

std::optional<HostPage> Membership::changesSince(std::uint64_t version) const
{
    if (version >= m_version)
        return std::nullopt;
    const bool isWhole = version < m_oldestDeltaVersion;
    HostPage page { m_version, isWhole, {}, {} };
    for (const auto& [name, changeVersion] : m_lastChangeVersions) {
        if (!isWhole && changeVersion <= version)
            continue;
        const auto* host = find(name);
        if (host)
            page.hosts.push_back(*host);
        else
            page.gone.push_back(name);
    }
    return page;
}

void Membership::pruneRemovedHosts()
{
    if (m_lastChangeVersions.size() <= m_hosts.size() + maxRemovedHosts)
        return;
    std::erase_if(m_lastChangeVersions, [&](const auto& it) { return !m_hosts.contains(it.first); });
    m_oldestDeltaVersion = m_version + 1;
}

} // namespace robinrun
