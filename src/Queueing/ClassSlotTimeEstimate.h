#pragma once

#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/Slowdown.h"

#include <array>
#include <optional>

namespace robinrun {

/// \brief How long calls of one class hold a slot, apart for those that started on a calm backend server and
/// on one that told of a slow-down.
///
/// Slow phases of shared hosts are often shorter than a call, so that a call which starts in one takes
/// longer, but by far less than the factor told. The two means are measured rather than computed from the
/// factor. Cost: O(1); 48 bytes.
class ClassSlotTimeEstimate {
public:
    /// \param slowdown as it was known when the call was sent.
    void addSample(Duration held, double slowdown) { m_meanSeconds[bucketOf(slowdown)].add(toSeconds(held)); }

    /// \returns the mean slot time of calls that start under \a slowdown; of the others if there were none;
    /// nothing if there were none at all.
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
