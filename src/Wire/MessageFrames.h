#pragma once

#include "peer.pb.h"

#include <cstddef>
#include <vector>
#include <zmq.hpp>

namespace robinrun {

/// Bytes of the longest frame that a message is sent in. ZeroMQ takes only whole frames for a sign of life:
/// one of 16 KB passes in 13 ms at 10 Mbit/s, and in 0.13 s where ten links share that, which is half of the
/// mesh's heartbeat of 250 ms.
constexpr std::size_t frameBytes = 16384;

/// \returns \a message serialized, in as many frames as it needs: one if it has up to frameBytes. The frames
/// of a longer one share one buffer, which lives until the last of them has gone out.
std::vector<zmq::message_t> framesOf(const proto::PeerMessage& message);

/// \returns the bytes of \a frames together.
std::size_t bytesOf(const std::vector<zmq::message_t>& frames);

/// \brief Reads the message whose serialized bytes \a frames hold one after another, each of any length.
/// \returns whether they hold one.
bool parseFrames(const std::vector<zmq::message_t>& frames, proto::PeerMessage& out);

} // namespace robinrun
