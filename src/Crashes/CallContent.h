#pragma once

#include <cstdint>
#include <string_view>

namespace robinrun {

/// \brief The parts of a call that determine what it does at a backend server.
///
/// Calls that are repeated under another id, through another node or as another attempt have the same
/// content.
struct CallContent {
    std::string_view group; ///< Of the caller.
    std::string_view method;
    std::string_view host; ///< As named by the caller.
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// \brief Identifies a content between nodes and in logs. Has 63 bits, so that logs show it as a plain
/// number.
using ContentId = std::uint64_t;

/// \returns the id of \a content: a prefix of its SHA-256, so that nobody can craft a request with the id of
/// somebody else's request. Cost: about 2 us plus 2 ns for each byte of the body.
ContentId contentIdOf(const CallContent& content);

/// \returns a hash of \a content for tables of a single node. Callers can construct collisions.
/// Cost: about 50 ns plus 0.1 ns for each byte of the body.
std::uint64_t quickHashOf(const CallContent& content);

} // namespace robinrun
