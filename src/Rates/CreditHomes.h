#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Which node lends each part of each group's rate, the same for all nodes that know the same nodes.
///
/// Rendezvous hashing: of a node that goes only its own parts move. Cost: O(nodes) for a part that is asked for first
/// since the nodes changed, then O(log parts).
class CreditHomes {
public:
    /// \brief Sets the nodes: all that are not gone, whether they can be reached or not.
    void setNodes(std::vector<std::string> names);

    /// \returns the node that lends \a part of the rate of \a group; "" if there is no node.
    const std::string& homeOf(std::string_view group, std::uint32_t part);

private:
    std::vector<std::string> m_nodes;
    std::map<std::pair<std::string, std::uint32_t>, std::string, std::less<>> m_homes;
};

} // namespace robinrun
