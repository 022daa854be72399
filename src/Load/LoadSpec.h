#pragma once

#include "Core/EnumNames.h"
#include "Core/Result.h"
#include "Core/Time.h"
#include "Settings/YamlReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace robinrun {

/// \brief How the calls of a stream are kept from running twice.
enum class OnceWay {
    None,
    Single, ///< marked, sent once
    Ticket,
    Key,
};

template <> struct EnumNames<OnceWay> {
    static constexpr std::array<std::string_view, 4> names { "none", "single", "ticket", "key" };
};

/// \brief Calls of one kind, arriving as a Poisson process.
struct LoadStream {
    std::string group;
    std::string credential;
    std::string service;
    std::string callClass; ///< label of the report
    std::string method;
    std::string path;
    double rate = 0; ///< calls/s
    std::uint64_t answerBytes = 0;
    std::uint64_t deadlineMs = 0; ///< 0: none is sent
    OnceWay once = OnceWay::None;
    double repeat = 0; ///< share of calls with a ticket or key that are sent twice at once
    bool retriesUnknown
        = false; ///< sends a keyed or ticketed call again when its outcome is unknown or not run
};

/// \brief A whole load, as a file tells it.
struct LoadSpec {
    Duration duration {};
    Duration warmUp {}; ///< calls sent before are not counted
    std::uint64_t seed = 0;
    std::vector<std::string> ingresses;
    std::vector<std::string> backends; ///< to ask for counts at the end
    std::vector<std::string> direct; ///< backend servers to call directly for comparison
    double directRate = 0; ///< calls/s
    std::vector<LoadStream> streams;

    static Result<LoadSpec, std::vector<SettingsError>> load(const std::string& file);
};

} // namespace robinrun
