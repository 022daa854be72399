#pragma once

#include "Rates/RateTolerance.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief Assigns each part of a group's rate to the node that lends its credits.
///
/// Nodes that know the same set of nodes compute the same assignment. It uses rendezvous hashing over the
/// nodes with the most capacity, because lending adds to a node's load. Cost: O(nodes) for the first lookup
/// of a group after the set of nodes has changed, then O(log groups).
class LenderAssignment {
public:
    struct Node {
        std::string name;
        double capacity = 0; ///< In cores; 0 if unknown.
        auto operator<=>(const Node&) const = default;
    };
    /// \brief Sets the known nodes: all that have not left, including those that can't be reached now.
    /// \returns whether they differ from those known before.
    bool setNodes(std::vector<Node> nodes);

    /// \param part index of the part, less than maxRateParts.
    /// \returns the name of the node that lends \a part of the rate of \a group; empty if no node is known.
    const std::string& lenderOf(std::string_view group, std::uint32_t part);

private:
    using PartLenders = std::array<std::string, maxRateParts>;

    std::vector<Node> m_nodes;
    std::vector<std::string> m_candidates; ///< Names of the nodes with the most capacity.
    std::map<std::string, PartLenders, std::less<>> m_partLenders; ///< By group; filled on first use.
};

} // namespace robinrun
