#pragma once

#include "Core/Time.h"
#include "Node/Owner.h"
#include "Rollout/RolloutTable.h"
#include "Rollout/VersionEvidence.h"
#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace robinrun {

/// \brief Counts the runs at the backend server beside this node while its service is rolled out, and
/// decides when they are reported.
class RolloutReports {
public:
    /// \brief Begins to count for \a rollout, unless that is so already. Null ends the counting.
    /// \param upstream life of the backend server; another one is counted from 0.
    void follow(const RolloutTable::Entry* rollout, const std::string& upstream);

    /// \brief Counts a run, unless its server may still have been warming up.
    void recordRun(const Owner::EndedRun& run);

    /// \returns a report, if one is due at \a now; nothing otherwise.
    /// \param version of the backend server. \param inFlight calls that run or wait there.
    std::optional<proto::VersionReport> takeDue(
        const RolloutTable::Entry& rollout, const std::string& version, std::uint32_t inFlight, Instant now);

private:
    bool isDue(const RolloutTable::Entry& rollout, std::uint32_t inFlight, Instant now) const;

    std::uint64_t m_rollout = 0; ///< id; 0: none
    std::string m_upstream;
    VersionEvidence m_evidence;
    Instant m_reportedAt {};
    std::uint64_t m_reportedFailures = 0;
    RolloutPhase m_reportedPhase = RolloutPhase::Observing;
    std::uint32_t m_reportedInFlight = 0;
};

} // namespace robinrun
