#include "starvation/Deployment.h"

#include "Http/HttpStatus.h"
#include "support/Loopback.h"
#include "support/SettingsTemplate.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>

namespace robinrun::starvation {
namespace {

    using support::fillTemplate;
    using support::freeAddress;
    using support::portOf;
    using support::readFile;

    constexpr Duration readinessInterval = 1s;
    constexpr Duration graceTime = 6s;
    constexpr Duration endPollInterval = 20ms;
    constexpr Duration quotaInterval = 5ms;
    constexpr double largeShare = 0.5;
    constexpr double smallShare = 0.1;
    constexpr std::string_view routeHost = "starvation.example";

    std::vector<CallingGroup> groupsOf(const DeploymentPlan& plan)
    {
        double sum = 0;
        for (std::size_t i = 1; i <= plan.groups; ++i)
            sum += std::pow(static_cast<double>(i), -plan.groupSkew);
        std::vector<CallingGroup> out;
        for (std::size_t i = 1; i <= plan.groups; ++i) {
            const auto name = "g" + std::to_string(i);
            const auto share = std::pow(static_cast<double>(i), -plan.groupSkew) / sum;
            out.push_back({ name, "key-of-" + name, plan.callsPerSecond * share });
        }
        return out;
    }

    std::string groupEntry(const CallingGroup& group, double rateFactor)
    {
        const auto rate = std::to_string(group.callsPerSecond * rateFactor);
        return R"({"type":"tenants","metadata":{"name":")" + group.name + R"("},"spec":{"api_keys":[")"
            + group.key + R"("],"priority":1,"rate_per_s":)" + rate + R"(,"burst":)" + rate + "}},";
    }

    std::string routeEntry(const CallKind& kind)
    {
        return R"({"type":"routes","metadata":{"name":")" + kind.name + R"("},"spec":{"host":")"
            + std::string(routeHost) + R"(","path_prefix":"/)" + kind.name + R"(/","kind":")"
            + (kind.isRepeatable ? "idempotent" : "non_idempotent") + R"(","timeout_ms":)"
            + std::to_string(std::min(kind.deadline, Duration(2s)) / 1ms) + R"(,"target_latency_ms":)"
            + std::to_string(kind.target / 1ms) + R"(,"priority":1,"service":")" + kind.service
            + R"(","attempts":2}},)";
    }

    std::string serviceEntry(const std::string& name)
    {
        return R"({"type":"services","metadata":{"name":")" + name
            + R"("},"spec":{"health_path":"/healthz","max_connections":1000,"protocol":"h1","tls":false}},)";
    }

} // namespace

const std::vector<CallKind>& callKinds()
{
    static const std::vector<CallKind> kinds {
        { "lookup", "main", true, 0.67, 500ms, 3s, 120ms, 5000, 0.7, 2 },
        { "confirm", "main", false, 0.26, 400ms, 4s, 160ms, 1500 },
        { "fetch", "inner", true, 0.07, 1200ms, 4s, 96ms, 90000 },
        { "check", "inner", true, 0, 120ms, 400ms, 30ms, 200 },
    };
    return kinds;
}

Deployment::Deployment(event_base* base, DeploymentPlan plan, std::uint64_t seed, NestedCounts& nested)
    : m_base(base)
    , m_plan(std::move(plan))
    , m_random(seed)
    , m_nested(&nested)
    , m_store(base)
    , m_groups(groupsOf(m_plan))
{
    changeConfiguration();
    for (std::size_t i = 0; i < m_plan.hosts; ++i)
        addHost(i);
    for (auto& it : m_hosts)
        startNode(*it);
    m_ask = Timer::repeating(base, readinessInterval, [this] {
        for (auto& it : m_hosts) {
            if (!it->isLost)
                askReadiness(*it);
        }
    });
    if (m_plan.processorFactor > 0)
        m_quotaTimer = Timer::repeating(base, quotaInterval, [this] { holdToQuota(monotonicNow()); });
}

