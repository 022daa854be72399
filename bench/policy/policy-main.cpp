/// \file Prints one JSON line for each deployment, scenario and policy; the same output every run.

#include "OracleRun.h"
#include "PolicyRun.h"

#include "Routing/ChoicePolicy.h"

#include <algorithm>
#include <cstdio>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace robinrun;
using namespace robinrun::bench;

constexpr std::uint64_t usualSeed = 1;

struct Options {
    std::string deployment;
    std::optional<ScenarioKind> scenario;
    std::optional<ChoicePolicyKind> policy;
    double probesPerSecond = -1;
    std::uint64_t seed = usualSeed;
    bool hedges = true;
};

struct Figures {
    double p50;
    double p99;
    double p999;
};

std::vector<bool> watched(const Scenario& scenario)
{
    std::vector<bool> out;
    for (const auto& it : scenario.groups)
        out.push_back(!scenario.isNoisy() || it.isVictim);
    return out;
}

Figures figuresOf(const RunTally& tally, const Scenario& scenario)
{
    auto all = tally.merged(watched(scenario));
    return { all.quantileMs(0.5), all.quantileMs(0.99), all.quantileMs(0.999) };
}

/// \returns what the polite group got of what it is entitled to.
double victimShare(const RunTally& tally, const Scenario& scenario, const Deployment& deployment)
{
    double weights = 0;
    for (const auto& it : scenario.groups)
        weights += it.weight;
    const double capacitySeconds = deployment.upstreams * deployment.slots * toSeconds(scenario.length);
    for (std::size_t i = 0; i < scenario.groups.size(); ++i) {
        if (!scenario.groups[i].isVictim)
            continue;
        const auto& it = tally.groups[i];
        const double calls = static_cast<double>(it.answered + it.refused + it.failed);
        const double entitledCalls
            = capacitySeconds * scenario.groups[i].weight / weights / toSeconds(deployment.meanService);
        return static_cast<double>(it.answered) / std::min(calls, entitledCalls);
    }
    return 1;
}

std::string show(double x)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.3f", x);
    return buf;
}

void runOne(const Deployment& deployment, ScenarioKind kind, ChoicePolicyKind policy, double oracleP99,
    std::uint64_t seed)
{
    const auto scenario = makeScenario(kind, false);
    const auto tally = PolicyRun(deployment, scenario, policy, seed).run();
    const auto figures = figuresOf(tally, scenario);
    double ratio = 1;
    if (scenario.isNoisy()) {
        const auto alone = makeScenario(kind, true);
        ratio = figures.p99 / figuresOf(PolicyRun(deployment, alone, policy, seed).run(), alone).p99;
    }
    const auto all = tally.merged(std::vector<bool>(scenario.groups.size(), true));
    const double upstreamSeconds = deployment.upstreams * toSeconds(scenario.length);
    std::cout << "{\"bench\":\"policy\",\"deployment\":\"" << deployment.name << "\",\"scenario\":\""
              << nameOf(kind) << "\",\"policy\":\"" << nameOf(policy) << "\",\"p50_ms\":" << show(figures.p50)
              << ",\"p99_ms\":" << show(figures.p99) << ",\"p999_ms\":" << show(figures.p999)
              << ",\"answered\":" << all.answered << ",\"failed\":" << all.failed
              << ",\"refused\":" << all.refused << ",\"oracle_p99_ms\":" << show(oracleP99)
              << ",\"probes_per_s\":" << show(static_cast<double>(tally.probes) / upstreamSeconds)
              << ",\"budget_per_s\":" << show(deployment.probesPerSecond)
              << ",\"victim_share\":" << show(victimShare(tally, scenario, deployment))
              << ",\"victim_p99_ratio\":" << show(ratio) << ",\"retries\":" << tally.retries
              << ",\"hedges\":" << tally.hedges << ",\"new_work_after_drain\":" << tally.newWorkAfterDrain
              << "}\n";
}

void runAll(const Options& options)
{
    for (auto deployment : { riga, auckland }) {
        if (!options.deployment.empty() && options.deployment != deployment.name)
            continue;
        deployment.hedges = options.hedges;
        if (options.probesPerSecond >= 0)
            deployment.probesPerSecond = options.probesPerSecond;
        for (std::size_t s = 0; s < countOf<ScenarioKind>(); ++s) {
            const auto kind = static_cast<ScenarioKind>(s);
            if (options.scenario && kind != *options.scenario)
                continue;
            const auto scenario = makeScenario(kind, false);
            const auto oracle = figuresOf(OracleRun(deployment, scenario, options.seed).run(), scenario);
            for (std::size_t p = 0; p < countOf<ChoicePolicyKind>(); ++p) {
                const auto policy = static_cast<ChoicePolicyKind>(p);
                if (!options.policy || policy == *options.policy)
                    runOne(deployment, kind, policy, oracle.p99, options.seed);
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    static const option longOptions[] = { { "deployment", required_argument, nullptr, 'd' },
        { "scenario", required_argument, nullptr, 's' }, { "policy", required_argument, nullptr, 'p' },
        { "probes", required_argument, nullptr, 'r' }, { "seed", required_argument, nullptr, 'e' },
        { "no-hedges", no_argument, nullptr, 'n' }, { nullptr, 0, nullptr, 0 } };
    Options options;
    int c = 0;
    bool isGood = true;
    while ((c = getopt_long(argc, argv, "d:s:p:r:e:n", longOptions, nullptr)) != -1) {
        switch (c) {
        case 'd':
            options.deployment = optarg;
            break;
        case 's':
            options.scenario = parseEnum<ScenarioKind>(optarg);
            isGood = isGood && options.scenario;
            break;
        case 'p':
            options.policy = parseEnum<ChoicePolicyKind>(optarg);
            isGood = isGood && options.policy;
            break;
        case 'r':
            options.probesPerSecond = std::atof(optarg);
            break;
        case 'n':
            options.hedges = false;
            break;
        case 'e':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            isGood = false;
        }
    }
    if (!isGood) {
        std::cerr << "usage: bench-policy [--deployment riga|auckland] [--scenario NAME] [--policy NAME] "
                     "[--probes N] [--seed N] [--no-hedges]\n";
        return 2;
    }
    runAll(options);
}
