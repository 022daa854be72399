#include "Queueing/Admission.h"

#include "Core/Check.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// A refused caller is asked to stay away at least this long: shorter repeats only add load.
    constexpr Duration minRetryAfter = 20ms;

    /// A server stops at the deadline that it was told in whole milliseconds, and its answer crosses the
    /// network: a call that fails so shortly before its deadline, or later, ran out of time.
    constexpr Duration deadlineSlack = 20ms;

    /// Runs during which the server told of a slow-down teach most limits nothing: only a part of what a call
    /// does is slowed, and news of the slow-down is old. A run is calm if its work took this part of its time
    /// at least.
    constexpr double calmShare = 0.95;

    /// Work varies by a third: a run that takes longer than that is unusual.
    constexpr double overdueFactor = 1.3;

} // namespace

Admission::Admission(Options options)
    : m_options(options)
    , m_limit(makeLimit(options.limit, options.slots, options.share))
    , m_queue(options.queueLimit, options.maxElsewhere)
    , m_service(options.initialService)
{
}

void Admission::setSlots(std::uint32_t slots)
{
    if (slots == m_options.slots)
        return;
    m_options.slots = slots;
    m_limit = makeLimit(m_options.limit, slots, m_options.share);
}

void Admission::restart()
{
    m_limit = makeLimit(m_options.limit, m_options.slots, m_options.share);
}

void Admission::setLimit(LimitKind kind, double share)
{
    if (kind == m_options.limit && share == m_options.share)
        return;
    m_options.limit = kind;
    m_options.share = share;
    m_limit = makeLimit(kind, m_options.slots, share);
}

void Admission::setSlowdown(double factor, Instant now)
{
    m_service.setSlowdown(factor);
    m_workClock.told(factor, now);
}

std::uint32_t Admission::limit() const
{
    return std::visit([](const auto& it) { return it.limit(); }, m_limit);
}

bool Admission::hasStood(const QueuedCall& call, Instant now)
{
    const auto service = m_service.mean();
    const SojournControl::Options options { m_options.sojournTarget * service,
        m_options.sojournInterval * service };
    const bool isLast = m_queue.sizeOf(call.group) == 0;
    return m_sojourn[call.group].shouldRefuse(options, now - call.arrived, isLast, now);
}

Duration Admission::expectedWait(
    std::uint32_t group, std::uint32_t rank, std::uint32_t priority, Instant now) const
{
    if (inUse() < limit() && m_queue.isEmpty())
        return coldWait(Duration::zero(), now);
    const double ahead = toSeconds(m_queue.timeAhead(group, rank, priority));
    const double slots = limit();
    // The next slot comes free after about one slot time over the number of slots.
    const double firstFree = inUse() < limit() ? 0 : toSeconds(m_service.overall(now)) / slots;
    return std::max(fromSeconds(firstFree + ahead / slots), coldWait(fromSeconds(ahead), now));
}

Duration Admission::coldWait(Duration ahead, Instant now) const
{
    if (!m_warmUp.isPaced(now))
        return Duration::zero();
    const auto first = std::max(m_warmUp.nextStart(now) - now, Duration::zero());
    const double calls = toSeconds(ahead) / std::max(toSeconds(m_service.mean()), toSeconds(Duration(1)));
    return std::min(first + fromSeconds(calls / m_warmUp.perSecond()), m_warmUp.left(now));
}

std::optional<Instant> Admission::nextStart(Instant now) const
{
    const bool isHeldBack = !m_queue.isEmpty() && inUse() < limit() && m_warmUp.isPaced(now);
    return isHeldBack ? std::optional(m_warmUp.nextStart(now)) : std::nullopt;
}

Dispatch Admission::resume(Instant now)
{
    Dispatch out;
    fill(out, now);
    return out;
}

