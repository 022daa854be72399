#pragma once

#include "Core/Time.h"
#include "resources.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace robinrun {

/// \brief What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t maxHeaderBytes = 32U << 10U; ///< bytes
    std::size_t maxBodyBytes = 1U << 20U; ///< bytes
    Duration headerTimeout = 10s; ///< for a whole request
    Duration idleTimeout = 60s; ///< between two requests of a connection
};

/// \brief An entry that could not be read whole: its calls are refused, or what can't be read is left out.
struct ConfigurationError {
    std::string location; ///< entry and field
    std::string message;
};

/// \brief One version of a configuration that is written as a whole.
struct Configuration {
    std::uint64_t version = 0; ///< rises; in uneven steps
    std::vector<proto::Resource> resources; ///< services, routes and groups
    CallerLimits limits;
    std::vector<ConfigurationError> errors;
};

} // namespace robinrun
