#include "Queueing/Admission.h"

#include "Core/Check.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Lower limit of the retry delay given to a refused caller: earlier retries only add load.
    constexpr Duration minRetryAfter = 20ms;

    /// A server aborts a call at a deadline that it receives in whole milliseconds, and its answer takes time
    /// on the network. Therefore a call that fails later than this before its deadline counts as timed out.
    constexpr Duration deadlineTolerance = 20ms;

    /// Most concurrency limits ignore runs during which the server reported a slowdown: only a part of the
    /// work of a call is slowed, and the report is delayed, so the computed work time is inexact. A run is
    /// used if its work time is at least this share of its run time.
    constexpr double minCalmWorkRatio = 0.95;

    /// The work time has a standard deviation of about a third of its mean; a run counts as overdue beyond
    /// this multiple of its expected slot time.
    constexpr double overdueFactor = 1.3;

} // namespace

Admission::Admission(Options options)
    : m_options(options)
    , m_concurrencyLimit(makeConcurrencyLimit(options.limitKind, options.slots, options.slotShare))
    , m_queue(options.queueLimit, options.maxSlotTimeElsewhere)
    , m_slotTimeEstimate(options.initialSlotTime)
{
}

void Admission::setSlots(std::uint32_t slots)
{
    if (slots == m_options.slots)
        return;
    m_options.slots = slots;
    m_concurrencyLimit = makeConcurrencyLimit(m_options.limitKind, slots, m_options.slotShare);
}

void Admission::resetLimit()
{
    m_concurrencyLimit = makeConcurrencyLimit(m_options.limitKind, m_options.slots, m_options.slotShare);
}

void Admission::setLimitKind(ConcurrencyLimitKind kind, double share)
{
    if (kind == m_options.limitKind && share == m_options.slotShare)
        return;
    m_options.limitKind = kind;
    m_options.slotShare = share;
    m_concurrencyLimit = makeConcurrencyLimit(kind, m_options.slots, share);
}

void Admission::setSlowdown(double factor, Instant now)
{
    m_slotTimeEstimate.setSlowdown(factor);
    m_workClock.setSlowdown(factor, now);
}

std::uint32_t Admission::limit() const
{
    return std::visit([](const auto& it) { return it.limit(); }, m_concurrencyLimit);
}

bool Admission::exceedsSojournTarget(const QueuedCall& call, Instant now)
{
    const auto slotTime = m_slotTimeEstimate.mean();
    const SojournControl::Options options { m_options.sojournTargetSlotTimes * slotTime,
        m_options.sojournIntervalSlotTimes * slotTime };
    const bool isLast = m_queue.sizeOfGroup(call.group) == 0;
    return m_sojournControls[call.group].shouldRefuse(options, now - call.arrivalTime, isLast, now);
}

Duration Admission::expectedWait(
    std::uint32_t group, std::uint32_t rank, std::uint32_t priority, Instant now) const
{
    const auto slotTimeAhead = m_queue.slotTimeAhead(group, rank, priority);
    return std::max(waitWithoutServerLimit(slotTimeAhead, now), serverLimitWait(slotTimeAhead, now));
}

Duration Admission::waitWithoutServerLimit(Duration slotTimeAhead, Instant now) const
{
    const bool isSlotFree = slotsInUse() < limit() && m_queue.isEmpty();
    return std::max(
        isSlotFree ? Duration::zero() : slotWait(slotTimeAhead, now), warmUpWait(slotTimeAhead, now));
}

Duration Admission::serverLimitWait(Duration slotTimeAhead, Instant now) const
{
    return m_rateLimit.waitBehind(callsIn(slotTimeAhead), now);
}

double Admission::callsIn(Duration slotTime) const
{
    return toSeconds(slotTime) / std::max(toSeconds(m_slotTimeEstimate.mean()), toSeconds(Duration(1)));
}

Duration Admission::slotWait(Duration slotTimeAhead, Instant now) const
{
    const double slots = limit();
    // With all slots in use, the next one becomes free after about mean slot time / number of slots.
    const double firstSlotWaitSeconds
        = slotsInUse() < limit() ? 0 : toSeconds(m_slotTimeEstimate.meanIncludingRunning(now)) / slots;
    return fromSeconds(firstSlotWaitSeconds + toSeconds(slotTimeAhead) / slots);
}

