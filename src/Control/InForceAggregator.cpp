#include "Control/InForceAggregator.h"

#include <algorithm>
#include <vector>

namespace robinrun {
namespace {

    void addCounts(std::map<std::uint64_t, std::uint32_t>& counts, const proto::InForce& report)
    {
        for (const auto& it : report.counts())
            counts[it.next_offset()] += it.nodes();
    }

    /// \brief Writes the counts to a message. If there are more than `maxCounts`, the lowest offsets are
    /// merged into the lowest of them, so that the nodes that have reached an offset are never overcounted.
    void encodeCounts(std::map<std::uint64_t, std::uint32_t> counts, proto::InForce& out)
    {
        while (counts.size() > InForceAggregator::maxCounts) {
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

void InForceAggregator::recordReport(const std::string& child, const proto::InForce& report, Instant now)
{
    if (report.nodes())
        m_childReports[child] = { report, now };
    else
        m_childReports.erase(child);
}

proto::InForce InForceAggregator::aggregate(
    const std::string& self, std::uint64_t nextOffset, Duration behindDuration, Instant now)
{
    std::erase_if(
        m_childReports, [&](const auto& it) { return now - it.second.receivedAt > m_reportLifetime; });
    proto::InForce out;
    out.set_nodes(1);
    out.set_min_next_offset(nextOffset);
    out.set_max_next_offset(nextOffset);
    std::map<std::uint64_t, std::uint32_t> counts { { nextOffset, 1 } };
    std::vector<proto::Laggard> laggards;
    if (behindDuration > Duration::zero()) {
        proto::Laggard own;
        own.set_node(self);
        own.set_next_offset(nextOffset);
        own.set_since_ms(static_cast<std::uint32_t>(toMilliseconds(behindDuration)));
        laggards.push_back(own);
    }
    for (const auto& [name, child] : m_childReports) {
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
    encodeCounts(std::move(counts), out);
    return out;
}

} // namespace robinrun
