#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"

#include <cmath>
#include <optional>

namespace robinrun {

/// \brief Mean and mean deviation of latencies, and from them when an answer is late (after RFC 6298).
///
/// Cost: O(1); 32 bytes.
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

    /// \returns the time after which an answer is later than nearly all; nothing before enough have been
    /// seen.
    std::optional<Duration> lateThreshold() const
    {
        if (m_samples < minSamples)
            return std::nullopt;
        return fromSeconds(m_mean.value() + lateDeviations * m_deviation.value());
    }

private:
    static constexpr unsigned minSamples = 20;
    /// Log-normal latencies with sigma 0.5 pass this in about 1 of 700 cases.
    static constexpr double lateDeviations = 6;

    Ewma m_mean { 0.02 };
    Ewma m_deviation { 0.02 };
    unsigned m_samples = 0;
};

} // namespace robinrun
