#pragma once

#include "Core/Result.h"
#include "Http/HttpTypes.h"
#include "Mesh/Announcement.h"
#include "Mesh/Configuration.h"
#include "Node/CallHeaders.h"
#include "Rollout/RolloutOrder.h"

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
    /// \returns the service that a record of the configuration topic orders a roll-out of, by its key;
    /// nothing for other records.
    std::function<std::optional<std::string>(std::string_view key)> parseRolloutKey;
    /// \brief Parses the order of a roll-out of \a service. The error names the field.
    std::function<Result<RolloutOrder, std::string>(const std::string& service, std::string_view text)>
        readRolloutOrder;
    std::string rolloutStatusTopic; ///< topic of the store for the status of roll-outs
    std::function<std::string(const std::string& service)> rolloutStatusKey;
    std::function<std::string(const RolloutStatus& status)> writeRolloutStatus;
    /// \returns the status that this system has written; nothing if the text is none.
    std::function<std::optional<RolloutStatus>(std::string_view text)> readRolloutStatus;
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
