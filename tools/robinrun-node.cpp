/// \file The node of robinrun's own interface: runs beside a backend server and plays every role there.

#include "Chart/Charts.h"
#include "Core/Log.h"
#include "Core/Loop.h"
#include "Node/Node.h"
#include "Settings/NodeSettings.h"
#include "tools/CommandLine.h"

#include <event2/event.h>
#include <iostream>
#include <string>

namespace {

using namespace robinrun;

int run(const std::string& file, NodeSettings settings, Charts charts)
{
    startLog(tools::logOptions(settings));
    const auto base = makeLoop();
    const auto incarnation = tools::makeIncarnation();
    auto node = Node::start(base.get(), std::move(settings), std::move(charts), incarnation);
    if (!node) {
        log(LogLevel::Error, "start-failed", { { "error", node.error() } });
        return EXIT_FAILURE;
    }
    const tools::Signals signals(
        base.get(), [&] { node.value()->stop(); },
        [&] { tools::reloadSettings(file, [](const NodeSettings&) {}); });
    log(LogLevel::Info, "started", { { "incarnation", incarnation } });
    event_base_dispatch(base.get());
    log(LogLevel::Info, "stopped");
    flushLog();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto line = tools::parseCommandLine(argc, argv, "robinrun-node");
        if (line.exitStatus >= 0)
            return line.exitStatus;
        auto settings = NodeSettings::load(line.settings);
        if (!settings) {
            for (const auto& it : settings.error())
                std::cerr << it.text() << "\n";
            return tools::badUsage;
        }
        auto charts = Charts::load(settings.value().chartsFolder);
        if (!charts) {
            std::cerr << charts.error().text() << "\n";
            return tools::badUsage;
        }
        if (line.isCheck) {
            std::cout << "settings and charts are good\n";
            return EXIT_SUCCESS;
        }
        return run(line.settings, std::move(settings.value()), std::move(charts.value()));
    } catch (const std::exception& ex) {
        std::cerr << "robinrun-node: " << ex.what() << "\n";
        return EXIT_FAILURE;
    }
}
