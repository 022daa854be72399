#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/ClassSlotTimeEstimate.h"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace robinrun {

/// \brief How long calls hold a slot, now: from calls that ended and from those still running.
///
/// The mean of ended calls lags a sudden slow-down by a whole slow call. Running calls tell sooner: when the
/// oldest of them have run far longer than the mean, the estimate follows their elapsed time.
/// Cost: start and end O(log running); reading O(1).
class SlotTimeEstimate {
public:
    /// \param initial estimate before any call has ended.
    explicit SlotTimeEstimate(Duration initial);

    void onRunStarted(std::uint64_t id, Instant now);

    /// \returns how long the call held its slot.
    Duration onRunEnded(std::uint64_t id, std::uint32_t callClass, Instant now);

    /// \brief The backend server says that work takes \a factor times as long as usual from now on.
    void setSlowdown(double factor) { m_slowdown = factor; }
    double slowdown() const { return m_slowdown; }

    /// \returns expected slot time of a new call of \a callClass.
    Duration expectedSlotTime(std::uint32_t callClass) const;

    /// \returns the mean slot time of ended calls, over all classes.
    Duration mean() const { return fromSeconds(m_meanSeconds.value()); }

    /// \returns the mean slot time over all classes, raised by calls that run long. \param now the present.
    Duration meanIncludingRunning(Instant now) const;

    std::size_t runningCount() const { return m_runningCalls.size(); }

private:
    Ewma m_meanSeconds;
    std::unordered_map<std::uint32_t, ClassSlotTimeEstimate> m_estimateByClass;
    struct RunningCall {
        Instant startTime;
        double slowdown;
    };
    double m_slowdown = 1;
    std::unordered_map<std::uint64_t, RunningCall> m_runningCalls;
    double m_startTimeSumSeconds = 0;
    Instant m_timeOrigin {};
};

} // namespace robinrun
