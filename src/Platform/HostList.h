#pragma once

#include "Platform/AppendLog.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief One host as the platform lists it.
struct HostEntry {
    std::string name;
    std::string peerAddress; ///< ip:port of its node's peer socket
    std::string dataHall;
    std::string region;
    bool isLeaving = false;

    bool operator==(const HostEntry&) const = default;
};

/// \brief What changed on the list since a version.
struct HostPage {
    std::uint64_t version = 0;
    bool isWhole = false; ///< replaces all that was known
    std::vector<HostEntry> hosts;
    std::vector<std::string> gone;
};

/// \brief The platform's list of live and leaving hosts. It lags behind reality.
class HostList {
public:
    using Done = std::function<void(Result<HostPage, PlatformError>)>;

    virtual ~HostList() = default;

    /// \brief Asks for what changed since \a version; 0 asks for the whole list.
    virtual void fetch(std::uint64_t version, Done done) = 0;
};

} // namespace robinrun
