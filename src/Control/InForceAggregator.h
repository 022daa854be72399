#pragma once

#include "Core/Time.h"
#include "peer.pb.h"

#include <map>
#include <string>

namespace robinrun {

/// \brief Counts, over the subtree below this node, who applies which offset.
///
/// Each node sends the sum of itself and its children's last reports to its parent. Reports are bounded: the
/// largest groups of equal offsets and a few named laggards. A child that is silent for `reportLife` drops
/// out of the sum. Cost: O(children) a sum; a message of at most about 700 bytes.
class InForceAggregator {
public:
    static constexpr int maxLaggards = 20;
    static constexpr int maxCounts = 12;

    explicit InForceAggregator(Duration reportLifetime)
        : m_reportLifetime(reportLifetime)
    {
    }

    /// \brief A child's report came; one of no nodes takes the earlier ones back.
    void recordReport(const std::string& child, const proto::InForce& report, Instant now);

    /// \returns the sum over this node and its children.
    /// \param behindSince since when this node has known of an offset it doesn't apply; nothing if it is up
    /// to date.
    proto::InForce aggregate(
        const std::string& self, std::uint64_t nextOffset, Duration behindDuration, Instant now);

private:
    struct ChildReport {
        proto::InForce report;
        Instant receivedAt;
    };
    Duration m_reportLifetime;
    std::map<std::string, ChildReport> m_childReports;
};

} // namespace robinrun
