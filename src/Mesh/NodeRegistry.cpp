#include "Mesh/NodeRegistry.h"

#include "Core/Hash.h"

#include <algorithm>
#include <tuple>

namespace robinrun {
namespace {

    /// \returns what orders the records of one node; the later one compares greater.
    auto orderOf(const proto::NodeRecord& record)
    {
        return std::make_tuple(record.incarnation(), record.sequence(), record.gone());
    }

    /// \returns whether two records of a node are the same to routing.
    bool isAlike(const proto::NodeRecord& a, const proto::NodeRecord& b)
    {
        return a.incarnation() == b.incarnation() && a.peer_address() == b.peer_address()
            && a.data_hall() == b.data_hall() && a.service() == b.service() && a.upstream() == b.upstream()
            && a.slots() == b.slots() && a.leaving() == b.leaving() && a.gone() == b.gone();
    }

    /// \returns a hash of a node's name and of what orders its records.
    std::uint64_t hashOf(const proto::NodeRecord& record)
    {
        return hash64(record.node() + '\n' + std::to_string(record.incarnation()) + '\n'
            + std::to_string(record.sequence()) + (record.gone() ? "\ngone" : ""));
    }

    /// \returns the same number for (a, b) as for (b, a).
    std::uint64_t hashOfPair(const std::string& a, const std::string& b)
    {
        const auto& [first, second] = std::minmax(a, b);
        std::string pair = first;
        pair += '\n';
        pair += second;
        return hash64(pair);
    }

} // namespace

NodeRegistry::Change NodeRegistry::take(const proto::NodeRecord& record)
{
    const auto it = m_nodes.find(record.node());
    if (it == m_nodes.end()) {
        put(record);
        return Change::Changed;
    }
    if (!isLater(record, it->second))
        return Change::None;
    const bool isSame = isAlike(it->second, record);
    put(record);
    return isSame ? Change::Refreshed : Change::Changed;
}

void NodeRegistry::put(const proto::NodeRecord& record)
{
    auto& digest = m_digests[bucketOf(record.node())];
    auto& known = m_nodes[record.node()];
    if (!known.node().empty())
        digest ^= hashOf(known);
    known = record;
    digest ^= hashOf(known);
}

bool NodeRegistry::isLater(const proto::NodeRecord& a, const proto::NodeRecord& b)
{
    return orderOf(a) > orderOf(b);
}

std::size_t NodeRegistry::bucketOf(const std::string& node)
{
    return hash64(node) % bucketCount;
}

std::uint64_t NodeRegistry::digest() const
{
    return hash64(std::string_view(
        reinterpret_cast<const char*>(m_digests.data()), m_digests.size() * sizeof(m_digests.front())));
}

std::vector<proto::NodeRecord> NodeRegistry::recordsIn(std::size_t bucket) const
{
    std::vector<proto::NodeRecord> out;
    for (const auto& [name, record] : m_nodes) {
        if (bucketOf(name) == bucket)
            out.push_back(record);
    }
    return out;
}

const proto::NodeRecord* NodeRegistry::find(const std::string& node) const
{
    const auto it = m_nodes.find(node);
    return it == m_nodes.end() ? nullptr : &it->second;
}

std::vector<proto::Resource> NodeRegistry::upstreams() const
{
    std::vector<proto::Resource> out;
    for (const auto& [name, record] : m_nodes) {
        if (record.upstream().empty() || record.gone())
            continue;
        proto::Resource resource;
        resource.set_name("upstreams/" + record.upstream());
        auto& upstream = *resource.mutable_upstream();
        upstream.set_service(record.service());
        upstream.set_address(record.address());
        upstream.set_node_address(record.peer_address());
        upstream.set_host(name);
        upstream.set_data_hall(record.data_hall());
        upstream.set_region(record.region());
        upstream.set_slots(record.slots());
        upstream.set_leaving(record.leaving());
        out.push_back(std::move(resource));
    }
    return out;
}

std::vector<std::string> NodeRegistry::contactsOf(const std::string& self, std::size_t n) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [name, record] : m_nodes) {
        if (name == self || record.gone())
            continue;
        ranked.emplace_back(hashOfPair(self, name), name);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(n, ranked.size()); ++i)
        out.push_back(std::move(ranked[i].second));
    return out;
}

} // namespace robinrun
