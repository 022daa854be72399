#include "Mesh/WatchGroup.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

/// \file Who watches the store for all nodes, and how the others notice that nobody does.
///
/// Pattern: hundreds of nodes each hear 16 contacts a second. Grounds of the figures: rounds of 1 s that
/// begin at any time, each message lost with a chance of a tenth, members that all end at one moment.

using namespace robinrun;

namespace {

constexpr std::size_t contacts = 16;
constexpr Duration round = 1s;

std::vector<std::string> addressesOf(std::size_t n)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7620");
    return out;
}

/// \brief Nodes that tell each other, round by round, how long ago they knew of a member.
struct Swarm {
    explicit Swarm(std::size_t n)
        : addresses(addressesOf(n))
    {
        for (const auto& it : addresses) {
            groups.emplace_back(it, WatchGroup::Options {});
            groups.back().setNodes(addresses);
            alive.push_back(true);
        }
        for (std::size_t i = 0; i < n; ++i) {
            offsets.push_back(Duration(static_cast<std::int64_t>(i) * 7919 % 1000 * 1000));
            std::vector<std::size_t> told;
            for (std::size_t k = 0; k < contacts; ++k)
                told.push_back((i * 31 + (k + 1) * (k + 3) * 17) % n);
            peers.push_back(told);
        }
    }

    /// \brief One round in steps of 50 ms: each node tells its contacts once.
    void run(Duration length)
    {
        const auto end = now + length;
        for (; now < end; now += 50ms) {
            for (std::size_t i = 0; i < groups.size(); ++i) {
                const bool isDue = (now.time_since_epoch() - offsets[i]) % round < 50ms;
                if (!alive[i] || !isDue)
                    continue;
                const auto age = groups[i].age(now);
                for (const auto to : peers[i]) {
                    if (age && alive[to] && ++messages % 10)
                        groups[to].heard(*age, now);
                }
            }
        }
    }

    std::size_t unwatched() const
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < groups.size(); ++i)
            n += alive[i] && !groups[i].isMember() && !groups[i].isWatched(now);
        return n;
    }

    std::vector<std::string> addresses;
    std::vector<WatchGroup> groups;
    std::vector<bool> alive;
    std::vector<Duration> offsets;
    std::vector<std::vector<std::size_t>> peers;
    Instant now { 1h };
    std::uint64_t messages = 0;
};

} // namespace

TEST_CASE("As many nodes watch the store at any size, and all agree on which", "[watch]")
{
    for (const std::size_t n : { 1, 13, 16, 61, 295, 7200 }) {
        const auto addresses = addressesOf(n);
        std::size_t members = 0;
        for (std::size_t i = 0; i < std::min<std::size_t>(n, 400); ++i) {
            WatchGroup group(addresses[i], {});
            group.setNodes(addresses);
            members += group.isMember();
            REQUIRE(group.members() == std::min<std::size_t>(n, 16));
            REQUIRE(group.others().size() == group.members() - (group.isMember() ? 1 : 0));
        }
        if (n <= 400)
            REQUIRE(members == std::min<std::size_t>(n, 16));
    }
}

TEST_CASE("A node that knows of no other watches for itself", "[watch]")
{
    WatchGroup group("10.0.0.1:1", {});
    REQUIRE(group.isMember());
    REQUIRE_FALSE(group.isWatched(Instant { 1s }));
    group.setNodes({});
    REQUIRE(group.isMember());
}

TEST_CASE(
    "While members live all others know it; when all have ended, all notice within the bound", "[watch]")
{
    for (const std::size_t n : { 61, 295, 1000 }) {
        INFO(n);
        Swarm f(n);
        f.run(10s);
        for (int i = 0; i < 30; ++i) {
            f.run(1s);
            REQUIRE(f.unwatched() == 0);
        }
        for (std::size_t i = 0; i < n; ++i)
            f.alive[i] = !f.groups[i].isMember();
        f.run(6s);
        REQUIRE(f.unwatched() == n - 16);
        // They don't begin together: the first are heard of before most have begun.
        const auto delay = [&](const auto& it) { return it.takeOverDelay(); };
        std::vector<Duration> delays;
        std::transform(f.groups.begin(), f.groups.end(), std::back_inserter(delays), delay);
        const auto soon = std::count_if(delays.begin(), delays.end(), [](auto it) { return it < 200ms; });
        REQUIRE(soon > 16);
        REQUIRE(soon < 16 + 40);
    }
}

TEST_CASE("The age of what is known of members is true through any number of hands", "[watch]")
{
    rc::prop("ages", [] {
        Instant now { 1h };
        const auto lived = now;
        Duration age {};
        const auto hops = *rc::gen::inRange(1, 6);
        const auto addresses = addressesOf(300);
        for (int i = 0; i < hops; ++i) {
            const Duration held { *rc::gen::inRange<std::int64_t>(0, 1'000'000) };
            std::size_t at = 0;
            WatchGroup group(addresses[at], {});
            group.setNodes(addresses);
            while (group.isMember()) {
                group = WatchGroup(addresses[++at], {});
                group.setNodes(addresses);
            }
            group.heard(age, now);
            group.heard(age + 5s, now); // older news changes nothing
            now += held;
            age = *group.age(now);
        }
        RC_ASSERT(age == now - lived);
    });
}
