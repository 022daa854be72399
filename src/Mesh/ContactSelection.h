#pragma once

#include "peer.pb.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief The peers with which one node is in regular contact.
struct Contacts {
    std::vector<std::string> near; ///< in the node's own data hall, or anywhere in a small system
    std::map<std::string, std::vector<std::string>> far; ///< by data hall, where the node is a bridge to it

    /// \returns all contacts, the near ones first.
    std::vector<std::string> all() const;
    /// \returns the number of contacts in other data halls.
    std::size_t farCount() const;
};

/// Nodes of a data hall that are bridges to one other hall. If half of the nodes of both halls fail at once,
/// the chance that no bridge is left between them is below one in fifty, and records then go through the
/// other halls.
inline constexpr std::size_t bridgesPerHall = 8;
/// Bridges of the other hall with which a bridge is in contact.
inline constexpr std::size_t contactsPerBridge = 3;

/// \brief Selects the contacts of \a self among \a nodes, the newest record of each node by its name.
///
/// Contacts are in the node's own data hall: those with the lowest hash of the pair of names, so that most
/// pairs select each other. Only a few nodes of each hall, the bridges, are in contact with other halls. So
/// the messages between two halls do not increase with the number of their nodes. Nodes find the bridges by
/// hashes, without an election. In a system of at most \a n peers all are contacts, and a node without a
/// record of its own selects among the nodes of all halls.
/// Cost: O(nodes log nodes).
Contacts selectContacts(
    const std::map<std::string, proto::NodeRecord>& nodes, const std::string& self, std::size_t n);

} // namespace robinrun
