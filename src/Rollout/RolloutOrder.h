#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"
#include "Platform/RecordStore.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief The operator's order to replace the backend servers of a service by servers of another version.
struct RolloutOrder {
    std::string service;
    std::string targetVersion;
    Duration duration {}; ///< from the order until the roll-out must have ended
    StorePosition position; ///< of the order in the store

    /// \returns a number that tells this order from other orders, the same at all nodes. A store that is
    /// restored from an older copy does not change it. Never 0.
    std::uint64_t id() const;
};

/// \brief How far a roll-out has come. A node never returns to an earlier phase of the same order.
enum class RolloutPhase {
    Observing, ///< few calls go to the target version, and the two versions are compared
    Promoting, ///< the share of the target version rises to all calls
    Switching, ///< all calls go to the target version; calls at the former version are waited for
    RolledBack, ///< no call goes to the target version
    Completed, ///< the store holds that the roll-out is completed: the former servers may stop
};

template <> struct EnumNames<RolloutPhase> {
    static constexpr std::array<std::string_view, 5> names { "observing", "promoting", "switching",
        "rolled-back", "completed" };
};

/// \returns whether a roll-out has ended in \a phase.
constexpr bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::RolledBack || phase == RolloutPhase::Completed;
}

/// \brief The state of a roll-out that the operator reads in the store.
enum class RolloutOutcome {
    Running,
    RolledBack,
    Completed,
};

/// \returns the outcome that a roll-out in \a phase has.
constexpr RolloutOutcome outcomeOf(RolloutPhase phase)
{
    if (phase == RolloutPhase::RolledBack)
        return RolloutOutcome::RolledBack;
    return phase == RolloutPhase::Completed ? RolloutOutcome::Completed : RolloutOutcome::Running;
}

/// \brief The status of a roll-out as it stands in the store.
struct RolloutStatus {
    std::string service;
    std::string targetVersion;
    std::uint64_t orderOffset = 0; ///< in the store, of the order that this is the status of
    RolloutOutcome outcome = RolloutOutcome::Running;
};

/// \brief Bounds on the calls that a faulty version may get, as the deployment states them.
struct RolloutBounds {
    double share = 0.1; ///< of the service's calls from the order to its end
    double slack = 50; ///< calls on top of that
};

} // namespace robinrun
