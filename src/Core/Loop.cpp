#include "Core/Loop.h"

#include "Core/internal/Timeval.h"

#include <sys/time.h>
#include <vector>

namespace robinrun {
namespace {

    Duration toDuration(const timeval& tv)
    {
        return std::chrono::seconds(tv.tv_sec) + Duration(tv.tv_usec);
    }

    bool isOneTimeTimer(const event* candidate)
    {
        return event_get_fd(candidate) < 0 && !(event_get_events(candidate) & EV_PERSIST)
            && event_pending(candidate, EV_TIMEOUT, nullptr);
    }

    int collect(const event_base*, const event* candidate, void* out)
    {
        if (isOneTimeTimer(candidate))
            static_cast<std::vector<event*>*>(out)->push_back(const_cast<event*>(candidate));
        return 0;
    }

} // namespace

void bringTimersForward(event_base* base, Duration by)
{
    std::vector<event*> timers;
    event_base_foreach_event(base, &collect, &timers);
    timeval now {};
    gettimeofday(&now, nullptr);
    for (auto* it : timers) {
        timeval due {};
        event_pending(it, EV_TIMEOUT, &due); // told as time of day
        const auto tv = internal::toTimeval(toDuration(due) - toDuration(now) - by);
        event_add(it, &tv);
    }
}

} // namespace robinrun
