#include "Node/CallMessages.h"

#include <utility>

namespace robinrun {
namespace {

    void handToOwner(Owner& owner, PeerSocket& peers, const PeerSocket::Sender& sender,
        const proto::Call& call, Instant now)
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

} // namespace

bool takeCallMessage(Owner& owner, Ingress& ingress, PeerSocket& peers, const PeerSocket::Sender& sender,
    proto::PeerMessage& message, Instant now)
{
    switch (message.body_case()) {
    case proto::PeerMessage::kCall:
        handToOwner(owner, peers, sender, message.call(), now);
        return true;
    case proto::PeerMessage::kAnswer:
        ingress.takeAnswer(sender.node, *message.mutable_answer(), now);
        return true;
    case proto::PeerMessage::kCancel:
        owner.cancel(sender, message.cancel().number(), now);
        return true;
    case proto::PeerMessage::kLeaving:
        ingress.takeLeaving(message.leaving(), now);
        return true;
    default:
        return false;
    }
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
