#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Http/HttpTypes.h"
#include "Node/CallHeaders.h"
#include "Node/Directory.h"
#include "Once/Ticket.h"
#include "Routing/WeightedTurns.h"

#include <cstdint>
#include <optional>
#include <string>

namespace robinrun {

/// \brief Why a request is no call.
struct CallRequestError {
    int status = 0; ///< of the HTTP reply
    std::string message;
    std::string group = "none"; ///< as far as it is known
};

/// \brief What a caller's request asks for, checked against the configuration.
struct CallRequest {
    std::string service;
    std::string group;
    std::uint32_t groupNumber = 0;
    ClassInfo callClass;
    std::string target; ///< without the service's part of the path
    Duration allowed {}; ///< until the deadline
    std::uint32_t attempts = 0; ///< over this and all lower levels of calls
    std::optional<Ticket> ticket;
    std::optional<std::string> key; ///< the caller's idempotency key
    bool wantsTicket = false; ///< asks for a ticket, not for a call
    std::string id; ///< the caller's own name of this attempt; ""
    bool isByRoute = false;
    bool isNested = false; ///< made by the backend server beside this node, for a call that it runs

    /// \brief Reads \a request. Errors: unknown credential, service or route, fields that make no sense.
    /// \param turns whose turn it is where a route is split; moves on.
    static Result<CallRequest, CallRequestError> parse(
        const HttpRequest& request, Directory& directory, const CallHeaders& names, WeightedTurns& turns);
};

} // namespace robinrun
