#pragma once

#include "Rollout/RolloutOrder.h"

#include <cstddef>

namespace robinrun::rolloutSchedule {

/// \file When a roll-out goes on to its next phase, and which share of a service's calls the target version
/// gets in each. All times are parts of the time that the operator allows.

/// \returns the time from the order until the versions have been compared for long enough to promote the
/// target version. It is half of the time allowed: many faults of a version show only some time after its
/// start, and promoting and switching need the rest.
Duration observationTime(const RolloutOrder& order);

/// \returns the time from the order after which few compared calls are enough to promote.
Duration latestPromotion(const RolloutOrder& order);

/// \returns the time from the order after which a roll-out that was not promoted is rolled back, so that its
/// status is written in time.
Duration latestDecision(const RolloutOrder& order);

/// \returns the time in which the share rises from that of the observation to all calls.
Duration promotionTime(const RolloutOrder& order);

/// \returns the longest time that calls at the former version are waited for.
Duration longestSwitch(const RolloutOrder& order);

/// \returns the share of a service's calls that the target version gets while it is observed. Part of what
/// the bounds allow is kept for a fault that shows only while the share rises.
/// \param callsPerSecond of the service; 0 where it is not known.
double observedShare(const RolloutOrder& order, const RolloutBounds& bounds, double callsPerSecond);

/// \returns the share of a service's calls that the target version gets.
/// \param observed share while it is observed. \param phaseAge time since \a phase began.
double targetShare(const RolloutOrder& order, RolloutPhase phase, Duration phaseAge, double observed);

/// \returns the number of servers of the target version that get calls while it is observed. The share of
/// the calls goes to as large a share of the servers, so that they bear the load of servers in full use.
std::size_t observedServers(std::size_t targetServers, double share);

} // namespace robinrun::rolloutSchedule
