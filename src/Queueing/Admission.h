#pragma once

#include "Queueing/ConcurrencyLimit.h"
#include "Queueing/FairQueue.h"
#include "Queueing/NestedCallReservation.h"
#include "Queueing/Refusal.h"
#include "Queueing/ServerRateLimit.h"
#include "Queueing/SlotTimeEstimate.h"
#include "Queueing/SojournControl.h"
#include "Queueing/WarmUp.h"
#include "Queueing/WorkClock.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief A call offered to the owner of an upstream for admission.
struct OfferedCall {
    std::uint64_t id = 0;
    std::uint32_t group = 0;
    std::uint32_t callClass = 0;
    std::uint32_t rank = 0; ///< priority across all groups; 0 is served first
    std::uint32_t priority = 0; ///< priority inside the group and rank; 0 is served first
    Instant deadline {};
    Duration
        slotTimeElsewhere {}; ///< that the group used on other upstreams and this owner has yet to charge
    Instant softDeadline = Instant::max(); ///< a later answer misses the target latency but is still useful
    /// Urgency of the call that issued this one and waits for it, if this is a nested call. Lower values are
    /// more urgent.
    std::optional<std::uint32_t> parentUrgency;
    std::uint32_t urgency = 0; ///< of the call itself, on the scale of `parentUrgency`
};

/// \brief How the run of a call ended.
enum class RunOutcome {
    Answered,
    Failed, ///< failed or was cancelled; its run time is used only if it ran until its deadline
};

/// \brief Calls that the caller of Admission must now run on the backend server or refuse as not run.
struct AdmissionResult {
    std::vector<std::uint64_t> callsToRun;
    std::vector<Refusal> refusals;
};

/// \brief The load of an upstream at one moment, as its owner counts it.
struct LoadReport {
    std::uint32_t slotLimit = 0; ///< calls that the owner runs at once at most
    std::uint32_t slotsInUse = 0;
    std::uint32_t waitingCalls = 0;
    Duration meanSlotTime {}; ///< mean time that a call holds a slot
    double slowdown = 1; ///< factor by which work takes longer than usual, as the backend server reports it
    bool isUnreachable = false; ///< the owner can't connect to the backend server
    Duration remainingWarmUp {}; ///< time until the backend server is warm; zero if it is warm
    double warmUpCallsPerSecond = 0; ///< rate at which calls start during the warm-up; 0: not paced
    Duration timeToNextStart {}; ///< while calls are paced: time until a call that arrived now could start
    std::optional<double> serverLimit {}; ///< requests per second that the backend server accepts, if it
                                          ///< names a limit; calls are paced while it does
};

/// \brief Decides at the owner which calls run on the backend server, which wait and which are refused.
///
/// Only the owner admits calls to its upstream, so the number of slots in use is exact. Only waiting calls
/// and new arrivals are refused: a call listed in `callsToRun` is never refused afterwards.
///
/// "Slot time" is the time for which a call holds a slot of the backend server.
///
/// Cost: offer() and onRunEnded() take O(log groups + refusals); memory is about 150 bytes per waiting call.
class Admission {
public:
    struct Options {
        std::uint32_t slots = 12; ///< of the backend server
        ConcurrencyLimitKind limitKind = ConcurrencyLimitKind::Fixed;
        double slotShare = 1; ///< of the slots; used by the Fixed limit and initially by the Stepwise limit
        std::size_t queueLimit = 256; ///< waiting calls at most
        Duration initialSlotTime = 10ms; ///< estimate before any call has ended
        /// Target and interval of SojournControl, in mean slot times. They scale with the slot time because a
        /// wait of a few slot times is a burst and a longer one a standing queue.
        int sojournTargetSlotTimes = 3;
        int sojournIntervalSlotTimes = 20;
        /// A call without a soft deadline is refused on arrival if its expected wait exceeds this many mean
        /// slot times: an early refusal is worth more to the caller than a late answer.
        int maxWaitSlotTimes = 10;
        Duration maxSlotTimeElsewhere = 100ms; ///< limit on `slotTimeElsewhere` of one call
    };

    explicit Admission(Options options);

    void setGroupWeight(std::uint32_t group, double weight) { m_queue.setGroupWeight(group, weight); }

