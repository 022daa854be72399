#include "Node/Directory.h"

#include "Core/Hash.h"
#include "Crashes/CrashTracker.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr std::string_view defaultClass = "default";
    constexpr std::uint32_t defaultPriority = 1;

    std::string idOf(const std::string& name)
    {
        return name.substr(name.find('/') + 1);
    }

    Duration milliseconds(std::uint32_t ms)
    {
        return Duration(std::int64_t { ms } * 1000);
    }

} // namespace

const ClassInfo& ServiceInfo::classOf(std::string_view path) const
{
    return *std::find_if(
        classes.begin(), classes.end() - 1, [&](const auto& it) { return path.starts_with(it.pathPrefix); });
}

double GroupInfo::weightIn(const std::string& service) const
{
    const auto it = weights.find(service);
    return it == weights.end() ? 1 : it->second;
}

void Directory::addService(const std::string& id, const proto::Service& config)
{
    ServiceInfo info { id, config, {}, {} };
    const auto deadline = milliseconds(config.deadline_ms());
    for (const auto& it : config.classes()) {
        const bool isRepeatable = it.once() == proto::REPEATABLE;
        const auto own = it.deadline_ms() ? milliseconds(it.deadline_ms()) : deadline;
        info.classes.push_back({ it.name(), it.path_prefix(), it.priority(), isRepeatable, own });
    }
    std::stable_sort(info.classes.begin(), info.classes.end(),
        [](const auto& a, const auto& b) { return a.pathPrefix.size() > b.pathPrefix.size(); });
    info.classes.push_back({ std::string(defaultClass), "", defaultPriority, true, deadline });
    m_services.emplace(id, std::move(info));
}

void Directory::addGroup(const std::string& id, const proto::Group& config)
{
    GroupInfo info;
    info.id = id;
    info.number = m_numbers(id);
    for (const auto& it : config.shares())
        info.weights[it.service()] = it.weight();
    info.priority = config.priority();
    info.rate = { config.rate_per_s(), config.burst() };
    info.isWithheld = config.withheld();
    info.regions = { config.regions().begin(), config.regions().end() };
    const auto place = m_groups.size();
    if (!config.credential_sha256().empty())
        addCredential(config.credential_sha256(), place);
    for (const auto& it : config.more_credentials_sha256())
        addCredential(it, place);
    m_groupById[id] = place;
    m_groups.push_back(std::move(info));
}

void Directory::addCredential(const std::string& sha256, std::size_t group)
{
    const auto [it, isNew] = m_groupByHash.try_emplace(sha256, group);
    if (!isNew && it->second != group)
        it->second.reset();
}

const GroupInfo* Directory::group(std::string_view id) const
{
    const auto it = m_groupById.find(id);
    return it == m_groupById.end() ? nullptr : &m_groups[it->second];
}

void Directory::addRoute(const std::string& id, const proto::Route& config)
{
    RouteInfo info;
    info.callClass = { id, config.path_prefix(), config.priority(), config.once() == proto::REPEATABLE,
        milliseconds(config.timeout_ms()), milliseconds(config.target_latency_ms()) };
    for (const auto& it : config.split())
        info.split.emplace_back(it.service(), it.weight());
    info.attempts = std::max(config.attempts(), 1U);
    info.isOpen = config.open();
    info.isWithheld = config.withheld();
    info.regions = { config.regions().begin(), config.regions().end() };
    m_routes[config.host()].push_back(std::move(info));
}

void Directory::sortRoutes()
{
    const auto isLonger = [](const RouteInfo& a, const RouteInfo& b) {
        return a.callClass.pathPrefix.size() > b.callClass.pathPrefix.size();
    };
    for (auto& [host, routes] : m_routes)
        std::stable_sort(routes.begin(), routes.end(), isLonger);
}

void Directory::clear()
{
    m_services.clear();
    m_routes.clear();
    m_groups.clear();
    m_groupById.clear();
    m_groupByHash.clear();
    m_emptiedByResource.clear();
}

void Directory::add(const proto::Resource& resource)
{
    const auto id = idOf(resource.name());
    if (resource.has_service())
        addService(id, resource.service());
    else if (resource.has_group())
        addGroup(id, resource.group());
    else if (resource.has_route())
        addRoute(id, resource.route());
    else if (resource.has_data_hall() && resource.data_hall().emptied())
        m_emptiedByResource.insert(id);
}

void Directory::addUpstream(const proto::Resource& resource)
{
    const auto it = m_services.find(resource.upstream().service());
    if (it == m_services.end())
        return;
    it->second.upstreams.push_back({ idOf(resource.name()), resource.upstream() });
    auto& config = it->second.upstreams.back().config;
    const auto& hall = config.data_hall();
    if (m_emptiedHalls.contains(hall) || m_emptiedByResource.contains(hall))
        config.set_leaving(true);
}

void Directory::rebuild(const ConfigState& state)
{
    clear();
    for (const auto& [name, resource] : state.resources())
        add(resource);
    sortRoutes();
    for (const auto& [name, resource] : state.resources()) {
        if (resource.has_upstream())
            addUpstream(resource);
    }
}

void Directory::rebuild(std::span<const proto::Resource> resources)
{
    clear();
    for (const auto& it : resources)
        add(it);
    sortRoutes();
    for (const auto& it : resources) {
        if (it.has_upstream())
            addUpstream(it);
    }
}

void Directory::replaceUpstreams(std::span<const proto::Resource> upstreams)
{
    for (auto& [id, service] : m_services)
        service.upstreams.clear();
    for (const auto& it : upstreams)
        addUpstream(it);
}

const RouteInfo* Directory::route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes.find(host);
    if (found == m_routes.end())
        return nullptr;
    const auto it = std::find_if(found->second.begin(), found->second.end(),
        [&](const auto& route) { return path.starts_with(route.callClass.pathPrefix); });
    return it == found->second.end() ? nullptr : &*it;
}

const ServiceInfo* Directory::service(std::string_view id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

const UpstreamInfo* Directory::upstream(const std::string& id) const
{
    for (const auto& [name, service] : m_services) {
        for (const auto& it : service.upstreams) {
            if (it.id == id)
                return &it;
        }
    }
    return nullptr;
}

const GroupInfo* Directory::groupByCredential(const std::string& credential) const
{
    const auto it = m_groupByHash.find(sha256Hex(credential));
    const bool isKnown = it != m_groupByHash.end() && it->second;
    return isKnown ? &m_groups[*it->second] : nullptr;
}

std::string Directory::trialUpstream(std::string_view service, ContentId content) const
{
    const auto* info = this->service(service);
    if (!info)
        return "";
    std::vector<std::string> hosts;
    for (const auto& it : info->upstreams) {
        if (!it.config.leaving())
            hosts.push_back(it.config.host());
    }
    const auto host = trialHostOf(content, hosts);
    const auto it = std::find_if(info->upstreams.begin(), info->upstreams.end(),
        [&](const auto& upstream) { return host && upstream.config.host() == *host; });
    return it == info->upstreams.end() ? "" : it->id;
}

} // namespace robinrun
