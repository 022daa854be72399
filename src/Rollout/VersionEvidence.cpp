#include "Rollout/VersionEvidence.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    constexpr Duration shortestTime = 1ms; ///< shorter times are no measure of a backend server

    double logSecondsOf(Duration time)
    {
        return std::log(toSeconds(std::max(time, shortestTime)));
    }

    bool isPlausible(const proto::RouteEvidence& it)
    {
        return it.failures() <= it.answers() && std::isfinite(it.log_seconds())
            && std::isfinite(it.log_seconds_square()) && std::isfinite(it.cut_off_log_seconds());
    }

} // namespace

RouteCounts& RouteCounts::operator+=(const RouteCounts& other)
{
    answers += other.answers;
    failures += other.failures;
    logSeconds += other.logSeconds;
    logSecondsSquare += other.logSecondsSquare;
    cutOff += other.cutOff;
    cutOffLogSeconds += other.cutOffLogSeconds;
    return *this;
}

double RouteCounts::meanLogSeconds() const
{
    return goodAnswers() ? logSeconds / static_cast<double>(goodAnswers()) : 0;
}

double RouteCounts::logVariance() const
{
    if (goodAnswers() < 2)
        return 0;
    const auto n = static_cast<double>(goodAnswers());
    return std::max(0.0, (logSecondsSquare - logSeconds * logSeconds / n) / (n - 1));
}

RouteCounts& VersionEvidence::countsOf(const std::string& route)
{
    const auto it = m_routes.find(route);
    if (it != m_routes.end())
        return it->second;
    return m_routes[m_routes.size() + 1 < maxRoutes ? route : std::string(otherRoutes)];
}

void VersionEvidence::recordAnswer(const std::string& route, Duration time, bool isFailure)
{
    auto& counts = countsOf(route);
    ++m_runs;
    ++counts.answers;
    if (isFailure) {
        ++counts.failures;
        ++m_failures;
        return;
    }
    const double logSeconds = logSecondsOf(time);
    counts.logSeconds += logSeconds;
    counts.logSecondsSquare += logSeconds * logSeconds;
}

void VersionEvidence::recordCutOff(const std::string& route, Duration time)
{
    auto& counts = countsOf(route);
    ++m_runs;
    ++m_failures;
    ++counts.cutOff;
    counts.cutOffLogSeconds += logSecondsOf(time);
}

void VersionEvidence::addTo(proto::VersionReport& report) const
{
    for (const auto& [route, counts] : m_routes) {
        auto& out = *report.add_routes();
        out.set_route(route);
        out.set_answers(counts.answers);
        out.set_failures(counts.failures);
        out.set_log_seconds(counts.logSeconds);
        out.set_log_seconds_square(counts.logSecondsSquare);
        out.set_cut_off(counts.cutOff);
        out.set_cut_off_log_seconds(counts.cutOffLogSeconds);
    }
}

std::map<std::string, RouteCounts> VersionEvidence::routesOf(const proto::VersionReport& report)
{
    std::map<std::string, RouteCounts> out;
    for (const auto& it : report.routes()) {
        if (out.size() >= maxRoutes || !isPlausible(it))
            continue;
        out[it.route()] += RouteCounts { it.answers(), it.failures(), it.log_seconds(),
            it.log_seconds_square(), it.cut_off(), it.cut_off_log_seconds() };
    }
    return out;
}

} // namespace robinrun
