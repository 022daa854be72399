#include "Routing/UpstreamView.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    constexpr double errorSampleWeight = 0.1;
    constexpr Duration errorDecayTime = 3s;
    constexpr double minUsableSlotShare = 0.1;
    /// An owner does not tell ingresses that have not called it lately that a limit was lifted. After this
    /// time a call finds out.
    constexpr Duration serverLimitMemory = 3s;
    /// Lower limits cause a wait beyond all deadlines anyway.
    constexpr double minServerLimit = 1 / toSeconds(ServerRateLimit::maxWait);

} // namespace

UpstreamView::UpstreamView(std::string name, std::uint32_t slots, Duration roundTrip, bool isFar)
    : m_name(std::move(name))
    , m_slots(slots)
    , m_roundTrip(roundTrip)
    , m_isFar(isFar)
    , m_failureShare(errorSampleWeight)
{
    m_failureShare.add(0); // so that a first failure doesn't count as a share of 1
}

void UpstreamView::onAttemptAbandoned(std::uint32_t group)
{
    auto& groupLoad = m_loadByGroup[group];
    groupLoad.inFlight -= groupLoad.inFlight ? 1 : 0;
    m_inFlight -= m_inFlight ? 1 : 0;
}

std::uint32_t UpstreamView::inFlightOf(std::uint32_t group) const
{
    const auto it = m_loadByGroup.find(group);
    return it == m_loadByGroup.end() ? 0 : it->second.inFlight;
}

std::optional<Duration> UpstreamView::onAttemptAnswered(
    std::uint32_t group, const OwnerReport& report, bool isFailure, Instant now)
{
    onAttemptAbandoned(group);
    auto& groupLoad = m_loadByGroup[group];
    groupLoad.waiting = report.load.waitingCalls;
    groupLoad.callsOfThisIngress = report.callsOfThisIngress;
    const auto slowPhase = onLoadReport(report);
    m_consecutiveLateAttempts = 0;
    m_isOnTrial = false;
    m_pausedUntil = {};
    m_failureShare.add(isFailure ? 1 : 0);
    if (isFailure)
        m_lastFailure = now;
    if (m_state == UpstreamState::Lost)
        setState(UpstreamState::Active, now);
    return slowPhase;
}

void UpstreamView::onAttemptLost(std::uint32_t group, Instant now)
{
    onAttemptAbandoned(group);
    m_failureShare.add(1);
    m_lastFailure = now;
}

void UpstreamView::setState(UpstreamState state, Instant now)
{
    if (state == m_state)
        return;
    if (state == UpstreamState::Active)
        restartSlowStart(now);
    m_state = state;
}

double UpstreamView::reportedOtherCalls(std::uint32_t group) const
{
    if (!m_report)
        return 0;
    double total = m_report->load.slotsInUse;
    const auto it = m_loadByGroup.find(group);
    if (it != m_loadByGroup.end())
        total += double(it->second.waiting) - it->second.callsOfThisIngress;
    return std::max(0.0, total);
}

double UpstreamView::errorShare(Instant now) const
{
    const double ownShare = m_failureShare.value() * freshness(now - m_lastFailure, errorDecayTime);
    if (!m_report)
        return ownShare;
    return std::max(ownShare, m_report->errorShare * freshness(now - m_report->receivedAt, errorDecayTime));
}

Duration UpstreamView::coldStartWait(Instant now) const
{
    if (!m_report || m_report->load.warmUpCallsPerSecond <= 0)
        return Duration::zero();
    const auto age = now - m_report->receivedAt;
    const auto coldLeft = m_report->load.remainingWarmUp - age;
    if (coldLeft <= Duration::zero())
        return Duration::zero();
    const auto wait = m_report->load.timeToNextStart - age
        + fromSeconds(callsSinceReport() / m_report->load.warmUpCallsPerSecond);
    return std::clamp(wait, Duration::zero(), coldLeft);
}

double UpstreamView::callsSinceReport() const
{
    return std::max(double(m_inFlight) - m_report->callsOfThisIngress, 0.0);
}

bool UpstreamView::isServerLimited(Instant now) const
{
    return m_report && m_report->load.serverLimit && now - m_report->receivedAt < serverLimitMemory;
}

Duration UpstreamView::serverLimitWait(Instant now) const
{
    if (!isServerLimited(now))
        return Duration::zero();
    const double rate = std::max(*m_report->load.serverLimit, minServerLimit);
    const auto age = now - m_report->receivedAt;
    const auto wait = m_report->load.timeToNextStart - age + fromSeconds(callsSinceReport() / rate);
    return std::clamp(wait, Duration::zero(), ServerRateLimit::maxWait);
}

Duration UpstreamView::leastServerLimitWait(Instant now) const
{
    if (!isServerLimited(now))
        return Duration::zero();
    const double rate = std::max(*m_report->load.serverLimit, minServerLimit);
    const auto age = now - m_report->receivedAt;
    const auto wait = m_report->load.timeToNextStart - age - fromSeconds(m_report->queuedCalls / rate);
    return std::max(wait, Duration::zero());
}

double UpstreamView::usableSlotShare(Duration slowStartDuration, Instant now) const
{
    if (!m_slowStartBegin || slowStartDuration <= Duration::zero())
        return 1;
    const double elapsedShare = toSeconds(now - *m_slowStartBegin) / toSeconds(slowStartDuration);
    return std::clamp(elapsedShare, minUsableSlotShare, 1.0);
}

} // namespace robinrun
