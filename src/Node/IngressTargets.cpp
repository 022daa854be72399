#include "Node/Ingress.h"
#include "Routing/HallSubset.h"
#include "Routing/Subset.h"

#include <numeric>
#include <set>

/// \file Which upstreams of each service an ingress keeps to, and what it knows of them.

namespace robinrun {
namespace {

    /// Clocks of owners that have not answered for so long are forgotten: their upstreams may be gone.
    constexpr Duration clockMemory = 10min;

} // namespace

std::vector<std::size_t> Ingress::subsetOf(
    const ServiceInfo& service, const std::vector<std::string>& hosts) const
{
    const auto versions = m_versions.find(service.id);
    if (versions != m_versions.end())
        return subsetOfVersions(service, versions->second, hosts);
    std::vector<std::size_t> all(service.upstreams.size());
    std::iota(all.begin(), all.end(), 0);
    return subsetAmong(service, all, hosts);
}

std::vector<std::size_t> Ingress::subsetAmong(const ServiceInfo& service,
    const std::vector<std::size_t>& places, const std::vector<std::string>& hosts) const
{
    const auto& settings = m_context->settings;
    std::vector<std::string> names;
    std::vector<UpstreamLocation> locations;
    for (const auto i : places) {
        const auto& it = service.upstreams[i];
        names.push_back(it.id);
        locations.push_back({ it.id, it.config.data_hall() == settings.dataHall });
    }
    auto chosen = settings.choice.kind == ChoicePolicyKind::Timely
        ? chooseHallSubset(locations, hosts, settings.name, settings.choice.subset)
        : chooseSubset(names, hosts, settings.name, settings.choice.subset);
    for (auto& it : chosen)
        it = places[it];
    return chosen;
}

std::vector<std::string> Ingress::ingressesBeside() const
{
    if (m_members)
        return m_members->hostNames();
    // Each host with an upstream has an ingress.
    const auto& settings = m_context->settings;
    std::set<std::string> out { settings.name };
    for (const auto& [id, service] : m_context->directory.services()) {
        for (const auto& it : service.upstreams) {
            if (it.config.data_hall() == settings.dataHall)
                out.insert(it.config.host());
        }
    }
    return { out.begin(), out.end() };
}

std::vector<UpstreamConfig> Ingress::targetsOf(
    const ServiceInfo& service, const std::vector<std::string>& hosts) const
{
    const auto& settings = m_context->settings;
    std::vector<UpstreamConfig> out;
    for (const auto i : subsetOf(service, hosts)) {
        const auto& config = service.upstreams[i].config;
        if (config.leaving() || m_notices.isLeaving(service.upstreams[i].id))
            continue;
        const bool isFar = config.data_hall() != settings.dataHall;
        const bool isInRegion = config.region() == settings.region;
        const auto toFar = isInRegion ? settings.choice.hallRoundTrip : settings.choice.regionRoundTrip;
        out.push_back({ service.upstreams[i].id, config.slots(), isFar ? toFar : Duration::zero(), isFar });
    }
    return out;
}

ServiceRouter& Ingress::routerFor(const ServiceInfo& service)
{
    auto& router = m_routers[service.id];
    if (!router) {
        ServiceRouter::Options options;
        options.policyKind = m_context->settings.choice.kind;
        options.farLoss = m_context->settings.choice.farLoss;
        options.ejectsOutliers = m_context->settings.experiments.isOn(Mechanism::Ejection);
        options.retryFraction = service.config.retry_fraction();
        options.sharesRetryBudget = m_retryBurst.has_value();
        router = std::make_unique<ServiceRouter>(options);
    }
    return *router;
}

void Ingress::configure(Instant now)
{
    const auto hosts = ingressesBeside();
    divideVersions(now);
    for (const auto& [id, info] : m_context->directory.services()) {
        auto& router = routerFor(info);
        router.setRetryFraction(info.config.retry_fraction());
        if (m_retryBurst)
            router.setRetryBurst(*m_retryBurst);
        router.setUpstreams(targetsOf(info, hosts), now);
    }
    std::erase_if(
        m_ownerClocks, [&](const auto& it) { return now - it.second.lastAnswerTime() > clockMemory; });
    // Routers of removed services stay: calls in progress still end through them.
}

double Ingress::savedRetries() const
{
    double out = 0;
    for (const auto& [service, router] : m_routers)
        out += router->savedRetries();
    return out;
}

Duration Ingress::meanNewsAge(Instant now) const
{
    Duration total {};
    std::int64_t n = 0;
    for (const auto& [service, router] : m_routers) {
        for (const auto& it : router->views()) {
            if (!it.report())
                continue;
            total += now - it.report()->receivedAt;
            ++n;
        }
    }
    return n ? total / n : Duration::zero();
}

} // namespace robinrun
