#include "Mesh/StoreWatch.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/TopicFollower.h"
#include "support/SixNodes.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// \file How the nodes that follow the configuration notice that the store has forgotten them, or is back.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// \brief A store that answers when it is told to.
class HeldStore : public RecordStore {
public:
    struct Read {
        bool isNewest = false;
        std::uint64_t from = 0;
        Duration wait {};
        Paged done;
    };

    void newest(const std::string&, Paged done) override
    {
        reads.push_back({ true, 0, {}, std::move(done) });
    }
    void follow(const std::string&, StorePosition from, Duration wait, Paged done) override
    {
        reads.push_back({ false, from.offset, wait, std::move(done) });
    }
    void write(const std::string&, const std::string&, const std::string&, Written) override { }

    std::vector<Read> reads; ///< all, in order
};

/// \brief A follower of a HeldStore.
struct Following {
    static constexpr Duration wait = 7s;

    Following()
    {
        TopicFollower::Options options;
        options.topic = "topic";
        options.wait = [] { return wait; };
        options.mayRest = [this] { return mayRest; };
        options.changed = [this] { changes.push_back(follower->isFollowing()); };
        options.firstRetry = 1ms;
        options.longestRetry = [] { return Duration(2ms); };
        follower = std::make_unique<TopicFollower>(
            base.get(), store, options, [this](const KeyedPage& page) { pages.push_back(page.records); },
            random);
        follower->start();
    }

    /// \brief Answers the last read with \a records.
    void answer(std::vector<KeyedRecord> records)
    {
        const auto next = last().from + records.size();
        const auto done = std::move(store.reads.back().done);
        done(KeyedPage { std::move(records), { 0, next } });
    }

    /// \brief The last read failed; waits for the next one.
    void fail()
    {
        const auto n = store.reads.size();
        const auto done = std::move(store.reads.back().done);
        done(failure(PlatformError { PlatformErrorKind::Uncertain, "timed out" }));
        REQUIRE(runUntil(base.get(), [&] { return store.reads.size() > n; }));
    }

    const HeldStore::Read& last() const { return store.reads.back(); }

    LoopPtr base = makeLoop();
    HeldStore store;
    Random random { 1 };
    bool mayRest = false;
    std::vector<bool> changes; ///< what the follower claimed, each time that it told of a change
    std::vector<std::vector<KeyedRecord>> pages;
    std::unique_ptr<TopicFollower> follower;
};

/// \brief A holder whose texts are versions, and "bad" ones.
struct Holding {
    Holding()
    {
        formats.configurationKey = "config";
        formats.versionOf = [](std::string_view text) -> std::optional<std::uint64_t> {
            if (text == "bad" || text.empty())
                return std::nullopt;
            return std::stoull(std::string(text));
        };
        formats.readConfiguration = [this](std::string_view text) -> Result<Configuration, std::string> {
            ++reads;
            if (text == "bad" || text.empty())
                return failure(std::string("bad"));
            Configuration out;
            out.version = std::stoull(std::string(text));
            return out;
        };
    }

    bool offerNewest(const std::vector<std::string>& texts)
    {
        std::vector<KeyedRecord> records;
        for (const auto& it : texts)
            records.push_back({ "config", it });
        return holder.offerNewest(records, "test", formats);
    }

    ConfigHolder holder;
    MeshFormats formats;
    int reads = 0; ///< of texts
};

/// \returns the mean of evenly drawn waits.
Duration meanWait(const StoreWatch& watch, std::size_t nodes)
{
    constexpr int draws = 1000;
    Duration sum {};
    for (int i = 0; i < draws; ++i)
        sum += watch.wait(nodes, (i + 0.5) / draws);
    return sum / draws;
}

/// \returns reads a second that all followers of \a nodes start on a quiet topic.
double readsPerSecond(const StoreWatch& watch, std::size_t nodes)
{
    return watch.followersOf(nodes) / toSeconds(meanWait(watch, nodes));
}

} // namespace

TEST_CASE("A read waits briefly where few nodes follow", "[watch]")
{
    const StoreWatch watch({ 4, 16 });
    for (const std::size_t nodes : { 0, 1, 3, 13, 26 }) {
        REQUIRE(watch.longestWait(nodes) == 1500ms);
        for (const double draw : { 0.0, 0.5, 0.999 })
            REQUIRE(watch.wait(nodes, draw) <= 1500ms);
        // At most one read a second and follower, and not much less.
        REQUIRE(meanWait(watch, nodes) >= 1s);
        REQUIRE(meanWait(watch, nodes) <= 1200ms);
    }
}

TEST_CASE("All followers together start a bounded number of reads a second", "[watch]")
{
    const StoreWatch watch({ 4, 16 });
    REQUIRE(watch.followersOf(1) == 1);
    REQUIRE(watch.followersOf(13) == 4);
    REQUIRE(watch.followersOf(1000) == 250);
    for (std::size_t nodes = 1; nodes <= 300; ++nodes)
        REQUIRE(readsPerSecond(watch, nodes) <= 6.1);
    REQUIRE(readsPerSecond(watch, 300) >= 5.9);
    // Every node follows where each hears too few to rest.
    REQUIRE(readsPerSecond(StoreWatch({ 16, 4 }), 70) <= 6.1);
    // The store's bound of 30 s on waits binds beyond.
    REQUIRE(watch.longestWait(7200) == 25s);
    REQUIRE(watch.wait(7200, 0.9999) <= 25s);
}

