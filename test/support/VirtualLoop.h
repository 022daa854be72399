#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace robinrun::support {

/// \brief Runs events in the order of virtual time; events of the same time in the order they were added.
class VirtualLoop {
public:
    using Action = std::function<void()>;

    Instant now() const { return m_now; }

    void at(Instant when, Action action) { m_events.push({ when, m_added++, std::move(action) }); }
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    /// \brief Runs until no event is left at or before \a end.
    void run(Instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            // priority_queue gives no way to move out of its top; the action is taken before the pop.
            auto action = std::move(const_cast<Event&>(m_events.top()).action);
            m_now = m_events.top().when;
            m_events.pop();
            action();
        }
        m_now = end;
    }

private:
    struct Event {
        Instant when;
        std::uint64_t order;
        Action action;
        bool operator<(const Event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    Instant m_now {};
    std::uint64_t m_added = 0;
    std::priority_queue<Event> m_events;
};

} // namespace robinrun::support
