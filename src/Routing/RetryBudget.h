#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace robinrun {

/// \brief Priority of a retry, by how much is lost if it is not sent; in ascending order.
enum class RetryPriority {
    /// For a call from outside, whose caller may send it again, or a hedged request, whose first attempt may
    /// still be answered.
    Outside,
    Nested, ///< for a nested call: the run that waits for it has been holding a slot
    LastNested, ///< for a nested call that is probably the last one of its run
};

/// \brief A retry budget: bounds retries to a fraction of the calls, so that they don't multiply overload.
///
/// The budget is a token bucket. Each first attempt earns `fraction` of a token, up to `burst` tokens; each
/// retry spends one token. So at most burst + fraction x n retries are sent in any sequence with n first
/// attempts, whatever the order. Because a small budget is empty most of the time, the next token is reserved
/// for retries of a higher priority if one was denied recently. Cost: O(1).
class RetryBudget {
public:
    RetryBudget(double fraction, double burst)
        : m_retryFraction(fraction)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// \brief Changes the bounds. Keeps the saved tokens, up to the new burst, and adds none, so that
    /// frequent changes don't create retries.
    void setBounds(double fraction, double burst)
    {
        m_retryFraction = fraction;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// \returns the number of retries that can be sent now; below 0 if the budget is in debt.
    double savedRetries() const { return m_tokens; }

    void recordFirstAttempt() { m_tokens = std::min(m_burst, m_tokens + m_retryFraction); }

    /// \brief Charges the budget for \a n nested calls that a retry at another service makes here. A negative
    /// \a n returns tokens. May leave the budget in debt, which later first attempts pay off.
    void charge(double n) { m_tokens = std::min(m_burst, m_tokens - n); }

    /// \returns whether the tokens are reserved for retries of a higher priority than \a priority because one
    /// was denied recently for lack of tokens.
    bool isReservedForHigher(RetryPriority priority, Instant now) const
    {
        const auto higher = m_lastDenied.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
        return std::any_of(
            higher, m_lastDenied.end(), [&](const auto& it) { return it && now - *it < reservationTimeout; });
    }

    /// \brief Spends a token for a retry. \returns false if there is none or it is reserved for higher
    /// priorities.
    bool trySpend(RetryPriority priority, Instant now)
    {
        if (isReservedForHigher(priority, now))
            return false;
        if (m_tokens < 1) {
            m_lastDenied[static_cast<std::size_t>(priority)] = now;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /// Longer than it takes to earn a token when many retries are requested, and much shorter than the window
    /// over which retries are bounded.
    static constexpr Duration reservationTimeout = 1s;

    double m_retryFraction;
    double m_burst;
    double m_tokens;
    /// When a retry was last denied for lack of tokens, by RetryPriority.
    std::array<std::optional<Instant>, 3> m_lastDenied;
};

} // namespace robinrun
