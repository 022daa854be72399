#include "Platform/StoreEra.h"
#include "Core/Random.h"
#include "Mesh/RecordWriter.h"
#include "Mesh/TopicFollower.h"
#include "support/MeshFixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace robinrun;
using support::FakeStore;
using support::MeshFixture;
using support::runUntil;
using Verdict = StoreEra::Verdict;

namespace {

const Instant now { 100s };

/// \brief A node's follower of a topic, its writer of one key there, and the records that the follower has
/// received.
struct TopicClient {
    explicit TopicClient(FakeStore& store, event_base* base, std::string name)
        : key(std::move(name))
        , client(base, store.address, 300ms)
        , random(1)
    {
        TopicFollower::Options options;
        options.topic = "keyed.t";
        options.drawWait = [] { return Duration(200ms); };
        options.initialRetryDelay = 1ms;
        options.maxRetryDelay = [] { return Duration(10ms); };
        follower = std::make_unique<TopicFollower>(
            base, client, options, [this](const KeyedPage& page) { applyPage(page); }, random);
        writer = std::make_unique<RecordWriter>(base, client, "keyed.t", key);
        client.onReturn([this] {
            ++returnCount;
            writer->rewriteAfter(1ms);
        });
        follower->start();
    }

    void applyPage(const KeyedPage& page)
    {
        if (page.isWhole)
            known.clear();
        for (const auto& it : page.records) {
            known[it.key] = it.value;
            if (it.value.empty())
                known.erase(it.key);
        }
    }

    std::string key;
    platform::StoreClient client;
    Random random;
    std::map<std::string, std::string> known;
    int returnCount = 0;
    std::unique_ptr<TopicFollower> follower;
    std::unique_ptr<RecordWriter> writer;
};

} // namespace

TEST_CASE("A higher era is reported once, and late answers of a former era are ignored", "[era]")
{
    StoreEra era;
    REQUIRE(era.take(std::nullopt, 0, now) == Verdict::Same);
    REQUIRE(era.take("3", 0, now) == Verdict::Same);
    const auto asked = era.generation();
    REQUIRE(era.take("4", asked, now) == Verdict::Changed);
    REQUIRE(era.take("3", asked, now) == Verdict::Former);
    REQUIRE(era.take("4", asked, now)
        == Verdict::Former); // a request that was sent before the store was restored
    REQUIRE(era.take("4", era.generation(), now) == Verdict::Same);
    REQUIRE(era.take("9", era.generation(), now) == Verdict::Changed);
    REQUIRE(era.era() == 9);
    REQUIRE(era.faults() == 0);
}

TEST_CASE("An era that is missing, lower or not a number counts as a change, at a bounded rate", "[era]")
{
    const auto text = GENERATE(
        as<std::optional<std::string>> {}, std::nullopt, "", "x", "4x", "-1", "2", "99999999999999999999999");
    StoreEra era;
    era.take("4", 0, now);
    REQUIRE(era.take(text, era.generation(), now) == Verdict::Changed);
    REQUIRE(era.era() == 4);
    int changes = 0;
    for (auto at = now; at < now + 10s; at += 10ms)
        changes += era.take(text, era.generation(), at) == Verdict::Changed;
    REQUIRE(changes <= 5);
    REQUIRE(era.faults() > 100);
}

TEST_CASE("An era reported by a peer counts only if it is later", "[era]")
{
    StoreEra era;
    REQUIRE_FALSE(era.heard(0, now));
    REQUIRE_FALSE(era.heard(2, now)); // the first reported era
    REQUIRE_FALSE(era.heard(1, now));
    REQUIRE(era.heard(3, now));
    REQUIRE_FALSE(era.heard(3, now));
}

// A store was restored from an older copy with two records and then received two more. A reader at offset 3
// continued from there as if nothing had happened, and never read one of them.
TEST_CASE("A reader misses no record of a restored store that assigns offsets again", "[era]")
{
    const auto base = makeLoop();
    FakeStore store(base.get());
    store.era = 1;
    store.mayWaitBeyondEnd = GENERATE(false, true);
    store.put("keyed.t", "a", "1");
    store.put("keyed.t", "b", "1");
    store.keepCopy();
    TopicClient topicClient(store, base.get(), "own");
    store.put("keyed.t", "a", "2");
    REQUIRE(runUntil(base.get(), [&] { return topicClient.known["a"] == "2"; }));
    store.comeBack();
    store.put("keyed.t", "c", "1");
    store.put("keyed.t", "b", "2");
    const std::map<std::string, std::string> all { { "a", "1" }, { "b", "2" }, { "c", "1" } };
    REQUIRE(runUntil(base.get(), [&] { return topicClient.known == all; }));
    REQUIRE(topicClient.returnCount == 1);
}

