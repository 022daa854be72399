#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace robinrun {

/// \brief How long ago a caller first tried a call, told from the time that it still gives.
///
/// Answers the load at which calls are refused and come back: callers count from their first attempt, so a call that has
/// come back can hardly be in time any more, and would take the place of one that can. Callers of one class give the same
/// time at first, and what is left of it later; so the time that many of them give is the whole, and less of it is age.
/// Where callers give all kinds of times nothing is known, and each call counts as fresh. No I/O. Cost: O(1).
class CallAge {
public:
    /// \brief A call gives \a allowed. \returns how old it is; zero if it is fresh or nothing is known.
    Duration of(Duration allowed)
    {
        count(allowed);
        const auto usual = std::max_element(m_given.begin(), m_given.end(),
            [](const Given& a, const Given& b) { return a.calls < b.calls; });
        const bool isKnown = usual->calls >= leastCalls && double(usual->calls) >= leastShare * m_total;
        const auto age = usual->allowed - allowed;
        return isKnown && age > tolerance ? age : Duration::zero();
    }

private:
    struct Given {
        Duration allowed {};
        double calls = 0; ///< those long ago count less
    };
    /// Of the calls of a class, which must give the same time.
    static constexpr double leastShare = 0.3;
    static constexpr double leastCalls = 5;
    static constexpr double memory = 200; ///< calls that count
    /// Callers take a moment between setting the time and sending.
    static constexpr Duration tolerance = 20ms;

    void count(Duration allowed)
    {
        constexpr double kept = 1 - 1 / memory;
        m_total = m_total * kept + 1;
        for (auto& it : m_given)
            it.calls *= kept;
        const auto isSame = [&](const Given& it) {
            return it.calls > 0 && it.allowed - allowed <= tolerance && allowed - it.allowed <= tolerance;
        };
        const auto same = std::find_if(m_given.begin(), m_given.end(), isSame);
        if (same != m_given.end()) {
            same->calls += 1;
            return;
        }
        const auto rarest = std::min_element(m_given.begin(), m_given.end(),
            [](const Given& a, const Given& b) { return a.calls < b.calls; });
        *rarest = { allowed, 1 };
    }

    std::array<Given, 4> m_given {};
    double m_total = 0;
};

} // namespace robinrun