Dispatch Admission::offer(const Offer& offer, Instant now)
{
    require(!m_waiting.contains(offer.id) && !m_running.contains(offer.id), "Admission::offer: id is new");
    Dispatch out;
    const auto cost = m_service.of(offer.callClass);
    const QueuedCall call { offer.id, offer.group, offer.rank, offer.priority, now, offer.deadline, cost,
        offer.inTimeUntil };
    m_queue.chargeElsewhere(offer.group, offer.elsewhere);
    const auto wait = expectedWait(offer.group, offer.rank, offer.priority, now);
    if (const auto reason = reasonToRefuse(call, offer.callClass, wait, now); reason != Reason::None) {
        refuse(call, reason, out, now);
        return out;
    }
    if (offer.parentUrgency && wait > Duration::zero())
        m_roomForNested.waited(*offer.parentUrgency, now);
    m_waiting.emplace(offer.id, Waiting { offer.group, offer.callClass, offer.urgency });
    const auto evicted = m_queue.push(call);
    if (evicted) {
        m_waiting.erase(evicted->id);
        refuse(*evicted, evicted->id == offer.id ? Reason::QueueFull : Reason::OverShare, out, now);
    }
    fill(out, now);
    return out;
}

bool Admission::isTrial(std::uint32_t callClass) const
{
    const auto it = m_runningOf.find(callClass);
    return it == m_runningOf.end() || !it->second;
}

Reason Admission::reasonToRefuse(
    const QueuedCall& call, std::uint32_t callClass, Duration wait, Instant now) const
{
    if (m_isLeaving)
        return Reason::Leaving;
    if (now >= call.deadline)
        return Reason::DeadlinePassed;
    const auto end = now + wait + call.expectedCost;
    if (end > call.deadline)
        return wait > Duration::zero() || !isTrial(callClass) ? Reason::WouldMissDeadline : Reason::None;
    if (call.inTimeUntil == Instant::max())
        return wait > m_options.maxWait * m_service.mean() ? Reason::QueueFull : Reason::None;
    // With a slot free it is served, late or not; a place in the queue goes to those that can be in time.
    return wait > Duration::zero() && end > call.inTimeUntil ? Reason::WouldBeLate : Reason::None;
}

Reason Admission::reasonToDrop(const QueuedCall& call, Instant now)
{
    const auto end = now + costNow(call);
    const bool isTrialOfNew = call.arrived == now && isTrial(m_waiting.at(call.id).callClass);
    if (now >= call.deadline)
        return Reason::DeadlinePassed;
    if (end > call.deadline && !isTrialOfNew)
        return Reason::WouldMissDeadline;
    if (call.inTimeUntil == Instant::max())
        return hasStood(call, now) ? Reason::StoodTooLong : Reason::None;
    return end > call.inTimeUntil && !m_queue.isEmpty() ? Reason::WouldBeLate : Reason::None;
}

Duration Admission::costNow(const QueuedCall& call) const
{
    return m_service.of(m_waiting.at(call.id).callClass);
}

Dispatch Admission::giveUpHopeless(Instant now)
{
    Dispatch out;
    const auto isHopeless = [&](const QueuedCall& call) { return now + costNow(call) > call.deadline; };
    for (const auto& it : m_queue.removeIf(isHopeless)) {
        refuse(it, reasonToDrop(it, now), out, now);
        m_waiting.erase(it.id);
    }
    return out;
}

Dispatch Admission::finished(std::uint64_t id, RunEnd end, Instant now)
{
    const auto it = m_running.find(id);
    require(it != m_running.end(), "Admission::finished: the call was running");
    const auto held = m_service.ended(id, it->second.callClass, now);
    m_queue.settle(it->second.group, it->second.expected, held);
    teachLimit(it->second, end, now);
    --m_runningOf[it->second.callClass];
    m_running.erase(it);
    Dispatch out;
    fill(out, now);
    return out;
}

void Admission::teachLimit(const Running& call, RunEnd end, Instant now)
{
    const bool isOutOfTime = end == RunEnd::Failed && now + deadlineSlack >= call.deadline;
    if (end == RunEnd::Failed && !isOutOfTime)
        return;
    const auto work = m_workClock.read(now) - call.workClock;
    const auto held = now - call.started;
    const bool isCalm = toSeconds(work) >= calmShare * toSeconds(held);
    if (!isCalm && !takesSlowedRuns(m_limit))
        return;
    const auto result = isOutOfTime ? RunResult::OutOfTime : RunResult::Answered;
    const RunSample sample { call.callClass, call.inUse, call.limit, work, call.timely, result };
    std::visit([&](auto& it) { it.ended(sample); }, m_limit);
}

