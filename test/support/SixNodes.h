#pragma once

#include "MeshFixture.h"

#include <cstddef>
#include <optional>
#include <string>

namespace robinrun::support {

/// \brief Six nodes of which one follows the configuration for all.
struct SixNodes : MeshFixture {
    static constexpr std::size_t size = 6;
    static constexpr Duration askEvery = 50ms;

    /// \param bytesPerSecond out of each node to its peers; unbounded if not set.
    explicit SixNodes(std::optional<std::size_t> bytesPerSecond = std::nullopt)
    {
        followers = 1;
        linkBytesPerSecond = bytesPerSecond;
        store.put("keyed.op", "config", configuration(5));
        for (std::size_t i = 0; i < size; ++i)
            add(i % 2 ? "other" : "shop");
        untilAll("robinrun_nodes_known 6");
        untilAll("robinrun_config_version 5");
        until([&] { return count("robinrun_follows_configuration 1") == 1; });
    }

    bool hasMetric(std::size_t i, const std::string& line)
    {
        const auto text = send(places[i].settings.listen.metrics, { "GET", "/metrics", {}, {} }).body;
        return text.find(line + "\n") != std::string::npos;
    }

    /// \returns at how many nodes \a metric stands.
    std::size_t count(const std::string& metric)
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < size; ++i)
            n += hasMetric(i, metric);
        return n;
    }

    /// \brief Waits until \a metric stands at all nodes.
    void untilAll(const std::string& metric)
    {
        INFO(metric);
        until([&] {
            pass(askEvery);
            return count(metric) == size;
        });
    }
};

} // namespace robinrun::support
