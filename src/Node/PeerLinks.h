#pragma once

#include "Core/Time.h"
#include "Wire/PeerSocket.h"
#include "peer.pb.h"

#include <functional>
#include <string>

namespace robinrun {

/// Between two tries to send over a link that is being opened, which takes about three round trips.
inline constexpr Duration connectRetry = 2ms;

/// \brief Sends one message to the node at an address.
using SendToPeer
    = std::function<SendResult(const std::string& address, proto::PeerMessage& message, Instant now)>;

/// \brief Answers along the link that a message came by. \returns whether it went out.
using AnswerPeer
    = std::function<bool(const PeerSocket::Sender& to, proto::PeerMessage& message, Instant now)>;

/// \brief Both ways in which a node sends to its peers.
struct PeerLinks {
    SendToPeer send;
    AnswerPeer answer;
};

} // namespace robinrun
