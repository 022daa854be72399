#pragma once

#include "Core/EnumNames.h"
#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/Admission.h"
#include "Queueing/WorkClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace robinrun {

/// \brief Whether an ingress may send new calls to an upstream. Part of the wire format: append only.
enum class UpstreamState {
    Active,
    Leaving, ///< drains: nothing new
    Lost, ///< its node doesn't answer
};

template <> struct EnumNames<UpstreamState> {
    static constexpr std::array<std::string_view, 3> names { "active", "leaving", "lost" };
};

/// \brief What an owner said about its upstream in an answer to a call of one group, and when it was heard.
struct OwnerReport {
    LoadReport load; ///< `waiting` counts the calls that would go before a new one of the group
    std::uint32_t callsOfThisIngress
        = 0; ///< calls in use or waiting that this ingress has sent for the group
    std::uint32_t queuedCalls = 0; ///< calls waiting, of all groups
    double errorShare = 0; ///< recent share of failed answers, over all callers
    Instant receivedAt {};
};

/// \brief All an ingress knows of one upstream: its own calls exactly, all else as old as the last answer.
///
/// Cost: O(1) a call; about 250 bytes.
class UpstreamView {
public:
    /// \param roundTrip network time to the upstream's node and back.
    /// \param isFar in another data hall: bytes there and back cost more.
    UpstreamView(std::string name, std::uint32_t slots, Duration roundTrip, bool isFar = false);

    /// \brief A call was sent.
    void onAttemptSent(std::uint32_t group)
    {
        ++m_inFlight;
        ++m_loadByGroup[group].inFlight;
    }

    /// \brief An answer came, with the owner's news; \a isFailure for answers that failed at the backend
    /// server. \returns as heard().
    std::optional<Duration> onAttemptAnswered(
        std::uint32_t group, const OwnerReport& report, bool isFailure, Instant now);

    /// \brief The owner tells its load, by itself or with an answer.
    /// \returns the length of the slow phase that has ended with this; nothing if none has.
    std::optional<Duration> onLoadReport(const OwnerReport& report)
    {
        m_report = report;
        return m_workClock.setSlowdown(report.load.slowdown, report.receivedAt);
    }

    /// \returns how long a call that is sent now waits there because the server is cold and gets its calls at
    /// a pace; zero if it doesn't. Calls that were sent since the last news go before it.
    Duration coldStartWait(Instant now) const;

    /// \returns the clock of the work that a call gets done there.
    const WorkClock& workClock() const { return m_workClock; }

    /// \brief No answer came in time, or the node is gone.
    void onAttemptLost(std::uint32_t group, Instant now);

    /// \brief This side gave an attempt up; nothing is learnt from it.
    void onAttemptAbandoned(std::uint32_t group);

    /// \brief A round trip was measured; it replaces the guess bit by bit.
    void addRoundTripSample(Duration roundTrip) { m_roundTrip += (roundTrip - m_roundTrip) / 8; }

    /// \brief An answer is late. \returns how many have been since the last answer of any kind.
    unsigned countLateAnswer() { return ++m_consecutiveLateAnswers; }

    /// \brief After a silence: one call at a time, until an answer comes.
    void startTrial() { m_isOnTrial = true; }

    /// \brief Leaves it out until \a end while there are others, then gives it one call at a time.
    void pauseUntil(Instant end)
    {
        m_pausedUntil = end;
        startTrial();
    }

    /// \returns whether it is worth a new call now. One that isn't is still used when there is no other.
    bool isAvailable(Instant now) const
    {
        return m_state == UpstreamState::Active && now >= m_pausedUntil && !(m_isOnTrial && m_inFlight > 0);
    }

    void setState(UpstreamState state, Instant now);
    void setSlots(std::uint32_t slots) { m_slots = slots; }
    void setFar(bool isFar) { m_isFar = isFar; }

    /// \brief Starts the slow start: the upstream is cold from \a now on.
    void restartSlowStart(Instant now) { m_slowStartBegin = now; }

    const std::string& name() const { return m_name; }
    std::uint32_t slots() const { return m_slots; }
    Duration roundTrip() const { return m_roundTrip; }
    bool isFar() const { return m_isFar; }
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \returns own calls of one group that are out.
    std::uint32_t inFlightOf(std::uint32_t group) const;
    UpstreamState state() const { return m_state; }
    const std::optional<OwnerReport>& report() const { return m_report; }

    /// \returns calls of others that a new call of \a group would have to share with or wait for, as last
    /// reported.
    double reportedOtherCalls(std::uint32_t group) const;

    /// \returns the larger of the own and the reported share of failures, old news counting less.
    double errorShare(Instant now) const;

    /// \returns the part of its slots, in (0, 1], to count on while it warms up over \a slowStartDuration.
    double usableSlotShare(Duration slowStartDuration, Instant now) const;

private:
    struct GroupLoad {
        std::uint32_t inFlight = 0;
        std::uint32_t waiting = 0;
        std::uint32_t callsOfThisIngress = 0;
    };

    std::string m_name;
    std::uint32_t m_slots;
    Duration m_roundTrip;
    bool m_isFar;
    std::uint32_t m_inFlight = 0;
    UpstreamState m_state = UpstreamState::Active;
    std::optional<OwnerReport> m_report;
    WorkClock m_workClock;
    std::unordered_map<std::uint32_t, GroupLoad> m_loadByGroup;
    Ewma m_failureShare;
    Instant m_lastFailure {};
    std::optional<Instant> m_slowStartBegin;
    unsigned m_consecutiveLateAnswers = 0;
    bool m_isOnTrial = false;
    Instant m_pausedUntil {};
};

} // namespace robinrun
