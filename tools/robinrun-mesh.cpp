/// \file The node on the users' machines: backend servers announce themselves, nodes meet in the store.

#include "Chart/Charts.h"
#include "Core/Log.h"
#include "Core/Loop.h"
#include "Mesh/MeshNode.h"
#include "Settings/NodeSettings.h"
#include "platform/Formats.h"
#include "platform/StoreClient.h"
#include "tools/CommandLine.h"

#include <cstdlib>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace robinrun;

/// The platform may change the settings without a signal; a look costs one system call.
constexpr Duration lookEvery = 2s;

int run(const std::string& file, NodeSettings settings, Charts charts)
{
    tools::startNodeLog(settings);
    const auto base = makeLoop();
    const auto incarnation = tools::makeIncarnation();
    auto store
        = std::make_unique<platform::StoreClient>(base.get(), settings.store.address, settings.store.timeout);
    auto node = MeshNode::start(base.get(), std::move(settings), std::move(charts), incarnation,
        platform::formats(), std::move(store));
    if (!node) {
        log(LogLevel::Error, "start-failed", { { "error", node.error() } });
        return EXIT_FAILURE;
    }
    const auto reload
        = [&] { tools::reloadSettings(file, [&](const NodeSettings& it) { node.value()->reload(it); }); };
    const tools::Signals signals(
        base.get(), [&] { node.value()->stop(); }, reload);
    const tools::FileWatch watch(base.get(), file, lookEvery, reload);
    return tools::runLoop(base.get(), incarnation);
}

} // namespace

int main(int argc, char** argv)
{
    return tools::nodeMain(argc, argv, "robinrun-mesh", run);
}
