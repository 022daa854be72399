#include "Routing/LatenessEstimate.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// Lower edge of the first bin, and width of each bin, as natural logarithms of the ratio of actual to
    /// expected time. The bins cover ratios from 0.14 to 7.4.
    constexpr double firstBinLogRatio = -2;
    constexpr double binWidth = 0.1;
    /// Number of later responses after which a response counts for 1/e: seconds to minutes under load.
    constexpr double decayResponses = 300;
    /// Weight of the prior distribution, in responses, and its standard deviation of the log-ratio.
    constexpr double priorWeight = 20;
    constexpr double priorLogDeviation = 0.33;

    double logRatio(Duration a, Duration b)
    {
        const auto minDuration = Duration(1);
        return std::log(toSeconds(std::max(a, minDuration)) / toSeconds(std::max(b, minDuration)));
    }

    /// \returns the cumulative distribution function of the prior at the log-ratio \a x.
    double priorCumulative(double x)
    {
        return 0.5 * std::erfc(-x / priorLogDeviation / std::sqrt(2));
    }

} // namespace

LatenessEstimate::LatenessEstimate()
{
    double atLowerEdge = 0;
    for (std::size_t i = 0; i < binCount; ++i) {
        const double atUpperEdge = priorCumulative(firstBinLogRatio + binWidth * static_cast<double>(i + 1));
        m_binWeights[i] = priorWeight * (atUpperEdge - atLowerEdge);
        atLowerEdge = atUpperEdge;
    }
}

void LatenessEstimate::addResponse(Duration actual, Duration expected)
{
    for (auto& it : m_binWeights)
        it *= 1 - 1 / decayResponses;
    const double position = (logRatio(actual, expected) - firstBinLogRatio) / binWidth;
    ++m_binWeights[static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(binCount - 1)))];
}

double LatenessEstimate::lateProbability(Duration expected, Duration limit) const
{
    const double limitBin = (logRatio(limit, expected) - firstBinLogRatio) / binWidth;
    double totalWeight = 0;
    double lateWeight = 0;
    for (std::size_t i = 0; i < binCount; ++i) {
        totalWeight += m_binWeights[i];
        lateWeight += m_binWeights[i] * std::clamp(static_cast<double>(i + 1) - limitBin, 0.0, 1.0);
    }
    return lateWeight / totalWeight;
}

} // namespace robinrun
