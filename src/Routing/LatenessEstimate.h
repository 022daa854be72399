#pragma once

#include "Core/Time.h"

#include <array>
#include <cstddef>

namespace robinrun {

/// \brief How likely an answer is to be late, from how far earlier ones were off what was expected of them.
///
/// Work varies from call to call, and servers turn slow while a call runs; by how much differs from class to
/// class. Kept are the ratios of the time that answers took to the time that was expected, in a histogram
/// over their logarithms in which older ones count less. Before any answer, work is taken to vary by a third.
/// Cost: O(bins) an answer, O(bins) a reading; 350 bytes.
class LatenessEstimate {
public:
    LatenessEstimate();

    /// \brief An answer took \a actual where \a expected was expected; both above 0.
    void addResponse(Duration actual, Duration expected);

    /// \returns the chance, in [0, 1], that an answer of which \a expected is expected takes more than \a
    /// limit.
    double lateProbability(Duration expected, Duration limit) const;

private:
    static constexpr std::size_t binCount = 40;

    std::array<double, binCount> m_binWeights {};
};

} // namespace robinrun
