#pragma once

#include <cstdint>
#include <string_view>

namespace robinrun {

/// \brief What a call asks for, whoever carries it: calls that are sent again under another id, through
/// another node or as a second attempt have the same content.
struct CallContent {
    std::string_view group; ///< of the caller
    std::string_view method;
    std::string_view host; ///< that the caller named
    std::string_view target; ///< path and query
    std::string_view body;
};

/// \brief Stands for a content between nodes and in logs; 63 bits, so that logs show it as a plain number.
using ContentId = std::uint64_t;

/// \returns the id of \a content: the beginning of a SHA-256, so that nobody can make a request that is taken
/// for a given one of somebody else. Cost: about 2 us and 2 ns a byte of the body.
ContentId contentIdOf(const CallContent& content);

/// \returns a hash of \a content for tables of one node; not safe against callers who look for collisions.
/// Cost: about 50 ns and 0.1 ns a byte of the body.
std::uint64_t quickHashOf(const CallContent& content);

} // namespace robinrun
