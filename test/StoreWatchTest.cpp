#include "Mesh/ConfigHolder.h"
#include "Mesh/StoreReadTiming.h"
#include "Mesh/TopicFollower.h"
#include "support/SixNodes.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// \file Tests how nodes that follow the configuration detect that the store has lost their reads, or has
/// recovered.

using namespace robinrun;
using namespace robinrun::support;

namespace {

/// \brief A store that answers reads only when the test calls their callbacks.
class ManualStore : public RecordStore {
public:
    struct PendingRead {
        bool isNewest = false;
        std::uint64_t from = 0;
        Duration wait {};
        Paged onDone;
    };

    void newest(const std::string&, Paged onDone) override
    {
        reads.push_back({ true, 0, {}, std::move(onDone) });
    }
    void follow(const std::string&, StorePosition from, Duration wait, Paged onDone) override
    {
        reads.push_back({ false, from.offset, wait, std::move(onDone) });
    }
    void write(const std::string&, const std::string&, const std::string&, Written) override { }
    void writeIfUnchanged(
        const std::string&, const std::string&, const std::string&, StorePosition, Written) override
    {
    }

    std::vector<PendingRead> reads; ///< all reads, in order
};

/// \brief A follower of a ManualStore.
struct FollowerFixture {
    static constexpr Duration wait = 7s;

    FollowerFixture()
    {
        TopicFollower::Options options;
        options.topic = "topic";
        options.drawWait = [] { return wait; };
        options.mayStandBy = [this] { return mayStandBy; };
        options.onFollowingChanged = [this] { changes.push_back(follower->isFollowing()); };
        options.initialRetryDelay = 1ms;
        options.maxRetryDelay = [] { return Duration(2ms); };
        follower = std::make_unique<TopicFollower>(
            base.get(), store, options, [this](const KeyedPage& page) { pages.push_back(page.records); },
            random);
        follower->start();
    }

    /// \brief Answers the last read with \a records.
    void answerLastRead(std::vector<KeyedRecord> records)
    {
        const auto next = lastRead().from + records.size();
        const auto onDone = std::move(store.reads.back().onDone);
        onDone(KeyedPage { std::move(records), { 0, next } });
    }

    /// \brief Lets the last read fail and waits for the next one.
    void failLastRead()
    {
        const auto n = store.reads.size();
        const auto onDone = std::move(store.reads.back().onDone);
        onDone(failure(PlatformError { PlatformErrorKind::Uncertain, "timed out" }));
        REQUIRE(runUntil(base.get(), [&] { return store.reads.size() > n; }));
    }

    const ManualStore::PendingRead& lastRead() const { return store.reads.back(); }

