#pragma once

#include <algorithm>

namespace robinrun {

/// \brief Bounds second attempts to a fraction of recent calls, so that overload isn't multiplied.
///
/// Each first attempt earns `fraction` of a retry, up to `burst`; each retry spends one. Over any run of n
/// first attempts at most burst + fraction x n retries pass, whatever the order. Cost: O(1).
class RetryBudget {
public:
    RetryBudget(double fraction, double burst)
        : m_fraction(fraction)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// \brief Changes the bounds. What is saved up stays, as far as the new burst holds it: a change gives
    /// no retries, however often it comes.
    void setBounds(double fraction, double burst)
    {
        m_fraction = fraction;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// \returns the retries that are saved up.
    double saved() const { return m_tokens; }

    void firstAttempt() { m_tokens = std::min(m_burst, m_tokens + m_fraction); }

    /// \brief Pays for \a n calls that a retry makes here; below 0 takes that back. May leave a debt, which
    /// first attempts pay off.
    void charge(double n) { m_tokens = std::min(m_burst, m_tokens - n); }

    /// \returns whether a retry may be sent; if so it is spent.
    bool trySpend()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_fraction;
    double m_burst;
    double m_tokens;
};

} // namespace robinrun
