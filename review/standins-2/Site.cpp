#include "Site.h"

#include "test/support/Loopback.h"
#include "test/support/SettingsTemplate.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace review {
namespace {

    using support::freeAddress;

    constexpr Duration restartDelay = 500ms;
    constexpr Duration watchEvery = 20ms;
    constexpr Duration readinessEvery = 1s;
    constexpr unsigned missesUntilOut = 2;
    constexpr std::size_t zones = 3;
    constexpr std::uint64_t deadlineMs = 1000;
    constexpr double servesWell = 0.9;
    /// A node gets no SIGHUP so soon after its start: it may not handle signals yet.
    constexpr Duration unsignalled = 1s;
    /// While a node handles a request, counted from when that was handed to the client's connection.
    constexpr Duration firstReloadDelay = 60us;
    constexpr Duration reloadDelayRange = 500us;

    std::string serviceEntry(const std::string& service)
    {
        return R"({"type":"services","metadata":{"name":")" + service
            + R"("},"spec":{"health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false}},)";
    }

    HttpPool::Options clientOptions(const std::string& address)
    {
        HttpPool::Options out;
        out.address = address;
        out.connectTimeout = 1s;
        return out;
    }

    /// \brief Changes a setting that a reload may change. The file is replaced whole.
    void changeSettings(const std::string& file, std::size_t number)
    {
        auto text = support::readFile(file);
        const std::string field = "lines_per_second: ";
        const auto at = text.find(field) + field.size();
        text.replace(at, text.find('\n', at) - at, number % 2 ? "299" : "300");
        const auto next = file + ".next";
        std::ofstream(next) << text;
        std::rename(next.c_str(), file.c_str());
    }

} // namespace

Site::Addresses Site::Addresses::free()
{
    return { freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress() };
}

Site::Site(event_base* base, Options options, Record& record)
    : m_base(base)
    , m_options(std::move(options))
    , m_record(&record)
    , m_store(base)
{
    for (const auto& service : m_options.services) {
        for (std::size_t i = 0; i < service.upstreams; ++i)
            addHost(service.name, "z" + std::to_string(m_hosts.size() % zones), Addresses::free());
    }
    m_watch = Timer::repeating(base, watchEvery, [this] { watch(); });
    m_ready = Timer::repeating(base, readinessEvery, [this] {
        for (auto& it : m_hosts)
            askReadiness(*it);
    });
}

void Site::addHost(const std::string& service, const std::string& zone, const Addresses& addresses)
{
    auto host = std::make_unique<Host>();
    host->name = "side-" + std::to_string(m_hosts.size() + 1);
    host->service = service;
    host->zone = zone;
    host->settingsFile = m_options.folder + "/" + host->name + ".yaml";
    host->addresses = addresses;
    writeSettings(*host);
    host->upstream = std::make_unique<Upstream>(m_base,
        Upstream::Options { addresses.app, addresses.control, service, zone, host->name, m_options.work },
        *m_record);
    m_hosts.push_back(std::move(host));
    startNode(*m_hosts.back());
    if (m_hasTraffic)
        sendLater(*m_hosts.back());
}

void Site::writeSettings(const Host& host) const
{
    const auto& at = host.addresses;
    std::ofstream(host.settingsFile) << support::fillTemplate(
        support::readFile(m_options.root + "/deploy/node.yaml"),
        { { "node", host.name }, { "zone", host.zone }, { "region", "r" }, { "service", host.service },
            { "app_addr", at.app }, { "ip", "127.0.0.1" }, { "port_range.0", support::portOf(at.peers) },
            { "port_range.1", support::portOf(at.metrics) }, { "listen.outbound", at.callers },
            { "listen.readiness", at.readiness }, { "listen.control", at.control },
            { "provider.address", m_store.address }, { "provider.writes_per_s", "400" },
            { "provider.reads_per_s", "2000" }, { "limits.cpu_share", "0.2" },
            { "limits.link_mbps", "1000.0" }, { "limits.memory_mb", "260" }, { "limits.max_fds", "4100" },
            { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "58" } });
}

void Site::replace(Host& host)
{
    m_record->note("machine " + host.name + " of " + host.service + " is removed for good");
    host.isGone = true;
    host.wasKilled = true;
    host.node.signal(SIGKILL);
    host.upstream->crash();
    addHost(host.service, host.zone, Addresses::free());
}

void Site::reuseAddress(const Host& former, const std::string& service)
{
    addHost(service, former.zone, former.addresses);
    m_record->note("machine " + m_hosts.back()->name + " of " + service + " gets the address that "
        + former.name + " had");
}

