#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/WorkEstimate.h"

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
class ServiceEstimate {
public:
    /// \param initial estimate before any call has ended.
    explicit ServiceEstimate(Duration initial);

    void started(std::uint64_t id, Instant now);

    /// \returns how long the call held its slot.
    Duration ended(std::uint64_t id, std::uint32_t callClass, Instant now);

    /// \brief The backend server says that work takes \a factor times as long as usual from now on.
    void setSlowdown(double factor) { m_slowdown = factor; }
    double slowdown() const { return m_slowdown; }

    /// \returns expected slot time of a new call of \a callClass.
    Duration of(std::uint32_t callClass) const;

    /// \returns the mean slot time of ended calls, over all classes.
    Duration mean() const { return fromSeconds(m_overall.value()); }

    /// \returns the mean slot time over all classes, raised by calls that run long. \param now the present.
    Duration overall(Instant now) const;

    std::size_t running() const { return m_started.size(); }

private:
    Ewma m_overall;
    std::unordered_map<std::uint32_t, WorkEstimate> m_byClass;
    struct Started {
        Instant at;
        double slowdown;
    };
    double m_slowdown = 1;
    std::unordered_map<std::uint64_t, Started> m_started;
    double m_startedSumSeconds = 0;
    Instant m_origin {};
};

} // namespace robinrun