TEST_CASE("All readers converge to the state of the store, and each node's record is written again", "[era]")
{
    rc::prop("random writes, lost and late answers and restores", [](std::uint64_t seed) {
        Random random(seed);
        const auto base = makeLoop();
        FakeStore store(base.get());
        store.era = 1;
        store.mayWaitBeyondEnd = random.chance(0.5);
        store.keepCopy();
        std::vector<std::unique_ptr<TopicClient>> topicClients;
        for (const auto* name : { "n0", "n1", "n2" }) {
            topicClients.push_back(std::make_unique<TopicClient>(store, base.get(), name));
            topicClients.back()->writer->setValue(std::string("first of ") + name);
        }
        const auto pass = [&](Duration length) {
            bool isOver = false;
            const auto timer = Timer::once(base.get(), length, [&] { isOver = true; });
            RC_ASSERT(runUntil(base.get(), [&] { return isOver; }));
        };
        std::map<std::string, std::string> ownValues;
        for (const auto& it : topicClients)
            ownValues[it->key] = "first of " + it->key;
        for (int i = 0; i < 15; ++i) {
            const auto draw = random.unit();
            auto& topicClient = *topicClients[random.below(topicClients.size())];
            if (draw < 0.3)
                store.put("keyed.t", "k" + std::to_string(random.below(4)), std::to_string(i));
            else if (draw < 0.5)
                topicClient.writer->setValue(
                    ownValues[topicClient.key] = std::to_string(i) + " of " + topicClient.key);
            else if (draw < 0.65)
                store.keepCopy();
            else if (draw < 0.8)
                store.comeBack();
            else if (draw < 0.9)
                store.mode = FakeStore::Mode::Refusing;
            else
                store.mode = FakeStore::Mode::Losing;
            pass(Duration(random.below(6000)));
            if (random.chance(0.6))
                store.mode = FakeStore::Mode::Up;
        }
        store.mode = FakeStore::Mode::Up;
        // Calls whose answers were lost end after their timeout, and their records are written again.
        const auto matchFreshClient = [&] {
            TopicClient fresh(store, base.get(), "fresh");
            pass(50ms);
            return std::all_of(topicClients.begin(), topicClients.end(), [&](const auto& it) {
                const auto at = fresh.known.find(it->key);
                return it->known == fresh.known && at != fresh.known.end()
                    && at->second == ownValues[it->key];
            });
        };
        bool hasConverged = false;
        for (int i = 0; i < 40 && !hasConverged; ++i)
            hasConverged = matchFreshClient();
        RC_ASSERT(hasConverged);
    });
}

TEST_CASE("After a restore from an older copy nodes write their records again, and the state in force stays",
    "[era][mesh]")
{
    MeshFixture f;
    f.store.era = 1;
    f.store.put("keyed.op", "config", MeshFixture::configuration(5));
    f.store.keepCopy();
    f.add("shop", "h1");
    f.add("shop", "h2");
    f.untilServed(0);
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    f.store.put("keyed.op", "evacuate/h2", "{}");
    const auto hasMetric = [&](std::size_t i, const std::string& line) {
        const auto text = f.send(f.places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return text.find(line + "\n") != std::string::npos;
    };
    const auto untilAll = [&](const std::string& line) {
        f.until([&] {
            f.pass(10ms);
            return hasMetric(0, line) && hasMetric(1, line);
        });
    };
    untilAll("robinrun_config_version 6");
    untilAll("robinrun_halls_emptied 1");
    f.until([&] {
        return !f.store.newest("keyed.nodes", "n0").empty() && !f.store.newest("keyed.nodes", "n1").empty();
    });
    f.store.comeBack();
    REQUIRE(f.store.newest("keyed.nodes", "n0").empty());
    f.until([&] {
        return !f.store.newest("keyed.nodes", "n0").empty() && !f.store.newest("keyed.nodes", "n1").empty();
    });
    untilAll("robinrun_store_era 2");
    untilAll("robinrun_config_version 6");
    untilAll("robinrun_halls_emptied 1");
    // The operator's next records are read, at offsets that had other records before.
    f.store.put("keyed.op", "config", MeshFixture::configuration(7));
    f.store.put("keyed.op", "evacuate/h2", "{}");
    f.store.put("keyed.op", "evacuate/h2", "");
    untilAll("robinrun_config_version 7");
    untilAll("robinrun_halls_emptied 0");
}
