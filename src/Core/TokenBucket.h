#pragma once

#include "Core/Time.h"

#include <algorithm>

namespace robinrun {

/// \brief A rate with a bounded burst: over any span t at most burst + rate x t are taken. Cost: O(1).
class TokenBucket {
public:
    /// \param start tokens at the beginning: 0 keeps a process that restarts over and over inside the rate.
    TokenBucket(double perSecond, double burst, double start, Instant now)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(std::min(start, burst))
        , m_last(now)
    {
    }

    /// \returns whether \a n may be taken at \a now; if so they are.
    bool tryTake(double n, Instant now)
    {
        refill(now);
        if (m_tokens < n)
            return false;
        m_tokens -= n;
        return true;
    }

    /// \brief Takes \a n whether or not they are there; the debt is paid off before anything else is taken.
    void takeAnyway(double n, Instant now)
    {
        refill(now);
        m_tokens -= n;
    }

    /// \brief Changes the rate from \a now on.
    void setRate(double perSecond, Instant now)
    {
        refill(now);
        m_perSecond = perSecond;
    }

    /// \returns tokens there at \a now.
    double available(Instant now)
    {
        refill(now);
        return m_tokens;
    }

private:
    void refill(Instant now)
    {
        if (now <= m_last)
            return;
        m_tokens = std::min(m_burst, m_tokens + toSeconds(now - m_last) * m_perSecond);
        m_last = now;
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    Instant m_last;
};

} // namespace robinrun
