#pragma once

#include "Chart/StateChart.h"

#include <string>

namespace robinrun {

enum class NodeState { Starting, Serving, Draining, Stopped };
enum class NodeEvent { Configured, StopAsked, Drained, DrainTimeout };

enum class LifeState { Active, Draining, Drained };
enum class LifeEvent { FirstSign, AllSignsGone, Idle };

enum class CallState { Received, Claiming, Choosing, AtOwner, Answered, NotRun, Unknown, Abandoned };
enum class CallEvent {
    NeedsClaim,
    NeedsNoClaim,
    ClaimDecided,
    ClaimUndecided,
    Sent,
    Refused,
    GivenUp,
    Answered,
    Lost,
    HungUp
};

template <> struct EnumNames<NodeState> {
    static constexpr std::array<std::string_view, 4> names { "starting", "serving", "draining", "stopped" };
};
template <> struct EnumNames<NodeEvent> {
    static constexpr std::array<std::string_view, 4> names { "configured", "stop-asked", "drained",
        "drain-timeout" };
};
template <> struct EnumNames<LifeState> {
    static constexpr std::array<std::string_view, 3> names { "active", "draining", "drained" };
};
template <> struct EnumNames<LifeEvent> {
    static constexpr std::array<std::string_view, 3> names { "first-sign", "all-signs-gone", "idle" };
};
template <> struct EnumNames<CallState> {
    static constexpr std::array<std::string_view, 8> names { "received", "claiming", "choosing", "at-owner",
        "answered", "not-run", "unknown", "abandoned" };
};
template <> struct EnumNames<CallEvent> {
    static constexpr std::array<std::string_view, 10> names { "needs-claim", "needs-no-claim",
        "claim-decided", "claim-undecided", "sent", "refused", "given-up", "answered", "lost", "hung-up" };
};

using NodeChart = StateChart<NodeState, NodeEvent>;
using LifeChart = StateChart<LifeState, LifeEvent>;
using CallChart = StateChart<CallState, CallEvent>;

/// \brief All charts that a node interprets.
struct Charts {
    NodeChart node;
    LifeChart upstream;
    CallChart call;

    /// \brief Loads `node.yaml`, `upstream.yaml` and `call.yaml` from \a folder.
    static Result<Charts, ChartError> load(const std::string& folder);
};

} // namespace robinrun
