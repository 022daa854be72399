#include "review/standins/Site.h"

#include "test/support/Loopback.h"

#include <csignal>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace robinrun::review {
namespace {

    using support::freeAddress;

    /// The platform asks a node once a second whether it is ready.
    constexpr Duration readinessEvery = 1s;
    constexpr Duration readinessWithin = 1s;
    constexpr Duration grace = 6s; ///< grace_s
    constexpr Duration lookEvery = 10ms;

    std::string portOf(const std::string& address)
    {
        return address.substr(address.rfind(':') + 1);
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        if (!in)
            throw std::runtime_error("can't read " + path);
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    /// \brief Removes the sections {{#name}} .. {{/name}} of fields that are not given.
    std::string withoutSections(std::string text)
    {
        for (auto at = text.find("{{#"); at != std::string::npos; at = text.find("{{#")) {
            const auto nameEnd = text.find("}}", at);
            const auto closing = "{{/" + text.substr(at + 3, nameEnd - at - 3) + "}}";
            const auto end = text.find(closing, nameEnd);
            text.erase(at, end + closing.size() - at);
        }
        return text;
    }

} // namespace

Site::Site(event_base* base, Options options)
    : m_base(base)
    , m_options(std::move(options))
    , m_started(monotonicNow())
    , m_record(m_options.recordFile, std::ios::trunc)
    , m_store(base, freeAddress())
{
    writeConfiguration(1);
    for (std::size_t i = 0; i < m_options.hosts; ++i)
        addHost(i);
    m_ask = Timer::repeating(base, readinessEvery, [this] {
        for (auto& it : m_hosts)
            askReadiness(*it);
    });
}

void Site::addHost(std::size_t i)
{
    auto host = std::make_unique<Host>();
    host->name = "sidecar-riga-" + std::to_string(i);
    host->zone = std::string("riga-") + "abc"[i % 3];
    host->outbound = freeAddress();
    host->readiness = freeAddress();
    const auto control = freeAddress();
    const auto app = freeAddress();
    const std::string service = i >= m_options.firstOfLedger ? "ledger" : "shop";
    host->settingsFile = m_options.folder + "/" + host->name + ".yaml";
    std::ofstream(host->settingsFile) << fillTemplate({ { "node", host->name }, { "zone", host->zone },
        { "region", "riga" }, { "service", service }, { "app_addr", app }, { "ip", "127.0.0.1" },
        { "port_range.0", portOf(freeAddress()) }, { "port_range.1", portOf(freeAddress()) },
        { "listen.outbound", host->outbound }, { "listen.readiness", host->readiness },
        { "listen.control", control }, { "provider.address", m_store.address() },
        { "provider.writes_per_s", "400" }, { "provider.reads_per_s", "2000" }, { "limits.cpu_share", "0.2" },
        { "limits.link_mbps", "1000.0" }, { "bounds.retry_budget_ratio", "0.2" },
        { "bounds.budget_slack", "58" } });
    auto upstream = m_options.upstream;
    upstream.address = app;
    upstream.control = control;
    upstream.service = service;
    upstream.outbound = host->outbound;
    upstream.zone = host->zone;
    upstream.id = "i-" + std::to_string(1000 + i);
    upstream.firstHeartbeat = upstream.heartbeat * static_cast<int>(i) / static_cast<int>(m_options.hosts);
    host->upstream = std::make_unique<Upstream>(
        m_base, upstream, [this](const HttpRequest& request, const std::string& id) {
            const std::string requestId(findHeader(request.headers, "X-Robinrun-Request-Id").value_or(""));
            note("ran " + requestId + " at " + id);
            if (m_onRun)
                m_onRun(requestId);
        });
    m_hosts.push_back(std::move(host));
    startNode(*m_hosts.back());
}

std::string Site::fillTemplate(const std::map<std::string, std::string>& fields) const
{
    auto text = withoutSections(readFile(m_options.root + "/deploy/node.yaml"));
    for (const auto& [name, value] : fields) {
        const auto gap = "{{" + name + "}}";
        for (auto at = text.find(gap); at != std::string::npos; at = text.find(gap, at + value.size()))
            text.replace(at, gap.size(), value);
    }
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("a gap of the template is left: " + text.substr(text.find("{{"), 40));
    return text;
}

void Site::writeConfiguration(std::uint64_t version)
{
    const auto longest = std::to_string(m_options.longestMs);
    const bool hasLedger = m_options.firstOfLedger < m_options.hosts;
    const auto route = [](const std::string& name, const std::string& kind, const std::string& service,
                           const std::string& timeoutMs) {
        return R"({"type":"routes","metadata":{"name":")" + name
            + R"("},"spec":{"host":"hulo84.example","path_prefix":"/)" + name + R"(/","kind":")" + kind
            + R"(","timeout_ms":)" + timeoutMs + R"(,"target_latency_ms":400,"priority":1,"service":")"
            + service + R"(","attempts":2}},)";
    };
    const auto service = [](const std::string& name) {
        return R"({"type":"services","metadata":{"name":")" + name
            + R"("},"spec":{"health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false}},)";
    };
    const auto text = R"({"version":"r)" + std::to_string(version) + R"(","base_version":"r)"
        + std::to_string(version - 1) + R"(","resources":[)" + route("read", "idempotent", "shop", longest)
        + route("buy", "non_idempotent", "shop", longest)
        + (hasLedger ? route("check", "idempotent", "ledger", "1000") + service("ledger") : "")
        + service("shop")
        + R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000}}]})";
    m_store.put("keyed.op", "config", text);
    note("configuration r" + std::to_string(version) + " acknowledged");
}

