#include "Routing/LateChance.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// Bins of the ratio: from this logarithm on, each so wide. Ratios from 0.14 to 7.4.
    constexpr double firstBin = -2;
    constexpr double binWidth = 0.1;
    /// An answer counts for 1/e after so many others: seconds to minutes under load.
    constexpr double memory = 300;
    /// Weight, in answers, and width of what is taken for granted before any.
    constexpr double priorAnswers = 20;
    constexpr double priorSpread = 0.33;

    double logRatio(Duration a, Duration b)
    {
        const auto atLeast = Duration(1);
        return std::log(toSeconds(std::max(a, atLeast)) / toSeconds(std::max(b, atLeast)));
    }

    double normalShareBelow(double x)
    {
        return 0.5 * std::erfc(-x / priorSpread / std::sqrt(2));
    }

} // namespace

LateChance::LateChance()
{
    double below = 0;
    for (std::size_t i = 0; i < bins; ++i) {
        const double upTo = normalShareBelow(firstBin + binWidth * static_cast<double>(i + 1));
        m_ratios[i] = priorAnswers * (upTo - below);
        below = upTo;
    }
}

void LateChance::took(Duration actual, Duration expected)
{
    for (auto& it : m_ratios)
        it *= 1 - 1 / memory;
    const double bin = (logRatio(actual, expected) - firstBin) / binWidth;
    ++m_ratios[static_cast<std::size_t>(std::clamp(bin, 0.0, static_cast<double>(bins - 1)))];
}

double LateChance::of(Duration expected, Duration allowed) const
{
    const double limit = (logRatio(allowed, expected) - firstBin) / binWidth;
    double all = 0;
    double late = 0;
    for (std::size_t i = 0; i < bins; ++i) {
        all += m_ratios[i];
        late += m_ratios[i] * std::clamp(static_cast<double>(i + 1) - limit, 0.0, 1.0);
    }
    return late / all;
}

} // namespace robinrun
