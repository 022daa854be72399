#include "Mesh/RolloutReports.h"

namespace robinrun {
namespace {

    constexpr Duration reportInterval = 500ms;
    /// Failures that came since the last report are reported sooner: the fewer calls a faulty version gets.
    constexpr Duration failureReportInterval = 100ms;

} // namespace

void RolloutReports::follow(const RolloutTable::Entry* rollout, const std::string& upstream)
{
    const auto id = rollout ? rollout->order.id() : 0;
    if (id == m_rollout && upstream == m_upstream)
        return;
    *this = {};
    m_rollout = id;
    m_upstream = upstream;
}

void RolloutReports::recordRun(const Owner::EndedRun& run)
{
    if (!m_rollout || run.startedCold)
        return;
    if (run.isAnswered)
        m_evidence.recordAnswer(run.callClass, run.length, run.isFailure);
    else
        m_evidence.recordCutOff(run.callClass, run.length);
}

bool RolloutReports::isDue(const RolloutTable::Entry& rollout, std::uint32_t inFlight, Instant now) const
{
    const bool hasNewFailures = m_evidence.failures() > m_reportedFailures;
    const bool isSwitching = rollout.phase == RolloutPhase::Switching;
    const bool isDrained
        = isSwitching && (m_reportedPhase != rollout.phase || m_reportedInFlight != inFlight);
    const auto interval = hasNewFailures || isDrained ? failureReportInterval : reportInterval;
    return now - m_reportedAt >= interval;
}

std::optional<proto::VersionReport> RolloutReports::takeDue(
    const RolloutTable::Entry& rollout, const std::string& version, std::uint32_t inFlight, Instant now)
{
    if (isFinal(rollout.phase) || rollout.order.id() != m_rollout || !isDue(rollout, inFlight, now))
        return std::nullopt;
    m_reportedAt = now;
    m_reportedFailures = m_evidence.failures();
    m_reportedPhase = rollout.phase;
    m_reportedInFlight = inFlight;
    proto::VersionReport out;
    out.set_service(rollout.order.service);
    out.set_rollout(m_rollout);
    out.set_upstream(m_upstream);
    out.set_version(version);
    out.set_in_flight(inFlight);
    out.set_phase(static_cast<std::uint32_t>(rollout.phase));
    m_evidence.addTo(out);
    return out;
}

} // namespace robinrun
