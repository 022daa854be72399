#pragma once

#include "resources.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief What is wrong with one field of a resource.
struct FieldError {
    std::string field; ///< path, as in `service.classes[1].path_prefix`
    std::string message;
    std::string toString() const { return field + ": " + message; }
};

/// \brief Checks a resource whole. \returns every error; empty if it may be accepted.
///
/// The same check runs at the API and in the fold, so that a record written by hand can't get past it.
std::vector<FieldError> validate(const proto::Resource& resource);

/// \returns whether \a address is an IPv4 address and a port, `a.b.c.d:port`.
bool isIpv4Endpoint(std::string_view address);

} // namespace robinrun
