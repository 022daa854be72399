#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Reads what nodes hold back from their logs, and the crashes that led to it.
///
/// For each content: since when it is held back and until when at the soonest, by how many of the nodes,
/// whether it was freed, and each crash against it with the upstream, the node that saw it and what else ran
/// there. \param logs texts of the nodes' logs; lines that are no JSON object are passed over. \returns text
/// for people; it says so if nothing is held back.
std::string heldRequests(const std::vector<std::string>& logs);

} // namespace robinrun