    /// \brief Changes the number of slots and starts the concurrency limit anew if the number differs.
    ///
    /// If fewer slots remain than are in use, no call starts until enough runs have ended.
    void setSlots(std::uint32_t slots);

    /// \brief Starts the concurrency limit anew, because a new incarnation of the backend server runs.
    ///
    /// The slot time estimates of the call classes are kept: they belong to the service, not to one
    /// incarnation.
    void resetLimit();

    /// \brief Changes the kind of concurrency limit and the share of the slots that it uses.
    void setLimitKind(ConcurrencyLimitKind kind, double share);

    /// \brief The warm-up state of the backend server. The caller updates it with news of the server; the
    /// change takes effect at the next call of offer(), onRunEnded() or startReadyCalls().
    WarmUp& warmUp() { return m_warmUp; }
    const WarmUp& warmUp() const { return m_warmUp; }

    /// \brief The rate limit that the backend server names. The caller updates it with news of the server;
    /// the change takes effect at the next call of offer(), onRunEnded() or startReadyCalls().
    ServerRateLimit& rateLimit() { return m_rateLimit; }
    const ServerRateLimit& rateLimit() const { return m_rateLimit; }

    /// \returns when a waiting call may start that only the pacing delays, because the server is cold or
    /// names a limit; nothing if no call is delayed by it.
    std::optional<Instant> nextPacedStart(Instant now) const;

    /// \brief Starts the waiting calls that may start by \a now. The caller calls this at nextPacedStart().
    AdmissionResult startReadyCalls(Instant now);

    /// \brief Records that work takes \a factor times as long as usual from \a now on.
    void setSlowdown(double factor, Instant now);

    /// \returns how many calls may run at once.
    std::uint32_t limit() const;

    /// \brief Changes how many calls may wait. Calls already waiting beyond the new limit stay.
    void setQueueLimit(std::size_t limit) { m_queue.setLimit(limit); }

    /// \brief Runs, queues or refuses a new call. An owner that is leaving refuses every call; otherwise a
    /// call is refused if it is not expected to end in time.
    AdmissionResult offer(const OfferedCall& offer, Instant now);

    /// \brief Releases the slot of a run that was answered, failed or was cancelled at the backend server.
    AdmissionResult onRunEnded(std::uint64_t id, RunOutcome outcome, Instant now);

    /// \brief Removes a waiting call whose caller cancelled it. \returns false if the call is not waiting; it
    /// may be running.
    bool cancelWaiting(std::uint64_t id);

    /// \brief Refuses waiting calls that can no longer end before their deadlines, so that their callers can
    /// try another upstream early. Called periodically, and when the server names a lower limit. Cost:
    /// O(waiting calls).
    AdmissionResult refuseCallsMissingDeadline(Instant now);

    /// \brief Starts or ends leaving. While leaving, every new call is refused.
    /// \returns all waiting calls as refusals if \a isLeaving, so that their callers try another upstream.
    AdmissionResult setLeaving(bool isLeaving, Instant now);

    bool isLeaving() const { return m_isLeaving; }
    bool isIdle() const { return m_runningCalls.empty() && m_queue.isEmpty(); }

    /// \brief Takes a slot for something other than a call, such as a health probe.
    void holdSlot() { ++m_heldSlots; }
    AdmissionResult releaseSlot(Instant now);

    /// \returns whether a call that arrived now would run at once.
    bool hasFreeSlot(Instant now) const
    {
        return !m_isLeaving && slotsInUse() < limit() && m_queue.isEmpty() && nextStart(now) <= now;
    }

    /// \returns whether some call has run well beyond the slot time expected at its start, which suggests
    /// that the server has slowed down since it last reported its load. Cost: O(running calls).
    bool hasOverdueRun(Instant now) const;

    /// \returns whether a call that arrived now would get the next slot that becomes free.
    bool wouldGetNextSlot(std::uint32_t group, std::uint32_t rank, std::uint32_t priority) const
    {
        return !m_isLeaving && m_queue.slotTimeAhead(group, rank, priority) == Duration::zero();
    }

    LoadReport load(Instant now) const;

