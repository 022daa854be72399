#include "Chart/Charts.h"

namespace robinrun {

Result<Charts, ChartError> Charts::load(const std::string& folder)
{
    auto node = NodeChart::load(folder + "/node.yaml", "node");
    if (!node)
        return failure(node.error());
    auto upstream = LifeChart::load(folder + "/upstream.yaml", "upstream");
    if (!upstream)
        return failure(upstream.error());
    auto call = CallChart::load(folder + "/call.yaml", "call");
    if (!call)
        return failure(call.error());
    return Charts { std::move(node.value()), std::move(upstream.value()), std::move(call.value()) };
}

} // namespace robinrun
