#pragma once

#include <span>
#include <string_view>

namespace robinrun {

/// \brief One kind of log line: its name, its fields in the order of the line, and what it tells.
struct LogEventInfo {
    std::string_view name;
    std::string_view fields; ///< beyond time, level, source and event; separated by blanks
    std::string_view meaning;
};

/// \returns all kinds of lines that nodes write. A test holds the code to this table.
std::span<const LogEventInfo> logEvents();

/// \returns the kind called \a name; null if there is none. O(kinds).
const LogEventInfo* findLogEvent(std::string_view name);

} // namespace robinrun
