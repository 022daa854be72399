#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <cstdint>

namespace robinrun {

/// \brief Why a call was not run, or why its outcome is not known.
///
/// The order is part of the wire format: append only.
enum class Reason {
    None,
    QueueFull,
    OverShare,
    WouldMissDeadline,
    DeadlinePassed,
    StoodTooLong,
    Leaving,
    Cancelled,
    WrongOwner,
    WrongIncarnation,
    Duplicate,
    BackendUnreachable,
    NoUpstream,
    AttemptsSpent,
    ClaimUndecided,
    KeyTooOld,
    TicketUnknown,
    TicketMismatch,
    OwnerLost,
    BackendFailed,
    Damaged,
    TooManyTickets,
    WouldBeLate, ///< the answer would come after its target latency
    BackendRefused, ///< the backend server says that it did not run it
    NotReady, ///< the node has no configuration yet
    Busy, ///< asked to run it at once or not at all, the owner has no slot free or is slowed down
    GivenUpMeanwhile, ///< it waited while the owner stood still, longer than its sender keeps a silent link
    CrashesServers, ///< backend servers have crashed under the same request; it is held back
    WarmingUp, ///< cold backend servers bear so few calls that this one would come too late
    EntryWithheld, ///< the entry of its route or group in the configuration could not be read whole
    CredentialUnproven, ///< a newer configuration may say otherwise of the credential
    OverRate, ///< its group has made as many calls as it may
};

template <> struct EnumNames<Reason> {
    static constexpr std::array<std::string_view, 32> names { "none", "queue-full", "over-share",
        "would-miss-deadline", "deadline-passed", "stood-too-long", "leaving", "cancelled", "wrong-owner",
        "wrong-incarnation", "duplicate", "backend-unreachable", "no-upstream", "attempts-spent",
        "claim-undecided", "key-too-old", "ticket-unknown", "ticket-mismatch", "owner-lost", "backend-failed",
        "damaged", "too-many-tickets", "would-be-late", "backend-refused", "not-ready", "busy",
        "given-up-meanwhile", "crashes-servers", "warming-up", "entry-withheld", "credential-unproven",
        "over-rate" };
};

/// \brief A waiting call that the owner gives up on, before it was handed to the backend server.
struct Refusal {
    std::uint64_t id = 0;
    Reason reason = Reason::None;
    Duration retryAfter {}; ///< when asking again makes sense
};

} // namespace robinrun
