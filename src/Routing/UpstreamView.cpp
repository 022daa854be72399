#include "Routing/UpstreamView.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    constexpr double errorSampleWeight = 0.1;
    constexpr Duration errorMemory = 3s;
    constexpr double leastWarmth = 0.1;

} // namespace

UpstreamView::UpstreamView(std::string name, std::uint32_t slots, Duration roundTrip, bool isFar)
    : m_name(std::move(name))
    , m_slots(slots)
    , m_roundTrip(roundTrip)
    , m_isFar(isFar)
    , m_errors(errorSampleWeight)
{
    m_errors.add(0); // one failure among few calls is no share of 1
}

void UpstreamView::abandoned(std::uint32_t group)
{
    auto& news = m_groups[group];
    news.inFlight -= news.inFlight ? 1 : 0;
    m_inFlight -= m_inFlight ? 1 : 0;
}

std::uint32_t UpstreamView::inFlightOf(std::uint32_t group) const
{
    const auto it = m_groups.find(group);
    return it == m_groups.end() ? 0 : it->second.inFlight;
}

std::optional<Duration> UpstreamView::answered(
    std::uint32_t group, const Report& report, bool isFailure, Instant now)
{
    abandoned(group);
    auto& news = m_groups[group];
    news.waiting = report.load.waitingCalls;
    news.yours = report.yours;
    const auto slowPhase = heard(report);
    m_late = 0;
    m_isOnTrial = false;
    m_restUntil = {};
    m_errors.add(isFailure ? 1 : 0);
    if (isFailure)
        m_lastError = now;
    if (m_state == UpstreamState::Lost)
        setState(UpstreamState::Active, now);
    return slowPhase;
}

void UpstreamView::gotNoAnswer(std::uint32_t group, Instant now)
{
    abandoned(group);
    m_errors.add(1);
    m_lastError = now;
}

void UpstreamView::setState(UpstreamState state, Instant now)
{
    if (state == m_state)
        return;
    if (state == UpstreamState::Active)
        restartWarmUp(now);
    m_state = state;
}

double UpstreamView::othersReported(std::uint32_t group) const
{
    if (!m_report)
        return 0;
    double total = m_report->load.slotsInUse;
    const auto it = m_groups.find(group);
    if (it != m_groups.end())
        total += double(it->second.waiting) - it->second.yours;
    return std::max(0.0, total);
}

double UpstreamView::errorShare(Instant now) const
{
    const double own = m_errors.value() * freshness(now - m_lastError, errorMemory);
    if (!m_report)
        return own;
    return std::max(own, m_report->errorShare * freshness(now - m_report->heard, errorMemory));
}

Duration UpstreamView::coldWait(Instant now) const
{
    if (!m_report || m_report->load.warmUpCallsPerSecond <= 0)
        return Duration::zero();
    const auto age = now - m_report->heard;
    const auto coldLeft = m_report->load.remainingWarmUp - age;
    if (coldLeft <= Duration::zero())
        return Duration::zero();
    const double unheard = std::max(double(m_inFlight) - m_report->yours, 0.0);
    const auto wait
        = m_report->load.timeToNextStart - age + fromSeconds(unheard / m_report->load.warmUpCallsPerSecond);
    return std::clamp(wait, Duration::zero(), coldLeft);
}

double UpstreamView::warmth(Duration warmUp, Instant now) const
{
    if (!m_coldSince || warmUp <= Duration::zero())
        return 1;
    const double part = toSeconds(now - *m_coldSince) / toSeconds(warmUp);
    return std::clamp(part, leastWarmth, 1.0);
}

} // namespace robinrun
