#pragma once

#include "Core/Time.h"

namespace robinrun {

/// \brief Keeps one queue from standing: controlled delay (CoDel, RFC 8289), in time spent waiting.
///
/// A queue that drains now and then is a burst and is left alone; one whose calls have all waited longer than
/// `target` for a whole `interval` stands, and calls at its head are refused at a growing rate until it
/// moves. Cost: O(1) a call.
class SojournControl {
public:
    struct Options {
        Duration target = 50ms;
        Duration interval = 500ms;
    };

    /// \brief Judges the call at the head as it is taken.
    /// \param options as they are now: they may follow the service time.
    /// \param sojourn how long it has waited.
    /// \param isLast whether no other call waits behind it: the last one is never refused.
    /// \returns whether to refuse it.
    bool shouldRefuse(const Options& options, Duration sojourn, bool isLast, Instant now);

private:
    bool isAboveTargetForInterval(const Options& options, Duration sojourn, bool isLast, Instant now);
    Instant nextRefusalAfter(const Options& options, Instant start) const;

    Instant m_intervalEnd {};
    bool m_isAboveTarget = false;
    bool m_isRefusing = false;
    Instant m_nextRefusal {};
    unsigned m_refusalCount = 0;
};

} // namespace robinrun
