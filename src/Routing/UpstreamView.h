#pragma once

#include "Core/EnumNames.h"
#include "Core/Ewma.h"
#include "Core/Time.h"
#include "Queueing/Admission.h"
#include "Queueing/WorkClock.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace robinrun {

/// \brief Whether an ingress may send new calls to an upstream. Part of the wire format: append only.
enum class UpstreamState {
    Active,
    Leaving, ///< it drains and takes no new calls
    Lost, ///< its node doesn't answer or its backend server is down
};

template <> struct EnumNames<UpstreamState> {
    static constexpr std::array<std::string_view, 3> names { "active", "leaving", "lost" };
};

/// \brief The state of an upstream as its owner reported it, by itself or in the answer to a call of one
/// group.
struct OwnerReport {
    LoadReport load; ///< its `waiting` counts the waiting calls that run before a new call of the group
    std::uint32_t callsOfThisIngress = 0; ///< running or waiting calls of the group that this ingress sent
    std::uint32_t queuedCalls = 0; ///< waiting calls of all groups
    double errorShare = 0; ///< recent share of failed answers, over all callers
    Instant receivedAt {}; ///< when this ingress received the report
};

/// \brief The state of one upstream as an ingress knows it: the ingress's own calls exactly, everything else
/// as of the owner's last report.
///
/// Cost: O(1) per call; about 250 bytes of memory.
class UpstreamView {
public:
    /// \param roundTrip initial value of the network time to the upstream's node and back.
    /// \param isFar whether the upstream is in another data hall, to which bytes cost more.
    UpstreamView(std::string name, std::uint32_t slots, Duration roundTrip, bool isFar = false);

    /// \brief Records that an attempt of a call of \a group was sent.
    void onAttemptSent(std::uint32_t group)
    {
        ++m_inFlight;
        ++m_loadByGroup[group].inFlight;
    }

    /// \brief Records the answer to an attempt, with the owner's report.
    /// \param isFailure whether the call failed at the backend server.
    /// \returns the same as onLoadReport().
    std::optional<Duration> onAttemptAnswered(
        std::uint32_t group, const OwnerReport& report, bool isFailure, Instant now);

    /// \brief Stores a load report, which the owner sent by itself or with an answer.
    /// \returns the length of the slow phase that ends with the report; std::nullopt if none ends.
    std::optional<Duration> onLoadReport(const OwnerReport& report)
    {
        m_report = report;
        return m_workClock.setSlowdown(report.load.slowdown, report.receivedAt);
    }

    /// \returns how long a call that is sent now waits because the owner paces the calls to a cold backend
    /// server, including the wait for the calls that were sent since the last report; zero if the server
    /// isn't cold.
    Duration coldStartWait(Instant now) const;

    /// \returns how long a call that is sent now waits because the backend server names a rate limit, behind
    /// the calls that wait already or were sent since the last report; zero if it names none, or if the last
    /// report is so old that the limit may have been lifted.
    Duration serverLimitWait(Instant now) const;

    /// \returns as serverLimitWait(), for a call that its owner starts before all that wait.
    Duration leastServerLimitWait(Instant now) const;

    /// \returns how long a call that is sent now waits because the owner paces calls, for either reason.
    Duration pacingWait(Instant now) const { return std::max(coldStartWait(now), serverLimitWait(now)); }

    /// \returns the clock that measures the work done on a call at this upstream.
    const WorkClock& workClock() const { return m_workClock; }

    /// \brief Records that an attempt got no answer or could not be sent. Counts as a failure.
    void onAttemptLost(std::uint32_t group, Instant now);

    /// \brief Records that the ingress gave up an attempt. Doesn't count as a failure.
    void onAttemptAbandoned(std::uint32_t group);

    /// \brief Adds a measured round trip to the moving average, which starts from the initial value.
    void addRoundTripSample(Duration roundTrip) { m_roundTrip += (roundTrip - m_roundTrip) / 8; }

    /// \brief Counts a late attempt. \returns the number of late attempts since the last answer.
    unsigned countLateAttempt() { return ++m_consecutiveLateAttempts; }

    /// \brief Limits the upstream to one call in flight until an answer arrives.
    void startTrial() { m_isOnTrial = true; }

    /// \brief Makes the upstream unavailable until \a end, then limits it to one call in flight.
    void pauseUntil(Instant end)
    {
        m_pausedUntil = end;
        startTrial();
    }

    /// \returns whether the upstream may get a new call now. If no upstream is available, unavailable ones
    /// are used anyway.
    bool isAvailable(Instant now) const
    {
        return m_state == UpstreamState::Active && now >= m_pausedUntil && !(m_isOnTrial && m_inFlight > 0);
    }

    void setState(UpstreamState state, Instant now);
    void setSlots(std::uint32_t slots) { m_slots = slots; }
    void setFar(bool isFar) { m_isFar = isFar; }

    /// \brief Begins a slow start at \a now.
    void restartSlowStart(Instant now) { m_slowStartBegin = now; }

    const std::string& name() const { return m_name; }
    std::uint32_t slots() const { return m_slots; }
    Duration roundTrip() const { return m_roundTrip; }
    bool isFar() const { return m_isFar; }
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \returns the calls of one group in flight from this ingress.
    std::uint32_t inFlightOf(std::uint32_t group) const;
    UpstreamState state() const { return m_state; }
    const std::optional<OwnerReport>& report() const { return m_report; }

    /// \returns the number of other ingresses' calls, from the last report, that a new call of \a group would
    /// share the slots with or wait for.
    double reportedOtherCalls(std::uint32_t group) const;

    /// \returns the share of failures that this ingress observed or the one that the owner reported,
    /// whichever is larger. Both decay with their age.
    double errorShare(Instant now) const;

    /// \returns the share of the slots, in (0, 1], to use during a slow start of \a slowStartDuration; 1
    /// after it.
    double usableSlotShare(Duration slowStartDuration, Instant now) const;

private:
    /// \returns the calls sent since the last report, which therefore does not count them.
    double callsSinceReport() const;
    /// \returns whether the last report says that the server names a limit, and is not too old.
    bool isServerLimited(Instant now) const;

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
    unsigned m_consecutiveLateAttempts = 0;
    bool m_isOnTrial = false;
    Instant m_pausedUntil {};
};

} // namespace robinrun