std::vector<Site::Host*> Site::hostsOf(const std::string& service)
{
    std::vector<Host*> out;
    for (auto& it : m_hosts) {
        if (it->service == service && !it->isGone)
            out.push_back(it.get());
    }
    return out;
}

std::vector<Site::Host*> Site::present()
{
    std::vector<Host*> out;
    for (auto& it : m_hosts) {
        if (!it->isGone)
            out.push_back(it.get());
    }
    return out;
}

void Site::startNode(Host& host)
{
    host.isDown = false;
    host.wasKilled = false;
    host.started = monotonicNow();
    // The command of deploy/system.toml; its settings stand in the temporary folder.
    host.node
        = support::ChildProcess({ m_options.root + "/target/robinrun-mesh", "--settings", host.settingsFile },
            m_options.folder + "/" + host.name + ".log");
    host.clients = std::make_unique<HttpPool>(m_base, clientOptions(host.addresses.callers));
    // For the script, which ends what is left if this program is ended itself.
    std::ofstream(m_options.folder + "/pids", std::ios::app) << host.node.pid() << '\n';
    m_record->line("node " + host.name + " starts");
}

void Site::kill(const std::vector<Host*>& hosts)
{
    for (auto* it : hosts) {
        it->wasKilled = true;
        it->node.signal(SIGKILL);
    }
    m_record->note(std::to_string(hosts.size()) + " of " + std::to_string(present().size())
        + " nodes are killed at the same moment");
}

void Site::watch()
{
    for (auto& it : m_hosts) {
        auto& host = *it;
        if (host.isDown || host.isGone || host.node.isRunning())
            continue;
        host.isDown = true;
        if (!host.wasKilled) {
            ++host.ownEnds;
            m_record->note("node " + host.name + " ended by itself, wait status "
                + std::to_string(host.node.exitStatus()) + ", after " + std::to_string(host.reloads)
                + " SIGHUPs");
        }
        host.restart = Timer::once(m_base, restartDelay, [this, &host] { startNode(host); });
    }
}

void Site::askReadiness(Host& host)
{
    const auto pool = std::make_shared<HttpPool>(m_base, clientOptions(host.addresses.readiness));
    pool->send({ "GET", "/readyz", {}, "" }, 900ms, [&host, pool](const Result<HttpReply, HttpError>& reply) {
        host.missedReadiness = reply && reply.value().status == 200 ? 0 : host.missedReadiness + 1;
    });
}

bool Site::getsClients(const Host& host) const
{
    const auto isIn = [](const Host& it) { return it.missedReadiness < missesUntilOut; };
    std::size_t all = 0;
    std::size_t in = 0;
    for (const auto& it : m_hosts) {
        if (it->zone != host.zone || it->isGone)
            continue;
        ++all;
        in += isIn(*it) ? 1 : 0;
    }
    return !host.isGone && (isIn(host) || 2 * in < all);
}

std::string Site::routeOf(const std::string& service) const
{
    return R"({"type":"routes","metadata":{"name":"r-)" + service + R"("},"spec":{"host":"a.example",)"
        + R"("path_prefix":"/)" + service + R"(/","kind":")"
        + (m_options.isIdempotent ? "idempotent" : "non_idempotent")
        + R"(","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":")" + service
        + R"(","attempts":2}},)";
}

void Site::putConfiguration()
{
    std::string text = R"({"version":"r1","base_version":"r0","resources":[)";
    for (const auto& it : m_options.services)
        text += routeOf(it.name) + serviceEntry(it.name);
    text += R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000}}]})";
    m_store.put("keyed.op", "config", text);
    m_record->note("the first configuration is acknowledged");
}

bool Site::startToServe()
{
    pass(3s);
    putConfiguration();
    pass(3s);
    m_hasTraffic = true;
    for (auto& it : m_hosts)
        sendLater(*it);
    pass(3s);
    return servedShare(5s) >= servesWell;
}

void Site::sendLater(Host& host)
{
    const auto mean = 1 / m_options.requestsPerSecond;
    host.nextRequest = Timer::once(m_base, fromSeconds(mean * (0.5 + m_random.unit())), [this, &host] {
        if (getsClients(host))
            send(host);
        sendLater(host);
    });
}

