#include "Mesh/ReachEstimate.h"

namespace robinrun {

double ReachEstimate::fraction(
    double nearReach, std::optional<double> ownFarReach, double nearPart, Instant now) const
{
    double sum = ownFarReach.value_or(0);
    double count = ownFarReach ? 1 : 0;
    for (const auto& [bridge, report] : m_reports) {
        if (now - report.heardAt > m_reportLifetime)
            continue;
        sum += report.fraction;
        ++count;
    }
    if (count == 0)
        return nearReach;
    return nearPart * nearReach + (1 - nearPart) * sum / count;
}

} // namespace robinrun
