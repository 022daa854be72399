#pragma once

#include "Core/Time.h"

#include <event2/event.h>
#include <memory>
#include <stdexcept>

namespace robinrun {

using LoopPtr = std::unique_ptr<event_base, decltype(&event_base_free)>;

/// \brief Makes a loop with timers finer than a millisecond and few system calls to change what is watched.
/// \throws std::runtime_error if the system gives none.
inline LoopPtr makeLoop()
{
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(
        event_config_new(), &event_config_free);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    // Timers count from now, not from the start of the loop's turn: reading a configuration of 2,800 routes
    // holds a turn for 0.3 s on a tenth of a core, and calls that were sent in it were cut 0.3 s too early.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_NO_CACHE_TIME);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    LoopPtr loop(event_base_new_with_config(config.get()), &event_base_free);
    if (!loop)
        throw std::runtime_error("can't make an event loop");
    return loop;
}

/// \brief Brings all pending one-time timers of \a base forward by \a by, since their clock stood still for
/// so long: those that are due by now come at once. Repeating ones, and what watches a socket too, keep their
/// pace. Cost: O(timers).
void bringTimersForward(event_base* base, Duration by);

} // namespace robinrun
