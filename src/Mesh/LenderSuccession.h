#pragma once

#include "Core/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace robinrun {

/// \brief Delays of the succession of lost lenders.
struct SuccessionTiming {
    /// Time from the mark of a node to the succession. Within it a node that can be reached hears of its
    /// mark and takes it back, and a node that is cut off notices.
    Duration handoverDelay = 2s;
    /// Time on the smaller side after which others may lend the parts of this node; less than the time
    /// in which the others mark it, plus handoverDelay.
    Duration minorityDelay = 3s;
};

/// \brief Decides which lost nodes are succeeded as lenders of rates, and how much this node itself may lend.
///
/// Contacts mark a node that they have not reached for long as unreachable; a node that is well and hears of
/// it takes the mark back. A mark that stands for SuccessionTiming::handoverDelay is final for the purpose of
/// lending: the parts of the node move to others, if this node is on the side of a possible network partition
/// with most of the nodes. On the smaller side, parts that are lent here may have moved on the other one
/// meanwhile. Does no I/O. Cost: O(log marked nodes) a mark, O(marked nodes) an update.
class LenderSuccession {
public:
    explicit LenderSuccession(SuccessionTiming timing = {})
        : m_timing(timing)
    {
    }

    /// \brief Records whether the record of \a node marks it as unreachable.
    void setMarked(const std::string& node, bool isMarked, Instant now);

    /// \brief To be called periodically.
    /// \param reach estimated fraction of all nodes that this node can reach.
    /// \param nodeCount number of all nodes that are not gone, marked ones included.
    void update(double reach, std::size_t nodeCount, Instant now);

    /// \returns the nodes whose parts other nodes lend now.
    const std::set<std::string>& succeededNodes() const { return m_succeeded; }
    std::size_t markedCount() const { return m_markedAt.size(); }

    /// \returns the fraction of the nodes that this node can reach, as far as contacts and marks tell; below
    /// one half on the smaller side.
    double reachableFraction() const { return m_reachableFraction; }
    /// \returns whether other nodes may lend the parts of this node.
    bool mayBeSucceeded(Instant now) const;

private:
    SuccessionTiming m_timing;
    std::map<std::string, Instant> m_markedAt; ///< When this node heard of the mark.
    std::set<std::string> m_succeeded;
    double m_reachableFraction = 1;
    bool m_isMinority = false;
    Instant m_minoritySince {};
};

} // namespace robinrun
