#include "Node/Ingress.h"

#include <algorithm>
#include <utility>

/// \file Which version of a service's backend servers a call goes to while the service is rolled out.

namespace robinrun {

void Ingress::divideVersions(Instant now)
{
    m_versions.clear();
    for (const auto& [id, info] : m_context->directory.services()) {
        const auto* rollout = m_context->rollouts.findRestricting(id, now);
        if (!rollout)
            continue;
        std::vector<std::pair<std::string, std::string>> servers;
        for (const auto& it : info.upstreams) {
            if (!it.config.leaving() && !m_notices.isLeaving(it.id))
                servers.emplace_back(it.id, it.config.version());
        }
        m_versions[id] = ServerVersions::divide(*rollout, servers);
    }
}

std::vector<std::size_t> Ingress::subsetOfVersions(
    const ServiceInfo& service, const ServerVersions& versions, const std::vector<std::string>& hosts) const
{
    const auto* rollout = m_context->rollouts.find(service.id);
    const bool isObserving = rollout && rollout->phase == RolloutPhase::Observing;
    std::vector<std::size_t> former;
    std::vector<std::size_t> target;
    for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
        const auto& name = service.upstreams[i].id;
        if (versions.former.contains(name))
            former.push_back(i);
        else if (isObserving ? versions.observed.contains(name) : versions.target.contains(name))
            target.push_back(i);
    }
    auto out = subsetAmong(service, former, hosts);
    const auto chosen = subsetAmong(service, target, hosts);
    out.insert(out.end(), chosen.begin(), chosen.end());
    return out;
}

void Ingress::excludeVersions(Call& call, std::vector<std::string>& excluded, Instant now)
{
    const auto versions = m_versions.find(call.request.service);
    const auto* rollout = m_context->rollouts.findRestricting(call.request.service, now);
    if (versions == m_versions.end() || !rollout)
        return;
    // A service without former servers has nothing else to serve it, until its version is known to be worse.
    if (versions->second.former.empty() && rollout->phase != RolloutPhase::RolledBack)
        return;
    if (!call.isForTarget)
        call.isForTarget = m_context->random.unit() < rollout->shareAt(now);
    // What the target version has failed once goes to the former one, which is known to work.
    const bool isForTarget = rollout->shareAt(now) >= 1
        || (*call.isForTarget && (call.tried.empty() || call.paid == std::nullopt));
    const auto withheld = versions->second.excluded(
        rollout->phase, isForTarget && rollout->phase != RolloutPhase::RolledBack);
    excluded.insert(excluded.end(), withheld.begin(), withheld.end());
}

bool Ingress::mayChangeVersion(Call& call, Instant now)
{
    const auto* rollout = m_context->rollouts.findRestricting(call.request.service, now);
    const bool hasOther
        = rollout && (rollout->phase == RolloutPhase::Observing || rollout->phase == RolloutPhase::Promoting);
    if (!hasOther || !call.isForTarget.value_or(false))
        return false;
    call.isForTarget = false;
    return true;
}

} // namespace robinrun
