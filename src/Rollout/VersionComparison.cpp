#include "Rollout/VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace robinrun {
namespace {

    /// Logarithm of the probability under which a difference counts as real.
    const double certainty = std::log(1e-6);
    /// Logarithm of the probability under which a difference is a reason to go on observing.
    const double suspicion = std::log(0.02);
    /// The same as standard errors of a difference of means.
    constexpr double certainErrors = 4.9;
    constexpr double suspectErrors = 2.3;
    /// A version that is slower by a smaller factor is not rolled back for it.
    constexpr double slowFactor = 1.8;
    /// Good answers of each version, fewer of which give no variance to compare times by.
    constexpr std::uint64_t minTimedAnswers = 6;
    /// Variance of the logarithm of a call's time that is assumed at least: few calls may look alike by
    /// chance.
    constexpr double minLogVariance = 0.1;
    /// Failures that are added to those of the former version, so that a few calls without any are no proof
    /// that it never fails.
    constexpr double priorFailures = 2;
    /// Failures of the target version, fewer of which may have come with one broken connection.
    constexpr double minFailures = 4;
    /// Runs of the target version, fewer of which tell nothing.
    constexpr std::uint64_t minTargetRuns = 5;
    /// A version counts as comparable only if one that fails so many more of its calls would hardly look like
    /// it.
    constexpr double excludedShare = 0.4;
    /// Logarithm of the probability up to which it would.
    const double exclusion = std::log(0.05);
    /// Runs at the other servers, fewer of which do not show that a fault is that of one server.
    constexpr double minOtherRuns = 20;

    struct Sign {
        bool isWorse = false;
        bool isSuspect = false;
        const char* what = "";
    };

    double runsOf(const RouteCounts& counts)
    {
        return static_cast<double>(counts.answers + counts.cutOff);
    }

    /// \returns the failures of \a counts, with the runs that were cut off after a time in which the former
    /// version would have answered.
    double failuresOf(const RouteCounts& counts, const RouteCounts& former)
    {
        const auto failures = static_cast<double>(counts.failures);
        if (!counts.cutOff)
            return failures;
        const double meanCutOff = counts.cutOffLogSeconds / static_cast<double>(counts.cutOff);
        const bool isLate
            = former.goodAnswers() > 0 && meanCutOff > former.meanLogSeconds() + std::log(slowFactor);
        return failures + (isLate ? static_cast<double>(counts.cutOff) : 0);
    }

    Sign compareFailures(const RouteCounts& former, const RouteCounts& target)
    {
        const double k = failuresOf(target, former);
        const double n = runsOf(target);
        const double formerRuns = runsOf(former);
        if (n == 0 || formerRuns == 0)
            return {};
        const double p = (failuresOf(former, former) + priorFailures) / (formerRuns + 2 * priorFailures);
        const double tail = internal::logBinomialTailBound(k, n, p);
        return { k >= minFailures && tail <= certainty, k >= 2 && tail <= suspicion, "failures" };
    }

    /// \returns whether the calls of \a target are enough to exclude that it fails `excludedShare` more of
    /// them than the former version.
    bool excludesFailures(const RouteCounts& former, const RouteCounts& target)
    {
        const double formerRuns = std::max(runsOf(former), 1.0);
        const double p = std::min(failuresOf(former, former) / formerRuns + excludedShare, 0.95);
        const double good = runsOf(target) - failuresOf(target, former);
        return internal::logBinomialTailBound(good, runsOf(target), 1 - p) <= exclusion;
    }

    Sign compareTimes(const RouteCounts& former, const RouteCounts& target)
    {
        if (former.goodAnswers() < minTimedAnswers || target.goodAnswers() < minTimedAnswers)
            return {};
        const double difference = target.meanLogSeconds() - former.meanLogSeconds();
        if (difference < std::log(slowFactor))
            return {};
        const auto variance = [](const RouteCounts& it) {
            return std::max(it.logVariance(), minLogVariance) / static_cast<double>(it.goodAnswers());
        };
        const double error = std::sqrt(variance(former) + variance(target));
        return { difference >= certainErrors * error, difference >= suspectErrors * error, "time" };
    }

