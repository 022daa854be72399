#pragma once

#include <string>
#include <vector>

namespace robinrun {

/// \returns which data halls the nodes whose logs these are hold for emptied, a line a hall: since when the
/// first and the last of them knows it, and which of the hall's own nodes still had calls when it heard.
/// Halls that all have taken back are left out. Cost: O(lines).
std::string emptiedHalls(const std::vector<std::string>& logs);

} // namespace robinrun
