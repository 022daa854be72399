#pragma once

#include "resources.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief What is wrong with one field of a resource.
struct FieldError {
    std::string field; ///< path of the field, such as `service.classes[1].path_prefix`
    std::string message;
    std::string toString() const { return field + ": " + message; }
};

/// \brief Checks all fields of a resource. \returns every error; empty if the resource is valid.
///
/// The API runs this check before it appends a change, and ConfigState runs it again when it applies one, so
/// that a record written to the log by other means is checked, too.
std::vector<FieldError> validate(const proto::Resource& resource);

/// \returns whether \a address is an IPv4 address and a port, `a.b.c.d:port`.
bool isIpv4Endpoint(std::string_view address);

} // namespace robinrun
