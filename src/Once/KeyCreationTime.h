#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace robinrun {

/// \brief Reads the creation time of an idempotency key from the key itself.
///
/// The creation time is needed because the log may have dropped an earlier claim of the key: a key is only
/// known to be unclaimed if it was created within the period for which the log still holds all records. Two
/// forms of key carry a time: a UUID of version 7, and `<seconds since 1970>:<any non-empty text>`.
/// \returns milliseconds since 1970; nothing for a key of any other form.
std::optional<std::int64_t> keyCreationTimeMs(std::string_view key);

} // namespace robinrun
