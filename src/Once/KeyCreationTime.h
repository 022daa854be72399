#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace robinrun {

/// \brief When an idempotency key was made, read from the key itself.
///
/// A key must prove its age: a claim on it may have been made and forgotten by the log, and only a key
/// younger than what the log keeps is known to be new. Two forms carry a time: a UUID of version 7, and
/// `<seconds since 1970>:<anything>`.
/// \returns milliseconds since 1970; nothing for a key of any other form.
std::optional<std::int64_t> keyCreationTimeMs(std::string_view key);

} // namespace robinrun
