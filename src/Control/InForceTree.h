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
class InForceTree {
public:
    static constexpr int maxLaggards = 20;
    static constexpr int maxCounts = 12;

    explicit InForceTree(Duration reportLife)
        : m_reportLife(reportLife)
    {
    }

    /// \brief A child's report came; one of no nodes takes the earlier ones back.
    void take(const std::string& child, const proto::InForce& report, Instant now);

    /// \returns the sum over this node and its children.
    /// \param behindSince since when this node has known of an offset it doesn't apply; nothing if it is up
    /// to date.
    proto::InForce sum(const std::string& self, std::uint64_t nextOffset, Duration behindFor, Instant now);

private:
    struct Child {
        proto::InForce report;
        Instant heard;
    };
    Duration m_reportLife;
    std::map<std::string, Child> m_children;
};

} // namespace robinrun
