#include "Settings/NodeSettings.h"

#include <algorithm>
#include <sys/resource.h>

namespace robinrun {
namespace {

    constexpr std::size_t sha256HexLength = 64;
    constexpr std::uint64_t kibi = 1024;
    constexpr std::uint64_t mebi = 1024 * kibi;
    constexpr double bytesPerMegabyte = 1e6;
    /// What a node needs for all but the bodies of requests.
    constexpr double otherMegabytes = 40;
    constexpr double unknownBodyMegabytes = 256;
    /// Of the descriptors, for connections of callers.
    constexpr double callersShare = 0.75;

    using Standard = std::optional<std::string>;

    /// \returns the standard of an address that may be left out if \a isOptional.
    Standard noneIf(bool isOptional)
    {
        return isOptional ? Standard("") : std::nullopt;
    }

    void readStore(YamlReader reader, NodeSettings& out)
    {
        out.store.address = reader.address("address", "");
        out.store.writesPerSecond = reader.number("writes_per_second", 0.1, 1e9, 100);
        out.store.readsPerSecond = reader.number("reads_per_second", 0.1, 1e9, 100);
        out.store.timeout = reader.duration("timeout", 100ms, 60s, 1s);
        reader.finish();
    }

    void readListen(YamlReader reader, NodeSettings& out)
    {
        const bool hasStore = !out.store.address.empty();
        out.listen.callers = reader.address("callers");
        out.listen.operators = reader.address("operators", noneIf(hasStore));
        out.listen.peers = reader.address("peers");
        out.listen.peersBind = reader.address("peers_bind", "");
        out.listen.readiness = reader.address("readiness", "");
        out.listen.announcements = reader.address("announcements", noneIf(!hasStore));
        out.listen.metrics = reader.address("metrics", "");
        reader.finish();
    }

    void readRetries(YamlReader reader, NodeSettings& out)
    {
        out.retries.ratio = reader.number("ratio", 0, 1, 0.1);
        out.retries.slack = reader.number("slack", 0, 1e6, 10);
        reader.finish();
    }

    void readPeers(YamlReader reader, NodeSettings& out)
    {
        out.peers.heartbeat = reader.duration("heartbeat", 50ms, 60s, 5s);
        out.peers.longestReconnect = reader.duration("longest_reconnect", 50ms, 60s, 2s);
        out.peers.contacts = reader.count("contacts", 1, 100, 16);
        out.peers.followers = reader.count("followers", 1, 100, 4);
        out.peers.contactEvery = reader.duration("contact_every", 100ms, 60s, 2s);
        // Regions lose each other for an hour now and then; that is no reason to forget half of the nodes.
        out.peers.unreachableAfter = reader.duration("unreachable_after", 100ms, 10min, 3s);
        out.peers.forgetAfter = reader.duration("forget_after", 1s, 24h, 2h);
        reader.finish();
    }

    void readPlatform(YamlReader reader, NodeSettings& out)
    {
        const bool hasStore = !out.store.address.empty();
        out.platform.log = reader.address("log", noneIf(hasStore));
        out.platform.hosts = reader.address("hosts", noneIf(hasStore));
        out.platform.timeout = reader.duration("timeout", 100ms, 60s, 3s);
        reader.finish();
    }

    void readLog(YamlReader reader, NodeSettings& out)
    {
        out.log.level = reader.choice("level", LogLevel::Info);
        out.log.format = reader.choice("format", LogFormat::Json);
        out.log.access = reader.flag("access", false);
        out.log.linesPerSecond = reader.number("lines_per_second", 1, 1e6, 2000);
        out.log.sampleOneIn = reader.count("sample_one_in", 1, 1000000, 16);
        reader.finish();
    }

    void readLimits(YamlReader reader, NodeSettings& out)
    {
        out.limits.body = reader.bytes("body", kibi, 64 * mebi, mebi);
        out.limits.headers = reader.bytes("headers", kibi, mebi, 32 * kibi);
        out.limits.calls = reader.count("calls", 1, 1000000, 20000);
        out.limits.descriptors = reader.count("descriptors", 0, 100000000, 0);
        out.limits.ticketMemory = reader.bytes("ticket_memory", 64 * kibi, 1024 * mebi, 16 * mebi);
        reader.finish();
    }

    void readChoice(YamlReader reader, NodeSettings& out)
    {
        out.choice.kind = reader.choice("policy", ChoicePolicyKind::ExpectedDelay);
        out.choice.subset = reader.count("subset", 1, 1000, 20);
        out.choice.hallRoundTrip = reader.duration("hall_round_trip", 0us, 1s, 2ms);
        out.choice.regionRoundTrip = reader.duration("region_round_trip", 0us, 1s, 60ms);
        out.choice.farLoss = reader.number("far_loss", 0, 1, out.choice.farLoss);
        out.choice.attemptTimeout = reader.duration("attempt_timeout", 1ms, 60s, 300ms);
        reader.finish();
    }

    void readAdmission(YamlReader reader, NodeSettings& out)
    {
        out.admission.limit = reader.choice("limit", ConcurrencyLimitKind::Learnt);
        out.admission.usableShare = reader.number("usable_share", 0.1, 1, 1);
        out.admission.coldPace = reader.choice("cold_pace", WarmUpPacerKind::Smooth);
        out.admission.coldFactor = reader.number("cold_factor", 0.1, 10, 1);
        out.admission.coldBurst = reader.number("cold_burst", 0, 1e6, 0);
        reader.finish();
    }

