#pragma once

#include "MeshFixture.h"

#include <cstddef>
#include <string>

namespace robinrun::support {

/// \brief Two upstreams of the service `shop` (nodes 1 and 2), and one of `other` (node 0) whose callers
/// call.
struct ShopFixture : MeshFixture {
    ShopFixture()
    {
        store.put("keyed.op", "config", configuration(5));
        add("other");
        add("shop");
        add("shop", "h2");
        untilServed(0);
        untilServed(1);
        until([&] { return knowsAll(0) && knowsAll(1) && knowsAll(2); });
    }

    /// \returns whether node \a i knows all three nodes.
    bool knowsAll(std::size_t i)
    {
        const auto metrics = send(places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return metrics.find("robinrun_nodes_known 3") != std::string::npos;
    }

    /// \returns how many calls the backend servers of `shop` have run.
    std::size_t ran() const
    {
        return places[1].backend->requests.size() + places[2].backend->requests.size();
    }
};

} // namespace robinrun::support
