#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <cstdint>

namespace robinrun {

/// \brief Why a call was not run, or why its outcome is unknown.
///
/// The numeric values are part of the wire format: new enumerators are only appended.
enum class Reason {
    None,
    QueueFull, ///< the queue is full, or the expected wait is too long
    OverShare, ///< evicted from the full queue, as its group has the most waiting calls per weight
    WouldMissDeadline,
    DeadlinePassed,
    StoodTooLong, ///< the queue of its group is a standing queue; see SojournControl
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
    WouldBeLate, ///< the answer would arrive after the target latency of the call
    BackendRefused, ///< the backend server reports that it did not run the call
    NotReady, ///< the node has no configuration yet
    Busy, ///< the call was to run at once or not at all, and the owner has no free slot or a slow server
    GivenUpMeanwhile, ///< the owner was suspended for longer than the sender keeps a silent connection open
    CrashesServers, ///< backend servers crashed while running the same request, so it is held back
    WarmingUp, ///< the pacing of cold backend servers would start the call too late
    EntryWithheld, ///< the configuration entry of its route or group could not be read completely
    CredentialUnproven, ///< a newer configuration may judge the credential differently
    OverRate, ///< the group has reached its rate limit
    ServerLimit, ///< the rate limit that the backend server names would start the call too late
    VersionWithheld, ///< a roll-out does not send the call to this version of the backend server
    RateUnknown, ///< no lender of the group's rate has answered, so whether the group is below it is not
                 ///< known
    NoMemory, ///< the owner has no memory for the body of the call now
    BodyMissing, ///< the ingress did not send the body that the owner asked for
};

template <> struct EnumNames<Reason> {
    static constexpr std::array<std::string_view, 37> names { "none", "queue-full", "over-share",
        "would-miss-deadline", "deadline-passed", "stood-too-long", "leaving", "cancelled", "wrong-owner",
        "wrong-incarnation", "duplicate", "backend-unreachable", "no-upstream", "attempts-spent",
        "claim-undecided", "key-too-old", "ticket-unknown", "ticket-mismatch", "owner-lost", "backend-failed",
        "damaged", "too-many-tickets", "would-be-late", "backend-refused", "not-ready", "busy",
        "given-up-meanwhile", "crashes-servers", "warming-up", "entry-withheld", "credential-unproven",
        "over-rate", "server-limit", "version-withheld", "rate-unknown", "no-memory", "body-missing" };
};

/// \brief A call that the owner refuses before it was sent to the backend server.
struct Refusal {
    std::uint64_t id = 0;
    Reason reason = Reason::None;
    Duration retryAfter {}; ///< how long the caller should wait before it retries
};

} // namespace robinrun
