/// \file Open-loop load: calls are sent at times fixed beforehand, so that a stall shows in the latencies.

#include "Core/Loop.h"
#include "Load/LoadRun.h"
#include "Load/LoadSpec.h"

#include <csignal>
#include <event2/event.h>
#include <getopt.h>
#include <iostream>
#include <memory>

namespace {

using namespace robinrun;

constexpr int badUsage = 2;
constexpr int badOutcome = 3;
constexpr const char* usage = R"(usage: robinrun-load --spec FILE [--json]

  -s, --spec FILE  what to send (YAML; see docs/LOAD.md)
  -j, --json       one JSON line for each group and class instead of a table
  -h, --help       print this
  -V, --version    print the version

Exit status: 0 done, 2 bad command line or spec, 3 an answer was wrong or a call ran twice.
)";

int run(const LoadSpec& spec, bool isJson)
{
    const auto base = makeLoop();
    std::signal(SIGPIPE, SIG_IGN);
    LoadRun run(base.get(), spec);
    event_base_dispatch(base.get());
    run.print(std::cout, isJson);
    return run.isGood() ? EXIT_SUCCESS : badOutcome;
}

} // namespace

int main(int argc, char** argv)
{
    static const option options[] = { { "spec", required_argument, nullptr, 's' },
        { "json", no_argument, nullptr, 'j' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };
    std::string file;
    bool isJson = false;
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:jhV", options, nullptr)) != -1) {
        switch (c) {
        case 's':
            file = optarg;
            break;
        case 'j':
            isJson = true;
            break;
        case 'h':
            std::cout << usage;
            return EXIT_SUCCESS;
        case 'V':
            std::cout << "robinrun-load 0.1.0\n";
            return EXIT_SUCCESS;
        default:
            std::cerr << usage;
            return badUsage;
        }
    }
    if (file.empty() || optind < argc) {
        std::cerr << "--spec FILE is needed, and nothing else\n" << usage;
        return badUsage;
    }
    auto spec = LoadSpec::load(file);
    if (!spec) {
        for (const auto& it : spec.error())
            std::cerr << it.text() << "\n";
        return badUsage;
    }
    try {
        return run(spec.value(), isJson);
    } catch (const std::exception& ex) {
        std::cerr << "robinrun-load: " << ex.what() << "\n";
        return EXIT_FAILURE;
    }
}
