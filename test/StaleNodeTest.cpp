#include "Core/Hash.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/ConfigPartAssembler.h"
#include "Mesh/ConfigPartServer.h"
#include "Mesh/Gossip.h"
#include "Mesh/NodeRegistry.h"
#include "Mesh/StoreReadTiming.h"
#include "Mesh/TopicFollower.h"
#include "Wire/DeltaCodec.h"
#include "support/FaultProxy.h"
#include "support/MeshFixture.h"
#include "support/Noise.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

/// \file Tests that a healthy node never stays without a change of the configuration for long.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// \brief A follower whose link to the store has a limited rate, by default 10 Mbit/s, with the timeout of
/// the deployment.
struct LimitedLinkFixture {
    static constexpr std::size_t bytesPerSecond = 1250000;
    static constexpr std::size_t nodes = 13;

    void start(std::size_t linkBytesPerSecond = bytesPerSecond)
    {
        proxy.limit(linkBytesPerSecond);
        TopicFollower::Options options;
        options.topic = "keyed.op";
        options.drawWait = [this] { return watch.nextWait(nodes, random.unit()); };
        options.mayStandBy = [this] { return mayStandBy; };
        follower = std::make_unique<TopicFollower>(
            base.get(), client, options,
            [this](const KeyedPage& page) {
                for (const auto& it : page.records)
                    value = it.value;
            },
            random);
        follower->start();
    }

    LoopPtr base = makeLoop();
    FakeStore store { base.get() };
    std::string address = freeAddress();
    FaultProxy proxy { base.get(), address, store.address };
    platform::StoreClient client { base.get(), address, 1s };
    StoreReadTiming watch { { 4, 16 } };
    Random random { 1 };
    bool mayStandBy = false;
    std::string value;
    std::unique_ptr<TopicFollower> follower;
};

} // namespace

TEST_CASE("A follower with a link of 10 Mbit/s reads a change of a large configuration", "[mesh]")
{
    const auto bytes = GENERATE(600000U, 1200000U, 1800000U, 2400000U);
    INFO(bytes);
    LimitedLinkFixture f;
    f.store.put("keyed.op", "config", "small");
    f.start();
    REQUIRE(runUntil(f.base.get(), [&] { return f.value == "small"; }));
    // The waiting read fails now, and the reads that follow do not wait at the store.
    REQUIRE(runUntil(f.base.get(), [&] { return f.store.waiting() == 1; }));
    f.store.forgetWaiting();
    REQUIRE(runUntil(f.base.get(), [&] { return !f.follower->isFollowing(); }));
    f.store.put("keyed.op", "config", noise(bytes, 1));
    REQUIRE(runUntil(f.base.get(), [&] { return f.value.size() == bytes; }));
}

TEST_CASE("A starting node with a link of 10 Mbit/s reads a large configuration", "[mesh]")
{
    const auto bytes = GENERATE(600000U, 1200000U, 2400000U);
    INFO(bytes);
    LimitedLinkFixture f;
    f.store.put("keyed.op", "config", noise(bytes, 1));
    f.start();
    REQUIRE(runUntil(f.base.get(), [&] { return f.value.size() == bytes; }));
}

TEST_CASE("A read of a large configuration succeeds with and without a wait at the store", "[mesh]")
{
    LimitedLinkFixture f;
    f.proxy.limit(LimitedLinkFixture::bytesPerSecond);
    f.store.put("keyed.op", "config", noise(2400000, 1));
    std::optional<bool> hasSucceeded;
    f.client.follow("keyed.op", {}, 10s, [&](const auto& page) { hasSucceeded = page.has_value(); });
    REQUIRE(runUntil(f.base.get(), [&] { return hasSucceeded.has_value(); }));
    REQUIRE(*hasSucceeded);
    hasSucceeded.reset();
    f.client.follow("keyed.op", {}, 0s, [&](const auto& page) { hasSucceeded = page.has_value(); });
    REQUIRE(runUntil(f.base.get(), [&] { return hasSucceeded.has_value(); }));
    REQUIRE(*hasSucceeded);
}

TEST_CASE("A node on standby takes over after a large configuration has changed often", "[mesh]")
{
    LimitedLinkFixture f;
    f.store.put("keyed.op", "config", "small");
    const auto linkBytesPerSecond = GENERATE(12500000U, 125000000U); // 100 and 1000 Mbit/s
    INFO(linkBytesPerSecond);
    f.start(linkBytesPerSecond);
    REQUIRE(runUntil(f.base.get(), [&] { return f.value == "small"; }));
    f.mayStandBy = true;
    f.store.put("keyed.op", "config", "second");
    REQUIRE(runUntil(f.base.get(), [&] { return f.follower->isOnStandby(); }));
    constexpr std::size_t changeCount = 30;
    for (std::size_t i = 0; i < changeCount; ++i)
        f.store.put("keyed.op", "config", noise(600000 + i, i));
    f.mayStandBy = false;
    f.follower->resume();
    const bool isAdopted = runUntil(f.base.get(), [&] { return f.value.size() == 600000 + changeCount - 1; });
    INFO("reads " << f.follower->calls() << ", failed " << f.follower->failures());
    REQUIRE(isAdopted);
}

