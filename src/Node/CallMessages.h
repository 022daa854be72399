#pragma once

#include "Core/Time.h"
#include "Crashes/CallContent.h"
#include "Node/Ingress.h"
#include "Node/Owner.h"
#include "Wire/PeerSocket.h"
#include "peer.pb.h"

#include <cstdint>

namespace robinrun {

/// \brief Takes what a peer says of calls: a call for \a owner or its cancel, an answer for \a ingress, or
/// word that an upstream leaves. The answer to a call goes back along the link that the call came by. All
/// three must outlive the call. \returns false if it is no such message.
bool takeCallMessage(Owner& owner, Ingress& ingress, PeerSocket& peers, const PeerSocket::Sender& sender,
    proto::PeerMessage& message, Instant now);

/// \returns the word to an ingress that the upstream of \a owner leaves, or stays after all.
/// \param incarnation of the owner's node.
proto::PeerMessage leavingMessage(const Owner& owner, std::uint64_t incarnation, bool isLeaving);

/// \returns the word to the ingress \a to that of its calls none with a number above \a highest is run.
/// \param incarnation of the owner's node.
proto::PeerMessage lastWord(std::uint64_t incarnation, const PeerSocket::Sender& to, std::uint64_t highest);

/// \returns what \a call asks for; holds as long as \a call does.
CallContent contentOf(const proto::Call& call, const SharedBody& body = nullptr);

} // namespace robinrun
