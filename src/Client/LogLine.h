#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace robinrun {

/// \brief One line of a node's log.
struct LogLine {
    using Json = nlohmann::ordered_json;

    std::int64_t atMs = 0; ///< since 1970, by the clock of its node
    std::string time; ///< the same as it was logged
    std::string node;
    std::string event;
    std::string request; ///< "" for lines about none
    std::uint64_t attempt = 0; ///< 0: none
    std::string from; ///< node that asked; "" for lines of an ingress
    Json fields; ///< all others

    /// \returns a whole number among the fields; \a otherwise if it is absent or no number.
    std::int64_t number(const char* name, std::int64_t otherwise = 0) const;
    /// \returns a text among the fields; "" if it is absent or no text.
    std::string text(const char* name) const;
};

/// \brief Gives \a take each line of \a log, without its end.
void eachLine(const std::string& log, const std::function<void(const std::string&)>& take);

/// \brief Reads `2026-12-02T10:11:12.123Z`. \returns milliseconds since 1970.
std::optional<std::int64_t> parseLogTime(const std::string& text);

/// \brief Reads a line; what stands before its first brace is passed over.
/// \returns nothing if it is no JSON object with a time.
std::optional<LogLine> parseLogLine(const std::string& text);

} // namespace robinrun
