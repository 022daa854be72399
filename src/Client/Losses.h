#pragma once

#include "Core/EnumNames.h"
#include "Core/Result.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Why a call was not answered in time, as far as the logs tell.
enum class LossCause {
    NoRoom, ///< refused: the queues were too long
    Hopeless, ///< refused: it could not end before its deadline
    NoUpstream, ///< refused: none could be reached or was left
    ServerLimit, ///< refused: the servers name limits that admit no call in time
    HeldBack, ///< refused: servers have crashed under the same request
    NotReady, ///< refused: the node stops, or has no configuration yet
    LateWaited, ///< answered late; most of the excess was the wait for a slot
    LateSecondAttempt, ///< answered late by an upstream that was not asked first
    LateSlowServer, ///< answered late by a server that told of a slow-down when the call came
    LateWork, ///< answered late; the server took long, and told nothing
    ServerFailed, ///< the server answered with an error
    CutOff, ///< no whole answer came from the server or its node
    OutOfTime, ///< the deadline or the route's time-out passed while it ran
    CallerLeft,
};

template <> struct EnumNames<LossCause> {
    static constexpr std::array<std::string_view, 14> names { "refused: no room", "refused: hopeless",
        "refused: no upstream", "refused: server limit", "refused: held back", "refused: not ready",
        "late: waited", "late: second attempt", "late: slow server", "late: long work",
        "failed: by the server", "failed: cut off", "failed: out of time", "caller left" };
};

/// \brief Calls of one kind that were lost for one reason.
struct Loss {
    LossCause cause {};
    std::string route; ///< route and service, as `route-chosen` tells
    bool isNested = false; ///< made by a backend server for a call that it ran
    std::uint64_t calls = 0;
    std::int64_t worstSecondMs = 0; ///< start of the second with most of them, since 1970
    std::uint64_t inWorstSecond = 0;
    std::string upstream; ///< that most of them went to; "" if none did
    std::string example; ///< id of one, for explain()
};

/// \brief Why there is no table.
struct LossesError {
    std::string message;
    std::size_t log = 0; ///< place of the bad log in the list
};

/// \brief A span of time, in milliseconds since 1970; the end is not part of it.
struct LossSpan {
    std::int64_t beginMs = std::numeric_limits<std::int64_t>::min();
    std::int64_t endMs = std::numeric_limits<std::int64_t>::max();
};

/// \brief Finds where calls were lost, from the logs of any number of nodes.
///
/// Lost calls are written whole by each node, so the counts are exact unless lines were dropped
/// (`lines-dropped`). Clocks of nodes differ: a call counts by the end its ingress tells.
/// \returns losses, most first; the error names a log without any line.
Result<std::vector<Loss>, LossesError> findLosses(const std::vector<std::string>& logs, const LossSpan& span);

/// \returns the losses as a table for people, a line each.
std::string showLosses(const std::vector<Loss>& losses);

} // namespace robinrun
