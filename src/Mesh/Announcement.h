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

/// \brief What a backend server says of itself to the node beside it.
enum class AnnouncedState {
    Ready,
    Draining, ///< takes nothing new, finishes what it has
    Gone, ///< as good as draining, and its last word
};

template <> struct EnumNames<AnnouncedState> {
    static constexpr std::array<std::string_view, 3> names { "ready", "draining", "gone" };
};

/// \brief One announcement of a backend server.
struct Announcement {
    BackendLife life; ///< which start of the server says this
    std::string service;
    std::string address; ///< ip:port
    std::uint32_t slots = 0; ///< calls it works on at a time
    std::uint64_t sequence = 0; ///< rises with each announcement of one start; 0 with the last word
    AnnouncedState state = AnnouncedState::Ready;
    std::optional<Duration>
        remainingColdTime {}; ///< how long the server stays cold; nothing if it doesn't say
};

} // namespace robinrun