double Site::servedShare(Duration length)
{
    m_counts.clear();
    ++m_countNumber;
    m_isCounting = true;
    pass(length);
    m_isCounting = false;
    pass(std::chrono::milliseconds(deadlineMs + 100)); // for the answers to the last ones
    double sent = 0;
    double served = 0;
    for (const auto& [service, count] : m_counts) {
        m_record->note("of requests sent meanwhile for " + service
            + ", served: " + std::to_string(count.served) + " of " + std::to_string(count.sent));
        sent += static_cast<double>(count.sent);
        served += static_cast<double>(count.served);
    }
    return served / std::max(sent, 1.0);
}

double Site::servedShareSoFar()
{
    m_record->note("of all requests so far, served: " + std::to_string(m_all.served) + " of "
        + std::to_string(m_all.sent));
    return static_cast<double>(m_all.served) / std::max(static_cast<double>(m_all.sent), 1.0);
}

const std::string& Site::nextService()
{
    std::size_t total = 0;
    for (const auto& it : m_options.services)
        total += it.weight;
    auto place = m_lastRequest % total;
    for (const auto& it : m_options.services) {
        if (place < it.weight)
            return it.name;
        place -= it.weight;
    }
    return m_options.services.front().name;
}

void Site::startReloads(const std::vector<Host*>& hosts, double perSecond)
{
    m_reloadGap = fromSeconds(1 / perSecond);
    for (const auto* it : hosts)
        m_reloaded[it] = monotonicNow();
}

void Site::reloadSoon(Host& host)
{
    const auto now = monotonicNow();
    const auto last = m_reloaded.find(&host);
    if (last == m_reloaded.end() || now - last->second < m_reloadGap || host.isDown
        || now - host.started < unsignalled)
        return;
    last->second = now;
    changeSettings(host.settingsFile, ++host.reloads);
    const Duration spread(static_cast<std::int64_t>(m_lastRequest * 7919) % reloadDelayRange.count());
    host.reload = Timer::once(m_base, firstReloadDelay + spread, [&host] {
        host.firstReload = host.firstReload.value_or(monotonicNow());
        host.node.signal(SIGHUP);
    });
}

void Site::send(Host& host)
{
    const auto id = "q" + std::to_string(++m_lastRequest);
    const auto& service = nextService();
    reloadSoon(host);
    const HttpRequest request { m_options.isIdempotent ? "GET" : "POST", "/" + service + "/" + id,
        { { "Host", "a.example" }, { "X-Robinrun-Request-Id", id },
            { "X-Robinrun-Deadline-Ms", std::to_string(deadlineMs) } },
        "" };
    m_record->line("sent " + id + " for " + service + " to " + host.name);
    if (m_isCounting)
        ++m_counts[service].sent;
    ++m_all.sent;
    host.clients->send(request, std::chrono::milliseconds(deadlineMs),
        [this, &host, id, service, number = m_isCounting ? m_countNumber : 0](
            const Result<HttpReply, HttpError>& reply) { answered(host, id, service, number, reply); });
}

void Site::answered(const Host& host, const std::string& id, const std::string& service,
    std::uint64_t countNumber, const Result<HttpReply, HttpError>& reply)
{
    if (reply) {
        const bool isServed
            = reply.value().status == 200 && findHeader(reply.value().headers, "X-Robinrun-Server-Signature");
        if (isServed && countNumber == m_countNumber)
            ++m_counts[service].served;
        m_all.served += isServed ? 1 : 0;
        return m_record->line("answer " + id + " " + std::to_string(reply.value().status));
    }
    m_record->line("answer " + id + " none: " + std::string(nameOf(reply.error().kind)));
    // With a SIGHUP several times a second, the last one before a request was sent is less than 2 s before
    // it.
    const bool isCut = reply.error().kind == HttpErrorKind::Broken && m_record->hasRun(id);
    if (!isCut || !host.firstReload)
        return;
    ++m_cutAfterReload;
    m_record->note("request " + id + " was run; its connection to " + host.name + " ended with no answer");
}

void Site::setStoreDown(bool isDown)
{
    m_store.mode = isDown ? support::FakeStore::Mode::Refusing : support::FakeStore::Mode::Up;
    m_record->note(isDown ? "the store is down" : "the store is back");
}

std::size_t Site::runsAt(const std::string& id, Duration length)
{
    const auto first = m_lastRequest + 1;
    pass(length);
    const auto last = m_lastRequest;
    std::size_t out = 0;
    for (auto i = first; i <= last; ++i)
        out += m_record->ranAt("q" + std::to_string(i)) == id ? 1 : 0;
    return out;
}

void Site::pass(Duration length) const
{
    const auto end = Timer::once(m_base, length, [this] { event_base_loopbreak(m_base); });
    event_base_dispatch(m_base);
}

} // namespace review
