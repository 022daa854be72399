#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <variant>

namespace robinrun {

/// \brief How calls to a cold backend server are spread over time. All kinds keep to the same rate limit.
enum class WarmUpPacerKind {
    Window, ///< as they arrive, up to the limit of each window
    Smooth, ///< at even intervals, after a small burst
};

template <> struct EnumNames<WarmUpPacerKind> {
    static constexpr std::array<std::string_view, 2> names { "window", "smooth" };
};

/// \brief The rate of calls that a cold backend server can handle, as the parameters of a token bucket.
struct WarmUpRateLimit {
    double callsPerSecond = 0; ///< sustained rate; 0: no limit is known
    double burstCalls = 0; ///< calls beyond the sustained rate in any second

    bool isKnown() const { return callsPerSecond > 0; }
    /// \returns the maximum number of calls in any window of one second.
    std::size_t maxCallsPerWindow() const { return static_cast<std::size_t>(callsPerSecond + burstCalls); }
};

/// \brief The start times of the latest calls, which every pacer needs.
///
/// Cost: O(1) per call; 8 bytes for each of the `maxStarts` start times that are kept.
class StartLog {
public:
    /// One second, plus 20 ms by which two calls may get closer together on the way to a server on the same
    /// host.
    static constexpr Duration window = 1020ms;

    void addStart(Instant now, std::size_t maxStarts)
    {
        m_starts.push_back(now);
        while (m_starts.size() > std::max<std::size_t>(maxStarts, 1))
            m_starts.pop_front();
    }

    /// \returns the earliest time at which a start keeps every window at or below \a maxStarts starts.
    Instant earliestStart(std::size_t maxStarts) const
    {
        if (m_starts.size() < maxStarts || m_starts.empty())
            return Instant::min();
        const auto index = maxStarts ? m_starts.size() - maxStarts : m_starts.size() - 1;
        return m_starts[index] + window;
    }

private:
    std::deque<Instant> m_starts;
};

/// \brief Starts calls as they arrive until the limit of the window is reached, then none until the window
/// has passed.
struct WindowPacer {
    Instant nextStart(const WarmUpRateLimit& rateLimit, const StartLog& log) const
    {
        return std::max(exhaustedUntil, log.earliestStart(rateLimit.maxCallsPerWindow()));
    }
    void onCallStarted(const WarmUpRateLimit&, Instant) { }
    void exhaust(const WarmUpRateLimit&, Instant now) { exhaustedUntil = now + StartLog::window; }
    Instant exhaustedUntil {};
};

/// \brief Starts a small burst, then one call every 1 / callsPerSecond seconds (generic cell rate algorithm).
///
/// Service never pauses for a whole window and calls don't pile up at the server. At most callsPerSecond +
/// burstCalls calls start in any second.
struct SmoothPacer {
    /// The time at which a full burst is available again if no more calls start.
    Instant burstRestoredAt {};

    Instant nextStart(const WarmUpRateLimit& rateLimit, const StartLog& log) const
    {
        const auto burstDuration
            = fromSeconds(std::max(rateLimit.burstCalls - 1, 0.0) / rateLimit.callsPerSecond);
        return std::max(burstRestoredAt - burstDuration, log.earliestStart(rateLimit.maxCallsPerWindow()));
    }
    void onCallStarted(const WarmUpRateLimit& rateLimit, Instant now)
    {
        burstRestoredAt = std::max(burstRestoredAt, now) + fromSeconds(1 / rateLimit.callsPerSecond);
    }
    void exhaust(const WarmUpRateLimit& rateLimit, Instant now)
    {
        burstRestoredAt
            = std::max(burstRestoredAt, now + fromSeconds(rateLimit.burstCalls / rateLimit.callsPerSecond));
    }
};

/// \brief A pacer with its state.
///
/// exhaust() assumes that another process has just started as many calls as the limit allows at once.
using WarmUpPacer = std::variant<WindowPacer, SmoothPacer>;

inline WarmUpPacer makeWarmUpPacer(WarmUpPacerKind kind)
{
    if (kind == WarmUpPacerKind::Window)
        return WindowPacer {};
    return SmoothPacer {};
}

} // namespace robinrun
