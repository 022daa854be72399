#pragma once

#include "Core/Time.h"
#include "peer.pb.h"

#include <functional>
#include <string>

namespace robinrun {

/// \brief Sends one message to the node at an address; false if it can't go out now (then it never will).
using SendToPeer = std::function<bool(const std::string& address, proto::PeerMessage& message, Instant now)>;

} // namespace robinrun
