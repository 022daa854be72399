#pragma once

#include "Core/Time.h"
#include "resources.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Limits on the size and the duration of callers' requests.
struct CallerLimits {
    std::size_t maxHeaderBytes = 32U << 10U;
    std::size_t maxBodyBytes = 1U << 20U;
    Duration headerTimeout = 10s; ///< until a request has been received completely
    Duration idleTimeout = 60s; ///< between two requests on one connection
};

/// \brief An entry of the configuration that could not be read completely. Calls that match it are refused,
/// or the unreadable part is left out.
struct ConfigurationError {
    std::string location; ///< the entry and the field
    std::string message;
};

/// \brief One version of the configuration, which is always written as a whole.
struct Configuration {
    std::uint64_t version = 0; ///< increases, with gaps
    std::vector<proto::Resource> resources; ///< services, routes and calling groups
    CallerLimits limits;
    std::vector<ConfigurationError> errors;
};

} // namespace robinrun
