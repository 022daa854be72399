#pragma once

#include "Core/Result.h"
#include "Http/HttpTypes.h"
#include "Mesh/Announcement.h"
#include "Mesh/Configuration.h"
#include "Node/CallHeaders.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief How a deployment writes what a mesh node reads: translations only, nothing that decides.
struct MeshFormats {
    CallHeaders headers;
    std::string configurationTopic; ///< of the store; the configuration is one record in it
    std::string configurationKey;
    /// \returns the data hall that a record beside the configuration empties by its key; nothing if it is
    /// about something else.
    std::function<std::optional<std::string>(std::string_view key)> parseEmptiedHall;
    std::string nodesTopic; ///< of the store; the nodes' own
    std::string readinessPath; ///< 200 if the node is ready, else 503
    std::string metricsPath; ///< text in the format of Prometheus
    /// \brief Reads a configuration. The error names the field.
    std::function<Result<Configuration, std::string>(std::string_view text)> readConfiguration;
    /// \returns the version that a configuration names, without reading the rest; nothing if it names none.
    std::function<std::optional<std::uint64_t>(std::string_view text)> readVersion;
    /// \brief Reads an announcement of the backend server beside this node. The error names the field.
    std::function<Result<Announcement, std::string>(const HttpRequest& request)> readAnnouncement;
};

} // namespace robinrun
