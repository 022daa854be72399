#pragma once

#include "Core/Time.h"
#include "Crashes/CallContent.h"

#include <deque>
#include <optional>
#include <vector>

namespace robinrun {

/// \brief A call that ran when its backend server ended.
struct CrashSuspect {
    ContentId content = 0;
    Duration runTime {}; ///< until then
    bool hadSucceededBefore = false; ///< a call of that content has, at the same owner, a while ago
    std::uint64_t quickHash = 0; ///< of the content
};

/// \brief Tells at an owner whether its backend server has crashed, and which calls ran on it.
///
/// A run that breaks shows nothing by itself: connections are reset, answers get lost, full servers hang up.
/// The server has crashed if nothing listens at its address afterwards, or if its next life comes; it has not
/// if it answers a request that was sent after the break. What runs at the moment of the first break is
/// suspect, and what was cut off just before, as some servers work on after that. One life of a server
/// crashes once. Cost: O(suspects) at a break, nothing otherwise.
class CrashDetector {
public:
    /// A server may work on for so long at what was cut off; nearly all drop it within a round trip.
    static constexpr Duration maxWorkAfterCutOff = 500ms;
    /// Of a server that neither answers nor refuses for so long after a break, no crash is assumed.
    static constexpr Duration breakTimeout = 5s;

    /// \brief A call was cut off while it ran.
    void onCallCutOff(const CrashSuspect& call, Instant now);

    /// \brief A run has broken while \a running ran, the broken one among them.
    void onRunBroken(std::vector<CrashSuspect> running, Instant now);

    /// \returns whether a break is not explained yet: then the server should be asked for a sign of life.
    bool isBreakUnexplained(Instant now) const;

    /// \brief The server has answered a request that was sent at \a sentAt.
    void onAnswer(Instant sentAt);

    /// \brief Nothing listens at the server's address. \returns the suspects if that shows a crash of this
    /// life, and is not known yet; never an empty list.
    std::optional<std::vector<CrashSuspect>> onConnectionRefused(Instant now);

    /// \brief The next life of the server has come: its own breaks count. \returns as refused().
    std::optional<std::vector<CrashSuspect>> onNewIncarnation(Instant now);

private:
    struct BrokenRun {
        Instant brokenAt {};
        std::vector<CrashSuspect> suspects;
    };
    struct CutOffCall {
        CrashSuspect call;
        Instant cutOffAt {};
    };

    void forgetOldCutOffs(Instant now);

    std::optional<BrokenRun> m_brokenRun;
    std::deque<CutOffCall> m_cutOffCalls;
    bool m_hasCrashed = false; ///< the present life's end is known
};

} // namespace robinrun
