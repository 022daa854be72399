#pragma once

#include "Core/BackendLife.h"
#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief The state that a backend server announces to the node beside it.
enum class AnnouncedState {
    Ready,
    Draining, ///< accepts no new calls and finishes those in progress
    Gone, ///< like draining; the last announcement of a life
};

template <> struct EnumNames<AnnouncedState> {
    static constexpr std::array<std::string_view, 3> names { "ready", "draining", "gone" };
};

struct Announcement {
    BackendLife life; ///< the run of the server process that sent the announcement
    std::string service;
    std::string address; ///< ip:port
    std::string version; ///< of the server's software; "": the announcement does not name it
    std::uint32_t slots = 0; ///< number of calls that the server processes concurrently
    std::uint64_t sequence = 0; ///< increases with each announcement of a life; 0 in the last announcement
    AnnouncedState state = AnnouncedState::Ready;
    bool saysLeaving = false; ///< the server's health answer says that it leaves
    std::optional<double> rateLimit {}; ///< requests per second, as the server's health answer names it
    std::optional<Duration> remainingColdTime {}; ///< time until the server is warmed up; nothing if the
                                                  ///< server does not report it
};

} // namespace robinrun
