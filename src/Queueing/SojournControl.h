#pragma once

#include "Core/Time.h"

namespace robinrun {

/// \brief Prevents a standing queue by controlled delay (CoDel, RFC 8289) of the sojourn time.
///
/// A queue whose sojourn time falls below `target` at least once per `interval` holds a burst, and no call is
/// refused. If every call of a whole `interval` has waited longer than `target`, the queue is a standing
/// queue: calls at its head are refused at a growing rate until the sojourn time falls below `target`. Cost:
/// O(1) per call.
class SojournControl {
public:
    struct Options {
        Duration target = 50ms;
        Duration interval = 500ms;
    };

    /// \brief Decides whether to refuse the call taken from the head of the queue.
    /// \param options current target and interval; they may change with the slot time.
    /// \param sojourn how long the call has waited.
    /// \param isLast whether no call waits behind this one; the last call is never refused.
    /// \returns whether to refuse the call.
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
