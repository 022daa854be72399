/// \file The node: runs beside a backend server and plays every role there.

#include "Chart/Charts.h"
#include "Core/Log.h"
#include "Core/Loop.h"
#include "Core/Time.h"
#include "Node/Node.h"
#include "Settings/NodeSettings.h"

#include <csignal>
#include <event2/event.h>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace robinrun;

constexpr int badUsage = 2;
constexpr const char* usage = R"(usage: robinrun-node --settings FILE [--check-settings]

  -s, --settings FILE   settings of this node (YAML; see docs/OPERATING.md)
  -c, --check-settings  check the settings and charts, start nothing
  -h, --help            print this
  -V, --version         print the version

Signals: SIGTERM and SIGINT drain, then end with status 0.
Exit status: 0 stopped in order, 1 could not start, 2 bad command line or settings.
)";

struct CommandLine {
    std::string settings;
    bool isCheck = false;
    int exitStatus = -1; ///< set when there is nothing more to do
};

CommandLine parse(int argc, char** argv)
{
    static const option options[] = { { "settings", required_argument, nullptr, 's' },
        { "check-settings", no_argument, nullptr, 'c' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };
    CommandLine line;
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:chV", options, nullptr)) != -1) {
        switch (c) {
        case 's':
            line.settings = optarg;
            break;
        case 'c':
            line.isCheck = true;
            break;
        case 'h':
            std::cout << usage;
            line.exitStatus = 0;
            return line;
        case 'V':
            std::cout << "robinrun-node 0.1.0\n";
            line.exitStatus = 0;
            return line;
        default:
            std::cerr << usage;
            line.exitStatus = badUsage;
            return line;
        }
    }
    if (line.settings.empty() || optind < argc) {
        std::cerr << (optind < argc ? "unexpected argument: " + std::string(argv[optind])
                                    : "--settings is missing")
                  << "\n"
                  << usage;
        line.exitStatus = badUsage;
    }
    return line;
}

void onStopSignal(evutil_socket_t, short, void* node)
{
    static_cast<Node*>(node)->stop();
}

int run(NodeSettings settings, Charts charts)
{
    startLog(settings.log.level, settings.log.format, settings.name);
    const auto base = makeLoop();
    // Two starts of one node never fall into the same microsecond.
    const auto incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                                                            .count());
    auto node = Node::start(base.get(), std::move(settings), std::move(charts), incarnation);
    if (!node) {
        log(LogLevel::Error, "start-failed", { { "error", node.error() } });
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto* raw = node.value().get();
    using EventPtr = std::unique_ptr<event, decltype(&event_free)>;
    const EventPtr term(evsignal_new(base.get(), SIGTERM, onStopSignal, raw), &event_free);
    const EventPtr interrupt(evsignal_new(base.get(), SIGINT, onStopSignal, raw), &event_free);
    event_add(term.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    log(LogLevel::Info, "started", { { "incarnation", incarnation } });
    event_base_dispatch(base.get());
    log(LogLevel::Info, "stopped");
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto line = parse(argc, argv);
        if (line.exitStatus >= 0)
            return line.exitStatus;
        auto settings = NodeSettings::load(line.settings);
        if (!settings) {
            for (const auto& it : settings.error())
                std::cerr << it.text() << "\n";
            return badUsage;
        }
        auto charts = Charts::load(settings.value().chartsFolder);
        if (!charts) {
            std::cerr << charts.error().text() << "\n";
            return badUsage;
        }
        if (line.isCheck) {
            std::cout << "settings and charts are good\n";
            return EXIT_SUCCESS;
        }
        return run(std::move(settings.value()), std::move(charts.value()));
    } catch (const std::exception& ex) {
        std::cerr << "robinrun-node: " << ex.what() << "\n";
        return EXIT_FAILURE;
    }
}
