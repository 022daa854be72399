#pragma once

#include "Core/Time.h"
#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace robinrun {

/// \brief Counts of the calls of one route that backend servers have run.
struct RouteCounts {
    std::uint64_t answers = 0;
    std::uint64_t failures = 0; ///< of the answers
    double logSeconds = 0; ///< sum over the good answers of the natural logarithm of their time in seconds
    double logSecondsSquare = 0;
    std::uint64_t cutOff = 0; ///< runs that were given up before the server answered
    double cutOffLogSeconds = 0; ///< as `logSeconds`, of the time until then

    RouteCounts& operator+=(const RouteCounts& other);

    std::uint64_t goodAnswers() const { return answers - failures; }
    /// \returns the mean of the logarithm of the good answers' time; 0 without any.
    double meanLogSeconds() const;
    /// \returns the variance of the logarithm of the good answers' time; 0 with fewer than two.
    double logVariance() const;
};

/// \brief What one owner has seen of its backend server since a roll-out was ordered.
///
/// Times are summed as logarithms: the versions are compared by the factor between them, and a few calls that
/// take long weigh little. Cost: O(log routes) per call; at most `maxRoutes` routes are kept apart.
class VersionEvidence {
public:
    static constexpr std::size_t maxRoutes = 64;
    /// The route that counts for all routes beyond `maxRoutes`.
    static constexpr const char* otherRoutes = "*";

    /// \brief Records an answer to a call of \a route. \param time from the start of the run.
    void recordAnswer(const std::string& route, Duration time, bool isFailure);

    /// \brief Records a run that was given up after \a time without an answer.
    void recordCutOff(const std::string& route, Duration time);

    void addTo(proto::VersionReport& report) const;
    const std::map<std::string, RouteCounts>& routes() const { return m_routes; }
    std::uint64_t failures() const { return m_failures; }
    /// \returns the number of runs recorded.
    std::uint64_t runs() const { return m_runs; }

    /// \returns the counts of \a report; entries that no owner can have written are left out.
    static std::map<std::string, RouteCounts> routesOf(const proto::VersionReport& report);

private:
    RouteCounts& countsOf(const std::string& route);

    std::map<std::string, RouteCounts> m_routes;
    std::uint64_t m_failures = 0; ///< and runs that were cut off
    std::uint64_t m_runs = 0;
};

} // namespace robinrun
