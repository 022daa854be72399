#pragma once

#include "Core/Time.h"
#include "Queueing/WarmUpPacer.h"

#include <optional>

namespace robinrun {

/// \brief What a service says of its cold backend servers, and what the deployment allows on top.
struct WarmUpSettings {
    Duration duration {}; ///< from a start until the server is warm; 0: the service doesn't say
    WarmUpRateLimit rateLimit; ///< on calls to one cold server
};

/// \brief Whether the backend server beside this node is cold, and which calls it may get while it is.
///
/// A cold server that gets more than it bears falls over and starts again, cold: without a pace, six servers
/// that came back together fell 30 times in 16 s and served 0.58 of their calls' worth; that is what the
/// pace protects. Servers tell how long they stay cold in announcements and in health answers. They may turn
/// cold at any moment, so after all that a node did not see (its own start, a standstill, a hall that was
/// emptied) a server counts as cold until an answer to a question of later says otherwise.
///
/// Starts of calls are kept while the server is warm, too: those count in the second in which it turns cold.
/// No I/O; the present time is an argument. Cost: O(1).
class WarmUp {
public:
    explicit WarmUp(WarmUpPacerKind kind = WarmUpPacerKind::Smooth)
        : m_pacerKind(kind)
        , m_pacer(makeWarmUpPacer(kind))
    {
    }

    /// \brief Changes how calls are paced; starts that were noted stay noted.
    void setPacerKind(WarmUpPacerKind kind);

    /// \brief The service says otherwise than before. What is known of the server stays.
    void setSettings(const WarmUpSettings& settings) { m_settings = settings; }

    /// \brief An announcement says that the server is cold for \a left. That it is warm ends no doubt: it may
    /// have been sent before the doubt arose.
    void onAnnouncement(Duration remaining, Instant now);

    /// \brief The answer to a question asked at \a asked says that the server is cold for \a left.
    void onHealthAnswer(Duration remaining, Instant askedAt, Instant now);

    /// \brief The server may have turned cold unseen, and a former process beside it may have sent it calls.
    void markUncertain(Instant now);

    /// \returns whether an answer is wanted: until one comes, the server counts as cold.
    bool isUncertain(Instant now) const { return m_uncertainSince && isCold(now); }

    bool isCold(Instant now) const { return now < m_coldUntil; }
    /// \returns how long the server stays cold; zero if it is warm.
    Duration remainingTime(Instant now) const { return std::max(m_coldUntil - now, Duration::zero()); }
    /// \returns whether calls are paced now.
    bool isPaced(Instant now) const { return isCold(now) && m_settings.rateLimit.isKnown(); }
    /// \returns calls a second while the server is paced; 0 if no bound is known.
    double callsPerSecond() const { return m_settings.rateLimit.callsPerSecond; }

    /// \returns when the next call may start: no later than \a now if one may at once.
    Instant nextStart(Instant now) const;
    /// \brief A call was handed to the server.
    void onCallStarted(Instant now);

private:
    WarmUpPacerKind m_pacerKind;
    WarmUpSettings m_settings;
    Instant m_coldUntil {};
    std::optional<Instant> m_uncertainSince;
    StartLog m_starts;
    WarmUpPacer m_pacer;
};

} // namespace robinrun
