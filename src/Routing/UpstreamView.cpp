#include "Routing/UpstreamView.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

constexpr double errorSampleWeight = 0.1;
constexpr Duration errorMemory = 3s;
constexpr double leastWarmth = 0.1;

} // namespace

UpstreamView::UpstreamView(std::string name, std::uint32_t slots, Duration roundTrip)
    : m_name(std::move(name))
    , m_slots(slots)
    , m_roundTrip(roundTrip)
    , m_errors(errorSampleWeight)
{
}

void UpstreamView::answered(const Report& report, bool isFailure, Instant now)
{
    m_inFlight -= m_inFlight ? 1 : 0;
    m_report = report;
    m_errors.add(isFailure ? 1 : 0);
    if (isFailure)
        m_lastError = now;
    if (m_state == UpstreamState::Lost)
        setState(UpstreamState::Active, now);
}

void UpstreamView::gotNoAnswer(Instant now)
{
    m_inFlight -= m_inFlight ? 1 : 0;
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

double UpstreamView::othersReported() const
{
    if (!m_report)
        return 0;
    const double total = m_report->load.inUse + m_report->load.waiting;
    return std::max(0.0, total - m_report->yours);
}

double UpstreamView::errorShare(Instant now) const
{
    const double own = m_errors.value() * freshness(now - m_lastError, errorMemory);
    if (!m_report)
        return own;
    return std::max(own, m_report->errorShare * freshness(now - m_report->heard, errorMemory));
}

double UpstreamView::warmth(Duration warmUp, Instant now) const
{
    if (!m_coldSince || warmUp <= Duration::zero())
        return 1;
    const double part = toSeconds(now - *m_coldSince) / toSeconds(warmUp);
    return std::clamp(part, leastWarmth, 1.0);
}

} // namespace robinrun
