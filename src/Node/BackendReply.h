#pragma once

#include "Core/Time.h"
#include "Http/HttpTypes.h"
#include "Node/CallHeaders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/// \brief A header field of a backend server that cannot be read.
struct HeaderFault {
    std::string field;
    std::string value;
    std::string_view fault;
};

/// \brief What a backend server states about itself in an answer.
struct BackendStatement {
    /// Requests per second that it accepts from all nodes together; nothing if it names no limit.
    std::optional<double> rateLimit;
    bool isRateLimitReadable = true; ///< otherwise nothing is known of the limit
    bool isLeaving = false; ///< it will stop and takes no new calls
    std::vector<HeaderFault> faults;
};

/// \brief Reads what a backend server states about itself by the deployment's header names. A field that
/// cannot be read, or that is given twice with different values, is listed in `faults`.
BackendStatement readStatement(const HttpHeaders& headers, const CallHeaders& names);

/// \brief Parses a `Retry-After` field in seconds, which may have a fraction. \returns nothing if it isn't
/// that, or more than an hour. A date is not read.
std::optional<Duration> parseRetryAfter(std::string_view text);

/// \brief Parses a rate limit, a decimal number such as `10.8`. \returns nothing if it isn't that.
std::optional<double> parseRateLimit(std::string_view text);

} // namespace robinrun
