#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"
#include "Queueing/Refusal.h"
#include "Routing/RetryDenial.h"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief A decision that touches a request. The names are those of the log's events.
enum class RequestEvent {
    RouteChosen,
    UpstreamChosen,
    OwnerRefused,
    AttemptLate,
    AttemptSlowed,
    AttemptLost,
    RequestRefused,
    RequestUnknown,
    RequestAnswered,
    CallerGone,
    Queued,
    SentToBackend,
    BackendAnswered,
    BackendFailed,
    OwnerGaveUp,
    CancelTaken,
    RateRefused, ///< the group of its caller has made as many calls as it may
    UpstreamCold, ///< the best upstream is cold, and bears so few calls that the answer would be too late
    UpstreamLimited, ///< the best upstream names a rate limit, under which the answer would be too late
};

template <> struct EnumNames<RequestEvent> {
    static constexpr std::array<std::string_view, 19> names { "route-chosen", "upstream-chosen",
        "owner-refused", "attempt-late", "attempt-slowed", "attempt-lost", "request-refused",
        "request-unknown", "request-answered", "caller-gone", "queued", "sent-to-backend", "backend-answered",
        "backend-failed", "owner-gave-up", "cancel-taken", "rate-refused", "upstream-cold",
        "upstream-limited" };
};

/// \brief What a node decided about one request, kept until the request ends here.
///
/// Only then is it known whether it is worth a place in the log: requests that failed, were refused, tried
/// again or late are written whole; of the others a sample by the hash of their id, so that all nodes keep
/// the same ones. Cost: about 150 bytes an entry; nothing is formatted before write().
class RequestTrail {
public:
    using Number = std::pair<std::string_view, std::int64_t>;

    /// \brief What led to a decision. `numbers` are named inputs; the names must outlive the trail.
    struct Entry {
        RequestEvent event {};
        Instant at {};
        std::string upstream = {};
        std::uint64_t attempt = 0; ///< number of the attempt, the same at both ends; 0: none
        Reason reason = Reason::None;
        std::vector<Number> numbers = {};
        std::string text = {}; ///< route and service; "" where they are not the matter
        std::optional<RetryDenial> retryDenied = {}; ///< why there was no further attempt
    };

    void add(Entry entry) { m_entries.push_back(std::move(entry)); }

    /// \brief The request is worth logging whatever the sample says.
    void setNotable() { m_isNotable = true; }

    /// \brief Writes what there is, if it is notable or in the sample of one in \a sampleOneIn, and forgets
    /// it. \param id of the request. \param node that asked, for the lines of an owner; "" at an ingress.
    void write(const std::string& id, const std::string& node, std::uint64_t sampleOneIn, Instant now);

private:
    std::vector<Entry> m_entries;
    bool m_isNotable = false;
};

} // namespace robinrun
