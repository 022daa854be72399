#include "Mesh/EmptiedHalls.h"
#include "support/MeshFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace robinrun;
using support::MeshFixture;

namespace {

std::optional<std::string> parseHallKey(std::string_view key)
{
    return key.starts_with("hall/") ? std::optional(std::string(key.substr(5))) : std::nullopt;
}

KeyedPage makePage(std::vector<KeyedRecord> records, StorePosition next, bool isWhole = false)
{
    return { std::move(records), next, 0, isWhole };
}

const Instant now { 100s };

/// \brief Two data halls with a backend server each, and access to the requests that the servers have
/// received.
struct TwoHallFixture : MeshFixture {
    std::size_t nearNode;
    std::size_t farNode;

    TwoHallFixture()
    {
        store.put("keyed.op", "config", configuration(1));
        nearNode = add("shop", "h1");
        farNode = add("shop", "h2");
        untilServed(nearNode);
        untilServed(farNode);
        until([&] { return servedBy(farNode, farNode); });
    }

    /// \returns whether the backend server beside node \a server answers a call to node \a i.
    bool servedBy(std::size_t i, std::size_t server)
    {
        return call(i, "GET", "/read/x").body == "body of " + places[server].backend->id;
    }

    bool hasMetric(std::size_t i, const std::string& line)
    {
        const auto text = send(places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return text.find(line + "\n") != std::string::npos;
    }

    void waitUntilEmptiedHalls(std::size_t i, int halls)
    {
        const auto line = "robinrun_halls_emptied " + std::to_string(halls);
        until([&] {
            pass(10ms);
            return hasMetric(i, line);
        });
    }
};

} // namespace

TEST_CASE("The newest record of a hall is valid, by any path and in any order", "[halls]")
{
    EmptiedHalls halls;
    REQUIRE(halls.applyPage(
        makePage({ { "config", "x", { 1, 4 } }, { "hall/a", "{}", { 1, 5 } } }, { 1, 6 }), parseHallKey));
    REQUIRE(halls.isEmptied("a"));
    proto::NodeContact earlyContact;
    halls.addToContact(earlyContact);
    REQUIRE(halls.applyPage(makePage({ { "hall/a", "", { 1, 6 } } }, { 1, 7 }), parseHallKey));
    REQUIRE_FALSE(halls.applyContact(earlyContact));
    REQUIRE_FALSE(halls.isEmptied("a"));
    EmptiedHalls other;
    proto::NodeContact lateContact;
    halls.addToContact(lateContact);
    REQUIRE_FALSE(other.applyContact(lateContact));
    REQUIRE_FALSE(other.applyContact(earlyContact));
    REQUIRE_FALSE(other.isEmptied("a"));
}

TEST_CASE("A full read without a hall's record ends its emptied state, a partial read does not", "[halls]")
{
    EmptiedHalls halls;
    halls.applyPage(makePage({ { "hall/a", "{}", { 1, 5 } } }, { 1, 6 }), parseHallKey);
    halls.applyPage(makePage({ { "config", "x", { 1, 6 } } }, { 1, 7 }), parseHallKey);
    REQUIRE(halls.isEmptied("a"));
    REQUIRE(halls.applyPage(makePage({ { "config", "x", { 1, 6 } } }, { 1, 7 }, true), parseHallKey));
    REQUIRE_FALSE(halls.isEmptied("a"));
}

TEST_CASE(
    "After a restore from an older copy a hall stays emptied until its record is written again", "[halls]")
{
    EmptiedHalls halls;
    halls.applyPage(
        makePage({ { "hall/a", "{}", { 1, 5 } }, { "hall/b", "{}", { 1, 6 } } }, { 1, 7 }), parseHallKey);
    halls.expireFormerEras(1, now);
    halls.applyPage(makePage({ { "config", "x", { 2, 1 } } }, { 2, 2 }, true), parseHallKey);
    REQUIRE(halls.isEmptied("a"));
    halls.expireFormerEras(2, now);
    REQUIRE(halls.applyPage(makePage({ { "hall/a", "", { 2, 2 } } }, { 2, 3 }), parseHallKey));
    REQUIRE_FALSE(halls.isEmptied("a"));
    REQUIRE(halls.isEmptied("b"));
    REQUIRE_FALSE(halls.expireFormerEras(2, now + 29s));
    REQUIRE(halls.expireFormerEras(2, now + 30s));
    REQUIRE_FALSE(halls.isEmptied("b"));
}

TEST_CASE("The number and the names of halls are bounded, and emptied halls are kept first", "[halls]")
{
    EmptiedHalls halls;
    halls.applyPage(makePage({ { "hall/a", "{}", { 1, 1 } } }, { 1, 2 }), parseHallKey);
    halls.applyPage(
        makePage({ { "hall/" + std::string(300, 'x'), "{}", { 1, 2 } } }, { 1, 3 }), parseHallKey);
    REQUIRE(halls.emptiedHalls() == std::set<std::string> { "a" });
    for (std::uint64_t i = 0; i < 1000; ++i)
        halls.applyPage(
            makePage({ { "hall/n" + std::to_string(i), "", { 1, 3 + i } } }, { 1, 4 + i }), parseHallKey);
    REQUIRE(halls.isEmptied("a"));
    proto::NodeContact contact;
    halls.addToContact(contact);
    REQUIRE(contact.halls_size() <= 256);
}

// Guards against calls to an emptied data hall: 6,959 requests reached servers there because no node read the
// operator's record.
TEST_CASE("No call reaches the servers of an emptied hall, and callers there are served by another hall",
    "[halls][mesh]")
{
    TwoHallFixture f;
    f.store.put("keyed.op", "evacuate/h2", "{}");
    f.waitUntilEmptiedHalls(f.nearNode, 1);
    f.waitUntilEmptiedHalls(f.farNode, 1);
    f.places[f.farNode].backend->requests.clear();
    for (int i = 0; i < 10; ++i) {
        REQUIRE(f.servedBy(f.farNode, f.nearNode));
        REQUIRE(f.call(f.farNode, "POST", "/buy/x").status == 200);
        REQUIRE(f.call(f.nearNode, "GET", "/read/x").status == 200);
    }
    REQUIRE(f.places[f.farNode].backend->requests.empty());
    // A node that starts now knows the emptied hall before it accepts its first call.
    f.places[f.farNode].node.reset();
    f.startNode(f.farNode);
    f.untilServed(f.farNode);
    REQUIRE(f.servedBy(f.farNode, f.nearNode));
    REQUIRE(f.places[f.farNode].backend->requests.empty());
    f.store.put("keyed.op", "evacuate/h2", "");
    f.waitUntilEmptiedHalls(f.farNode, 0);
    f.until([&] { return f.servedBy(f.farNode, f.farNode); });
}

TEST_CASE("A node that cannot read the store learns of an emptied hall from its contacts", "[halls][mesh]")
{
    TwoHallFixture f;
    const auto third = f.add("shop", "h1");
    f.untilServed(third);
    f.store.put("keyed.op", "evacuate/h2", "{}");
    for (const auto i : { f.nearNode, f.farNode, third })
        f.waitUntilEmptiedHalls(i, 1);
    // The store is down, so the record cannot be read from it.
    f.store.mode = support::FakeStore::Mode::Refusing;
    const auto fourth = f.add("shop", "h1");
    f.waitUntilEmptiedHalls(f.farNode, 1);
    f.store.mode = support::FakeStore::Mode::Up;
    f.waitUntilEmptiedHalls(fourth, 1);
}

namespace {

/// \returns a configuration in which the services define the warm-up of their servers.
std::string pacedConfiguration()
{
    auto out = MeshFixture::configuration(1);
    const std::string plain = R"("spec":{"health_path":"/healthz"})";
    const std::string paced = R"("spec":{"health_path":"/healthz","warmup_s":30.0,"warmup_per_s":16.0})";
    for (auto at = out.find(plain); at != std::string::npos; at = out.find(plain, at + 1))
        out.replace(at, plain.size(), paced);
    return out;
}

} // namespace

// Guards against a long warm-up of warm servers: nodes that started beside warm servers, which report no
// warm-up, treated them as cold until the longest warm-up was over, and sent 20 health requests per second
// meanwhile.
TEST_CASE("A node that starts beside a warm server treats it as cold only until its first answer",
    "[warm-up][mesh]")
{
    MeshFixture f;
    f.store.put("keyed.op", "config", pacedConfiguration());
    f.add("shop");
    f.untilServed(0);
    const auto metrics = f.places[0].settings.listen.metrics;
    f.until([&] {
        f.pass(10ms);
        const auto text = f.send(metrics, { "GET", "/metrics", {}, {} }).body;
        return text.find("robinrun_backend_cold_seconds 0\n") != std::string::npos;
    });
    // Only the health endpoint was asked.
    REQUIRE(f.places[0].backend->misdirected == 0);
}

// Guards against an overload after a power failure: a cold server received 36 calls in a second where 32 are
// permitted, crashed and restarted cold.
TEST_CASE("The rate of calls to a cold server is limited from the first call on", "[warm-up][mesh]")
{
    MeshFixture f;
    f.store.put("keyed.op", "config", pacedConfiguration());
    const auto i = f.add("shop");
    f.places[i].backend->coldMs = 30000;
    f.places[i].settings.admission.coldFactor = 1.5;
    f.places[i].settings.admission.coldBurst = 8;
    f.places[i].node.reset();
    f.startNode(i);
    f.untilServed(i);
    std::vector<std::chrono::steady_clock::time_point> callStarts;
    f.places[i].backend->instead = [&](const HttpRequest&) -> std::optional<HttpReply> {
        callStarts.push_back(std::chrono::steady_clock::now());
        return std::nullopt;
    };
    std::vector<int> statuses;
    std::vector<std::unique_ptr<HttpPool>> callers;
    HttpPool::Options options;
    options.address = f.places[i].settings.listen.callers;
    options.maxConnections = 100;
    HttpPool pool(f.base.get(), options);
    constexpr std::size_t calls = 90;
    for (std::size_t n = 0; n < calls; ++n)
        pool.send(f.request("GET", "/read/x"), 9s,
            [&](const auto& result) { statuses.push_back(result.has_value() ? result.value().status : 0); });
    f.until([&] { return statuses.size() == calls; });
    std::size_t maxCallsPerSecond = 0;
    for (std::size_t first = 0, last = 0; last < callStarts.size(); ++last) {
        while (callStarts[last] - callStarts[first] >= 1s)
            ++first;
        maxCallsPerSecond = std::max(maxCallsPerSecond, last - first + 1);
    }
    REQUIRE(maxCallsPerSecond <= 32);
    REQUIRE(callStarts.size() >= 60);
    const auto isExpectedStatus = [](int status) { return status == 200 || status == 503; };
    REQUIRE(std::all_of(statuses.begin(), statuses.end(), isExpectedStatus));
}
