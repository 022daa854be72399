#include "Config/ConfigFollower.h"
#include "Config/Validator.h"
#include "Core/Random.h"
#include "Node/JsonText.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace robinrun;

namespace {

proto::Resource makeService(const std::string& name, std::uint32_t deadline = 1000)
{
    proto::Resource out;
    out.set_name(name);
    out.mutable_service()->set_deadline_ms(deadline);
    out.mutable_service()->set_queue_limit(10);
    return out;
}

std::string putRecord(
    const std::string& id, const std::string& name, std::uint64_t base, std::uint32_t deadline = 1000)
{
    proto::ChangeRecord out;
    out.set_id(id);
    out.set_base_version(base);
    *out.mutable_put() = makeService(name, deadline);
    return out.SerializeAsString();
}

std::string removeRecord(const std::string& id, const std::string& name, std::uint64_t base)
{
    proto::ChangeRecord out;
    out.set_id(id);
    out.set_base_version(base);
    out.set_remove(name);
    return out.SerializeAsString();
}

LogPage makePage(
    std::uint64_t from, std::vector<std::string> records, std::uint64_t first = 0, std::string id = "log")
{
    const auto end = from + records.size();
    return { std::move(id), from, first, end, 0, std::move(records) };
}

/// \brief Faulty on purpose: accepts any base version.
class UncheckedState : public ConfigState {
protected:
    std::string refusalReason(const proto::ChangeRecord&) const override { return ""; }
};

/// \brief Applies three changes of one resource with the same base version. \returns how many were accepted.
int countRaceWinners(ConfigState& state)
{
    const auto base = state.apply(putRecord("first", "services/a", 0)).version();
    int winners = 0;
    for (const auto* id : { "x", "y", "z" })
        winners += state.apply(putRecord(id, "services/a", base)).accepted();
    return winners;
}

} // namespace

TEST_CASE("Of several writers with the same base version exactly one is accepted", "[config]")
{
    ConfigState correct;
    REQUIRE(countRaceWinners(correct) == 1);
    REQUIRE(correct.fateOf("x")->accepted());
    REQUIRE(correct.fateOf("y")->version() == correct.find("services/a")->version());
    UncheckedState unchecked;
    REQUIRE(countRaceWinners(unchecked) != 1);
}

TEST_CASE("The same records give the same state, however pages, peers and snapshots deliver them", "[config]")
{
    rc::prop("for random changes and random ways of delivery", [](std::uint64_t seed) {
        Random random(seed);
        std::vector<std::string> records;
        ConfigState reference;
        for (int i = 0; i < 60; ++i) {
            const auto name = "services/s" + std::to_string(random.below(4));
            const auto* present = reference.find(name);
            const auto base = random.chance(0.7) ? (present ? present->version() : 0) : random.below(30);
            const auto id = "c" + std::to_string(i);
            const auto record
                = random.chance(0.2) ? removeRecord(id, name, base) : putRecord(id, name, base, 1000 + i);
            records.push_back(record);
            reference.apply(record);
        }
        ConfigFollower source;
        source.applyLogPage(makePage(0, records));
        ConfigFollower follower;
        std::uint64_t lastOffset = 0;
        while (follower.nextOffset() < records.size()) {
            const auto next = follower.nextOffset();
            const auto from = random.chance(0.3) ? random.below(next + 1) : next;
            const auto to = std::min<std::size_t>(records.size(), from + 1 + random.below(10));
            if (random.chance(0.5)) {
                auto cut = makePage(from, { records.begin() + long(from), records.begin() + long(to) });
                cut.end = records.size();
                follower.applyLogPage(cut);
            } else {
                auto fromPeer = source.recordsFrom(from);
                while (fromPeer.records_size() > 5)
                    fromPeer.mutable_records()->RemoveLast();
                follower.applyPeerRecords(fromPeer);
            }
            RC_ASSERT(follower.nextOffset() >= lastOffset);
            lastOffset = follower.nextOffset();
        }
        RC_ASSERT(follower.state().digest() == reference.digest());
        ConfigState restored;
        restored.restore(reference.snapshot());
        RC_ASSERT(restored.digest() == reference.digest());
        RC_ASSERT(!restored.restore(source.state().snapshot()));
    });
}

