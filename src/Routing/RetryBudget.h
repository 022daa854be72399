#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace robinrun {

/// \brief What a retry is for, by what is lost without it, the least first.
enum class RetryPriority {
    Outside, ///< of a call from outside, whose caller may come back, or beside one that may be answered
    Nested, ///< of a call that a run waits for, which has held a slot so far
    LastNested, ///< the same, if it is likely the last that the run needs
};

/// \brief Bounds second attempts to a fraction of recent calls, so that overload isn't multiplied.
///
/// Each first attempt earns `fraction` of a retry, up to `burst`; each retry spends one. Over any run of n
/// first attempts at most burst + fraction x n retries pass, whatever the order. Where there are too few,
/// those with the highest claim come first: a small budget is empty most of the time, so the next retry that
/// is earned is kept for them. Cost: O(1).
class RetryBudget {
public:
    RetryBudget(double fraction, double burst)
        : m_retryFraction(fraction)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// \brief Changes the bounds. What is saved up stays, as far as the new burst holds it: a change gives
    /// no retries, however often it comes.
    void setBounds(double fraction, double burst)
    {
        m_retryFraction = fraction;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// \returns the retries that are saved up.
    double savedRetries() const { return m_tokens; }

    void recordFirstAttempt() { m_tokens = std::min(m_burst, m_tokens + m_retryFraction); }

    /// \brief Pays for \a n calls that a retry makes here; below 0 takes that back. May leave a debt, which
    /// first attempts pay off.
    void charge(double n) { m_tokens = std::min(m_burst, m_tokens - n); }

    /// \returns whether what is saved up is kept for higher claims, one of which went without it lately.
    bool isReservedForHigher(RetryPriority priority, Instant now) const
    {
        const auto higher = m_lastDenied.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
        return std::any_of(
            higher, m_lastDenied.end(), [&](const auto& it) { return it && now - *it < reservationTimeout; });
    }

    /// \returns whether a retry may be sent; if so it is spent.
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
    /// Longer than it takes to earn a retry where many are asked for, and much shorter than a window.
    static constexpr Duration reservationTimeout = 1s;

    double m_retryFraction;
    double m_burst;
    double m_tokens;
    std::array<std::optional<Instant>, 3> m_lastDenied; ///< when a claim last went without, by RetryPriority
};

} // namespace robinrun