    /// \returns the sums over \a servers, by route and over all routes under "".
    ServerCounts sumOf(const std::vector<ServerCounts>& servers)
    {
        ServerCounts out;
        for (const auto& server : servers) {
            for (const auto& [route, counts] : server) {
                out[route] += counts;
                out[""] += counts;
            }
        }
        return out;
    }

    Sign compareRoute(const RouteCounts& former, const RouteCounts& target)
    {
        const auto failures = compareFailures(former, target);
        const auto times = compareTimes(former, target);
        if (failures.isWorse || (failures.isSuspect && !times.isWorse))
            return failures;
        return times;
    }

    VersionComparison compareSums(const ServerCounts& former, const ServerCounts& target)
    {
        VersionComparison out;
        out.verdict = VersionVerdict::Comparable;
        for (const auto& [route, counts] : target) {
            const auto known = former.find(route);
            if (known == former.end())
                continue;
            const auto sign = compareRoute(known->second, counts);
            if (!sign.isWorse && !sign.isSuspect)
                continue;
            if (out.verdict == VersionVerdict::Comparable || sign.isWorse) {
                out.verdict = sign.isWorse ? VersionVerdict::Worse : VersionVerdict::Suspect;
                out.cause = (route.empty() ? "all routes" : "route " + route) + ": " + sign.what;
            }
            if (sign.isWorse)
                return out;
        }
        return out;
    }

    std::uint64_t totalRuns(const ServerCounts& server)
    {
        return std::accumulate(server.begin(), server.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const auto& it) { return sum + it.second.answers + it.second.cutOff; });
    }

    /// \returns the least severe verdict on \a target without one of its servers.
    VersionComparison compareWithoutWorst(const ServerCounts& former, const std::vector<ServerCounts>& target)
    {
        auto out = compareSums(former, sumOf(target));
        for (std::size_t i = 0; i < target.size(); ++i) {
            auto others = target;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            const auto sum = sumOf(others);
            auto compared = compareSums(former, sum);
            const auto all = sum.find("");
            if (all == sum.end() || runsOf(all->second) < minOtherRuns)
                compared.verdict = std::max(compared.verdict, VersionVerdict::Suspect);
            if (compared.verdict < out.verdict)
                out = compared;
        }
        return out;
    }

} // namespace

double internal::logBinomialTailBound(double k, double n, double p)
{
    const double share = k / n;
    if (share <= p || p <= 0)
        return 0;
    if (share >= 1)
        return n * std::log(p);
    const double entropy = share * std::log(share / p) + (1 - share) * std::log((1 - share) / (1 - p));
    return -n * entropy;
}

VersionComparison compareVersions(
    const std::vector<ServerCounts>& former, const std::vector<ServerCounts>& target)
{
    std::vector<ServerCounts> used;
    VersionComparison out;
    for (const auto& it : target) {
        const auto runs = totalRuns(it);
        out.targetRuns += runs;
        if (runs > 0)
            used.push_back(it);
    }
    if (out.targetRuns < minTargetRuns)
        return out;
    const auto formerSum = sumOf(former);
    auto compared = compareSums(formerSum, sumOf(used));
    const auto all = formerSum.find("");
    const bool isCertain = all != formerSum.end() && excludesFailures(all->second, sumOf(used).at(""));
    if (compared.verdict == VersionVerdict::Comparable && !isCertain)
        compared.verdict = VersionVerdict::Undecided;
    if (compared.verdict >= VersionVerdict::Suspect && target.size() > 1)
        compared = compareWithoutWorst(formerSum, used);
    compared.targetRuns = out.targetRuns;
    return compared;
}

} // namespace robinrun
