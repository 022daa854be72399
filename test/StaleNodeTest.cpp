#include "Core/Hash.h"
#include "Mesh/ConfigCopies.h"
#include "Mesh/ConfigFetch.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/Gossip.h"
#include "Mesh/NodeRegistry.h"
#include "Mesh/StoreWatch.h"
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

/// \file States in which a healthy node could stay without a change for long.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// \brief One follower of the store behind a link of 10 Mbit/s, with the deployment's timeout.
struct FarStore {
    static constexpr std::size_t bytesPerSecond = 1250000;
    static constexpr std::size_t nodes = 13;

    void start(std::size_t bound = bytesPerSecond)
    {
        proxy.limit(bound);
        TopicFollower::Options options;
        options.topic = "keyed.op";
        options.wait = [this] { return watch.wait(nodes, random.unit()); };
        options.mayRest = [this] { return mayRest; };
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
    StoreWatch watch { { 4, 16 } };
    Random random { 1 };
    bool mayRest = false;
    std::string value;
    std::unique_ptr<TopicFollower> follower;
};

} // namespace

TEST_CASE("A follower behind 10 Mbit/s reads a change of a large configuration", "[mesh]")
{
    const auto bytes = GENERATE(600000U, 1200000U, 1800000U, 2400000U);
    INFO(bytes);
    FarStore f;
    f.store.put("keyed.op", "config", "small");
    f.start();
    REQUIRE(runUntil(f.base.get(), [&] { return f.value == "small"; }));
    // The read that waits now fails: what follows does not wait at the store.
    REQUIRE(runUntil(f.base.get(), [&] { return f.store.waiting() == 1; }));
    f.store.forgetWaiting();
    REQUIRE(runUntil(f.base.get(), [&] { return !f.follower->isFollowing(); }));
    f.store.put("keyed.op", "config", noise(bytes, 1));
    REQUIRE(runUntil(f.base.get(), [&] { return f.value.size() == bytes; }));
}

TEST_CASE("A node behind 10 Mbit/s that starts reads a large configuration", "[mesh]")
{
    const auto bytes = GENERATE(600000U, 1200000U, 2400000U);
    INFO(bytes);
    FarStore f;
    f.store.put("keyed.op", "config", noise(bytes, 1));
    f.start();
    REQUIRE(runUntil(f.base.get(), [&] { return f.value.size() == bytes; }));
}

TEST_CASE("The same read arrives with the wait that there was before", "[mesh]")
{
    FarStore f;
    f.proxy.limit(FarStore::bytesPerSecond);
    f.store.put("keyed.op", "config", noise(2400000, 1));
    std::optional<bool> isRead;
    f.client.follow("keyed.op", {}, 10s, [&](const auto& page) { isRead = page.has_value(); });
    REQUIRE(runUntil(f.base.get(), [&] { return isRead.has_value(); }));
    REQUIRE(*isRead);
    isRead.reset();
    f.client.follow("keyed.op", {}, 0s, [&](const auto& page) { isRead = page.has_value(); });
    REQUIRE(runUntil(f.base.get(), [&] { return isRead.has_value(); }));
    REQUIRE(*isRead);
}

TEST_CASE("A node that rested while a large configuration changed often takes over", "[mesh]")
{
    FarStore f;
    f.store.put("keyed.op", "config", "small");
    const auto bound = GENERATE(12500000U, 125000000U); // 100 Mbit/s and 1000
    INFO(bound);
    f.start(bound);
    REQUIRE(runUntil(f.base.get(), [&] { return f.value == "small"; }));
    f.mayRest = true;
    f.store.put("keyed.op", "config", "second");
    REQUIRE(runUntil(f.base.get(), [&] { return f.follower->isResting(); }));
    constexpr std::size_t changes = 30;
    for (std::size_t i = 0; i < changes; ++i)
        f.store.put("keyed.op", "config", noise(600000 + i, i));
    f.mayRest = false;
    f.follower->wake();
    const bool has = runUntil(f.base.get(), [&] { return f.value.size() == 600000 + changes - 1; });
    INFO("reads " << f.follower->calls() << ", failed " << f.follower->failures());
    REQUIRE(has);
}

