#pragma once

#include "Core/Time.h"
#include "Queueing/WarmUpPacer.h"

#include <optional>

namespace robinrun {

/// \brief The warm-up settings of a service, adjusted by the settings of the deployment.
struct WarmUpSettings {
    Duration duration {}; ///< from the server's start until it is warm; 0: the service states none
    WarmUpRateLimit rateLimit; ///< of calls to one cold server
};

/// \brief Tracks whether the backend server beside this node is cold and paces calls to it while it is.
///
/// A cold server that receives more calls than it can handle crashes and restarts cold. Without pacing, six
/// servers that came back together crashed 30 times in 16 s and served 0.58 of the value of their calls.
///
/// Servers report how long they stay cold in announcements and in health answers. A server can turn cold
/// without the node noticing: before the node started, while the node was suspended, or while the node's data
/// hall was emptied. After such an event the server counts as cold until a health request sent later is
/// answered otherwise.
///
/// Start times of calls are recorded while the server is warm, too, because they count towards the limit of
/// the second in which it turns cold. Does no I/O; the current time is a parameter. Cost: O(1).
class WarmUp {
public:
    explicit WarmUp(WarmUpPacerKind kind = WarmUpPacerKind::Smooth)
        : m_pacerKind(kind)
        , m_pacer(makeWarmUpPacer(kind))
    {
    }

    /// \brief Changes how calls are paced. Recorded start times are kept.
    void setPacerKind(WarmUpPacerKind kind);

    /// \brief Changes the settings of the service. The known state of the server is kept.
    void setSettings(const WarmUpSettings& settings) { m_settings = settings; }

    /// \brief Handles an announcement that the server stays cold for \a remaining; zero: it is warm.
    ///
    /// An announcement of a warm server doesn't end the uncertain state, since it may have been sent before
    /// that state began.
    void onAnnouncement(Duration remaining, Instant now);

    /// \brief Handles the answer to a health request sent at \a askedAt: the server stays cold for \a
    /// remaining.
    void onHealthAnswer(Duration remaining, Instant askedAt, Instant now);

    /// \brief Marks the state as uncertain: the server may have turned cold unnoticed, and a previous process
    /// of this node may just have sent it calls.
    void markUncertain(Instant now);

    /// \returns whether the state is uncertain: the server counts as cold until a health request is answered.
    bool isUncertain(Instant now) const { return m_uncertainSince && isCold(now); }

    bool isCold(Instant now) const { return now < m_coldUntil; }
    /// \returns the time until the server is warm; zero if it is.
    Duration remainingTime(Instant now) const { return std::max(m_coldUntil - now, Duration::zero()); }
    /// \returns whether calls are paced at \a now.
    bool isPaced(Instant now) const { return isCold(now) && m_settings.rateLimit.isKnown(); }
    /// \returns the sustained rate of calls to a cold server; 0 if no limit is known.
    double callsPerSecond() const { return m_settings.rateLimit.callsPerSecond; }

    /// \returns the time at which the next call may start; at most \a now if it may start at once.
    Instant nextStart(Instant now) const;
    /// \brief Records that a call was sent to the server at \a now.
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
