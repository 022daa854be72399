#pragma once

#include "Core/Result.h"
#include "Http/HttpTypes.h"
#include "ctl/CtlOptions.h"

#include <optional>
#include <string>

namespace robinrun::ctl {

/// \returns \a reply if it is a success; else prints why it is not, and returns nothing.
std::optional<HttpReply> show(const Result<HttpReply, HttpError>& reply, const CtlOptions& options);

/// \brief Prints \a json in the form that \a options ask for.
void print(const std::string& json, const CtlOptions& options);

} // namespace robinrun::ctl
