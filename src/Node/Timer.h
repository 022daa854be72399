#pragma once

#include "Core/Time.h"
#include "Core/internal/Timeval.h"

#include <event2/event.h>
#include <functional>
#include <memory>

namespace robinrun {

/// \brief A timer on the loop that calls back once or again and again; stops when destroyed.
class Timer {
public:
    /// \brief Calls \a f every \a interval.
    static Timer repeating(event_base* base, Duration interval, std::function<void()> f)
    {
        return { base, interval, EV_PERSIST, std::move(f) };
    }

    /// \brief Calls \a f once, after \a delay.
    static Timer once(event_base* base, Duration delay, std::function<void()> f)
    {
        return { base, delay, 0, std::move(f) };
    }

    Timer() = default;
    Timer(Timer&& other) noexcept
        : m_state(std::move(other.m_state))
    {
    }
    Timer& operator=(Timer&& other) noexcept
    {
        m_state = std::move(other.m_state);
        return *this;
    }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() = default;

    bool isSet() const { return m_state != nullptr; }

private:
    struct State {
        event* raw = nullptr;
        std::function<void()> f;

        State() = default;
        State(const State&) = delete;
        State& operator=(const State&) = delete;
        ~State()
        {
            if (raw)
                event_free(raw);
        }
    };

    Timer(event_base* base, Duration delay, short flags, std::function<void()> f)
        : m_state(std::make_shared<State>())
    {
        m_state->f = std::move(f);
        const auto run = [](evutil_socket_t, short, void* arg) {
            // A copy: the callback may destroy its timer.
            const auto g = static_cast<State*>(arg)->f;
            g();
        };
        m_state->raw = event_new(base, -1, flags, run, m_state.get());
        const auto tv = internal::toTimeval(delay);
        event_add(m_state->raw, &tv);
    }

    std::shared_ptr<State> m_state;
};

} // namespace robinrun
