#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Http/HttpTypes.h"
#include "Node/CallHeaders.h"
#include "Node/Directory.h"
#include "Once/Ticket.h"
#include "Queueing/Refusal.h"
#include "Rates/GroupRate.h"
#include "Routing/WeightedRoundRobin.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Why a request is no call.
struct CallRequestError {
    int status = 0; ///< of the HTTP reply
    std::string message;
    std::string group = "none"; ///< as far as it is known
    Reason reason = Reason::None; ///< why it is refused as not run for now; None: for good
};

/// \brief What a node knows of a caller beside the configuration.
struct CallerContext {
    /// The call that runs on the backend server beside the node and that this one is made for.
    struct Parent {
        std::string requestId;
        std::string group;
        std::uint32_t groupPriority = 0;
        std::uint32_t priority = 0; ///< of its route
    };
    std::optional<Parent> parent;
    /// Whether the configuration was confirmed so lately that it tells which credentials there are.
    bool isConfigProven = true;
    bool isStrict = false; ///< credentials count for nothing without that proof
};

/// \brief What a caller's request asks for, checked against the configuration.
struct CallRequest {
    std::string service;
    std::string group;
    std::uint32_t groupNumber = 0;
    std::uint32_t groupPriority = 0; ///< goes before that of the class
    bool hasGroup = false; ///< of the configuration; else the group stands for all that have none
    bool hasCredential = false; ///< by which the group is known
    GroupRate rate; ///< of the group, for calls that count towards it
    std::vector<std::string> regions; ///< where alone it may be run; none: anywhere
    ClassInfo callClass;
    std::string target; ///< without the service's part of the path
    Duration allowed {}; ///< until the deadline
    std::uint32_t attempts = 0; ///< over this and all lower levels of calls
    std::optional<Ticket> ticket;
    std::optional<std::string> key; ///< the caller's idempotency key
    bool wantsTicket = false; ///< asks for a ticket, not for a call
    std::string id; ///< the caller's own name of this attempt; ""
    bool isByRoute = false;
    /// The call that the backend server beside this node runs and makes this one for.
    std::optional<CallerContext::Parent> parent;

    /// \returns whether the backend server beside this node makes it for a call that it runs.
    bool isNested() const { return parent.has_value(); }

    /// \brief Reads \a request. Errors: unknown credential, service or route, fields that make no sense.
    /// \param turns whose turn it is where a route is split; moves on.
    static Result<CallRequest, CallRequestError> parse(const HttpRequest& request, Directory& directory,
        const CallHeaders& names, WeightedRoundRobin& turns, const CallerContext& caller = {});
};

/// \returns the one credential that \a request gives by the rules of \a names; nothing if it gives none, or
/// in another scheme. More than one is an error.
Result<std::optional<std::string>, CallRequestError> credentialOf(
    const HttpRequest& request, const CallHeaders& names);

} // namespace robinrun
