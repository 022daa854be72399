/// \file A fault soak: real nodes as separate processes, faults from outside, and the promises that callers
/// and backend servers must see kept.
///
/// First faults are drawn from the seed; then all ends, and the deployment has to come back, to put a changed
/// configuration in force and to let each node be stopped without cutting a request off.

#include "soak/FaultPlan.h"
#include "soak/SoakSite.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <getopt.h>
#include <iostream>
#include <string>

namespace {

using namespace robinrun;
using namespace robinrun::soak;

/// The users allow 15 s; twice as much here, so that a busy machine makes no difference.
constexpr Duration recoverWithin = 30s;
/// Links heal, and what was under way when the faults ended is over.
constexpr Duration settle = 5s;
constexpr Duration betweenStops = 1500ms;
constexpr Duration afterLastStop = 8s;

struct Options {
    std::uint64_t seed = 1;
    Duration length = 20s;
    SoakSite::Options site;
    bool isVerbose = false;
};

void pass(event_base* base, Duration length)
{
    const auto end = Timer::once(base, length, [base] { event_base_loopbreak(base); });
    event_base_dispatch(base);
}

bool waitFor(event_base* base, Duration longest, const std::function<bool()>& isDone)
{
    const auto end = monotonicNow() + longest;
    while (!isDone() && monotonicNow() < end)
        pass(base, 100ms);
    return isDone();
}

void breakPromiseIfNot(bool isKept, SoakSite& site, const std::string& promise)
{
    if (!isKept)
        site.ledger().broken(promise);
}

void play(SoakSite& site, FaultPlan& plan, Duration length)
{
    auto* base = site.base();
    const auto isAllInForce = [&] { return site.isAllInForce(); };
    breakPromiseIfNot(waitFor(base, recoverWithin, isAllInForce), site, "the nodes never started to serve");
    plan.run(length);
    pass(base, length + settle);
    breakPromiseIfNot(
        waitFor(base, recoverWithin, isAllInForce), site, "not all nodes serve again after the faults");
    pass(base, settle);
    site.setCalm(true);
    site.changeConfiguration();
    breakPromiseIfNot(waitFor(base, recoverWithin, isAllInForce), site,
        "a changed configuration isn't in force everywhere");
    for (auto& it : site.hosts()) {
        site.stopNode(*it, 0s);
        pass(base, betweenStops);
    }
    pass(base, afterLastStop);
    breakPromiseIfNot(
        waitFor(base, recoverWithin, isAllInForce), site, "not all nodes serve after a restart");
}

int report(SoakSite& site, const FaultPlan& plan, const Options& options)
{
    const auto& ledger = site.ledger();
    if (options.isVerbose || !ledger.brokenPromises().empty()) {
        for (const auto& it : plan.story())
            std::cout << it << "\n";
    }
    for (const auto& it : ledger.brokenPromises())
        std::cout << "BROKEN: " << it << "\n";
    std::cout << "seed " << options.seed << ": " << ledger.requests() << " requests, " << ledger.served()
              << " served, " << ledger.refused() << " refused, " << ledger.runs() << " runs, "
              << ledger.crashes() << " crashes under one request, " << plan.story().size()
              << " lines of faults, " << ledger.brokenPromises().size() << " promises broken\n";
    const bool isGood = ledger.brokenPromises().empty() && ledger.served() > 0;
    if (!isGood)
        std::cout << "logs of the nodes: " << options.site.folder << "\n";
    return isGood ? EXIT_SUCCESS : EXIT_FAILURE;
}

Options parse(int argc, char** argv)
{
    Options out;
    const option known[]
        = { { "seed", required_argument, nullptr, 's' }, { "seconds", required_argument, nullptr, 'l' },
              { "nodes", required_argument, nullptr, 'n' }, { "program", required_argument, nullptr, 'p' },
              { "charts", required_argument, nullptr, 'c' }, { "folder", required_argument, nullptr, 'f' },
              { "verbose", no_argument, nullptr, 'v' }, { nullptr, 0, nullptr, 0 } };
    for (int it = 0; (it = getopt_long(argc, argv, "s:l:n:p:c:f:v", known, nullptr)) != -1;) {
        switch (it) {
        case 's':
            out.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'l':
            out.length = fromSeconds(std::atof(optarg));
            break;
        case 'n':
            out.site.nodes = std::strtoull(optarg, nullptr, 10);
            break;
        case 'p':
            out.site.program = optarg;
            break;
        case 'c':
            out.site.charts = optarg;
            break;
        case 'f':
            out.site.folder = optarg;
            break;
        case 'v':
            out.isVerbose = true;
            break;
        default:
            out.site.program.clear();
            return out;
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = parse(argc, argv);
    if (options.site.program.empty() || options.site.folder.empty() || options.site.nodes == 0) {
        std::cerr
            << "usage: robinrun-soak --program NODE --charts FOLDER --folder FOLDER [--seed N] [--seconds S] "
               "[--nodes N] [--verbose]\n";
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(options.site.folder);
    const auto base = makeLoop();
    SoakSite site(base.get(), options.site, options.seed);
    FaultPlan plan(site, options.seed);
    play(site, plan, options.length);
    return report(site, plan, options);
}