TEST_CASE("Of many reads that start together some end soon, in each second alike", "[watch]")
{
    const StoreWatch watch({ 4, 16 });
    for (const std::size_t nodes : { 4, 100, 1000, 7200 })
        REQUIRE(watch.wait(nodes, 0) == 700ms);
    // A hundredth of the draws always spans a hundredth of the range.
    const auto step = (watch.longestWait(1000) - 700ms) / 100;
    for (int i = 0; i < 100; ++i) {
        const auto span = watch.wait(1000, (i + 1) / 100.0) - watch.wait(1000, i / 100.0);
        REQUIRE(span >= step - 2us);
        REQUIRE(span <= step + 2us);
    }
}

TEST_CASE("Between two failed reads a node pauses so that it reads again in 3 s", "[watch]")
{
    constexpr Duration timeout = 1s; // of a call to the store
    for (const std::size_t nodes : { 1, 13, 61, 88, 600 }) {
        REQUIRE(timeout + StoreWatch::longestPause(nodes, true) < 3s);
        REQUIRE(StoreWatch::longestPause(nodes, false) == 1s);
    }
    // At more nodes those that others go before leave the store to them for a while.
    REQUIRE(StoreWatch::longestPause(7200, true) == 4s);
    REQUIRE(StoreWatch::longestPause(7200, false) == 1s);
}

TEST_CASE("After a failed read none waits at the store until one is answered", "[watch]")
{
    Following f;
    REQUIRE(f.last().isNewest);
    f.answer({ { "k", "1" } });
    REQUIRE(f.last().wait == Following::wait);
    REQUIRE(f.follower->isFollowing());
    f.fail();
    for (int i = 0; i < 3; ++i) {
        REQUIRE_FALSE(f.last().isNewest);
        REQUIRE(f.last().wait == Duration::zero());
        REQUIRE_FALSE(f.follower->isFollowing());
        f.fail();
    }
    f.answer({});
    REQUIRE(f.last().wait == Following::wait);
    REQUIRE(f.follower->isFollowing());
    REQUIRE(f.changes == std::vector<bool> { true, false, true });
}

TEST_CASE("A node claims to follow after a rest only once the store has answered it", "[watch]")
{
    Following f;
    f.answer({});
    f.mayRest = true;
    f.answer({});
    REQUIRE(f.follower->isResting());
    REQUIRE_FALSE(f.follower->isFollowing());
    const auto n = f.store.reads.size();
    f.mayRest = false;
    f.follower->wake();
    REQUIRE(f.store.reads.size() == n + 1);
    REQUIRE(f.last().wait == Duration::zero());
    REQUIRE_FALSE(f.follower->isFollowing());
    f.answer({});
    REQUIRE(f.follower->isFollowing());
    REQUIRE(f.last().wait == Following::wait);
    REQUIRE(f.changes == std::vector<bool> { true, false, true });
}

TEST_CASE("The records of an answer come together, in the order they were written", "[watch]")
{
    Following f;
    f.answer({ { "k", "1" }, { "l", "1" } });
    REQUIRE(f.last().from == 2);
    f.answer({ { "k", "2" }, { "k", "3" }, { "l", "" } });
    REQUIRE(f.last().from == 5);
    REQUIRE(f.pages.size() == 2);
    REQUIRE(f.pages[0].size() == 2);
    REQUIRE(f.pages[1].size() == 3);
    REQUIRE(f.pages[1][1].value == "3");
    REQUIRE(f.pages[1][2].key == "l");
}

TEST_CASE("Of the versions that come at once only the newest is read", "[watch]")
{
    Holding f;
    std::vector<std::string> texts;
    for (int i = 5; i < 25; ++i)
        texts.push_back(std::to_string(i));
    REQUIRE(f.offerNewest(texts));
    REQUIRE(f.holder.version() == 24);
    REQUIRE(f.reads == 1);
    // Records of other keys are none of a configuration.
    REQUIRE_FALSE(f.holder.offerNewest({ { "other", "30" } }, "test", f.formats));
    REQUIRE(f.holder.version() == 24);
    REQUIRE(f.reads == 1);
}

TEST_CASE("A newest version that can't be read hides no older one", "[watch]")
{
    Holding f;
    REQUIRE(f.offerNewest({ "5", "6", "7", "bad", "" }));
    REQUIRE(f.holder.version() == 7);
    REQUIRE(f.reads == 3);
    REQUIRE_FALSE(f.offerNewest({ "bad" }));
    REQUIRE_FALSE(f.offerNewest({}));
    REQUIRE(f.holder.version() == 7);
    // None is read that is no newer.
    f.reads = 0;
    REQUIRE_FALSE(f.offerNewest({ "4", "5", "6" }));
    REQUIRE(f.reads == 0);
    REQUIRE(f.holder.version() == 7);
}

TEST_CASE("A text that is in force is not read again", "[watch]")
{
    Holding f;
    REQUIRE(f.holder.offer("5", "test", f.formats));
    REQUIRE(f.reads == 1);
    for (int i = 0; i < 3; ++i)
        REQUIRE_FALSE(f.holder.offer("5", "test", f.formats));
    REQUIRE(f.reads == 1);
    REQUIRE(f.holder.offer("6", "test", f.formats));
    REQUIRE(f.reads == 2);
}

TEST_CASE("After an outage in which the store forgot every read all nodes get a change", "[watch][mesh]")
{
    SixNodes f;
    // All that wait are answered and read on, so that the store forgets reads which have just begun.
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    f.untilAll("robinrun_config_version 6");
    f.store.mode = FakeStore::Mode::Silent;
    f.store.forgetWaiting();
    // Each node has taken over meanwhile, and what it sent was forgotten too.
    f.untilAll("robinrun_store_connected 0");
    f.untilAll("robinrun_follows_configuration 0");
    f.store.mode = FakeStore::Mode::Up;
    f.store.put("keyed.op", "config", MeshFixture::configuration(7));
    f.untilAll("robinrun_config_version 7");
}
