/// \file Prints one JSON line for each way to choose and to learn of loads on shared hosts; the same output
/// every run.

#include "SharedRun.h"

#include "Routing/ChoicePolicy.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace robinrun;
using namespace robinrun::bench;

/// Loads as a share of the capacity of all slots: a calm day, the usual evening, and beyond what fits.
constexpr double loads[] = { 0.4, 0.6, 0.8 };

std::string show(double x)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.4f", x);
    return buf;
}

void runOne(const SharedSite& site, const SharedRun::Options& options)
{
    const auto tally = SharedRun(site, options).run();
    const auto share = [&](std::uint64_t n) { return show(double(n) / double(tally.calls())); };
    std::cout << "{\"bench\":\"shared\",\"site\":\"" << site.name << "\",\"policy\":\""
              << nameOf(options.kind) << "\",\"news\":\"" << nameOf(options.news) << "\",\"limit\":\""
              << nameOf(options.limit) << "\",\"load\":" << show(options.load)
              << ",\"usable\":" << show(options.usableShare)
              << ",\"probe_ms\":" << toMilliseconds(options.probeEvery) << ",\"calls\":" << tally.calls()
              << ",\"in_time\":" << share(tally.inTime) << ",\"late\":" << share(tally.late)
              << ",\"refused\":" << share(tally.refused) << ",\"failed\":" << share(tally.failed)
              << ",\"far_per_call\":" << share(tally.far)
              << ",\"messages_per_call\":" << share(tally.messages) << "}\n";
}

/// \brief Ways to choose and to learn, then the knee, then the rate of probes.
std::vector<SharedRun::Options> variants(double load, std::uint64_t seed)
{
    SharedRun::Options usual;
    usual.load = load;
    usual.seed = seed;
    std::vector<SharedRun::Options> out;
    for (const auto kind :
        { ChoicePolicyKind::Random, ChoicePolicyKind::RoundRobin, ChoicePolicyKind::LeastInFlight,
            ChoicePolicyKind::PowerOfTwo, ChoicePolicyKind::ExpectedDelay }) {
        auto it = usual;
        it.kind = kind;
        it.news = News::Answers;
        out.push_back(it);
    }
    for (std::size_t i = 0; i < countOf<News>(); ++i) {
        auto it = usual;
        it.news = static_cast<News>(i);
        out.push_back(it);
    }
    for (const double usable : { 0.7, 0.8, 0.9, 1.0 }) {
        auto it = usual;
        it.limit = ConcurrencyLimitKind::Fixed;
        it.usableShare = usable;
        out.push_back(it);
    }
    for (const auto every : { 0ms, 10ms, 200ms }) {
        auto it = usual;
        it.probeEvery = every;
        out.push_back(it);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    static const option longOptions[] = { { "site", required_argument, nullptr, 's' },
        { "seed", required_argument, nullptr, 'e' }, { nullptr, 0, nullptr, 0 } };
    std::string wanted;
    std::uint64_t seed = 1;
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:e:", longOptions, nullptr)) != -1) {
        if (c == 's') {
            wanted = optarg;
        } else if (c == 'e') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else {
            std::cerr << "usage: bench-shared [--site riga-cards|auckland-status] [--seed N]\n";
            return 2;
        }
    }
    for (const auto& site : { rigaCards, aucklandStatus }) {
        if (!wanted.empty() && wanted != site.name)
            continue;
        for (const double load : loads) {
            for (const auto& it : variants(load, seed))
                runOne(site, it);
        }
    }
}
