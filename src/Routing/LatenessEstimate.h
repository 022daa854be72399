#pragma once

#include "Core/Time.h"

#include <array>
#include <cstddef>

namespace robinrun {

/// \brief Estimates the probability that an answer is late, from the response times of earlier calls.
///
/// The work of a call varies, and backend servers slow down while a call runs; how much differs between
/// classes. The estimate is a histogram over the logarithm of the ratio of actual to expected response time,
/// with exponentially decaying weights. Its prior is a log-normal distribution with a deviation of a third.
/// Cost: O(bins) per response and per query; 350 bytes of memory.
class LatenessEstimate {
public:
    LatenessEstimate();

    /// \brief Records a response time of \a actual where \a expected was expected. Times below 1 us count as
    /// 1 us.
    void addResponse(Duration actual, Duration expected);

    /// \returns the probability, in [0, 1], that a response with the expected time \a expected takes longer
    /// than \a limit.
    double lateProbability(Duration expected, Duration limit) const;

private:
    static constexpr std::size_t binCount = 40;

    std::array<double, binCount> m_binWeights {};
};

} // namespace robinrun
