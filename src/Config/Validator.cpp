#include "Config/Validator.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <set>

namespace robinrun {
namespace {

    constexpr std::size_t maxNameLength = 100;
    constexpr std::size_t sha256HexLength = 64;
    constexpr unsigned maxSlots = 100000; ///< also bounds the connections of an upstream
    constexpr unsigned maxPort = 65535;
    constexpr double maxCallsPerSecond = 1e9;

    bool isValidName(std::string_view name)
    {
        const auto isAllowed = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
        };
        return !name.empty() && name.size() <= maxNameLength
            && std::all_of(name.begin(), name.end(), isAllowed);
    }

    /// \brief Checks the fields of resources and collects the errors.
    class ResourceChecker {
    public:
        std::vector<FieldError> errors;

        void check(bool isValid, const std::string& field, std::string message)
        {
            if (!isValid)
                errors.push_back({ field, std::move(message) });
        }

        void checkName(std::string_view name, const std::string& field)
        {
            check(isValidName(name), field, "must be 1 to 100 characters of a-z, 0-9, '-', '_', '.'");
        }

        void checkShare(double value, const std::string& field)
        {
            check(std::isfinite(value) && value >= 0 && value <= 1, field, "must be from 0 to 1");
        }

        void checkRate(double value, const std::string& field)
        {
            check(std::isfinite(value) && value >= 0 && value <= maxCallsPerSecond, field,
                "must be from 0 to 1000000000");
        }

        void checkService(const proto::Service& it)
        {
            check(it.deadline_ms() > 0, "service.deadline_ms", "must be above 0");
            checkShare(it.retry_fraction(), "service.retry_fraction");
            checkShare(it.probe_slot_share(), "service.probe_slot_share");
            check(std::isfinite(it.probes_per_s()) && it.probes_per_s() >= 0, "service.probes_per_s",
                "must not be negative");
            check(std::isfinite(it.warm_up_per_s()) && it.warm_up_per_s() >= 0, "service.warm_up_per_s",
                "must not be negative");
            check(it.queue_limit() > 0, "service.queue_limit", "must be above 0");
            std::set<std::string> names;
            for (int i = 0; i < it.classes_size(); ++i) {
                const auto path = "service.classes[" + std::to_string(i) + "]";
                const auto& callClass = it.classes(i);
                checkName(callClass.name(), path + ".name");
                check(names.insert(callClass.name()).second, path + ".name", "must be unique");
                check(callClass.path_prefix().starts_with("/"), path + ".path_prefix", "must start with '/'");
                check(proto::OnceMode_IsValid(callClass.once()), path + ".once", "must be a known mode");
            }
        }

        void checkUpstream(const proto::Upstream& it)
        {
            checkName(it.service(), "upstream.service");
            check(isIpv4Endpoint(it.address()), "upstream.address", "must be an IPv4 address and port");
            check(isIpv4Endpoint(it.node_address()), "upstream.node_address",
                "must be an IPv4 address and port");
            checkName(it.host(), "upstream.host");
            checkName(it.data_hall(), "upstream.data_hall");
            checkName(it.region(), "upstream.region");
            check(it.slots() > 0 && it.slots() <= maxSlots, "upstream.slots", "must be from 1 to 100000");
            check(it.connections() > 0 && it.connections() <= maxSlots, "upstream.connections",
                "must be from 1 to 100000");
        }

        void checkRoute(const proto::Route& it)
        {
            check(!it.host().empty() && it.host().find_first_of(": /") == std::string::npos, "route.host",
                "must be a host name without a port");
            check(it.path_prefix().starts_with("/") && it.path_prefix().ends_with("/"), "route.path_prefix",
                "must start and end with '/'");
            check(it.split_size() > 0, "route.split", "must name at least one service");
            for (int i = 0; i < it.split_size(); ++i) {
                const auto path = "route.split[" + std::to_string(i) + "]";
                checkName(it.split(i).service(), path + ".service");
                const double weight = it.split(i).weight();
                check(std::isfinite(weight) && weight >= 0, path + ".weight", "must not be negative");
            }
            check(proto::OnceMode_IsValid(it.once()), "route.once", "must be a known mode");
            check(it.timeout_ms() > 0, "route.timeout_ms", "must be above 0");
            check(it.target_latency_ms() <= it.timeout_ms(), "route.target_latency_ms",
                "must not be above timeout_ms");
            check(it.attempts() > 0, "route.attempts", "must be above 0");
            for (int i = 0; i < it.regions_size(); ++i)
                checkName(it.regions(i), "route.regions[" + std::to_string(i) + "]");
        }