TEST_CASE("A log that has become shorter or was replaced is reported and not followed", "[config]")
{
    ConfigFollower follower;
    follower.applyLogPage(makePage(0, { putRecord("1", "services/a", 0), putRecord("2", "services/b", 0) }));
    const auto digest = follower.state().digest();
    follower.applyLogPage(makePage(0, { putRecord("9", "services/z", 0) }));
    REQUIRE(follower.logState() == LogFollowState::Diverged);
    auto other = makePage(0,
        { putRecord("7", "services/x", 0), putRecord("8", "services/y", 0),
            putRecord("9", "services/z", 0) });
    other.logId = "another";
    follower.applyLogPage(other);
    REQUIRE(follower.logState() == LogFollowState::Diverged);
    REQUIRE(follower.state().digest() == digest);
    proto::Records foreign;
    foreign.set_log_id("another");
    REQUIRE(follower.applyPeerRecords(foreign) == ConfigFollower::Progress::None);
}

TEST_CASE("After the log has dropped records, a new follower starts from a snapshot and misses no change",
    "[config]")
{
    ConfigFollower writer;
    std::vector<std::string> records;
    for (int i = 0; i < 10; ++i)
        records.push_back(putRecord("c" + std::to_string(i), "services/s" + std::to_string(i), 0));
    writer.applyLogPage(makePage(0, records));
    proto::ChangeRecord snapshot;
    snapshot.set_id("snapshot");
    *snapshot.mutable_snapshot() = writer.state().snapshot();
    records.push_back(putRecord(
        "between", "services/between", 0)); // appended after the snapshot was taken, before it was appended
    records.push_back(snapshot.SerializeAsString());
    records.push_back(putRecord("after", "services/after", 0));
    writer.applyLogPage(makePage(0, records));
    ConfigFollower lateFollower;
    const std::size_t first = 9;
    REQUIRE(lateFollower.applyLogPage(makePage(first, { records.begin() + 9, records.begin() + 11 }, first))
        == ConfigFollower::Progress::None);
    REQUIRE(lateFollower.logState() == LogFollowState::Gap);
    REQUIRE(lateFollower.nextReadOffset() == 11);
    lateFollower.applyLogPage(makePage(11, { records.begin() + 11, records.end() }, first));
    REQUIRE(lateFollower.logState() == LogFollowState::Followed);
    REQUIRE(lateFollower.nextOffset() == records.size());
    REQUIRE(lateFollower.state().digest() == writer.state().digest());
}

TEST_CASE("A snapshot is due once the log drops records and the last one is old", "[config]")
{
    ConfigFollower follower;
    std::vector<std::string> records;
    for (int i = 0; i < 100; ++i)
        records.push_back(putRecord("c" + std::to_string(i), "services/s", 0));
    follower.applyLogPage(makePage(0, records));
    REQUIRE_FALSE(follower.needsSnapshot());
    auto trimmed = makePage(100, {}, 20);
    follower.applyLogPage(trimmed);
    REQUIRE(follower.needsSnapshot());
}

TEST_CASE("All errors of a resource are reported, each with its field", "[config]")
{
    REQUIRE(validate(makeService("services/a")).empty());
    proto::Resource bad;
    bad.set_name("services/Bad Name");
    auto& it = *bad.mutable_service();
    it.set_retry_fraction(2);
    it.add_classes()->set_path_prefix("x");
    std::string all;
    for (const auto& error : validate(bad))
        all += error.toString() + "\n";
    for (const auto* field : { "name:", "service.deadline_ms:", "service.retry_fraction:",
             "service.queue_limit:", "service.classes[0].name:", "service.classes[0].path_prefix:" })
        REQUIRE(all.find(field) != std::string::npos);
    REQUIRE(isIpv4Endpoint("127.0.0.1:80"));
    for (const auto* address :
        { "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "1.2.3:4" })
        REQUIRE_FALSE(isIpv4Endpoint(address));
}

TEST_CASE(
    "Resources are read from YAML and JSON, and a patch replaces only the fields that it names", "[config]")
{
    proto::Resource resource;
    REQUIRE(
        fromText("name: services/a\nservice:\n  deadline_ms: 5\n  classes:\n  - {name: x, path_prefix: /x}\n",
            resource)
            .empty());
    REQUIRE(resource.service().classes(0).name() == "x");
    REQUIRE(mergePatch("{\"service\": {\"classes\": [], \"hedge\": true}}", resource).empty());
    REQUIRE(resource.service().classes_size() == 0);
    REQUIRE(resource.service().hedge());
    REQUIRE(resource.service().deadline_ms() == 5);
    REQUIRE(mergePatch("service: {hedge: false}", resource).empty());
    REQUIRE_FALSE(resource.service().hedge());
    proto::Resource again;
    REQUIRE(fromText(toJson(resource), again).empty());
    REQUIRE(again.SerializeAsString() == resource.SerializeAsString());
    REQUIRE_FALSE(fromText("name: services/a\nservic: {}\n", again).empty());
    REQUIRE_FALSE(fromText("[1, 2]", again).empty());
    REQUIRE_FALSE(fromText("{", again).empty());
}
