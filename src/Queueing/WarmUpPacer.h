#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <variant>

namespace robinrun {

/// \brief How the calls to a cold backend server are spread over time; all ways keep the same bound.
enum class WarmUpPacerKind {
    Window, ///< at once, up to the bound of any second
    Smooth, ///< evenly, after a small burst
};

template <> struct EnumNames<WarmUpPacerKind> {
    static constexpr std::array<std::string_view, 2> names { "window", "smooth" };
};

/// \brief How many calls a cold backend server bears.
struct WarmUpRateLimit {
    double callsPerSecond = 0; ///< in the long run; 0: no bound is known
    double burstCalls = 0; ///< on top of it, in any second

    bool isKnown() const { return callsPerSecond > 0; }
    /// \returns calls in any second at most.
    std::size_t maxCallsPerWindow() const { return static_cast<std::size_t>(callsPerSecond + burstCalls); }
};

/// \brief The calls that were started in the last moments: what any way of pacing has to know.
///
/// Starts are kept for a little more than a second, as two calls may come closer together on their way to the
/// server. Cost: O(1) a call; 8 bytes for each start that is kept, `most` of them.
class StartLog {
public:
    /// A second, and by how much starts may draw together on the way to a server on the same host.
    static constexpr Duration window = 1020ms;

    void addStart(Instant now, std::size_t maxStarts)
    {
        m_starts.push_back(now);
        while (m_starts.size() > std::max<std::size_t>(maxStarts, 1))
            m_starts.pop_front();
    }

    /// \returns from when on a start leaves at most \a most of them in any window.
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

/// \brief Starts calls as they come until the bound of a second is used up. A burst is served at once, and
/// then nothing until the second is over.
struct WindowPacer {
    Instant nextStart(const WarmUpRateLimit& rateLimit, const StartLog& log) const
    {
        return std::max(exhaustedUntil, log.earliestStart(rateLimit.maxCallsPerWindow()));
    }
    void onCallStarted(const WarmUpRateLimit&, Instant) { }
    void exhaust(const WarmUpRateLimit&, Instant now) { exhaustedUntil = now + StartLog::window; }
    Instant exhaustedUntil {};
};

/// \brief Starts a small burst, then one call each 1 / perSecond: no second is without service, and work
/// does not pile up at the server. Over any second at most perSecond + burst calls start.
struct SmoothPacer {
    /// The moment at which the burst would be whole again.
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

/// \brief A way to pace, with its state. `useUp` takes for granted that another process has just started all
/// that the bound allows at once.
using WarmUpPacer = std::variant<WindowPacer, SmoothPacer>;

inline WarmUpPacer makeWarmUpPacer(WarmUpPacerKind kind)
{
    if (kind == WarmUpPacerKind::Window)
        return WindowPacer {};
    return SmoothPacer {};
}

} // namespace robinrun
