#pragma once

#include "Core/Time.h"
#include "Node/Owner.h"
#include "Wire/PeerSocket.h"
#include "peer.pb.h"

#include <cstdint>

namespace robinrun {

/// \brief Hands a peer's call to \a owner; its answer goes back along the link that the call came by. Both
/// must outlive the call.
void handToOwner(
    Owner& owner, PeerSocket& peers, const PeerSocket::Sender& sender, const proto::Call& call, Instant now);

/// \returns the word to an ingress that the upstream of \a owner leaves, or stays after all.
/// \param incarnation of the owner's node.
proto::PeerMessage leavingMessage(const Owner& owner, std::uint64_t incarnation, bool isLeaving);

} // namespace robinrun
