#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/Slowdown.h"

#include <array>
#include <optional>

namespace robinrun {

/// \brief Estimates the slot time of calls of one class, separately for calls that start while the backend
/// server reports a slowdown and for all others.
///
/// Slow phases of shared hosts are often shorter than a call. A call that starts in such a phase takes
/// longer, but by far less than the reported factor. Therefore the two means are measured separately instead
/// of scaling one by the factor. Cost: O(1); 48 bytes.
class ClassSlotTimeEstimate {
public:
    /// \param slowdown factor known when the call was sent.
    void addSample(Duration held, double slowdown) { m_meanSeconds[bucketOf(slowdown)].add(toSeconds(held)); }

    /// \returns the mean slot time of calls that start under \a slowdown; the other mean if there are no such
    /// calls; nothing if there are no calls at all.
    std::optional<Duration> expectedSlotTime(double slowdown) const
    {
        const auto bucket = bucketOf(slowdown);
        const auto& mean = m_meanSeconds[bucket].isSet() ? m_meanSeconds[bucket] : m_meanSeconds[1 - bucket];
        if (!mean.isSet())
            return std::nullopt;
        return fromSeconds(mean.value());
    }

private:
    static constexpr double sampleWeight = 0.05;
    static std::size_t bucketOf(double slowdown) { return isSlow(slowdown) ? 1 : 0; }

    std::array<Ewma, 2> m_meanSeconds { Ewma(sampleWeight), Ewma(sampleWeight) };
};

} // namespace robinrun
