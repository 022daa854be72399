/// \file The node of robinrun's own interface: runs beside a backend server and plays every role there.

#include "Chart/Charts.h"
#include "Core/Log.h"
#include "Core/Loop.h"
#include "Node/Node.h"
#include "Settings/NodeSettings.h"
#include "tools/CommandLine.h"

#include <cstdlib>
#include <string>
#include <utility>

namespace {

using namespace robinrun;

int run(const std::string& file, NodeSettings settings, Charts charts)
{
    tools::startNodeLog(settings);
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
    return tools::runLoop(base.get(), incarnation);
}

} // namespace

int main(int argc, char** argv)
{
    return tools::nodeMain(argc, argv, "robinrun-node", run);
}
