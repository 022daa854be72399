#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"

#include <cmath>
#include <optional>

namespace robinrun {

/// \brief Tracks the mean and the mean deviation of latencies, and derives from them the time after which an
/// answer is late, as RFC 6298 does for TCP's retransmission timer.
///
/// Cost: O(1); 32 bytes of memory.
class LatencyStatistics {
public:
    void addSample(Duration latency)
    {
        const double seconds = toSeconds(latency);
        if (m_mean.isSet())
            m_deviation.add(std::abs(seconds - m_mean.value()));
        m_mean.add(seconds);
        ++m_samples;
    }

    /// \returns the time within which nearly all answers arrive; std::nullopt before `minSamples` samples.
    std::optional<Duration> lateThreshold() const
    {
        if (m_samples < minSamples)
            return std::nullopt;
        return fromSeconds(m_mean.value() + lateDeviations * m_deviation.value());
    }

private:
    static constexpr unsigned minSamples = 20;
    /// Distance of the threshold from the mean, in mean deviations. About 1 in 700 log-normal latencies with
    /// sigma 0.5 exceeds it.
    static constexpr double lateDeviations = 6;

    Ewma m_mean { 0.02 };
    Ewma m_deviation { 0.02 };
    unsigned m_samples = 0;
};

} // namespace robinrun
