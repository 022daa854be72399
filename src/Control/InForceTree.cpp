#include "Control/InForceTree.h"

#include <algorithm>
#include <vector>

namespace robinrun {
namespace {

    void addCounts(std::map<std::uint64_t, std::uint32_t>& counts, const proto::InForce& report)
    {
        for (const auto& it : report.counts())
            counts[it.next_offset()] += it.nodes();
    }

    /// \brief Writes the counts, merging the lowest offsets into one when there are too many: never
    /// overstates.
    void writeCounts(std::map<std::uint64_t, std::uint32_t> counts, proto::InForce& out)
    {
        while (counts.size() > InForceTree::maxCounts) {
            const auto lowest = counts.begin();
            const auto second = std::next(lowest);
            lowest->second += second->second;
            counts.erase(second);
        }
        for (const auto& [offset, nodes] : counts) {
            auto& it = *out.add_counts();
            it.set_next_offset(offset);
            it.set_nodes(nodes);
        }
    }

} // namespace

void InForceTree::take(const std::string& child, const proto::InForce& report, Instant now)
{
    if (report.nodes())
        m_children[child] = { report, now };
    else
        m_children.erase(child);
}

proto::InForce InForceTree::sum(
    const std::string& self, std::uint64_t nextOffset, Duration behindFor, Instant now)
{
    std::erase_if(m_children, [&](const auto& it) { return now - it.second.heard > m_reportLife; });
    proto::InForce out;
    out.set_nodes(1);
    out.set_min_next_offset(nextOffset);
    out.set_max_next_offset(nextOffset);
    std::map<std::uint64_t, std::uint32_t> counts { { nextOffset, 1 } };
    std::vector<proto::Laggard> laggards;
    if (behindFor > Duration::zero()) {
        proto::Laggard own;
        own.set_node(self);
        own.set_next_offset(nextOffset);
        own.set_since_ms(static_cast<std::uint32_t>(toMilliseconds(behindFor)));
        laggards.push_back(own);
    }
    for (const auto& [name, child] : m_children) {
        const auto& report = child.report;
        out.set_nodes(out.nodes() + report.nodes());
        out.set_min_next_offset(std::min(out.min_next_offset(), report.min_next_offset()));
        out.set_max_next_offset(std::max(out.max_next_offset(), report.max_next_offset()));
        addCounts(counts, report);
        laggards.insert(laggards.end(), report.laggards().begin(), report.laggards().end());
    }
    std::sort(laggards.begin(), laggards.end(),
        [](const auto& a, const auto& b) { return a.since_ms() > b.since_ms(); });
    for (std::size_t i = 0; i < std::min<std::size_t>(laggards.size(), maxLaggards); ++i)
        *out.add_laggards() = laggards[i];
    writeCounts(std::move(counts), out);
    return out;
}

} // namespace robinrun
