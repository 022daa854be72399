#pragma once

#include "Core/Time.h"
#include "Crashes/CallContent.h"

#include <deque>
#include <optional>
#include <vector>

namespace robinrun {

/// \brief A call that ran on a backend server when the server crashed, and so may be the cause.
struct CrashSuspect {
    ContentId content = 0;
    Duration runTime {}; ///< Until the crash.
    bool hadSucceededBefore = false; ///< Whether a call of this content succeeded at this owner before.
    std::uint64_t quickHash = 0; ///< Of the content.
};

/// \brief Detects at an owner whether its backend server has crashed, and which calls ran on it.
///
/// A broken run alone is no proof: connections are reset, answers get lost, and overloaded servers close
/// connections. The server has crashed if nothing listens at its address afterwards, or if its next
/// incarnation starts. It has not crashed if it answers a request that was sent after the break. The suspects
/// are the calls that ran at the first break, and those cut off shortly before, because some servers go on
/// with these. An incarnation of a server crashes only once. Cost: O(suspects) for a break, none otherwise.
class CrashDetector {
public:
    /// Maximum time that a server goes on with a call that was cut off; nearly all servers stop within a
    /// round trip.
    static constexpr Duration maxWorkAfterCutOff = 500ms;
    /// If a server neither answers nor refuses a connection within this time after a break, no crash is
    /// assumed.
    static constexpr Duration breakTimeout = 5s;

    /// \brief Records that \a call was cut off while it ran.
    void onCallCutOff(const CrashSuspect& call, Instant now);

    /// \brief Records that the connection of a run broke.
    /// \param running the calls that ran on the server, including the broken one.
    void onRunBroken(std::vector<CrashSuspect> running, Instant now);

    /// \returns whether it is open if the last break was a crash; the server should then be probed.
    bool isBreakUnexplained(Instant now) const;

    /// \brief Records that the server has answered a request that was sent at \a sentAt.
    void onAnswer(Instant sentAt);

    /// \brief Records that the server's address refused a connection.
    /// \returns the suspects if this reveals a crash that was not known yet; never an empty list.
    std::optional<std::vector<CrashSuspect>> onConnectionRefused(Instant now);

    /// \brief Records that a new incarnation of the server has started, and begins anew for this one.
    /// \returns the suspects if this reveals a crash of the previous incarnation that was not known yet;
    /// never an empty list.
    std::optional<std::vector<CrashSuspect>> onNewIncarnation(Instant now);

private:
    struct BrokenRun {
        Instant brokenAt {};
        std::vector<CrashSuspect> suspects; ///< Calls that ran at the break.
    };
    struct CutOffCall {
        CrashSuspect call;
        Instant cutOffAt {};
    };

    void forgetOldCutOffs(Instant now);

    std::optional<BrokenRun> m_brokenRun; ///< The first break that is neither explained nor timed out.
    std::deque<CutOffCall> m_cutOffCalls; ///< In the order of their times.
    bool m_hasCrashed = false; ///< Whether the crash of the present incarnation is known.
};

} // namespace robinrun
