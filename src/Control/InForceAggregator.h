#pragma once

#include "Core/Time.h"
#include "peer.pb.h"

#include <map>
#include <string>

namespace robinrun {

/// \brief Counts which nodes have applied which offset, over the subtree below this node in the counting
/// tree.
///
/// Each node sends its parent the sum of its own state and its children's last reports. The size of a report
/// is bounded: it holds the counts of at most `maxCounts` offsets and the names of at most `maxLaggards`
/// nodes. The report of a child that has sent none for `reportLifetime` is dropped from the sum. Cost:
/// O(children) per sum; a message takes at most about 700 bytes.
class InForceAggregator {
public:
    static constexpr int maxLaggards = 20;
    static constexpr int maxCounts = 12;

    explicit InForceAggregator(Duration reportLifetime)
        : m_reportLifetime(reportLifetime)
    {
    }

    /// \brief Replaces the last report of \a child. A report of zero nodes removes the child from the sum.
    void recordReport(const std::string& child, const proto::InForce& report, Instant now);

    /// \brief Drops expired reports and adds up the others and this node. \param self name of this node.
    /// \param nextOffset of this node. \param behindDuration how long this node has known of records that it
    /// has not applied; zero if it has applied all. \returns the sum.
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
