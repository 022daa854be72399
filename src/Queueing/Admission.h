#pragma once

#include "Queueing/ConcurrencyLimit.h"
#include "Queueing/FairQueue.h"
#include "Queueing/NestedCallReservation.h"
#include "Queueing/Refusal.h"
#include "Queueing/SlotTimeEstimate.h"
#include "Queueing/SojournControl.h"
#include "Queueing/WarmUp.h"
#include "Queueing/WorkClock.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief A call offered to the owner of an upstream.
struct OfferedCall {
    std::uint64_t id = 0;
    std::uint32_t group = 0;
    std::uint32_t callClass = 0;
    std::uint32_t rank = 0; ///< over all groups, 0 first
    std::uint32_t priority = 0; ///< inside the group and rank
    Instant deadline {};
    Duration slotTimeElsewhere {};
    Instant softDeadline = Instant::max(); ///< an answer after this is late
    /// For a call that a run elsewhere waits for: the place of that one. Lower numbers are more urgent.
    std::optional<std::uint32_t> parentUrgency;
    std::uint32_t urgency = 0; ///< place of the call itself, in the same numbers
};

/// \brief How a call that ran has ended, for what is learnt from it.
enum class RunOutcome {
    Answered,
    Failed, ///< or was cut off: how long it took says nothing, unless it was up to its deadline
};

/// \brief What to do after a step: calls to hand to the backend server, and calls given up as not run.
struct AdmissionResult {
    std::vector<std::uint64_t> callsToRun;
    std::vector<Refusal> refusals;
};

/// \brief The state of an upstream at a moment, exact at its owner.
struct LoadReport {
    std::uint32_t slotLimit = 0; ///< that the owner uses at most
    std::uint32_t slotsInUse = 0;
    std::uint32_t waitingCalls = 0;
    Duration meanSlotTime {};
    double slowdown = 1; ///< how much longer work takes at this moment, as the backend server says
    bool isUnreachable = false; ///< the backend server can't be reached
    Duration remainingWarmUp {}; ///< how long the backend server stays cold; zero if it is warm
    double warmUpCallsPerSecond
        = 0; ///< calls that are started a second while it is; 0: as many as there are slots
    Duration timeToNextStart {}; ///< while it is paced: until a call that came now could start
};

/// \brief Decides at the owner which calls run on the backend server, which wait and which are refused.
///
/// Only the owner admits work to its upstream, so slots in use are counted, never guessed. A refusal comes
/// from the queue alone: a call in `run` has been handed over and is never refused afterwards.
///
/// Cost: offer and finished O(log groups + refused); memory about 150 bytes a waiting call.
class Admission {
public:
    struct Options {
        std::uint32_t slots = 12; ///< of the backend server
        ConcurrencyLimitKind limitKind = ConcurrencyLimitKind::Fixed; ///< how many of them are used at most
        double slotShare
            = 1; ///< of the slots, for ConcurrencyLimitKind::Fixed and ConcurrencyLimitKind::Stepwise
        std::size_t queueLimit = 256;
        Duration initialSlotTime = 10ms;
        /// Bounds on waiting, in slot times as they are now: a few calls in turn are a burst, more stand.
        int sojournTargetSlotTimes = 3;
        int sojournIntervalSlotTimes = 20;
        int maxWaitSlotTimes
            = 10; ///< a call that would wait longer is refused at once: that is worth more than a late answer
        Duration maxSlotTimeElsewhere = 100ms;
    };

    explicit Admission(Options options);

    void setGroupWeight(std::uint32_t group, double weight) { m_queue.setGroupWeight(group, weight); }

    /// \brief Changes the slots; fewer than in use means that none starts until enough have ended. What was
    /// learnt of the limit is kept as long as the slots stay the same.
    void setSlots(std::uint32_t slots);

    /// \brief Another life of the backend server has come: what was learnt of the former one's limit is
    /// forgotten. How long calls of a class take is kept: that is the service's, not the life's.
    void resetLimit();

    /// \brief Changes how the limit is found, or the share of the slots of one that is fixed.
    void setLimitKind(ConcurrencyLimitKind kind, double share);

    /// \brief What is known of the backend server's warm-up, to be told of news. What it holds back shows in
    /// the next step; \sa nextStart().
    WarmUp& warmUp() { return m_warmUp; }
    const WarmUp& warmUp() const { return m_warmUp; }

    /// \returns when a waiting call may start that is held back only for the server's warm-up; nothing if
    /// there is none.
    std::optional<Instant> nextPacedStart(Instant now) const;

    /// \brief Starts what may start by now. To be called at nextStart().
    AdmissionResult startReadyCalls(Instant now);

    /// \brief Work takes \a factor times as long as usual from now on.
    void setSlowdown(double factor, Instant now);

    /// \returns how many calls may run at once.
    std::uint32_t limit() const;

    /// \brief Changes how many calls may wait; those that wait beyond it stay.
    void setQueueLimit(std::size_t limit) { m_queue.setLimit(limit); }

    /// \brief Takes in a call. A leaving owner refuses it; so does one that can't finish it in time.
    AdmissionResult offer(const OfferedCall& offer, Instant now);

