#pragma once

#include "Core/EnumNames.h"
#include "Core/Result.h"
#include "Core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief What went wrong between a node and the platform.
enum class PlatformErrorKind {
    Unreachable, ///< the request was not taken
    Uncertain, ///< no reply: the request may have taken effect, or may yet
    Refused, ///< the service answered that it won't
    Malformed, ///< the reply makes no sense
    Forgotten, ///< what was asked for is no longer kept
    FormerEra, ///< the answer is of a time before the store came back from an older copy
    Conflict, ///< the condition of a write did not hold: nothing was done
};

template <> struct EnumNames<PlatformErrorKind> {
    static constexpr std::array<std::string_view, 7> names { "unreachable", "uncertain", "refused",
        "malformed", "forgotten", "former-era", "conflict" };
};

/// \brief The platform layer's own error.
struct PlatformError {
    PlatformErrorKind kind = PlatformErrorKind::Unreachable;
    std::string message;
};

/// \brief Part of a stream of the platform's log.
struct LogPage {
    std::string logId; ///< changes when the log has been replaced by an empty one
    std::uint64_t from = 0; ///< offset of the first record here
    std::uint64_t first = 0; ///< oldest offset that is still kept
    std::uint64_t end = 0; ///< offset of the next append
    std::int64_t keptSinceMs = 0; ///< all records appended since then (wall clock, ms) are still kept
    std::vector<std::string> records;
};

/// \brief The platform's append-only log, as narrow as the system needs it.
///
/// Callbacks run on the loop, exactly once each, never inside the call itself.
class AppendLog {
public:
    using Appended = std::function<void(Result<std::uint64_t, PlatformError>)>; ///< the record's offset
    using Read = std::function<void(Result<LogPage, PlatformError>)>;

    virtual ~AppendLog() = default;

    /// \brief Appends one record to \a stream.
    virtual void append(const std::string& stream, std::string record, Appended done) = 0;

    /// \brief Reads up to \a limit records from \a from on; with none there yet, waits up to \a wait for one.
    virtual void read(
        const std::string& stream, std::uint64_t from, std::size_t limit, Duration wait, Read done)
        = 0;
};

} // namespace robinrun