TEST_CASE("A change is not hidden by a late duplicate of the one before", "[mesh]")
{
    MeshFormats formats;
    formats.configurationKey = "config";
    formats.versionOf = [](std::string_view text) { return std::optional(std::stoull(std::string(text))); };
    formats.readConfiguration = [](std::string_view text) -> Result<Configuration, std::string> {
        Configuration out;
        out.version = std::stoull(std::string(text));
        return out;
    };
    ConfigHolder holder;
    holder.offer("7", "test", formats);
    // A write whose answer got lost may be done seconds later (RecordStore::write).
    holder.offerNewest({ { "config", "8" }, { "config", "9" }, { "config", "8" } }, "store", formats);
    REQUIRE(holder.version() == 9);
}

TEST_CASE("A copy that was begun is finished while others with other versions ask", "[mesh]")
{
    ConfigCopies copies;
    ConfigFetch fetch;
    std::string text = noise(400000, 1);
    std::uint64_t version = 20;
    for (std::uint64_t i = 1; i < version; ++i)
        copies.keepFormer({ i, text.substr(0, 40000) + std::to_string(i) });
    bool isWhole = false;
    for (int round = 0; round < 200 && !isWhole; ++round) {
        const auto part = copies.answer(fetch.request(0, ""), version, text);
        isWhole = fetch.take(*part, 0) == ConfigFetch::Progress::Whole;
        // Between two parts a change, and contacts that have various versions.
        copies.keepFormer({ version, text });
        text += std::to_string(++version);
        for (std::uint64_t own = 2; own < 10; ++own) {
            const auto base = text.substr(0, 40000) + std::to_string(own);
            proto::ConfigPartRequest other;
            other.set_own_version(own);
            other.set_own_digest(hash64(base));
            copies.answer(other, version, text);
        }
    }
    REQUIRE(isWhole);
}

TEST_CASE("A change of one route costs few bytes where there are tens of thousands", "[mesh]")
{
    const std::size_t routes = GENERATE(2800U, 8400U, 16800U, 28000U);
    const auto base = MeshFixture::largeConfiguration(6, routes);
    const auto bytes = encodeDelta(MeshFixture::largeConfiguration(7, routes + 1), base).size();
    INFO(base.size());
    REQUIRE(bytes < 1000);
}

TEST_CASE("What a node that starts is told of the others fits on its link", "[mesh]")
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
        all.take(record);
    }
    Gossip gossip(all, "machine-0", { 16 }, [](const auto&, auto&, Instant) {});
    proto::RegistryDigests asked;
    for (std::size_t i = 0; i < NodeRegistry::bucketCount; ++i)
        asked.add_buckets(0);
    std::size_t most = 0;
    gossip.answer(asked, [&](proto::PeerMessage& message) { most = std::max(most, message.ByteSizeLong()); });
    // A link of 10 Mbit/s brings so much in the half second after which it ends without a heartbeat.
    REQUIRE(most < 625000);
}

// A node hears of a version, and of enough followers, from a peer that never gives a part: one of the former
// build (it doesn't know the message), or one that hangs.
TEST_CASE("A node that hears of a version which no peer gives reads it in the store", "[mesh]")
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
    int asked = 0;
    auto peer = std::move(PeerSocket::bind(f.base.get(), options, [&](const auto&, auto& message) {
        asked += message.has_config_part_request();
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
    f.pass(3s); // reads that are out are over, and it rests
    version = 6;
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    const bool has = runUntil(f.base.get(), [&] {
        f.pass(50ms);
        return hasMetric("robinrun_config_version 6");
    });
    const auto metrics = f.send(f.places[0].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
    const auto at = metrics.find("robinrun_store_calls_total{kind=\"read-configuration\"");
    INFO("asked the peer " << asked << " times; " << metrics.substr(at, 160));
    REQUIRE(has);
}
