#pragma once

#include "Core/Hash.h"
#include "Core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief The right to run one call once, at one incarnation of one owner.
struct Ticket {
    std::string upstream;
    std::uint64_t incarnation = 0; ///< of the owner
    std::uint64_t epoch = 0; ///< of the owner's ticket table, when minted
    Hash128 nonce;

    bool operator==(const Ticket&) const = default;

    /// \returns the form that callers hold: `<upstream>.<incarnation>.<epoch>.<nonce>`, numbers in hex.
    std::string toString() const;

    /// \brief Reads the callers' form; the error is a sentence for them.
    static Result<Ticket, std::string> parse(std::string_view text);
};

} // namespace robinrun
