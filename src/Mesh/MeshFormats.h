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

/// \brief The formats in which a deployment writes the inputs of a mesh node. The functions only translate
/// and make no decisions.
struct MeshFormats {
    CallHeaders headers;
    std::string configurationTopic; ///< topic of the store in which the configuration is one record
    std::string configurationKey;
    /// \returns the data hall that a record of the configuration topic empties, by its key; nothing for other
    /// records.
    std::function<std::optional<std::string>(std::string_view key)> parseEmptiedHall;
    std::string nodesTopic; ///< topic of the store for the records of nodes
    std::string readinessPath; ///< answers with status 200 if the node is ready, otherwise 503
    std::string metricsPath; ///< answers in the text format of Prometheus
    /// \brief Parses a configuration. The error names the field.
    std::function<Result<Configuration, std::string>(std::string_view text)> readConfiguration;
    /// \returns the version of a configuration without parsing the rest; nothing if the text has no version.
    std::function<std::optional<std::uint64_t>(std::string_view text)> readVersion;
    /// \brief Parses an announcement of the backend server beside this node. The error names the field.
    std::function<Result<Announcement, std::string>(const HttpRequest& request)> readAnnouncement;
};

} // namespace robinrun
