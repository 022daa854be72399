#pragma once

#include "Chart/Charts.h"

#include <bitset>
#include <optional>

namespace robinrun {

/// \brief Where the word comes from that an upstream is leaving.
enum class LeavingSign {
    HostList,
    BackendServer,
    Operator,
    NodeStop,
};

template <> struct EnumNames<LeavingSign> {
    static constexpr std::array<std::string_view, 4> names { "host-list", "backend-server", "operator",
        "node-stop" };
};

/// \brief Life of an upstream at its owner: any sign makes it leave, and it stays when all signs are gone.
class Leaving {
public:
    explicit Leaving(const LifeChart& chart)
        : m_chart(&chart)
        , m_state(chart.initial())
    {
    }

    /// \brief Sets or clears a sign. \returns the new state if it changed.
    std::optional<LifeState> set(LeavingSign sign, bool isSet)
    {
        m_signs.set(static_cast<std::size_t>(sign), isSet);
        return step(m_signs.any() ? LifeEvent::FirstSign : LifeEvent::AllSignsGone);
    }

    /// \brief Nothing runs or waits any more. \returns the new state if it changed.
    std::optional<LifeState> idle() { return step(LifeEvent::Idle); }

    LifeState state() const { return m_state; }
    bool isLeaving() const { return m_state != LifeState::Active; }
    bool hasSign(LeavingSign sign) const { return m_signs.test(static_cast<std::size_t>(sign)); }

private:
    std::optional<LifeState> step(LifeEvent event)
    {
        const auto next = m_chart->next(m_state, event);
        if (next)
            m_state = *next;
        return next;
    }

    const LifeChart* m_chart;
    LifeState m_state;
    std::bitset<countOf<LeavingSign>()> m_signs;
};

} // namespace robinrun