TEST_CASE("A late duplicate of the previous version does not hide a change", "[mesh]")
{
    MeshFormats formats;
    formats.configurationKey = "config";
    formats.readVersion = [](std::string_view text) { return std::optional(std::stoull(std::string(text))); };
    formats.readConfiguration = [](std::string_view text) -> Result<Configuration, std::string> {
        Configuration out;
        out.version = std::stoull(std::string(text));
        return out;
    };
    ConfigHolder holder;
    holder.adoptIfNewer("7", "test", formats);
    // A write whose answer was lost can take effect seconds later (RecordStore::write).
    holder.adoptNewest({ { "config", "8" }, { "config", "9" }, { "config", "8" } }, "store", formats);
    REQUIRE(holder.version() == 9);
}

TEST_CASE("A transfer that has started is completed while peers with other versions send requests", "[mesh]")
{
    ConfigPartServer partServer;
    ConfigPartAssembler partAssembler;
    std::string text = noise(400000, 1);
    std::uint64_t version = 20;
    for (std::uint64_t i = 1; i < version; ++i)
        partServer.addFormerText({ i, text.substr(0, 40000) + std::to_string(i) });
    bool isComplete = false;
    for (int round = 0; round < 200 && !isComplete; ++round) {
        const auto part = partServer.answer(partAssembler.makeRequest(0, ""), version, text);
        isComplete = partAssembler.addPart(*part, 0) == ConfigPartAssembler::PartResult::Complete;
        // Between two parts the configuration changes, and contacts with various versions request parts.
        partServer.addFormerText({ version, text });
        text += std::to_string(++version);
        for (std::uint64_t own = 2; own < 10; ++own) {
            const auto base = text.substr(0, 40000) + std::to_string(own);
            proto::ConfigPartRequest other;
            other.set_own_version(own);
            other.set_own_digest(hash64(base));
            partServer.answer(other, version, text);
        }
    }
    REQUIRE(isComplete);
}

TEST_CASE("A change of one route takes few bytes among tens of thousands of routes", "[mesh]")
{
    const std::size_t routes = GENERATE(2800U, 8400U, 16800U, 28000U);
    const auto base = MeshFixture::largeConfiguration(6, routes);
    const auto bytes = encodeDelta(MeshFixture::largeConfiguration(7, routes + 1), base).size();
    INFO(base.size());
    REQUIRE(bytes < 1000);
}

TEST_CASE("The records sent to a starting node fit on its link", "[mesh]")
{
    constexpr std::size_t nodes = 7200;
    NodeRegistry all;
    for (std::size_t i = 0; i < nodes; ++i) {
        proto::NodeRecord record;
        record.set_node("machine-" + std::to_string(i));
        record.set_peer_address("10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":20000");
        record.set_data_hall("hall-a");
        record.set_region("region-1");
        record.set_incarnation(1764000000000000 + i);
        record.set_sequence(3);
        record.set_service("service-" + std::to_string(i % 100));
        record.set_upstream("instance-" + std::to_string(i));
        record.set_address("10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080");
        all.mergeRecord(record);
    }
    Gossip gossip(all, "machine-0", { 16 }, [](const auto&, auto&, Instant) {});
    proto::RegistryDigests emptyDigests;
    for (std::size_t i = 0; i < NodeRegistry::bucketCount; ++i)
        emptyDigests.add_buckets(0);
    std::size_t maxMessageBytes = 0;
    gossip.answerDigests(
        emptyDigests,
        [&](proto::PeerMessage& message) {
            maxMessageBytes = std::max(maxMessageBytes, message.ByteSizeLong());
        },
        Instant {});
    // A link of 10 Mbit/s transfers this many bytes in the 0.5 s after which it closes without a heartbeat.
    REQUIRE(maxMessageBytes < 625000);
}

// A node hears of a new version and of enough followers from a peer that never sends a part. The peer runs an
// earlier build that does not know the message, or hangs.
TEST_CASE("A node reads a version from the store if no peer sends it", "[mesh]")
{
    MeshFixture f;
    f.followers = 1;
    f.store.put("keyed.op", "config", MeshFixture::configuration(5));
    auto place = f.newPlace("shop");
    f.places.clear();
    f.add("shop");
    const auto self = f.places[0].settings.listen.peers;
    PeerSocket::Options options;
    do
        options.address = freeAddress();
    while (hash64(options.address) > hash64(self));
    options.node = "old";
    options.incarnation = 1;
    int requestCount = 0;
    auto peer = std::move(PeerSocket::bind(f.base.get(), options, [&](const auto&, auto& message) {
        requestCount += message.has_config_part_request();
    }).value());
    std::uint64_t version = 5;
    const auto tell = Timer::repeating(f.base.get(), 200ms, [&] {
        proto::PeerMessage message;
        message.mutable_node_contact()->set_config_version(version);
        message.mutable_node_contact()->set_follows_configuration(true);
        peer->send(self, message, monotonicNow());
    });
    const auto hasMetric = [&](const std::string& line) {
        return f.send(f.places[0].settings.listen.metrics, { "GET", "/metrics", {}, {} })
                   .body.find(line + "\n")
            != std::string::npos;
    };
    f.until([&] {
        f.pass(50ms);
        return hasMetric("robinrun_config_version 5");
    });
    f.until([&] {
        f.pass(50ms);
        return hasMetric("robinrun_follows_configuration 0");
    });
    f.pass(3s); // reads in progress have ended, and the node stands by
    version = 6;
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    const bool isAdopted = runUntil(f.base.get(), [&] {
        f.pass(50ms);
        return hasMetric("robinrun_config_version 6");
    });
    const auto metrics = f.send(f.places[0].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
    const auto at = metrics.find("robinrun_store_calls_total{kind=\"read-configuration\"");
    INFO("asked the peer " << requestCount << " times; " << metrics.substr(at, 160));
    REQUIRE(isAdopted);
}
