#pragma once

#include "Once/Ticket.h"
#include "peer.pb.h"

namespace robinrun {

/// \brief Writes \a ticket into a message.
inline void encode(const Ticket& ticket, proto::TicketId& out)
{
    out.set_upstream(ticket.upstream);
    out.set_incarnation(ticket.incarnation);
    out.set_epoch(ticket.epoch);
    out.set_nonce_high(ticket.nonce.high);
    out.set_nonce_low(ticket.nonce.low);
}

/// \brief Reads a ticket from a message.
inline Ticket decode(const proto::TicketId& in)
{
    return { in.upstream(), in.incarnation(), in.epoch(), { in.nonce_high(), in.nonce_low() } };
}

} // namespace robinrun