    LoopPtr base = makeLoop();
    ManualStore store;
    Random random { 1 };
    bool mayStandBy = false;
    std::vector<bool> changes; ///< values of isFollowing() at each reported change
    std::vector<std::vector<KeyedRecord>> pages;
    std::unique_ptr<TopicFollower> follower;
};

/// \brief A ConfigHolder whose texts are version numbers, or "bad".
struct HolderFixture {
    HolderFixture()
    {
        formats.configurationKey = "config";
        formats.readVersion = [](std::string_view text) -> std::optional<std::uint64_t> {
            if (text == "bad" || text.empty())
                return std::nullopt;
            return std::stoull(std::string(text));
        };
        formats.readConfiguration = [this](std::string_view text) -> Result<Configuration, std::string> {
            ++parseCount;
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
        return holder.adoptNewest(records, "test", formats);
    }

    ConfigHolder holder;
    MeshFormats formats;
    int parseCount = 0; ///< number of parsed texts
};

/// \returns the mean of waits for evenly distributed samples.
Duration meanWait(const StoreReadTiming& watch, std::size_t nodes)
{
    constexpr int drawCount = 1000;
    Duration sum {};
    for (int i = 0; i < drawCount; ++i)
        sum += watch.nextWait(nodes, (i + 0.5) / drawCount);
    return sum / drawCount;
}

/// \returns the number of reads per second that all followers among \a nodes nodes start on a quiet topic.
double readsPerSecond(const StoreReadTiming& watch, std::size_t nodes)
{
    return watch.expectedFollowers(nodes) / toSeconds(meanWait(watch, nodes));
}

} // namespace

TEST_CASE("A read waits briefly if few nodes follow", "[watch]")
{
    const StoreReadTiming watch({ 4, 16 });
    for (const std::size_t nodes : { 0, 1, 3, 13, 26 }) {
        REQUIRE(watch.maxWait(nodes) == 1500ms);
        for (const double draw : { 0.0, 0.5, 0.999 })
            REQUIRE(watch.nextWait(nodes, draw) <= 1500ms);
        // Each follower starts at most one read per second, and not much less.
        REQUIRE(meanWait(watch, nodes) >= 1s);
        REQUIRE(meanWait(watch, nodes) <= 1200ms);
    }
}

TEST_CASE("All followers together start a bounded number of reads per second", "[watch]")
{
    const StoreReadTiming watch({ 4, 16 });
    REQUIRE(watch.expectedFollowers(1) == 1);
    REQUIRE(watch.expectedFollowers(13) == 4);
    REQUIRE(watch.expectedFollowers(1000) == 250);
    for (std::size_t nodes = 1; nodes <= 300; ++nodes)
        REQUIRE(readsPerSecond(watch, nodes) <= 6.1);
    REQUIRE(readsPerSecond(watch, 300) >= 5.9);
    // All nodes follow if each hears from too few peers to stand by.
    REQUIRE(readsPerSecond(StoreReadTiming({ 16, 4 }), 70) <= 6.1);
    // In larger systems the maximum wait applies, because the store permits at most 30 s.
    REQUIRE(watch.maxWait(7200) == 25s);
    REQUIRE(watch.nextWait(7200, 0.9999) <= 25s);
}

TEST_CASE("The waits of reads that start together are spread evenly", "[watch]")
{
    const StoreReadTiming watch({ 4, 16 });
    for (const std::size_t nodes : { 4, 100, 1000, 7200 })
        REQUIRE(watch.nextWait(nodes, 0) == 700ms);
    // A hundredth of the sample range always spans a hundredth of the wait range.
    const auto step = (watch.maxWait(1000) - 700ms) / 100;
    for (int i = 0; i < 100; ++i) {
        const auto span = watch.nextWait(1000, (i + 1) / 100.0) - watch.nextWait(1000, i / 100.0);
        REQUIRE(span >= step - 2us);
        REQUIRE(span <= step + 2us);
    }
}

TEST_CASE("After a failed read a node retries within 3 s", "[watch]")
{
    constexpr Duration timeout = 1s; // of a call to the store
    for (const std::size_t nodes : { 1, 13, 61, 88, 600 }) {
        REQUIRE(timeout + StoreReadTiming::maxRetryDelay(nodes, true) < 3s);
        REQUIRE(StoreReadTiming::maxRetryDelay(nodes, false) == 1s);
    }
    // In larger systems nodes that have enough peers of lower rank retry less often.
    REQUIRE(StoreReadTiming::maxRetryDelay(7200, true) == 4s);
    REQUIRE(StoreReadTiming::maxRetryDelay(7200, false) == 1s);
}

TEST_CASE("After a failed read no read waits at the store until one is answered", "[watch]")
{
    FollowerFixture f;
    REQUIRE(f.lastRead().isNewest);
    f.answerLastRead({ { "k", "1" } });
    REQUIRE(f.lastRead().wait == FollowerFixture::wait);
    REQUIRE(f.follower->isFollowing());
    f.failLastRead();
    for (int i = 0; i < 3; ++i) {
        REQUIRE_FALSE(f.lastRead().isNewest);
        REQUIRE(f.lastRead().wait == Duration::zero());
        REQUIRE_FALSE(f.follower->isFollowing());
        f.failLastRead();
    }
    f.answerLastRead({});
    REQUIRE(f.lastRead().wait == FollowerFixture::wait);
    REQUIRE(f.follower->isFollowing());
    REQUIRE(f.changes == std::vector<bool> { true, false, true });
}

TEST_CASE("After standby a node reports that it follows only once the store has answered it", "[watch]")
{
    FollowerFixture f;
    f.answerLastRead({});
    f.mayStandBy = true;
    f.answerLastRead({});
    REQUIRE(f.follower->isOnStandby());
    REQUIRE_FALSE(f.follower->isFollowing());
    const auto n = f.store.reads.size();
    f.mayStandBy = false;
    f.follower->resume();
    REQUIRE(f.store.reads.size() == n + 1);
    REQUIRE(f.lastRead().wait == Duration::zero());
    REQUIRE_FALSE(f.follower->isFollowing());
    f.answerLastRead({});
    REQUIRE(f.follower->isFollowing());
    REQUIRE(f.lastRead().wait == FollowerFixture::wait);
    REQUIRE(f.changes == std::vector<bool> { true, false, true });
}

TEST_CASE(
    "The records of an answer are passed on together, in the order in which they were written", "[watch]")
{
    FollowerFixture f;
    f.answerLastRead({ { "k", "1" }, { "l", "1" } });
    REQUIRE(f.lastRead().from == 2);
    f.answerLastRead({ { "k", "2" }, { "k", "3" }, { "l", "" } });
    REQUIRE(f.lastRead().from == 5);
    REQUIRE(f.pages.size() == 2);
    REQUIRE(f.pages[0].size() == 2);
    REQUIRE(f.pages[1].size() == 3);
    REQUIRE(f.pages[1][1].value == "3");
    REQUIRE(f.pages[1][2].key == "l");
}

TEST_CASE("Of versions that arrive together only the newest is parsed", "[watch]")
{
    HolderFixture f;
    std::vector<std::string> texts;
    for (int i = 5; i < 25; ++i)
        texts.push_back(std::to_string(i));
    REQUIRE(f.offerNewest(texts));
    REQUIRE(f.holder.version() == 24);
    REQUIRE(f.parseCount == 1);
    // Records of other keys are not configurations.
    REQUIRE_FALSE(f.holder.adoptNewest({ { "other", "30" } }, "test", f.formats));
    REQUIRE(f.holder.version() == 24);
    REQUIRE(f.parseCount == 1);
}

TEST_CASE("A version that cannot be parsed does not hide an older one", "[watch]")
{
    HolderFixture f;
    REQUIRE(f.offerNewest({ "5", "6", "7", "bad", "" }));
    REQUIRE(f.holder.version() == 7);
    REQUIRE(f.parseCount == 3);
    REQUIRE_FALSE(f.offerNewest({ "bad" }));
    REQUIRE_FALSE(f.offerNewest({}));
    REQUIRE(f.holder.version() == 7);
    // A version that is not newer is not parsed.
    f.parseCount = 0;
    REQUIRE_FALSE(f.offerNewest({ "4", "5", "6" }));
    REQUIRE(f.parseCount == 0);
    REQUIRE(f.holder.version() == 7);
}

TEST_CASE("A text that is in force is not parsed again", "[watch]")
{
    HolderFixture f;
    REQUIRE(f.holder.adoptIfNewer("5", "test", f.formats));
    REQUIRE(f.parseCount == 1);
    for (int i = 0; i < 3; ++i)
        REQUIRE_FALSE(f.holder.adoptIfNewer("5", "test", f.formats));
    REQUIRE(f.parseCount == 1);
    REQUIRE(f.holder.adoptIfNewer("6", "test", f.formats));
    REQUIRE(f.parseCount == 2);
}

TEST_CASE("After an outage in which the store lost every read all nodes get a change", "[watch][mesh]")
{
    SixNodes f;
    // All waiting reads are answered and repeated, so that the store loses reads that have just started.
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    f.untilAll("robinrun_config_version 6");
    f.store.mode = FakeStore::Mode::Silent;
    f.store.forgetWaiting();
    // Each node has taken over meanwhile, and the store has lost its reads too.
    f.untilAll("robinrun_store_connected 0");
    f.untilAll("robinrun_follows_configuration 0");
    f.store.mode = FakeStore::Mode::Up;
    f.store.put("keyed.op", "config", MeshFixture::configuration(7));
    f.untilAll("robinrun_config_version 7");
}
