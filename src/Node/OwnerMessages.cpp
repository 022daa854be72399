#include "Node/OwnerMessages.h"

#include <utility>

namespace robinrun {

void handToOwner(
    Owner& owner, PeerSocket& peers, const PeerSocket::Sender& sender, const proto::Call& call, Instant now)
{
    owner.take(
        call, sender,
        [&peers, sender](proto::Answer answer) {
            proto::PeerMessage message;
            *message.mutable_answer() = std::move(answer);
            peers.answer(sender, message, monotonicNow());
        },
        now);
}

proto::PeerMessage leavingMessage(const Owner& owner, std::uint64_t incarnation, bool isLeaving)
{
    proto::PeerMessage message;
    message.mutable_leaving()->set_upstream(owner.upstream());
    message.mutable_leaving()->set_incarnation(incarnation);
    message.mutable_leaving()->set_undone(!isLeaving);
    return message;
}

} // namespace robinrun