    /// \brief A call that ran has ended (answered, failed or been cancelled at the backend server).
    AdmissionResult onRunEnded(std::uint64_t id, RunOutcome outcome, Instant now);

    /// \brief Gives up a waiting call for its caller. \returns false when it isn't waiting (it may be
    /// running).
    bool cancelWaiting(std::uint64_t id);

    /// \brief Gives up waiting calls that can no longer end before their deadlines: their callers may do
    /// better elsewhere, and need not wait for the end. To be called now and then. Cost: O(waiting calls).
    AdmissionResult refuseCallsMissingDeadline(Instant now);

    /// \brief While leaving, nothing is taken in and all that waits is refused, to go elsewhere.
    AdmissionResult setLeaving(bool isLeaving, Instant now);

    bool isLeaving() const { return m_isLeaving; }
    bool isIdle() const { return m_runningCalls.empty() && m_queue.isEmpty(); }

    /// \brief A slot taken by something else than a call (a probe): counts as in use.
    void holdSlot() { ++m_heldSlots; }
    AdmissionResult releaseSlot(Instant now);

    /// \returns whether a call that came now would get a slot at once.
    bool hasFreeSlot(Instant now) const
    {
        return !m_isLeaving && slotsInUse() < limit() && m_queue.isEmpty() && m_warmUp.nextStart(now) <= now;
    }

    /// \returns whether a call has run well beyond what was expected when it began: the server may have
    /// turned slow since it last told its load. Cost: O(running calls).
    bool hasOverdueRun(Instant now) const;

    /// \returns whether a call that came now would get the next slot that comes free.
    bool wouldGetNextSlot(std::uint32_t group, std::uint32_t rank, std::uint32_t priority) const
    {
        return !m_isLeaving && m_queue.slotTimeAhead(group, rank, priority) == Duration::zero();
    }

    LoadReport load(Instant now) const;

    /// \returns the load as a call of \a group meets it: `waiting` counts only what would go before it.
    LoadReport loadForGroup(std::uint32_t group, Instant now) const;
    std::uint32_t slotsInUse() const
    {
        return static_cast<std::uint32_t>(m_runningCalls.size()) + m_heldSlots;
    }

    /// \returns how long a call of the group is likely to wait if it came now.
    Duration expectedWait(std::uint32_t group, std::uint32_t rank, std::uint32_t priority, Instant now) const;

private:
    struct RunningCall {
        std::uint32_t group;
        std::uint32_t callClass;
        Duration expectedSlotTime;
        Instant startTime;
        Duration workClockAtStart; ///< as it was read at the start
        Duration timeToSoftDeadline; ///< at the start, until it is late
        Instant deadline;
        std::uint32_t concurrencyAtStart; ///< calls that ran at the start, with it
        std::uint32_t limitAtStart; ///< at the start
        std::uint32_t urgency;
    };

    /// \returns whether the first call that waits must leave the free slots to nested calls to come.
    bool isReservedForNestedCalls(Instant now) const;
    void startWaitingCalls(AdmissionResult& out, Instant now);
    /// \returns how long a call with \a ahead of slot time before it waits for the server's warm-up.
    Duration warmUpWait(Duration slotTimeAhead, Instant now) const;
    void startCall(const QueuedCall& call, AdmissionResult& out, Instant now);
    /// \brief Tells the limit what a call that ran to its end, or not, says of it.
    void addLimitSample(const RunningCall& call, RunOutcome outcome, Instant now);
    void addRefusal(const QueuedCall& call, Reason reason, AdmissionResult& out, Instant now) const;
    bool exceedsSojournTarget(const QueuedCall& call, Instant now);
    Reason refusalReasonOnArrival(
        const QueuedCall& call, std::uint32_t callClass, Duration wait, Instant now) const;
    /// \returns whether a call of the class that comes to a free slot runs though it seems to have no chance,
    /// as the only one of its class: if none did, nothing would show that the server is faster again.
    bool mayRunAsTrial(std::uint32_t callClass) const;
    Reason refusalReasonAtStart(const QueuedCall& call, Instant now);
    /// \returns the slot time that a waiting call is likely to hold, as the server is now.
    Duration currentExpectedSlotTime(const QueuedCall& call) const;

    Options m_options;
    ConcurrencyLimit m_concurrencyLimit;
    WorkClock m_workClock;
    WarmUp m_warmUp;
    FairQueue m_queue;
    SlotTimeEstimate m_slotTimeEstimate;
    std::unordered_map<std::uint32_t, SojournControl> m_sojournControls;
    std::unordered_map<std::uint64_t, RunningCall> m_runningCalls;
    std::unordered_map<std::uint32_t, std::uint32_t> m_runningCountByClass; ///< by class
    struct WaitingCall {
        std::uint32_t group;
        std::uint32_t callClass;
        std::uint32_t urgency;
    };
    std::unordered_map<std::uint64_t, WaitingCall> m_waitingCalls;
    NestedCallReservation m_nestedReservation;
    std::uint32_t m_heldSlots = 0;
    bool m_isLeaving = false;
};

} // namespace robinrun
