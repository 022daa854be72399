#pragma once

#include "Once/ClaimFold.h"
#include "Wire/TicketCodec.h"
#include "peer.pb.h"

namespace robinrun {

/// \brief Writes \a claim into a message or a record.
inline void encode(const Claim& claim, proto::Claim& out)
{
    out.set_key_high(claim.keyHash.high);
    out.set_key_low(claim.keyHash.low);
    out.set_born_ms(claim.keyCreatedMs);
    encode(claim.ticket, *out.mutable_ticket());
}

/// \brief Reads a claim from a message or a record.
inline Claim decode(const proto::Claim& in)
{
    return { { in.key_high(), in.key_low() }, in.born_ms(), decode(in.ticket()) };
}

} // namespace robinrun