Duration Admission::warmUpWait(Duration slotTimeAhead, Instant now) const
{
    if (!m_warmUp.isPaced(now))
        return Duration::zero();
    const auto firstStartWait = std::max(m_warmUp.nextStart(now) - now, Duration::zero());
    return std::min(firstStartWait + fromSeconds(callsIn(slotTimeAhead) / m_warmUp.callsPerSecond()),
        m_warmUp.remainingTime(now));
}

std::optional<Instant> Admission::nextPacedStart(Instant now) const
{
    const bool isPaced = m_warmUp.isPaced(now) || m_rateLimit.isNamed();
    const bool isDelayed = isPaced && !m_queue.isEmpty() && slotsInUse() < limit();
    return isDelayed ? std::optional(nextStart(now)) : std::nullopt;
}

AdmissionResult Admission::startReadyCalls(Instant now)
{
    AdmissionResult out;
    startWaitingCalls(out, now);
    return out;
}

AdmissionResult Admission::offer(const OfferedCall& offer, Instant now)
{
    require(!m_waitingCalls.contains(offer.id) && !m_runningCalls.contains(offer.id),
        "Admission::offer: the id must not be in use by a waiting or running call");
    AdmissionResult out;
    const auto slotTime = m_slotTimeEstimate.expectedSlotTime(offer.callClass);
    const QueuedCall call { offer.id, offer.group, offer.rank, offer.priority, now, offer.deadline, slotTime,
        offer.softDeadline };
    m_queue.chargeSlotTimeElsewhere(offer.group, offer.slotTimeElsewhere);
    const auto slotTimeAhead = m_queue.slotTimeAhead(offer.group, offer.rank, offer.priority);
    const auto wait = waitWithoutServerLimit(slotTimeAhead, now);
    const auto limitWait = serverLimitWait(slotTimeAhead, now);
    if (const auto reason = refusalReasonOnArrival(call, offer.callClass, wait, limitWait, now);
        reason != Reason::None) {
        addRefusal(call, reason, out, now);
        return out;
    }
    if (offer.parentUrgency && std::max(wait, limitWait) > Duration::zero())
        m_nestedReservation.onNestedCallQueued(*offer.parentUrgency, now);
    m_waitingCalls.emplace(offer.id, WaitingCall { offer.group, offer.callClass, offer.urgency });
    const auto evicted = m_queue.push(call);
    if (evicted) {
        m_waitingCalls.erase(evicted->id);
        addRefusal(*evicted, evicted->id == offer.id ? Reason::QueueFull : Reason::OverShare, out, now);
    }
    startWaitingCalls(out, now);
    return out;
}

bool Admission::mayRunAsTrial(std::uint32_t callClass) const
{
    const auto it = m_runningCountByClass.find(callClass);
    return it == m_runningCountByClass.end() || !it->second;
}

Reason Admission::refusalReasonOnArrival(
    const QueuedCall& call, std::uint32_t callClass, Duration wait, Duration limitWait, Instant now) const
{
    const auto reason = refusalReasonForWait(call, callClass, wait, now);
    if (reason != Reason::None || limitWait <= wait)
        return reason;
    const auto reasonWithLimit = refusalReasonForWait(call, callClass, limitWait, now);
    return reasonWithLimit == Reason::None ? Reason::None : Reason::ServerLimit;
}

Reason Admission::refusalReasonForWait(
    const QueuedCall& call, std::uint32_t callClass, Duration wait, Instant now) const
{
    if (m_isLeaving)
        return Reason::Leaving;
    if (now >= call.deadline)
        return Reason::DeadlinePassed;
    const auto expectedEnd = now + wait + call.expectedSlotTime;
    if (expectedEnd > call.deadline)
        return wait > Duration::zero() || !mayRunAsTrial(callClass) ? Reason::WouldMissDeadline
                                                                    : Reason::None;
    if (call.softDeadline == Instant::max())
        return wait > m_options.maxWaitSlotTimes * m_slotTimeEstimate.mean() ? Reason::QueueFull
                                                                             : Reason::None;
    // With a free slot the call runs even if it will be late; only calls that can be in time are queued.
    return wait > Duration::zero() && expectedEnd > call.softDeadline ? Reason::WouldBeLate : Reason::None;
}

