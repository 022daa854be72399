#include "Node/Directory.h"

#include "Core/Hash.h"

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
    GroupInfo info { id, m_numbers(id), {} };
    for (const auto& it : config.shares())
        info.weights[it.service()] = it.weight();
    m_groupByHash[config.credential_sha256()] = m_groups.size();
    m_groups.push_back(std::move(info));
}

void Directory::rebuild(const ConfigState& state)
{
    m_services.clear();
    m_groups.clear();
    m_groupByHash.clear();
    m_groupByCredential.clear();
    for (const auto& [name, resource] : state.resources()) {
        if (resource.has_service())
            addService(idOf(name), resource.service());
        else if (resource.has_group())
            addGroup(idOf(name), resource.group());
    }
    for (const auto& [name, resource] : state.resources()) {
        if (!resource.has_upstream())
            continue;
        const auto it = m_services.find(resource.upstream().service());
        if (it != m_services.end())
            it->second.upstreams.push_back({ idOf(name), resource.upstream() });
    }
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

const GroupInfo* Directory::groupByCredential(const std::string& credential)
{
    const auto known = m_groupByCredential.find(credential);
    if (known != m_groupByCredential.end())
        return known->second;
    const auto it = m_groupByHash.find(sha256Hex(credential));
    const GroupInfo* group = it == m_groupByHash.end() ? nullptr : &m_groups[it->second];
    if (m_groupByCredential.size() >= rememberedCredentials)
        m_groupByCredential.clear();
    m_groupByCredential.emplace(credential, group);
    return group;
}

} // namespace robinrun