    void readCredentials(YamlReader reader, NodeSettings& out)
    {
        out.credentials.isStrict = reader.flag("strict", false);
        out.credentials.revokeWithin = reader.duration("revoke_within", 100ms, 24h, 5s);
        reader.finish();
    }

    void readRates(YamlReader reader, NodeSettings& out)
    {
        out.rates.window = reader.duration("window", 100ms, 1h, 5s);
        out.rates.over = reader.number("over", 0, 1, 0.1);
        out.rates.slack = reader.number("slack", 0, 1e6, 20);
        reader.finish();
    }

    void readRollouts(YamlReader reader, NodeSettings& out)
    {
        out.rollouts.share = reader.number("share", 0, 1, 0.1);
        out.rollouts.slack = reader.number("slack", 0, 1e6, 50);
        reader.finish();
    }

    void readExperiments(YamlReader reader, NodeSettings& out)
    {
        for (std::size_t i = 0; i < countOf<Mechanism>(); ++i) {
            const auto mechanism = static_cast<Mechanism>(i);
            if (!reader.flag(std::string(nameOf(mechanism)), true))
                out.experiments.switchOff(mechanism);
        }
        reader.finish();
    }

    void readClaims(YamlReader reader, NodeSettings& out)
    {
        out.claims.partitions = reader.count("partitions", 1, 4096, 8);
        out.claims.appendsPerSecond = reader.number("appends_per_second", 0.1, 1000, 20);
        out.claims.gather = reader.duration("gather", 0us, 1s, 3ms);
        out.claims.decideWithin = reader.duration("decide_within", 10ms, 60s, 1s);
        out.claims.keyLifetime = reader.duration("key_lifetime", 1s, 24h, 10min);
        out.claims.clockSkew = reader.duration("clock_skew", 0us, 60s, 2s);
        reader.finish();
    }

    void readControl(YamlReader reader, NodeSettings& out)
    {
        out.control.readers = reader.count("readers", 1, 10, 2);
        out.control.fanOut = reader.count("fan_out", 2, 64, 8);
        out.control.digestEvery = reader.duration("digest_every", 100ms, 60s, 2s);
        out.control.bytesPerSecond = reader.number("bytes_per_second", 100, 1e9, 7000);
        out.control.writeWait = reader.duration("write_wait", 10ms, 60s, 3s);
        reader.finish();
    }

    void readTokens(YamlReader& reader, NodeSettings& out)
    {
        out.operatorTokens = reader.textMap("operator_tokens");
        for (const auto& [name, hash] : out.operatorTokens) {
            if (hash.size() != sha256HexLength)
                reader.fail("operator_tokens", "'" + name + "' must be a SHA-256 in 64 hex digits");
        }
    }

} // namespace

std::size_t NodeSettings::bodyMemory() const
{
    const auto megabytes
        = memoryMegabytes > 0 ? std::max(memoryMegabytes - otherMegabytes, 0.0) : unknownBodyMegabytes;
    return static_cast<std::size_t>(megabytes * bytesPerMegabyte);
}

std::size_t NodeSettings::callerConnections() const
{
    rlimit allowed {};
    auto n = limits.descriptors;
    if (n == 0 && getrlimit(RLIMIT_NOFILE, &allowed) == 0)
        n = allowed.rlim_cur;
    return std::max<std::size_t>(static_cast<std::size_t>(callersShare * static_cast<double>(n)), 1);
}

Result<NodeSettings, std::vector<SettingsError>> NodeSettings::load(const std::string& file)
{
    auto reader = YamlReader::open(file);
    NodeSettings out;
    if (!reader.errors().empty())
        return failure(reader.errors());
    out.name = reader.text("node");
    out.dataHall = reader.text("data_hall");
    out.region = reader.text("region");
    out.upstream = reader.text("upstream", "");
    out.service = reader.text("service", "");
    out.backend = reader.address("backend", "");
    out.capacity = reader.number("capacity", 0, 1e4, 0);
    out.memoryMegabytes = reader.number("memory_megabytes", 0, 1e7, 0);
    out.linkMegabits = reader.number("link_megabits", 0, 1e6, 0);
    out.chartsFolder = reader.text("charts", "charts");
    out.drainTimeout = reader.duration("drain_timeout", 0us, 1h, 30s);
    out.lameDuck = reader.duration("lame_duck", 0us, 60s, 0s);
    readStore(reader.section("store"), out);
    readListen(reader.section("listen"), out);
    readPlatform(reader.section("platform"), out);
    readLog(reader.section("log"), out);
    readLimits(reader.section("limits"), out);
    readChoice(reader.section("choice"), out);
    readRetries(reader.section("retries"), out);
    readPeers(reader.section("peers"), out);
    readAdmission(reader.section("admission"), out);
    readCredentials(reader.section("credentials"), out);
    readRates(reader.section("rates"), out);
    readRollouts(reader.section("rollouts"), out);
    readExperiments(reader.section("experiments"), out);
    readClaims(reader.section("claims"), out);
    readControl(reader.section("control"), out);
    readTokens(reader, out);
    reader.finish();
    if (!reader.errors().empty())
        return failure(reader.errors());
    return out;
}

} // namespace robinrun
