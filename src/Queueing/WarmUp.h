#pragma once

#include "Core/Time.h"
#include "Queueing/ColdPace.h"

#include <optional>

namespace robinrun {

/// \brief What a service says of its cold backend servers, and what the deployment allows on top.
struct WarmUpTerms {
    Duration length {}; ///< from a start until the server is warm; 0: the service doesn't say
    ColdBound bound; ///< on calls to one cold server
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
    explicit WarmUp(ColdPaceKind kind = ColdPaceKind::Smooth)
        : m_kind(kind)
        , m_pace(makeColdPace(kind))
    {
    }

    /// \brief Changes how calls are paced; starts that were noted stay noted.
    void setKind(ColdPaceKind kind);

    /// \brief The service says otherwise than before. What is known of the server stays.
    void setTerms(const WarmUpTerms& terms) { m_terms = terms; }

    /// \brief An announcement says that the server is cold for \a left. That it is warm ends no doubt: it may
    /// have been sent before the doubt arose.
    void announced(Duration left, Instant now);

    /// \brief The answer to a question asked at \a asked says that the server is cold for \a left.
    void answered(Duration left, Instant asked, Instant now);

    /// \brief The server may have turned cold unseen, and a former process beside it may have sent it calls.
    void doubt(Instant now);

    /// \returns whether an answer is wanted: until one comes, the server counts as cold.
    bool isInDoubt(Instant now) const { return m_doubtSince && isCold(now); }

    bool isCold(Instant now) const { return now < m_coldUntil; }
    /// \returns how long the server stays cold; zero if it is warm.
    Duration left(Instant now) const { return std::max(m_coldUntil - now, Duration::zero()); }
    /// \returns whether calls are paced now.
    bool isPaced(Instant now) const { return isCold(now) && m_terms.bound.isKnown(); }
    /// \returns calls a second while the server is paced; 0 if no bound is known.
    double perSecond() const { return m_terms.bound.perSecond; }

    /// \returns when the next call may start: no later than \a now if one may at once.
    Instant nextStart(Instant now) const;
    /// \brief A call was handed to the server.
    void started(Instant now);

private:
    ColdPaceKind m_kind;
    WarmUpTerms m_terms;
    Instant m_coldUntil {};
    std::optional<Instant> m_doubtSince;
    StartLog m_starts;
    ColdPace m_pace;
};

} // namespace robinrun
