#pragma once

#include "Core/Time.h"

#include <map>
#include <optional>
#include <string>

namespace robinrun {

/// \brief Estimates the fraction of all nodes that a node can reach.
///
/// A node sees its contacts in its own data hall. Of the other halls only the bridges see a few nodes each,
/// of the halls that they are bridges to; they report to their contacts. No bridge sees all halls, so the
/// estimate is the mean over all that are heard, the node's own sight being one of them. Cost: O(bridges
/// heard).
class ReachEstimate {
public:
    /// \param reportLifetime a bridge that was not heard for longer tells nothing of what can be reached now.
    explicit ReachEstimate(Duration reportLifetime)
        : m_reportLifetime(reportLifetime)
    {
    }

    /// \brief Records that the node \a bridge reaches \a fraction of its contacts in other halls.
    void onBridgeReport(const std::string& bridge, double fraction, Instant now)
    {
        m_reports[bridge] = { fraction, now };
    }

    /// \param nearReach fraction of the contacts in the own hall that can be reached.
    /// \param ownFarReach the same of the contacts in other halls; not set if the node is no bridge.
    /// \param nearPart fraction of all nodes that are in the own hall.
    /// \returns the fraction of all nodes that can be reached.
    double fraction(double nearReach, std::optional<double> ownFarReach, double nearPart, Instant now) const;

private:
    struct Report {
        double fraction = 0;
        Instant heardAt {};
    };

    Duration m_reportLifetime;
    std::map<std::string, Report> m_reports; ///< By bridge.
};

} // namespace robinrun
