#include "Rollout/RolloutSchedule.h"

#include <algorithm>
#include <cmath>

namespace robinrun::rolloutSchedule {
namespace {

    /// Parts of the time allowed.
    constexpr double observationPart = 0.5;
    constexpr double latestPromotionPart = 0.62;
    constexpr double promotionPart = 0.1;
    constexpr double switchPart = 0.2;
    constexpr double statusPart = 0.06;

    constexpr Duration shortestPromotion = 1s;
    constexpr Duration longestPromotion = 60s;
    constexpr Duration shortestStatusTime = 500ms;
    constexpr Duration longestStatusTime = 30s;
    constexpr Duration longestSwitchWait = 30s;

    /// Part of the allowed calls that the observation uses.
    constexpr double observedPart = 0.4;
    /// Share of thin traffic that the target version gets at most while it is observed.
    constexpr double maxObservedShare = 0.3;
    /// Servers that are observed at least: a fault of one must show as a fault of that server.
    constexpr std::size_t minObservedServers = 4;

    Duration part(Duration whole, double share)
    {
        return fromSeconds(toSeconds(whole) * share);
    }

} // namespace

Duration observationTime(const RolloutOrder& order)
{
    return part(order.duration, observationPart);
}

Duration latestPromotion(const RolloutOrder& order)
{
    return part(order.duration, latestPromotionPart);
}

Duration latestDecision(const RolloutOrder& order)
{
    const auto reserve = std::clamp(part(order.duration, statusPart), shortestStatusTime, longestStatusTime);
    return std::max(order.duration - reserve, latestPromotion(order));
}

Duration promotionTime(const RolloutOrder& order)
{
    return std::clamp(part(order.duration, promotionPart), shortestPromotion, longestPromotion);
}

Duration longestSwitch(const RolloutOrder& order)
{
    return std::min(part(order.duration, switchPart), longestSwitchWait);
}

double observedShare(const RolloutOrder& order, const RolloutBounds& bounds, double callsPerSecond)
{
    double share = observedPart * bounds.share;
    const double calls = callsPerSecond * toSeconds(observationTime(order));
    if (calls > 0)
        share += observedPart * bounds.slack / calls;
    return std::min(share, std::max(maxObservedShare, bounds.share));
}

double targetShare(const RolloutOrder& order, RolloutPhase phase, Duration phaseAge, double observed)
{
    switch (phase) {
    case RolloutPhase::Observing:
        return observed;
    case RolloutPhase::Promoting: {
        const double progress = toSeconds(phaseAge) / toSeconds(promotionTime(order));
        return std::pow(std::clamp(observed, 1e-3, 1.0), 1 - std::clamp(progress, 0.0, 1.0));
    }
    case RolloutPhase::Switching:
    case RolloutPhase::Completed:
        return 1;
    case RolloutPhase::RolledBack:
        return 0;
    }
    return 0;
}

std::size_t observedServers(std::size_t targetServers, double share)
{
    const auto n = static_cast<std::size_t>(std::ceil(share * static_cast<double>(targetServers)));
    return std::min(targetServers, std::max(n, minObservedServers));
}

} // namespace robinrun::rolloutSchedule
