#pragma once

#include "Chart/Charts.h"
#include "Core/Hash.h"
#include "Core/Log.h"
#include "Core/Loop.h"
#include "Core/MemoryBudget.h"
#include "Core/Random.h"
#include "Core/StandstillWatch.h"
#include "Core/SuspensionWatch.h"
#include "Core/Time.h"
#include "Crashes/CrashTracker.h"
#include "Node/CallHeaders.h"
#include "Node/Directory.h"
#include "Node/Metrics.h"
#include "Rollout/RolloutTable.h"
#include "Settings/NodeSettings.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <utility>

namespace robinrun {

/// \brief What the parts of one node share. They run on one loop, on one thread.
struct NodeContext {
    NodeSettings settings;
    Charts charts;
    event_base* base = nullptr;
    std::uint64_t incarnation = 0; ///< differs from every earlier start of this node
    Directory directory;
    Metrics metrics;
    Random random { 0 };
    /// Clocks for what happens in callbacks; tests put virtual ones here.
    std::function<Instant()> clock = monotonicNow;
    std::function<std::int64_t()> wallClock = wallClockMs;
    CallHeaders headers {};
    std::uint64_t configVersion = 0; ///< of the directory
    /// Whether the configuration was confirmed within `credentials.revoke_within`.
    bool isConfigProven = true;
    StandstillWatch standstill {}; ///< given the node's ticks
    SuspensionWatch suspension {};
    CrashTracker crashes {}; ///< of backend servers anywhere, as far as this node has heard
    RolloutTable rollouts {};
    std::string backendVersion {}; ///< of the backend server beside this node; "": not known
    MemoryBudget bodies {}; ///< for bodies of requests on their way through this node
    MemoryBudget replies {}; ///< for replies that come in from the backend server

    /// \brief A regular tick: notices standstills, and brings timers forward that stood still with their
    /// host.
    void noteTime(const SuspensionWatch::Reading& reading)
    {
        standstill.tick(reading.now);
        const auto length = suspension.tick(reading);
        if (length == Duration::zero())
            return;
        log(LogLevel::Warning, "host-suspended", { { "for_ms", toMilliseconds(length) } });
        bringTimersForward(base, length);
    }

    /// \brief For a real node. Its random numbers differ from those of nodes that start at the same instant.
    static NodeContext forNode(NodeSettings settings, Charts charts, event_base* base,
        std::uint64_t incarnation, CallHeaders headers = {})
    {
        const auto seed = hash64(settings.name, incarnation);
        const auto half = settings.bodyMemory() / 2;
        NodeContext out { std::move(settings), std::move(charts), base, incarnation, {}, {}, Random(seed),
            monotonicNow, wallClockMs, std::move(headers) };
        out.bodies = MemoryBudget(half);
        out.replies = MemoryBudget(half);
        return out;
    }
};

} // namespace robinrun