void Deployment::addHost(std::size_t i)
{
    auto host = std::make_unique<Host>();
    host->name = "host-" + std::to_string(i);
    host->dataHall = "hall-" + std::to_string(i % m_plan.dataHalls);
    host->callers = freeAddress();
    host->metrics = freeAddress();
    host->readiness = freeAddress();
    host->settingsFile = m_plan.folder + "/" + host->name + ".yaml";
    host->cpuShare = i < m_plan.largeHosts ? largeShare : smallShare;
    const auto announcements = freeAddress();
    const auto server = freeAddress();
    const std::string service = i + m_plan.servedByLast >= m_plan.hosts ? "inner" : "main";
    std::ofstream(host->settingsFile) << fillTemplate(readFile(m_plan.root + "/deploy/node.yaml"),
        { { "node", host->name }, { "zone", host->dataHall }, { "region", "r" }, { "service", service },
            { "app_addr", server }, { "ip", "127.0.0.1" }, { "port_range.0", portOf(freeAddress()) },
            { "port_range.1", portOf(host->metrics) }, { "listen.outbound", host->callers },
            { "listen.readiness", host->readiness }, { "listen.control", announcements },
            { "provider.address", m_store.address }, { "provider.writes_per_s", "1200" },
            { "provider.reads_per_s", "6000" }, { "limits.cpu_share", std::to_string(host->cpuShare) },
            { "limits.link_mbps", i < m_plan.largeHosts ? "200.0" : "12.0" },
            { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "188" },
            { "bounds.cold_over", "1.5" }, { "bounds.cold_slack", "8" }, { "bounds.revoke_ms", "5000" },
            { "bounds.strict_revoke", "false" }, { "bounds.quota_window_s", "5" },
            { "bounds.quota_over", "0.1" }, { "bounds.quota_slack", "20" } });
    host->server = std::make_unique<SlowServer>(m_base,
        SlowServer::Options { .address = server,
            .announcements = announcements,
            .callers = host->callers,
            .service = service,
            .dataHall = host->dataHall,
            .id = "server-" + std::to_string(i) },
        m_random.bits(), *m_nested);
    m_hosts.push_back(std::move(host));
}

void Deployment::startNode(Host& host)
{
    host.node = support::ChildProcess(
        { m_plan.program, "--settings", host.settingsFile }, m_plan.folder + "/" + host.name + ".log");
}

void Deployment::kill(Host& host, Duration pause)
{
    host.node.signal(SIGKILL);
    host.isReady = false;
    host.restart = Timer::once(m_base, pause, [this, &host] { startNode(host); });
}

void Deployment::lose(Host& host)
{
    host.isLost = true;
    host.isReady = false;
    host.restart = Timer();
    host.node.signal(SIGKILL);
    host.server.reset();
}

void Deployment::restart(Host& host)
{
    host.node.signal(SIGTERM);
    const auto killAt = monotonicNow() + graceTime;
    host.restart = Timer::repeating(m_base, endPollInterval, [this, &host, killAt] {
        if (host.node.isRunning()) {
            if (monotonicNow() >= killAt)
                host.node.signal(SIGKILL);
            return;
        }
        host.isReady = false;
        host.restart = Timer();
        startNode(host);
    });
}

void Deployment::changeConfiguration()
{
    ++m_version;
    std::string text = R"({"version":"r)" + std::to_string(m_version) + R"(","base_version":"r)"
        + std::to_string(m_version - 1) + R"(","resources":[)";
    for (const auto& it : m_groups)
        text += groupEntry(it, m_plan.rateFactor);
    for (const auto& it : callKinds())
        text += routeEntry(it);
    text += serviceEntry("main") + serviceEntry("inner")
        + R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000}}]})";
    m_store.put("keyed.op", "config", text);
}

void Deployment::askReadiness(Host& host)
{
    HttpPool::Options options;
    options.address = host.readiness;
    options.connectTimeout = readinessInterval;
    auto pool = std::make_shared<HttpPool>(m_base, options);
    pool->send({ "GET", "/readyz", {}, "" }, readinessInterval,
        [&host, pool](const Result<HttpReply, HttpError>& reply) {
            host.isReady = reply && reply.value().status == httpStatus::ok;
        });
}

bool Deployment::areAllReady() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto& it) { return it->isReady; });
}

void Deployment::holdToQuota(Instant now)
{
    for (const auto& it : m_hosts)
        m_quota.apply(it->node, m_plan.processorFactor * it->cpuShare, now);
}

void Deployment::pass(Duration length)
{
    const auto end = Timer::once(m_base, length, [this] { event_base_loopbreak(m_base); });
    event_base_dispatch(m_base);
}

} // namespace robinrun::starvation
