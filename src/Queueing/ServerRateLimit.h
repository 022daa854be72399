#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace robinrun {

/// \brief Where a statement about the rate limit of a backend server comes from.
enum class RateLimitSource {
    CallAnswer,
    HealthAnswer,
    Ingress, ///< an ingress repeats what an answer named to an earlier incarnation of the owner
};

template <> struct EnumNames<RateLimitSource> {
    static constexpr std::array<std::string_view, 3> names { "call-answer", "health-answer", "ingress" };
};

/// \brief The rate limit that the backend server beside this node names in its answers, and the pace of
/// requests that keeps it.
///
/// The server names the limit in each answer for as long as it holds. Answers can overtake each other, so a
/// change is taken only from an answer that cannot be older than the statement it replaces: its request was
/// sent after that statement had arrived. Health answers may not name limits at all; one without a limit
/// counts only if an earlier one of the same server named it.
///
/// Requests start at even intervals with a small burst (generic cell rate algorithm): at most 1 + rate x (t +
/// `burstDuration`) requests start in any span t. Does no I/O; the current time is a parameter. Cost: O(1).
class ServerRateLimit {
public:
    /// Requests that were delayed, for instance by a late timer, are made up for within this time.
    static constexpr Duration burstDuration = 100ms;
    /// Interval of health requests, and of trial calls, that find out whether a limit still holds while it
    /// admits too few calls to show it.
    static constexpr Duration askInterval = 2s;
    /// Upper bound of all waiting times.
    static constexpr Duration maxWait = 1h;

    /// \brief Handles an answer of the current life of the server.
    /// \param named the limit in requests per second; std::nullopt if the answer names none.
    /// \param askedAt when the request was sent.
    /// \returns whether the limit has changed.
    bool onAnswer(RateLimitSource source, std::optional<double> named, Instant askedAt, Instant now);

    /// \brief Handles the report of an ingress that the server named \a limit at \a heardAt. Ignored if an
    /// answer has arrived since the last reset().
    /// \returns whether the limit has changed.
    bool onReport(double limit, Instant heardAt, Instant now);

    /// \brief Forgets everything: another life of the server runs.
    void reset() { *this = ServerRateLimit(); }

    /// \returns the limit in requests per second; std::nullopt if the server names none.
    std::optional<double> requestsPerSecond() const { return m_limit; }
    bool isNamed() const { return m_limit.has_value(); }

    /// \returns the time at which the next request may start; at most \a now if it may start at once.
    Instant nextStart(Instant now) const;

    /// \returns how long a request waits if \a requestsAhead others start before it.
    Duration waitBehind(double requestsAhead, Instant now) const;

    /// \returns when a caller that would wait for \a wait is to come back. A limit of zero tells no time, so
    /// callers come back when the owner has asked the server again.
    Duration retryDelay(Duration wait) const
    {
        return m_limit && *m_limit <= 0 ? std::min(wait, askInterval) : wait;
    }

    /// \brief Records that a call was sent to the server.
    void onCallSent(Instant now);

    /// \brief Records that a health request was sent to the server. It counts towards the limit, except for
    /// the rare ones at a low limit, which would use up all of it.
    void onHealthRequestSent(Instant now);

    /// \returns whether a health request is due because the limit admits too few calls for their answers to
    /// show that it was lifted.
    bool needsHealthAnswer(Instant now) const;

private:
    /// \returns the interval between two requests at the sustained rate.
    Duration interval() const;
    void useUpOne(Instant now) { m_burstRestoredAt = std::max(m_burstRestoredAt, now) + interval(); }
    void setLimit(double limit, Instant now);

    std::optional<double> m_limit;
    Instant m_namedAt {}; ///< when the last answer that names the limit arrived
    Instant m_valueAskedAt {}; ///< when the request was sent whose answer named the current value
    Instant m_liftedAt {}; ///< when an answer that named no limit ended the last one
    Instant m_lastCallAt {};
    Instant m_lastNewsAt {}; ///< when the last answer arrived or the last health request was sent
    Instant m_burstRestoredAt {}; ///< when a full burst is available if no more requests start
    bool m_hasAnswer = false; ///< an answer has arrived since the last reset()
    bool m_isNamedByHealthAnswers = false;
};

} // namespace robinrun