Reason Admission::refusalReasonAtStart(const QueuedCall& call, Instant now)
{
    const auto expectedEnd = now + currentExpectedSlotTime(call);
    const bool isNewTrialRun = call.arrivalTime == now && mayRunAsTrial(m_waitingCalls.at(call.id).callClass);
    if (now >= call.deadline)
        return Reason::DeadlinePassed;
    if (expectedEnd > call.deadline && !isNewTrialRun)
        return Reason::WouldMissDeadline;
    if (call.softDeadline == Instant::max())
        return exceedsSojournTarget(call, now) ? Reason::StoodTooLong : Reason::None;
    return expectedEnd > call.softDeadline && !m_queue.isEmpty() ? Reason::WouldBeLate : Reason::None;
}

Duration Admission::currentExpectedSlotTime(const QueuedCall& call) const
{
    return m_slotTimeEstimate.expectedSlotTime(m_waitingCalls.at(call.id).callClass);
}

AdmissionResult Admission::refuseCallsMissingDeadline(Instant now)
{
    AdmissionResult out;
    std::unordered_map<std::uint32_t, double> keptCallsByGroup;
    const auto missesDeadline = [&](const QueuedCall& call) {
        auto& keptCalls = keptCallsByGroup[call.group];
        const auto wait = m_rateLimit.waitBehind(keptCalls / m_queue.shareOfGroup(call.group), now);
        const bool isMissed = now + wait + currentExpectedSlotTime(call) > call.deadline;
        keptCalls += isMissed ? 0 : 1;
        return isMissed;
    };
    for (const auto& it : m_queue.removeIf(missesDeadline)) {
        const bool isHopeless = now + currentExpectedSlotTime(it) > it.deadline;
        addRefusal(it, isHopeless ? refusalReasonAtStart(it, now) : Reason::ServerLimit, out, now);
        m_waitingCalls.erase(it.id);
    }
    return out;
}

AdmissionResult Admission::onRunEnded(std::uint64_t id, RunOutcome outcome, Instant now)
{
    const auto it = m_runningCalls.find(id);
    require(it != m_runningCalls.end(), "Admission::onRunEnded: the call must be running");
    const auto held = m_slotTimeEstimate.onRunEnded(id, it->second.callClass, now);
    m_queue.settle(it->second.group, it->second.expectedSlotTime, held);
    addLimitSample(it->second, outcome, now);
    --m_runningCountByClass[it->second.callClass];
    m_runningCalls.erase(it);
    AdmissionResult out;
    startWaitingCalls(out, now);
    return out;
}

void Admission::addLimitSample(const RunningCall& call, RunOutcome outcome, Instant now)
{
    const bool isOutOfTime = outcome == RunOutcome::Failed && now + deadlineTolerance >= call.deadline;
    if (outcome == RunOutcome::Failed && !isOutOfTime)
        return;
    const auto workTime = m_workClock.read(now) - call.workClockAtStart;
    const auto runTime = now - call.startTime;
    const bool wasServerCalm = toSeconds(workTime) >= minCalmWorkRatio * toSeconds(runTime);
    if (!wasServerCalm && !learnsFromSlowedRuns(m_concurrencyLimit))
        return;
    const auto sampleOutcome = isOutOfTime ? SampleOutcome::TimedOut : SampleOutcome::Answered;
    const RunSample sample { call.callClass, call.concurrencyAtStart, call.limitAtStart, workTime,
        call.timeToSoftDeadline, sampleOutcome };
    std::visit([&](auto& it) { it.addSample(sample); }, m_concurrencyLimit);
}

bool Admission::cancelWaiting(std::uint64_t id)
{
    const auto it = m_waitingCalls.find(id);
    if (it == m_waitingCalls.end())
        return false;
    m_queue.cancel(it->second.group, id);
    m_waitingCalls.erase(it);
    return true;
}

AdmissionResult Admission::setLeaving(bool isLeaving, Instant now)
{
    AdmissionResult out;
    m_isLeaving = isLeaving;
    if (!isLeaving)
        return out;
    for (const auto& call : m_queue.removeAll())
        addRefusal(call, Reason::Leaving, out, now);
    m_waitingCalls.clear();
    return out;
}

