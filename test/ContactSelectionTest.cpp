#include "Mesh/ContactSelection.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file The contacts of nodes in several data halls. With contacts in any hall, most messages of a large
/// system go from hall to hall, and their number increases with the nodes.

using namespace robinrun;

namespace {

constexpr std::size_t contactCount = 16;

/// \brief The nodes of some data halls, and the contacts of each.
struct Halls {
    Halls(std::size_t halls, std::size_t nodesPerHall)
    {
        for (std::size_t i = 0; i < halls * nodesPerHall; ++i) {
            proto::NodeRecord record;
            record.set_node("n" + std::to_string(i));
            record.set_data_hall("hall-" + std::to_string(i % halls));
            nodes[record.node()] = record;
        }
    }

    const std::string& hallOf(const std::string& node) const { return nodes.at(node).data_hall(); }

    /// \returns the number of pairs of a node and its contact in another hall, and of all pairs.
    std::pair<std::size_t, std::size_t> countPairs() const
    {
        std::size_t far = 0;
        std::size_t all = 0;
        for (const auto& [name, record] : nodes) {
            for (const auto& it : selectContacts(nodes, name, contactCount).all()) {
                far += hallOf(it) != record.data_hall();
                ++all;
            }
        }
        return { far, all };
    }

    /// \returns the nodes that are reached from \a start over contacts, in either direction, without \a lost.
    std::set<std::string> reachableFrom(const std::string& start, const std::set<std::string>& lost) const
    {
        std::map<std::string, std::set<std::string>> links;
        for (const auto& [name, record] : nodes) {
            if (lost.contains(name))
                continue;
            for (const auto& it : selectContacts(nodes, name, contactCount).all()) {
                if (lost.contains(it))
                    continue;
                links[name].insert(it);
                links[it].insert(name);
            }
        }
        std::set<std::string> out { start };
        std::deque<std::string> next { start };
        for (; !next.empty(); next.pop_front()) {
            for (const auto& it : links[next.front()]) {
                if (out.insert(it).second)
                    next.push_back(it);
            }
        }
        return out;
    }

    std::map<std::string, proto::NodeRecord> nodes;
};

} // namespace

TEST_CASE("In a small system all nodes are contacts of each other, in any hall", "[contacts]")
{
    const Halls halls(3, 5);
    for (const auto& [name, record] : halls.nodes) {
        const auto contacts = selectContacts(halls.nodes, name, contactCount);
        REQUIRE(contacts.near.size() == 14);
        REQUIRE(contacts.far.empty());
    }
}

TEST_CASE("The contacts between data halls do not increase with their nodes", "[contacts]")
{
    const auto [farOfFew, allOfFew] = Halls(5, 40).countPairs();
    const auto [farOfMany, allOfMany] = Halls(5, 200).countPairs();
    const std::size_t hallPairs = 5 * 4;
    REQUIRE(farOfFew <= hallPairs * bridgesPerHall * contactsPerBridge);
    REQUIRE(farOfMany <= hallPairs * bridgesPerHall * contactsPerBridge);
    REQUIRE(allOfMany > 4 * allOfFew);
}

TEST_CASE("Each node has near contacts, and only the bridges of its hall have far ones", "[contacts]")
{
    const Halls halls(4, 60);
    std::map<std::pair<std::string, std::string>, std::size_t> bridges;
    for (const auto& [name, record] : halls.nodes) {
        const auto contacts = selectContacts(halls.nodes, name, contactCount);
        REQUIRE(contacts.near.size() == contactCount);
        for (const auto& it : contacts.near)
            REQUIRE(halls.hallOf(it) == record.data_hall());
        for (const auto& [hall, far] : contacts.far) {
            ++bridges[{ record.data_hall(), hall }];
            REQUIRE(far.size() == contactsPerBridge);
            for (const auto& it : far)
                REQUIRE(halls.hallOf(it) == hall);
        }
    }
    REQUIRE(bridges.size() == 4 * 3);
    for (const auto& [pair, n] : bridges)
        REQUIRE(n == bridgesPerHall);
}

TEST_CASE("Half of the nodes may be lost and the others still reach each other", "[contacts]")
{
    const Halls halls(5, 60);
    std::set<std::string> lost;
    std::size_t i = 0;
    for (const auto& [name, record] : halls.nodes) {
        if (++i % 2)
            lost.insert(name);
    }
    const auto first = std::find_if(
        halls.nodes.begin(), halls.nodes.end(), [&](const auto& it) { return !lost.contains(it.first); });
    REQUIRE(halls.reachableFrom(first->first, lost).size() == halls.nodes.size() - lost.size());
}
