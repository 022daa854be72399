#pragma once

#include "Http/HttpTypes.h"

#include <string_view>

namespace robinrun::headers {

/// \file Header fields between callers, nodes and backend servers. \sa docs/CALLING.md

inline constexpr std::string_view credential = "Robinrun-Credential";
inline constexpr std::string_view deadline = "Robinrun-Deadline-Ms";
inline constexpr std::string_view attempts = "Robinrun-Attempts-Left";
inline constexpr std::string_view group = "Robinrun-Group";
inline constexpr std::string_view ticket = "Robinrun-Ticket";
inline constexpr std::string_view key = "Idempotency-Key";
inline constexpr std::string_view outcome = "Robinrun-Outcome";
inline constexpr std::string_view reason = "Robinrun-Reason";
inline constexpr std::string_view advice = "Robinrun-Advice";
inline constexpr std::string_view retryAfterMs = "Robinrun-Retry-After-Ms";
inline constexpr std::string_view queuedUs = "Robinrun-Queued-Us";
/// By which a backend server may say with any answer that it drains.
inline constexpr std::string_view backendState = "Backend-State";

/// \returns whether a caller's field is for this system and not passed on to the backend server.
inline bool isForUs(std::string_view name)
{
    return equalIgnoringCase(name, credential) || equalIgnoringCase(name, deadline)
        || equalIgnoringCase(name, attempts) || equalIgnoringCase(name, ticket)
        || equalIgnoringCase(name, group);
}

} // namespace robinrun::headers
