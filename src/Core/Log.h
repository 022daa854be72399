#pragma once

#include "Core/EnumNames.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace robinrun {

/// \brief Severity of a log record.
enum class LogLevel { Debug, Info, Warning, Error };

template <> struct EnumNames<LogLevel> {
    static constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
};

/// \brief How a record is written: one JSON object a line, or text for people.
enum class LogFormat { Json, Text };

template <> struct EnumNames<LogFormat> {
    static constexpr std::array<std::string_view, 2> names { "json", "text" };
};

/// \brief One named value of a structured record.
struct LogField {
    std::string_view key;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;

    LogField(std::string_view k, std::string_view v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, const char* v)
        : key(k)
        , value(std::string_view(v))
    {
    }
    LogField(std::string_view k, const std::string& v)
        : key(k)
        , value(std::string_view(v))
    {
    }
    LogField(std::string_view k, int v)
        : key(k)
        , value(std::int64_t { v })
    {
    }
    LogField(std::string_view k, std::int64_t v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, std::uint64_t v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, std::uint32_t v)
        : key(k)
        , value(std::uint64_t { v })
    {
    }
    LogField(std::string_view k, double v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, bool v)
        : key(k)
        , value(v)
    {
    }
};

/// \brief How a program logs.
struct LogOptions {
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Json;
    std::string source; ///< named in each line
    double linesPerSecond = 0; ///< lines beyond are dropped and counted, errors last; 0: no bound
    bool isBuffered = false; ///< lines wait for flushLog() or a full buffer
    int fd = 1; ///< where lines go: standard output
};

/// \brief Sets up the sink (standard output) once, at the start of a program. Writing never waits for the
/// reader.
void startLog(const LogOptions& options);

/// \brief Writes what was buffered, as far as the reader takes it, and says how many lines were dropped since
/// the last time. To be called a few times a second.
void flushLog();

/// \returns lines dropped so far: over the bound, or not taken by the reader.
std::uint64_t droppedLogLines();

/// \brief Changes the least severity that is written, the format and the bound; where lines go stays. The
/// bound begins anew if it is another one.
void changeLog(LogLevel level, LogFormat format, double linesPerSecond);

/// \returns whether records of \a level are written; saves building fields that nobody reads.
bool logs(LogLevel level);

/// \brief Writes one record: \a event in lower case with dashes, then its fields.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// \brief The same for something that happened at \a at.
void logAt(std::chrono::system_clock::time_point at, LogLevel level, std::string_view event,
    std::span<const LogField> fields);

/// \returns \a s as the inside of a JSON string.
std::string escapeJson(std::string_view s);

} // namespace robinrun