        void checkCredential(const std::string& digest, const std::string& field)
        {
            const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
            check(digest.size() == sha256HexLength && std::all_of(digest.begin(), digest.end(), isHex), field,
                "must be 64 lower-case hexadecimal digits");
        }

        void checkGroup(const proto::Group& it)
        {
            checkCredential(it.credential_sha256(), "group.credential_sha256");
            std::set<std::string> digests { it.credential_sha256() };
            for (int i = 0; i < it.more_credentials_sha256_size(); ++i) {
                const auto path = "group.more_credentials_sha256[" + std::to_string(i) + "]";
                checkCredential(it.more_credentials_sha256(i), path);
                check(digests.insert(it.more_credentials_sha256(i)).second, path, "must be unique");
            }
            checkRate(it.rate_per_s(), "group.rate_per_s");
            checkRate(it.burst(), "group.burst");
            for (int i = 0; i < it.regions_size(); ++i)
                checkName(it.regions(i), "group.regions[" + std::to_string(i) + "]");
            std::set<std::string> services;
            for (int i = 0; i < it.shares_size(); ++i) {
                const auto path = "group.shares[" + std::to_string(i) + "]";
                const auto& share = it.shares(i);
                checkName(share.service(), path + ".service");
                check(services.insert(share.service()).second, path + ".service", "must be unique");
                check(
                    std::isfinite(share.weight()) && share.weight() > 0, path + ".weight", "must be above 0");
            }
        }
    };

    bool hasKind(const proto::Resource& resource, std::string_view kind)
    {
        return resource.name().starts_with(std::string(kind) + "/");
    }

} // namespace

bool isIpv4Endpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    in_addr ip {};
    if (inet_pton(AF_INET, std::string(address.substr(0, colon)).c_str(), &ip) != 1)
        return false;
    const auto digits = address.substr(colon + 1);
    unsigned port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return ec == std::errc() && end == digits.data() + digits.size() && port > 0 && port <= maxPort;
}

std::vector<FieldError> validate(const proto::Resource& resource)
{
    ResourceChecker checker;
    const auto slash = resource.name().find('/');
    checker.check(slash != std::string::npos, "name", "must be <kind>/<id>");
    if (slash != std::string::npos)
        checker.checkName(std::string_view(resource.name()).substr(slash + 1), "name");
    switch (resource.body_case()) {
    case proto::Resource::kService:
        checker.check(hasKind(resource, "services"), "name", "must be services/<id> for a service");
        checker.checkService(resource.service());
        break;
    case proto::Resource::kUpstream:
        checker.check(hasKind(resource, "upstreams"), "name", "must be upstreams/<id> for an upstream");
        checker.checkUpstream(resource.upstream());
        break;
    case proto::Resource::kGroup:
        checker.check(hasKind(resource, "groups"), "name", "must be groups/<id> for a group");
        checker.checkGroup(resource.group());
        break;
    case proto::Resource::kRoute:
        checker.check(hasKind(resource, "routes"), "name", "must be routes/<id> for a route");
        checker.checkRoute(resource.route());
        break;
    case proto::Resource::kDataHall:
        checker.check(hasKind(resource, "halls"), "name", "must be halls/<id> for a data hall");
        break;
    case proto::Resource::BODY_NOT_SET:
        checker.check(false, "body", "one of service, upstream, group, route, data_hall must be set");
        break;
    }
    return checker.errors;
}

} // namespace robinrun
