#pragma once

#include "Core/Hash.h"
#include "Core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief The permission to run one call at most once, at one incarnation of one owner.
struct Ticket {
    std::string upstream;
    std::uint64_t incarnation = 0; ///< of the owner that minted the ticket
    std::uint64_t epoch = 0; ///< of the owner's TicketTable at the time of minting
    Hash128 nonce;

    bool operator==(const Ticket&) const = default;

    /// \returns the text that callers hold: `<upstream>.<incarnation>.<epoch>.<nonce>.<nonce>`, each number
    /// as 16 hexadecimal digits, the high half of the nonce first.
    std::string toString() const;

    /// \brief Parses the text made by toString(). \returns the ticket, or an error message for the caller.
    static Result<Ticket, std::string> parse(std::string_view text);
};

} // namespace robinrun
