#include "Node/Ingress.h"
#include "Routing/Subset.h"

/// \file Which upstreams of each service an ingress keeps to, and what it knows of them.

namespace robinrun {
namespace {

    /// Clocks of owners that have not answered for so long are forgotten: their upstreams may be gone.
    constexpr Duration clockMemory = 10min;

    /// Of the upstreams that an ingress keeps to, at least one in so many is in another data hall.
    constexpr std::size_t farPart = 3;

} // namespace

std::vector<std::size_t> Ingress::subsetOf(
    const ServiceInfo& service, const std::vector<std::string>& hosts) const
{
    const auto& settings = m_context->settings;
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
        const bool isNear = settings.choice.kind != ChoiceKind::Timely
            || service.upstreams[i].config.data_hall() == settings.dataHall;
        (isNear ? near : far).push_back(i);
    }
    std::vector<std::size_t> out;
    const auto take = [&](const std::vector<std::size_t>& from, std::size_t size) {
        std::vector<std::string> names;
        names.reserve(from.size());
        for (const auto i : from)
            names.push_back(service.upstreams[i].id);
        for (const auto i : chooseSubset(names, hosts, settings.name, size))
            out.push_back(from[i]);
    };
    // With some in other halls, for when the own one is full or lost.
    const auto size = settings.choice.subset;
    const auto ofNear = far.empty() ? size : size - size / farPart;
    take(near, ofNear);
    if (!far.empty())
        take(far, size - out.size());
    return out;
}

std::vector<RouteTarget> Ingress::targetsOf(
    const ServiceInfo& service, const std::vector<std::string>& hosts) const
{
    const auto& settings = m_context->settings;
    std::vector<RouteTarget> out;
    for (const auto i : subsetOf(service, hosts)) {
        const auto& config = service.upstreams[i].config;
        if (config.leaving())
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
        options.kind = m_context->settings.choice.kind;
        options.farLoss = m_context->settings.choice.farLoss;
        options.ejects = m_context->settings.experiments.isOn(Mechanism::Ejection);
        options.retryFraction = service.config.retry_fraction();
        router = std::make_unique<ServiceRouter>(options);
    }
    return *router;
}

void Ingress::configure(Instant now)
{
    const auto hosts = m_members ? m_members->names() : std::vector<std::string>();
    for (const auto& [id, info] : m_context->directory.services()) {
        auto& router = routerFor(info);
        router.setRetryFraction(info.config.retry_fraction());
        if (m_retryBurst)
            router.setRetryBurst(*m_retryBurst);
        router.setUpstreams(targetsOf(info, hosts), now);
    }
    std::erase_if(m_ownerClocks, [&](const auto& it) { return now - it.second.heard > clockMemory; });
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
            total += now - it.report()->heard;
            ++n;
        }
    }
    return n ? total / n : Duration::zero();
}

} // namespace robinrun
