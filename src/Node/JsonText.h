#pragma once

#include "Core/Result.h"

#include <google/protobuf/message.h>
#include <string>

namespace robinrun {

/// \returns \a message as JSON with the field names of the schema.
std::string toJson(const google::protobuf::Message& message);

/// \brief Reads JSON or YAML into \a message; unknown fields are errors. \returns what is wrong, or "".
std::string fromText(const std::string& text, google::protobuf::Message& message);

/// \brief Merges a patch (JSON or YAML, RFC 7396) into \a message. \returns what is wrong, or "".
std::string mergePatch(const std::string& patch, google::protobuf::Message& message);

} // namespace robinrun
