#pragma once

#include "Core/Time.h"
#include "Wire/PeerSocket.h"
#include "peer.pb.h"

#include <functional>
#include <string>

namespace robinrun {

/// \brief Sends one message to the node at an address.
using SendToPeer
    = std::function<SendResult(const std::string& address, proto::PeerMessage& message, Instant now)>;

} // namespace robinrun