void Site::startNode(Host& host)
{
    host.node
        = support::ChildProcess({ m_options.root + "/target/robinrun-mesh", "--settings", host.settingsFile },
            m_options.folder + "/" + host.name + ".log");
    note("started " + host.name);
}

void Site::stop(Host& host)
{
    host.node.signal(SIGTERM);
    note("SIGTERM to " + host.name);
    const auto asked = monotonicNow();
    host.restart = Timer::repeating(m_base, lookEvery, [this, &host, asked] { startEnded(host, asked); });
}

void Site::startEnded(Host& host, Instant asked)
{
    if (host.node.isRunning()) {
        if (monotonicNow() - asked >= grace)
            host.node.signal(SIGKILL);
        return;
    }
    note("ended " + host.name);
    host.restart = Timer();
    startNode(host);
}

void Site::kill(Host& host, Duration pause)
{
    host.node.signal(SIGKILL);
    host.isReady = false;
    note("killed " + host.name);
    host.restart = Timer::once(m_base, pause, [this, &host] {
        host.node = support::ChildProcess();
        startNode(host);
    });
}

void Site::askReadiness(Host& host)
{
    HttpPool::Options options;
    options.address = host.readiness;
    options.connectTimeout = readinessWithin;
    auto pool = std::make_shared<HttpPool>(m_base, options);
    pool->send({ "GET", "/readyz", {}, "" }, readinessWithin,
        [&host, pool](const Result<HttpReply, HttpError>& reply) {
            host.isReady = reply && reply.value().status == 200;
            host.misses = host.isReady ? 0 : host.misses + 1;
        });
}

bool Site::areAllReady() const
{
    for (const auto& it : m_hosts) {
        if (!it->isReady)
            return false;
    }
    return true;
}

bool Site::getsWork(const Host& host) const
{
    constexpr unsigned missesUntilOut = 2;
    if (host.misses < missesUntilOut)
        return true;
    std::size_t all = 0;
    std::size_t in = 0;
    for (const auto& it : m_hosts) {
        all += it->zone == host.zone ? 1 : 0;
        in += it->zone == host.zone && it->misses < missesUntilOut ? 1 : 0;
    }
    return 2 * in < all;
}

void Site::note(const std::string& text)
{
    m_record << std::fixed << std::setprecision(3) << now() << ' ' << text << '\n';
}

void Site::pass(Duration length)
{
    const auto end = Timer::once(m_base, length, [this] { event_base_loopbreak(m_base); });
    event_base_dispatch(m_base);
}

} // namespace robinrun::review
