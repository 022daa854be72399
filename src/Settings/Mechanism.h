#pragma once

#include "Core/EnumNames.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace robinrun {

/// \brief Mechanisms that an experiment can switch off, to measure what each is worth. The names are those of
/// the settings block `experiments`.
enum class Mechanism {
    AskFirst, ///< owners are asked to run a call at once before one may wait
    TellLoads, ///< owners tell ingresses of a changed slow-down by themselves
    GiveUpHopeless, ///< waiting calls that can no longer end in time are given up at once
    SecondAttempts, ///< late and slowed calls that may be repeated get a second attempt
    Ejection, ///< upstreams that fail much more often than others are left out
    NestedFirst, ///< calls that backend servers make for calls they run go first
    ProbeWhileSlow, ///< a server that is slow is asked for its health until it is not
    AskWhereWorth, ///< owners are asked only while enough of them are free
    NextInLine, ///< a call that is to run at once waits where it gets the next slot
    RoomForNested, ///< slots are kept for nested calls from calls that are less urgent than their parents
    ProbeOverdue, ///< a server that should have answered by now is asked whether it has turned slow
    PaceAnswers, ///< long answers to peers go out one after the other, so that short ones find the link free
};

template <> struct EnumNames<Mechanism> {
    static constexpr std::array<std::string_view, 12> names { "ask_first", "tell_loads", "give_up_hopeless",
        "second_attempts", "ejection", "nested_first", "probe_while_slow", "ask_where_worth", "next_in_line",
        "room_for_nested", "probe_overdue", "pace_answers" };
};

/// \brief Which mechanisms are switched off; none is by default.
class Experiments {
public:
    void switchOff(Mechanism mechanism) { m_isOff[static_cast<std::size_t>(mechanism)] = true; }
    bool isOn(Mechanism mechanism) const { return !m_isOff[static_cast<std::size_t>(mechanism)]; }

private:
    std::array<bool, countOf<Mechanism>()> m_isOff {};
};

} // namespace robinrun
