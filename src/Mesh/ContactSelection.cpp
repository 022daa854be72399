#include "Mesh/ContactSelection.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace robinrun {
namespace {

    using Names = std::vector<std::string>;

    /// \returns a hash that is the same for (a, b) and (b, a).
    std::uint64_t pairHash(const std::string& a, const std::string& b)
    {
        const auto& [first, second] = std::minmax(a, b);
        return hash64(first + '\n' + second);
    }

    /// \returns the \a n of \a names with the lowest hash of \a hashOf, lowest first.
    template <class HashFunction> Names lowest(const Names& names, std::size_t n, HashFunction hashOf)
    {
        std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
        ranked.reserve(names.size());
        for (const auto& it : names)
            ranked.emplace_back(hashOf(it), &it);
        const auto count = std::min(n, ranked.size());
        const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
        const auto isLower = [](const auto& a, const auto& b) {
            return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
        };
        std::partial_sort(ranked.begin(), end, ranked.end(), isLower);
        Names out;
        for (auto it = ranked.begin(); it != end; ++it)
            out.push_back(*it->second);
        return out;
    }

    /// \returns the nodes of one hall that are bridges to the other one of the pair.
    Names bridgesOf(const Names& hallNodes, std::uint64_t hallPair)
    {
        return lowest(
            hallNodes, bridgesPerHall, [&](const std::string& name) { return hash64(name, hallPair); });
    }

    /// \returns the bridges of \a farNodes that \a self, if it is a bridge, is in contact with. Each bridge
    /// of the far hall is selected by as many of the near hall.
    Names selectFar(
        const Names& nearNodes, const Names& farNodes, const std::string& self, std::uint64_t hallPair)
    {
        const auto own = bridgesOf(nearNodes, hallPair);
        const auto it = std::find(own.begin(), own.end(), self);
        if (it == own.end())
            return {};
        const auto far = bridgesOf(farNodes, hallPair);
        const auto first = static_cast<std::size_t>(it - own.begin());
        Names out;
        for (std::size_t i = 0; i < std::min(contactsPerBridge, far.size()); ++i)
            out.push_back(far[(first + i) % far.size()]);
        return out;
    }

} // namespace

Names Contacts::all() const
{
    auto out = near;
    std::set<std::string> known(near.begin(), near.end());
    for (const auto& [hall, names] : far) {
        for (const auto& it : names) {
            if (known.insert(it).second)
                out.push_back(it);
        }
    }
    return out;
}

std::size_t Contacts::farCount() const
{
    std::size_t out = 0;
    for (const auto& [hall, names] : far)
        out += names.size();
    return out;
}

Contacts selectContacts(
    const std::map<std::string, proto::NodeRecord>& nodes, const std::string& self, std::size_t n)
{
    std::map<std::string, Names> byHall;
    Names others;
    for (const auto& [name, record] : nodes) {
        if (record.gone() && name != self)
            continue;
        byHall[record.data_hall()].push_back(name);
        if (name != self)
            others.push_back(name);
    }
    const auto byPair = [&](const std::string& name) { return pairHash(self, name); };
    const auto own = nodes.find(self);
    if (others.size() <= n || own == nodes.end())
        return { lowest(others, n, byPair), {} };
    const auto& hall = own->second.data_hall();
    auto nearNodes = byHall.at(hall);
    Contacts out;
    for (const auto& [farHall, farNodes] : byHall) {
        if (farHall == hall)
            continue;
        auto chosen = selectFar(nearNodes, farNodes, self, pairHash(hall, farHall));
        if (!chosen.empty())
            out.far[farHall] = std::move(chosen);
    }
    std::erase(nearNodes, self);
    out.near = lowest(nearNodes, n, byPair);
    return out;
}

} // namespace robinrun
