#pragma once

#include "Rates/RateTolerance.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief Which node lends each part of each group's rate, the same for all nodes that know the same nodes.
///
/// Rendezvous hashing over the nodes with the most capacity, as a lender has more to do than others. Cost:
/// O(nodes) for a group that is asked for first since the nodes changed, then O(log groups).
class LenderAssignment {
public:
    struct Node {
        std::string name;
        double capacity = 0; ///< cores; 0: not known
        auto operator<=>(const Node&) const = default;
    };
    /// \brief Sets the nodes: all that are not gone, whether they can be reached or not.
    void setNodes(std::vector<Node> nodes);

    /// \returns the node that lends \a part of the rate of \a group; "" if there is no node.
    const std::string& lenderOf(std::string_view group, std::uint32_t part);

private:
    using PartLenders = std::array<std::string, maxRateParts>;

    std::vector<Node> m_nodes;
    std::vector<std::string> m_candidates; ///< those with the most capacity
    std::map<std::string, PartLenders, std::less<>> m_partLenders;
};

} // namespace robinrun
