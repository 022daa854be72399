#pragma once

#include "Config/ConfigState.h"
#include "Core/Time.h"
#include "Crashes/CallContent.h"
#include "Rates/GroupRate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Numbers names once and for all, so that decisions carry small numbers.
class Interner {
public:
    /// \returns the number of \a name, from 0 in the order of first use.
    std::uint32_t operator()(std::string_view name)
    {
        return m_ids.try_emplace(std::string(name), static_cast<std::uint32_t>(m_ids.size())).first->second;
    }

    /// \returns the number of \a name; one that nothing has, if it was never used.
    std::uint32_t find(std::string_view name) const
    {
        const auto it = m_ids.find(std::string(name));
        return it == m_ids.end() ? UINT32_MAX : it->second;
    }

private:
    std::unordered_map<std::string, std::uint32_t> m_ids;
};

/// \brief A class of calls, ready to look up.
struct ClassInfo {
    std::string name;
    std::string pathPrefix;
    std::uint32_t priority = 0;
    bool isRepeatable = true;
    Duration deadline {};
    Duration targetLatency {}; ///< within which an answer is in time; 0: no sooner than the deadline
};

/// \brief A route, ready to look up.
struct RouteInfo {
    ClassInfo callClass; ///< named as the route
    std::vector<std::pair<std::string, double>> split; ///< services and their weights
    std::uint32_t attempts = 1; ///< upstreams that one call may be sent to
    bool isOpen = false; ///< callers need no credential
    bool isWithheld = false; ///< its entry could not be read whole
    std::vector<std::string> regions; ///< where alone its calls may be run; none: anywhere
};

struct UpstreamInfo {
    std::string id;
    proto::Upstream config;
};

struct ServiceInfo {
    std::string id;
    proto::Service config;
    std::vector<ClassInfo> classes; ///< longest prefix first; the last one matches all
    std::vector<UpstreamInfo> upstreams;

    const ClassInfo& classOf(std::string_view path) const;
};

struct GroupInfo {
    std::string id;
    std::uint32_t number = 0;
    std::map<std::string, double> weights; ///< by service
    std::uint32_t priority = 0; ///< goes before that of routes; 0 is served first
    GroupRate rate;
    bool isWithheld = false; ///< its entry could not be read whole
    std::vector<std::string> regions; ///< where alone its calls may be run; none: anywhere

    /// \returns the group's share of \a service; 1 where none is set.
    double weightIn(const std::string& service) const;
};

/// \brief The configuration as calls need it: built anew from the folded state when that changes.
/// Credentials are held as digests only. Cost: building O(resources); look-ups O(1), of a credential one
/// SHA-256.
class Directory {
public:
    void rebuild(const ConfigState& state);
    void rebuild(std::span<const proto::Resource> resources);

    /// \brief Puts \a upstreams in place of all that are known; services, routes and groups stay, and so do
    /// pointers to them. Cost: O(upstreams), where rebuild() costs O(all resources): with 2,800 routes 0.05
    /// ms for 300 upstreams.
    void replaceUpstreams(std::span<const proto::Resource> upstreams);

    /// \brief The operator has emptied \a halls: their upstreams count as leaving from the next change of
    /// upstreams on, beside those that resources name.
    void setEmptiedHalls(std::set<std::string> halls) { m_emptiedHalls = std::move(halls); }

    /// \returns the route of a call to \a host (without a port) and \a path: the longest prefix that fits.
    const RouteInfo* route(std::string_view host, std::string_view path) const;
    bool hasRoutes() const { return !m_routes.empty(); }

    const ServiceInfo* service(std::string_view id) const;
    /// \returns the group that alone has \a credential; null if none has.
    const GroupInfo* groupByCredential(const std::string& credential) const;
    /// \returns the group called \a id; null if the configuration has none.
    const GroupInfo* group(std::string_view id) const;
    bool hasGroups() const { return !m_groups.empty(); }
    const UpstreamInfo* upstream(const std::string& id) const;

    /// \returns the one upstream of \a service that may try \a content while it is held back, the same for
    /// all nodes that know the same upstreams; "" if there is none. Cost: O(upstreams of the service).
    std::string trialUpstream(std::string_view service, ContentId content) const;

    const std::map<std::string, ServiceInfo, std::less<>>& services() const { return m_services; }
    const std::vector<GroupInfo>& groups() const { return m_groups; }

    /// \returns the number of a group by name, known or not.
    std::uint32_t groupNumber(std::string_view id) { return m_numbers(id); }
    /// \returns the number of a group that had one before; else one that no group has.
    std::uint32_t knownGroupNumber(std::string_view id) const { return m_numbers.find(id); }

private:
    void clear();
    void add(const proto::Resource& resource);
    void addUpstream(const proto::Resource& resource);
    void sortRoutes();
    void addRoute(const std::string& id, const proto::Route& config);
    void addService(const std::string& id, const proto::Service& config);
    void addGroup(const std::string& id, const proto::Group& config);
    /// \param group its place among the groups.
    void addCredential(const std::string& sha256, std::size_t group);

    Interner m_numbers;
    std::map<std::string, ServiceInfo, std::less<>> m_services;
    std::map<std::string, std::vector<RouteInfo>, std::less<>> m_routes; ///< by host, longest prefix first
    std::vector<GroupInfo> m_groups;
    std::set<std::string> m_emptiedHalls; ///< as they were told
    std::set<std::string> m_emptiedByResource;
    std::map<std::string, std::size_t, std::less<>> m_groupById;
    std::unordered_map<std::string, std::optional<std::size_t>>
        m_groupByHash; ///< nothing: more than one has it
};

} // namespace robinrun