bool Admission::cancelWaiting(std::uint64_t id)
{
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end())
        return false;
    m_queue.cancel(it->second.group, id);
    m_waiting.erase(it);
    return true;
}

Dispatch Admission::setLeaving(bool isLeaving, Instant now)
{
    Dispatch out;
    m_isLeaving = isLeaving;
    if (!isLeaving)
        return out;
    for (const auto& call : m_queue.clear())
        refuse(call, Reason::Leaving, out, now);
    m_waiting.clear();
    return out;
}

Dispatch Admission::releaseSlot(Instant now)
{
    require(m_heldSlots > 0, "Admission::releaseSlot: a slot is held");
    --m_heldSlots;
    Dispatch out;
    fill(out, now);
    return out;
}

bool Admission::hasOverdue(Instant now) const
{
    return std::any_of(m_running.begin(), m_running.end(), [now](const auto& it) {
        return toSeconds(now - it.second.started) > overdueFactor * toSeconds(it.second.expected);
    });
}

LoadReport Admission::load(Instant now) const
{
    LoadReport out { limit(), inUse(), static_cast<std::uint32_t>(m_queue.size()), m_service.overall(now),
        m_service.slowdown() };
    out.coldFor = m_warmUp.left(now);
    if (!m_warmUp.isPaced(now))
        return out;
    out.coldPerSecond = m_warmUp.perSecond();
    const auto waiting = fromSeconds(double(out.waiting) / out.coldPerSecond);
    out.nextStart = std::max(m_warmUp.nextStart(now) - now, Duration::zero()) + waiting;
    return out;
}

LoadReport Admission::loadFor(std::uint32_t group, Instant now) const
{
    auto report = load(now);
    const double ahead = static_cast<double>(m_queue.sizeOf(group)) / m_queue.shareOf(group);
    report.waiting = std::min(report.waiting, static_cast<std::uint32_t>(ahead));
    return report;
}

bool Admission::isSetAside(Instant now) const
{
    const auto* next = m_queue.front();
    const auto isBehind = [&](std::uint32_t urgency) { return m_roomForNested.isBehind(urgency, now); };
    if (!next || !isBehind(m_waiting.at(next->id).urgency))
        return false;
    const auto n = std::count_if(
        m_running.begin(), m_running.end(), [&](const auto& it) { return isBehind(it.second.urgency); });
    return n >= RoomForNested::slotsFor(limit());
}

void Admission::fill(Dispatch& out, Instant now)
{
    while (inUse() < limit() && m_warmUp.nextStart(now) <= now && !isSetAside(now)) {
        const auto call = m_queue.pop();
        if (!call)
            return;
        const auto reason = reasonToDrop(*call, now);
        if (reason == Reason::None) {
            start(*call, out, now);
            continue;
        }
        m_queue.settle(call->group, call->expectedCost, Duration::zero());
        m_waiting.erase(call->id);
        refuse(*call, reason, out, now);
    }
}

void Admission::start(const QueuedCall& call, Dispatch& out, Instant now)
{
    const auto waiting = m_waiting.find(call.id);
    const auto timely = call.inTimeUntil == Instant::max() ? Duration::max() : call.inTimeUntil - now;
    const Running running { call.group, waiting->second.callClass, call.expectedCost, now,
        m_workClock.read(now), timely, call.deadline, inUse() + 1, limit(), waiting->second.urgency };
    ++m_runningOf[running.callClass];
    m_running.emplace(call.id, running);
    m_waiting.erase(waiting);
    m_service.started(call.id, now);
    m_warmUp.started(now);
    out.run.push_back(call.id);
}

void Admission::refuse(const QueuedCall& call, Reason reason, Dispatch& out, Instant now) const
{
    const auto wait = expectedWait(call.group, call.rank, call.priority, now);
    out.refused.push_back({ call.id, reason, std::max(wait, minRetryAfter) });
}

} // namespace robinrun