    /// \returns the load as a new call of \a group sees it: `waitingCalls` counts only the calls that would
    /// be served before it.
    LoadReport loadForGroup(std::uint32_t group, Instant now) const;
    std::uint32_t slotsInUse() const
    {
        return static_cast<std::uint32_t>(m_runningCalls.size()) + m_heldSlots;
    }

    /// \returns how long a call of the group is expected to wait if it arrived now.
    Duration expectedWait(std::uint32_t group, std::uint32_t rank, std::uint32_t priority, Instant now) const;

private:
    struct RunningCall {
        std::uint32_t group;
        std::uint32_t callClass;
        Duration expectedSlotTime;
        Instant startTime;
        Duration workClockAtStart; ///< reading of `m_workClock`
        Duration timeToSoftDeadline; ///< at the start
        Instant deadline;
        std::uint32_t concurrencyAtStart; ///< calls running at the start, including this one
        std::uint32_t limitAtStart;
        std::uint32_t urgency;
    };

    /// \returns whether the next waiting call must leave the free slots to nested calls that are expected.
    bool isReservedForNestedCalls(Instant now) const;
    void startWaitingCalls(AdmissionResult& out, Instant now);
    /// \returns the time at which the pacing allows the next call to start; at most \a now if at once.
    Instant nextStart(Instant now) const
    {
        return std::max(m_warmUp.nextStart(now), m_rateLimit.nextStart(now));
    }
    /// \returns how long a call behind \a slotTimeAhead of other calls waits for a slot.
    Duration slotWait(Duration slotTimeAhead, Instant now) const;
    Duration warmUpWait(Duration slotTimeAhead, Instant now) const;
    Duration serverLimitWait(Duration slotTimeAhead, Instant now) const;
    Duration waitWithoutServerLimit(Duration slotTimeAhead, Instant now) const;
    /// \returns the number of mean calls that take \a slotTime together.
    double callsIn(Duration slotTime) const;
    void startCall(const QueuedCall& call, AdmissionResult& out, Instant now);
    /// \brief Passes a run that was answered or timed out to the concurrency limit as a sample.
    void addLimitSample(const RunningCall& call, RunOutcome outcome, Instant now);
    void addRefusal(const QueuedCall& call, Reason reason, AdmissionResult& out, Instant now) const;
    bool exceedsSojournTarget(const QueuedCall& call, Instant now);
    /// \param wait for a slot and for a cold server. \param limitWait for the limit that the server names.
    Reason refusalReasonOnArrival(const QueuedCall& call, std::uint32_t callClass, Duration wait,
        Duration limitWait, Instant now) const;
    Reason refusalReasonForWait(
        const QueuedCall& call, std::uint32_t callClass, Duration wait, Instant now) const;
    /// \returns whether a call of the class may take a free slot although it is expected to miss its
    /// deadline: true if no other call of the class runs. Without such a trial no sample would show that the
    /// server has become fast again.
    bool mayRunAsTrial(std::uint32_t callClass) const;
    Reason refusalReasonAtStart(const QueuedCall& call, Instant now);
    /// \returns the expected slot time of a waiting call at the server's current speed.
    Duration currentExpectedSlotTime(const QueuedCall& call) const;

    Options m_options;
    ConcurrencyLimit m_concurrencyLimit;
    WorkClock m_workClock;
    WarmUp m_warmUp;
    ServerRateLimit m_rateLimit;
    FairQueue m_queue;
    SlotTimeEstimate m_slotTimeEstimate;
    std::unordered_map<std::uint32_t, SojournControl> m_sojournControls; ///< by group
    std::unordered_map<std::uint64_t, RunningCall> m_runningCalls; ///< by call id
    std::unordered_map<std::uint32_t, std::uint32_t> m_runningCountByClass;
    struct WaitingCall {
        std::uint32_t group;
        std::uint32_t callClass;
        std::uint32_t urgency;
    };
    std::unordered_map<std::uint64_t, WaitingCall> m_waitingCalls; ///< by call id
    NestedCallReservation m_nestedReservation;
    std::uint32_t m_heldSlots = 0; ///< slots taken by holdSlot()
    bool m_isLeaving = false;
};

} // namespace robinrun
