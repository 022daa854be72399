#pragma once

#include "Http/HttpTypes.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \file Header fields between callers, nodes and backend servers. \sa docs/CALLING.md

namespace headers {

    inline constexpr std::string_view attempts = "Robinrun-Attempts-Left";
    inline constexpr std::string_view group = "Robinrun-Group";
    inline constexpr std::string_view ticket = "Robinrun-Ticket";
    inline constexpr std::string_view key = "Idempotency-Key";
    inline constexpr std::string_view outcome = "Robinrun-Outcome";
    inline constexpr std::string_view reason = "Robinrun-Reason";
    inline constexpr std::string_view advice = "Robinrun-Advice";
    inline constexpr std::string_view retryAfterMs = "Robinrun-Retry-After-Ms";
    inline constexpr std::string_view queuedUs = "Robinrun-Queued-Us";
    /// By which a backend server may say with any answer that it drains.
    inline constexpr std::string_view backendState = "Backend-State";

} // namespace headers

/// \brief The names of the fields that a deployment may call otherwise. Those given here are robinrun's own.
struct CallHeaders {
    std::string credential = "Robinrun-Credential"; ///< names the calling group
    std::string credentialScheme; ///< word before the credential in that field; "": none
    /// Whether calls by route belong to groups only where the configuration has any with a credential.
    bool hasOptionalGroups = false;
    std::string group { headers::group }; ///< tells the backend server the calling group
    std::string deadline = "Robinrun-Deadline-Ms"; ///< how long the answer is of use, ms
    std::string requestId = "Robinrun-Request-Id"; ///< one for each attempt of a caller
    std::string callerService = "Robinrun-Caller-Service"; ///< service beside the node where the call began
    std::string expectedUpstream = "Robinrun-Upstream"; ///< id of the backend server's start that is meant
    std::string upstream = "Backend-Id"; ///< id of the backend server's start that answers
    std::string notRun = "Backend-Not-Run"; ///< on answers to calls that the backend server didn't run
    std::string load = "Backend-Load"; ///< running, waiting, slots, and how long work takes in % of the usual
    std::string coldFor
        = "Backend-Cold-Ms"; ///< on health answers: how long the backend server stays cold, ms
    /// Requests per second that the backend server accepts from all nodes together, on its answers; any of
    /// these names.
    std::vector<std::string> rateLimit { "Backend-Rate-Limit" };
    std::vector<std::string>
        leaving; ///< "1" on answers of a backend server that will stop; any of these names
    std::string signature; ///< by which its own answers are known; "": they aren't signed
    bool hasFractionalRetryAfter = false; ///< whether callers understand parts of a second there

    /// \returns whether a caller's field is for this system and not passed on to the backend server.
    bool isForUs(std::string_view name) const
    {
        return equalIgnoringCase(name, credential) || equalIgnoringCase(name, deadline)
            || equalIgnoringCase(name, headers::attempts) || equalIgnoringCase(name, headers::ticket)
            || isSpelling(name, group) || equalIgnoringCase(name, callerService)
            || equalIgnoringCase(name, expectedUpstream);
    }

    /// \returns whether a field of an answer states something about the backend server itself.
    bool isStatement(std::string_view name) const
    {
        const auto isName = [&](const auto& it) { return equalIgnoringCase(name, it); };
        return std::any_of(rateLimit.begin(), rateLimit.end(), isName)
            || std::any_of(leaving.begin(), leaving.end(), isName);
    }

private:
    /// \returns whether a backend server may take \a name for \a field: many read '_' as '-'.
    static bool isSpelling(std::string_view name, std::string_view field)
    {
        const auto isSame = [](char a, char b) {
            return a == b || (a == '_' && b == '-') || equalIgnoringCase({ &a, 1 }, { &b, 1 });
        };
        return std::equal(name.begin(), name.end(), field.begin(), field.end(), isSame);
    }
};

} // namespace robinrun
