#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/ClassSlotTimeEstimate.h"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace robinrun {

/// \brief Estimates how long calls currently hold a slot, from ended and from running calls.
///
/// The mean of ended calls lags behind a sudden slowdown by one slow call. Running calls show it earlier:
/// once their mean elapsed time exceeds the mean of ended calls, the estimate follows the elapsed time. Cost:
/// O(1) on average per start, end and reading.
class SlotTimeEstimate {
public:
    /// \param initial estimate used before any call has ended.
    explicit SlotTimeEstimate(Duration initial);

    void onRunStarted(std::uint64_t id, Instant now);

    /// \returns how long the call held its slot.
    Duration onRunEnded(std::uint64_t id, std::uint32_t callClass, Instant now);

    /// \brief Records that, as the backend server reports, work takes \a factor times as long as usual from
    /// now on.
    void setSlowdown(double factor) { m_slowdown = factor; }
    double slowdown() const { return m_slowdown; }

    /// \returns the expected slot time of a new call of \a callClass.
    Duration expectedSlotTime(std::uint32_t callClass) const;

    /// \returns the mean slot time of ended calls of all classes.
    Duration mean() const { return fromSeconds(m_meanSeconds.value()); }

    /// \returns the larger of mean() and the mean elapsed time of the calls running at \a now.
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
