#pragma once

#include "Core/Result.h"

#include <string>
#include <vector>

namespace robinrun {

/// \brief Why there is no story.
struct ExplainError {
    std::string message;
};

/// \brief The log lines of one request, from the logs of any number of nodes, in the order in which things
/// happened.
///
/// The clocks of nodes differ. An owner's lines of an attempt lie between the choice of that attempt and its
/// end at the ingress, so they are moved into that span if their own times say otherwise; how far is told.
/// \param logs texts of the nodes' logs; lines that are no JSON object are passed over.
/// \returns a line for people for each event; the error says that nothing was found.
Result<std::string, ExplainError> explain(const std::string& request, const std::vector<std::string>& logs);

} // namespace robinrun
