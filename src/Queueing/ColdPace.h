#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <variant>

namespace robinrun {

/// \brief How the calls to a cold backend server are spread over time; all ways keep the same bound.
enum class ColdPaceKind {
    Window, ///< at once, up to the bound of any second
    Smooth, ///< evenly, after a small burst
};

template <> struct EnumNames<ColdPaceKind> {
    static constexpr std::array<std::string_view, 2> names { "window", "smooth" };
};

/// \brief How many calls a cold backend server bears.
struct ColdBound {
    double perSecond = 0; ///< in the long run; 0: no bound is known
    double burst = 0; ///< on top of it, in any second

    bool isKnown() const { return perSecond > 0; }
    /// \returns calls in any second at most.
    std::size_t perWindow() const { return static_cast<std::size_t>(perSecond + burst); }
};

/// \brief The calls that were started in the last moments: what any way of pacing has to know.
///
/// Starts are kept for a little more than a second, as two calls may come closer together on their way to the
/// server. Cost: O(1) a call; 8 bytes for each start that is kept, `most` of them.
class StartLog {
public:
    /// A second, and by how much starts may draw together on the way to a server on the same host.
    static constexpr Duration window = 1020ms;

    void add(Instant now, std::size_t most)
    {
        m_starts.push_back(now);
        while (m_starts.size() > std::max<std::size_t>(most, 1))
            m_starts.pop_front();
    }

    /// \returns from when on a start leaves at most \a most of them in any window.
    Instant roomFrom(std::size_t most) const
    {
        if (m_starts.size() < most || m_starts.empty())
            return Instant::min();
        const auto index = most ? m_starts.size() - most : m_starts.size() - 1;
        return m_starts[index] + window;
    }

private:
    std::deque<Instant> m_starts;
};

/// \brief Starts calls as they come until the bound of a second is used up. A burst is served at once, and
/// then nothing until the second is over.
struct WindowPace {
    Instant nextStart(const ColdBound& bound, const StartLog& log) const
    {
        return std::max(usedUpUntil, log.roomFrom(bound.perWindow()));
    }
    void started(const ColdBound&, Instant) { }
    void useUp(const ColdBound&, Instant now) { usedUpUntil = now + StartLog::window; }
    Instant usedUpUntil {};
};

/// \brief Starts a small burst, then one call each 1 / perSecond: no second is without service, and work
/// does not pile up at the server. Over any second at most perSecond + burst calls start.
struct SmoothPace {
    /// The moment at which the burst would be whole again.
    Instant wholeAt {};

    Instant nextStart(const ColdBound& bound, const StartLog& log) const
    {
        const auto burst = fromSeconds(std::max(bound.burst - 1, 0.0) / bound.perSecond);
        return std::max(wholeAt - burst, log.roomFrom(bound.perWindow()));
    }
    void started(const ColdBound& bound, Instant now)
    {
        wholeAt = std::max(wholeAt, now) + fromSeconds(1 / bound.perSecond);
    }
    void useUp(const ColdBound& bound, Instant now)
    {
        wholeAt = std::max(wholeAt, now + fromSeconds(bound.burst / bound.perSecond));
    }
};

/// \brief A way to pace, with its state. `useUp` takes for granted that another process has just started all
/// that the bound allows at once.
using ColdPace = std::variant<WindowPace, SmoothPace>;

inline ColdPace makeColdPace(ColdPaceKind kind)
{
    if (kind == ColdPaceKind::Window)
        return WindowPace {};
    return SmoothPace {};
}

} // namespace robinrun
