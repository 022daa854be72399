#pragma once

#include "Core/Time.h"
#include "Http/HttpTypes.h"
#include "Node/CallHeaders.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace robinrun {

/// \brief What a backend server's reply says of the call, whatever its status.
enum class BackendVerdict {
    Answered, ///< its own whole answer, good or bad
    NotRun, ///< it says that it did not run the call
    OtherUpstream, ///< another start of the server, or another server, has the address; not run
    Foreign, ///< not signed as its answers are
};

/// \brief Reads a backend server's reply by the deployment's header names.
BackendVerdict judge(const HttpReply& reply, const CallHeaders& names);

/// \brief The load that a backend server tells with its replies.
struct BackendLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowdown = 1; ///< how much longer work takes at this moment
};

/// \brief Parses `running,waiting,slots[,percent]`. \returns nothing if it isn't that.
std::optional<BackendLoad> parseLoad(std::string_view text);

/// \brief Parses how long a backend server stays cold, in whole ms. \returns nothing if it isn't that, or
/// more than an hour: no server takes so long.
std::optional<Duration> parseColdFor(std::string_view text);

} // namespace robinrun