AdmissionResult Admission::releaseSlot(Instant now)
{
    require(m_heldSlots > 0, "Admission::releaseSlot: holdSlot() must have been called before");
    --m_heldSlots;
    AdmissionResult out;
    startWaitingCalls(out, now);
    return out;
}

bool Admission::hasOverdueRun(Instant now) const
{
    return std::any_of(m_runningCalls.begin(), m_runningCalls.end(), [now](const auto& it) {
        return toSeconds(now - it.second.startTime) > overdueFactor * toSeconds(it.second.expectedSlotTime);
    });
}

LoadReport Admission::load(Instant now) const
{
    LoadReport out { limit(), slotsInUse(), static_cast<std::uint32_t>(m_queue.size()),
        m_slotTimeEstimate.meanIncludingRunning(now), m_slotTimeEstimate.slowdown() };
    out.remainingWarmUp = m_warmUp.remainingTime(now);
    out.serverLimit = m_rateLimit.requestsPerSecond();
    out.timeToNextStart = m_rateLimit.waitBehind(out.waitingCalls, now);
    if (!m_warmUp.isPaced(now))
        return out;
    out.warmUpCallsPerSecond = m_warmUp.callsPerSecond();
    const auto queueDrainTime = fromSeconds(double(out.waitingCalls) / out.warmUpCallsPerSecond);
    const auto warmUpWait = std::max(m_warmUp.nextStart(now) - now, Duration::zero()) + queueDrainTime;
    out.timeToNextStart = std::max(out.timeToNextStart, warmUpWait);
    return out;
}

LoadReport Admission::loadForGroup(std::uint32_t group, Instant now) const
{
    auto report = load(now);
    const double callsAhead = static_cast<double>(m_queue.sizeOfGroup(group)) / m_queue.shareOfGroup(group);
    report.waitingCalls = std::min(report.waitingCalls, static_cast<std::uint32_t>(callsAhead));
    return report;
}

bool Admission::isReservedForNestedCalls(Instant now) const
{
    const auto* next = m_queue.front();
    const auto yields
        = [&](std::uint32_t urgency) { return m_nestedReservation.yieldsToNestedCalls(urgency, now); };
    if (!next || !yields(m_waitingCalls.at(next->id).urgency))
        return false;
    const auto yieldingRuns = std::count_if(m_runningCalls.begin(), m_runningCalls.end(),
        [&](const auto& it) { return yields(it.second.urgency); });
    return yieldingRuns >= NestedCallReservation::maxLessUrgentSlots(limit());
}

void Admission::startWaitingCalls(AdmissionResult& out, Instant now)
{
    while (slotsInUse() < limit() && nextStart(now) <= now && !isReservedForNestedCalls(now)) {
        const auto call = m_queue.pop();
        if (!call)
            return;
        const auto reason = refusalReasonAtStart(*call, now);
        if (reason == Reason::None) {
            startCall(*call, out, now);
            continue;
        }
        m_queue.settle(call->group, call->expectedSlotTime, Duration::zero());
        m_waitingCalls.erase(call->id);
        addRefusal(*call, reason, out, now);
    }
}

void Admission::startCall(const QueuedCall& call, AdmissionResult& out, Instant now)
{
    const auto waiting = m_waitingCalls.find(call.id);
    const auto timeToSoftDeadline
        = call.softDeadline == Instant::max() ? Duration::max() : call.softDeadline - now;
    const RunningCall running { call.group, waiting->second.callClass, call.expectedSlotTime, now,
        m_workClock.read(now), timeToSoftDeadline, call.deadline, slotsInUse() + 1, limit(),
        waiting->second.urgency };
    ++m_runningCountByClass[running.callClass];
    m_runningCalls.emplace(call.id, running);
    m_waitingCalls.erase(waiting);
    m_slotTimeEstimate.onRunStarted(call.id, now);
    m_warmUp.onCallStarted(now);
    m_rateLimit.onCallSent(now);
    out.callsToRun.push_back(call.id);
}

void Admission::addRefusal(const QueuedCall& call, Reason reason, AdmissionResult& out, Instant now) const
{
    const auto wait = m_rateLimit.retryDelay(expectedWait(call.group, call.rank, call.priority, now));
    out.refusals.push_back({ call.id, reason, std::max(wait, minRetryAfter) });
}

} // namespace robinrun
