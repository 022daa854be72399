#pragma once

#include "Http/HttpTypes.h"
#include "Node/CallHeaders.h"
#include "Once/Ticket.h"
#include "Queueing/Refusal.h"
#include "peer.pb.h"

#include <cstdint>

namespace robinrun {

/// \brief The HTTP replies that end a call. \sa docs/CALLING.md
namespace replies {

    /// \brief The backend server's own answer; takes its body.
    HttpReply answered(proto::Answer& answer);

    HttpReply ticket(const Ticket& ticket);

    /// \param retryAfterMs when asking again makes sense. \param advisesTicket whether a ticket would work
    /// now.
    HttpReply notRun(Reason reason, std::uint32_t retryAfterMs, bool advisesTicket, const CallHeaders& names);

    HttpReply unknown(Reason reason);

    /// \brief The request was at fault or the node is full; nothing was sent on.
    HttpReply rejected(int status, const std::string& message);

} // namespace replies
} // namespace robinrun
