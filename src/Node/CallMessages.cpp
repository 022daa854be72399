#include "Node/CallMessages.h"

#include <utility>

#include <algorithm>
#include <string_view>

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
    case proto::PeerMessage::kBodyPart:
        owner.takeBodyPart(sender, message.body_part(), now);
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
    case proto::PeerMessage::kLastWord:
        ingress.takeLastWord(sender, message.last_word());
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

proto::PeerMessage lastWord(std::uint64_t incarnation, const PeerSocket::Sender& to, std::uint64_t highest)
{
    proto::PeerMessage message;
    message.mutable_last_word()->set_incarnation(incarnation);
    message.mutable_last_word()->set_caller_incarnation(to.incarnation);
    message.mutable_last_word()->set_highest(highest);
    return message;
}

CallContent contentOf(const proto::Call& call, const SharedBody& body)
{
    const std::string_view bytes = body ? body->bytes : call.body();
    CallContent out { call.group(), call.method(), call.service(), call.target(), bytes };
    if (!call.has_terms())
        return out;
    // Of a call by route, the host is part of what was asked for; its service is the route's choice.
    const auto& headers = call.headers();
    const auto host = std::find_if(
        headers.begin(), headers.end(), [](const auto& it) { return equalIgnoringCase(it.name(), "Host"); });
    out.host = host == headers.end() ? std::string_view() : std::string_view(host->value());
    return out;
}

} // namespace robinrun
