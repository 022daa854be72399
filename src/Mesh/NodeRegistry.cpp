#include "Mesh/NodeRegistry.h"

#include "Core/Hash.h"
#include "Http/HttpTypes.h"
#include "Mesh/CrashRecords.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace robinrun {
namespace {

    /// \returns the key that orders the records of one node; the later record has the greater key.
    auto recordOrder(const proto::NodeRecord& record)
    {
        return std::make_tuple(record.incarnation(), record.sequence(), record.gone(), record.unreachable());
    }

    /// \returns whether two records of a node are equal for routing.
    bool isSameForRouting(const proto::NodeRecord& a, const proto::NodeRecord& b)
    {
        return a.incarnation() == b.incarnation() && a.peer_address() == b.peer_address()
            && a.data_hall() == b.data_hall() && a.service() == b.service()
            && backendLifeOf(a) == backendLifeOf(b) && a.slots() == b.slots() && a.leaving() == b.leaving()
            && a.gone() == b.gone() && a.version() == b.version();
    }

    /// \returns a hash of the node's name and of the key that orders its records.
    std::uint64_t recordHash(const proto::NodeRecord& record)
    {
        return hash64(record.node() + '\n' + std::to_string(record.incarnation()) + '\n'
            + std::to_string(record.sequence()) + (record.gone() ? "\ngone" : "")
            + (record.unreachable() ? "\nunreachable" : ""));
    }

    /// Numbers in records are times in us or counters that start at 1. 2^53 us are 285 years.
    constexpr std::uint64_t maxRecordNumber = std::uint64_t { 1 } << 53U;
    constexpr std::size_t maxTextBytes = 255;

    bool isIpAndPort(const std::string& text)
    {
        std::string ip;
        std::uint16_t port = 0;
        return splitAddress(text, ip, port);
    }

    /// \returns whether \a a has a later start time of the backend server than \a b, or the same start time
    /// and a later incarnation of the node.
    bool isLaterLife(const proto::NodeRecord& a, const proto::NodeRecord& b)
    {
        return std::make_pair(a.born(), a.incarnation()) > std::make_pair(b.born(), b.incarnation());
    }

    proto::Resource toResource(const proto::NodeRecord& record)
    {
        proto::Resource out;
        out.set_name("upstreams/" + backendLifeOf(record).key());
        auto& upstream = *out.mutable_upstream();
        upstream.set_service(record.service());
        upstream.set_address(record.address());
        upstream.set_node_address(record.peer_address());
        upstream.set_host(record.node());
        upstream.set_data_hall(record.data_hall());
        upstream.set_region(record.region());
        upstream.set_slots(record.slots());
        upstream.set_leaving(record.leaving());
        upstream.set_version(record.version());
        return out;
    }

} // namespace

std::string validationError(const proto::NodeRecord& record)
{
    const std::pair<const char*, const std::string&> names[] = { { "node", record.node() },
        { "data_hall", record.data_hall() }, { "region", record.region() }, { "service", record.service() },
        { "upstream", record.upstream() }, { "version", record.version() } };
    for (const auto& [field, text] : names) {
        if (text.size() > maxTextBytes)
            return std::string(field) + ": must have at most " + std::to_string(maxTextBytes) + " bytes";
    }
    if (record.node().empty())
        return "node: must not be empty";
    if (!isIpAndPort(record.peer_address()))
        return "peer_address: must be ip:port";
    if (!record.address().empty() && !isIpAndPort(record.address()))
        return "address: must be ip:port";
    const std::pair<const char*, std::uint64_t> numbers[] = { { "incarnation", record.incarnation() },
        { "sequence", record.sequence() }, { "born", record.born() } };
    for (const auto& [field, number] : numbers) {
        if (number > maxRecordNumber)
            return std::string(field) + ": must be at most 2^53";
    }
    return crashRecords::validationError(record);
}

NodeRegistry::Change NodeRegistry::mergeRecord(const proto::NodeRecord& record)
{
    const auto it = m_nodes.find(record.node());
    if (it == m_nodes.end()) {
        replaceRecord(record);
        return Change::Changed;
    }
    if (!isLater(record, it->second))
        return Change::None;
    const bool isSame = isSameForRouting(it->second, record);
    replaceRecord(record);
    return isSame ? Change::Refreshed : Change::Changed;
}

void NodeRegistry::replaceRecord(const proto::NodeRecord& record)
{
    auto& digest = m_digests[bucketOf(record.node())];
    auto& known = m_nodes[record.node()];
    const bool isNew = known.node().empty();
    if (isNew)
        m_buckets[bucketOf(record.node())].insert(record.node());
    else
        digest ^= recordHash(known);
    if (isNew || known.gone() != record.gone() || known.data_hall() != record.data_hall())
        ++m_generation;
    known = record;
    digest ^= recordHash(known);
}

bool NodeRegistry::isLater(const proto::NodeRecord& a, const proto::NodeRecord& b)
{
    return recordOrder(a) > recordOrder(b);
}

std::uint64_t NodeRegistry::hashOf(const std::string& node)
{
    return hash64(node);
}

std::uint64_t NodeRegistry::digest() const
{
    return hash64(std::string_view(
        reinterpret_cast<const char*>(m_digests.data()), m_digests.size() * sizeof(m_digests.front())));
}

std::vector<proto::NodeRecord> NodeRegistry::recordsIn(std::size_t bucket) const
{
    std::vector<proto::NodeRecord> out;
    for (const auto& it : m_buckets[bucket])
        out.push_back(m_nodes.at(it));
    return out;
}

const proto::NodeRecord* NodeRegistry::find(const std::string& node) const
{
    const auto it = m_nodes.find(node);
    return it == m_nodes.end() ? nullptr : &it->second;
}

std::vector<proto::Resource> NodeRegistry::upstreams() const
{
    std::unordered_map<std::string_view, const proto::NodeRecord*> byId;
    for (const auto& [name, record] : m_nodes) {
        if (record.upstream().empty() || record.gone())
            continue;
        const auto [it, isFirst] = byId.try_emplace(record.upstream(), &record);
        if (!isFirst && isLaterLife(record, *it->second))
            it->second = &record;
    }
    std::vector<proto::Resource> out;
    for (const auto& [name, record] : m_nodes) {
        const auto it = byId.find(record.upstream());
        if (it != byId.end() && it->second == &record)
            out.push_back(toResource(record));
    }
    return out;
}

const Contacts& NodeRegistry::contactsOf(const std::string& self, std::size_t n) const
{
    auto& cache = m_contactCache;
    if (cache.self != self || cache.n != n || cache.generation != m_generation)
        cache = { self, n, m_generation, selectContacts(m_nodes, self, n) };
    return cache.contacts;
}

} // namespace robinrun
