#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace robinrun {

/// \brief Bounds the bytes that many holders keep together. Each holds a Share, which it grows before it
/// keeps more. On one thread. Cost: O(1).
class MemoryBudget {
    struct State {
        std::size_t limit;
        std::size_t used = 0;
    };

public:
    /// \brief What one holder may keep; given back when destroyed.
    class Share {
    public:
        /// \brief A share of no budget, which may grow without bound.
        Share() = default;
        Share(Share&& other) noexcept
            : m_state(std::move(other.m_state))
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        Share& operator=(Share&& other) noexcept
        {
            (void)resize(0);
            m_state = std::move(other.m_state);
            m_bytes = std::exchange(other.m_bytes, 0);
            return *this;
        }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;
        ~Share() { (void)resize(0); }

        std::size_t bytes() const { return m_bytes; }

        /// \brief Grows or shrinks to \a bytes. A holder that is alone may have any number.
        /// \returns false if there is no room, and then nothing has changed.
        [[nodiscard]] bool resize(std::size_t bytes)
        {
            if (m_state) {
                const auto others = m_state->used - m_bytes;
                const auto left = m_state->limit > others ? m_state->limit - others : 0;
                if (bytes > m_bytes && others > 0 && bytes > left)
                    return false;
                m_state->used = others + bytes;
            }
            m_bytes = bytes;
            return true;
        }

    private:
        friend class MemoryBudget;
        explicit Share(std::shared_ptr<State> state)
            : m_state(std::move(state))
        {
        }

        std::shared_ptr<State> m_state;
        std::size_t m_bytes = 0;
    };

    explicit MemoryBudget(std::size_t limit = SIZE_MAX)
        : m_state(std::make_shared<State>(State { limit }))
    {
    }

    /// \returns a share that holds nothing yet; it may outlive the budget.
    Share share() const { return Share(m_state); }

    std::size_t used() const { return m_state->used; }
    std::size_t limit() const { return m_state->limit; }

private:
    std::shared_ptr<State> m_state;
};

} // namespace robinrun
