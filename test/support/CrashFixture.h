#pragma once

#include "MeshFixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief Mesh nodes whose backend servers announce themselves by heartbeats, also after a restart, and crash
/// when they run certain requests.
struct CrashFixture : MeshFixture {
    static constexpr Duration heartbeatInterval = 50ms;
    /// After this time all connected nodes have received a crash report. The product must achieve 3 s.
    static constexpr Duration maxPropagationDelay = 1s;

    /// \param shopServers number of backend servers of service `shop`, at nodes 1 and up; node 0 is of
    /// service `other`.
    explicit CrashFixture(std::size_t shopServers = 4)
    {
        store.put("keyed.op", "config", configuration(1));
        add("other");
        for (std::size_t i = 0; i < shopServers; ++i)
            add("shop", i % 2 ? "h2" : "h1");
        for (std::size_t i = 0; i < places.size(); ++i)
            startHeartbeats(i);
        for (std::size_t i = 0; i < places.size(); ++i)
            untilServed(i);
    }

    void startHeartbeats(std::size_t i)
    {
        HttpPool::Options options;
        options.address = places[i].settings.listen.announcements;
        m_announcementPools.push_back(std::make_unique<HttpPool>(base.get(), options));
        m_heartbeats.push_back(
            Timer::repeating(base.get(), heartbeatInterval, [this, i] { sendHeartbeat(i); }));
    }

    /// \brief Makes all servers crash when they run a request whose target ends in \a suffix.
    void crashOnTargetSuffix(const std::string& suffix)
    {
        for (auto& it : places) {
            it.backend->crashesOn
                = [suffix](const HttpRequest& request) { return request.target.ends_with(suffix); };
        }
    }

    void sendWithoutWaiting(std::size_t node, const HttpRequest& request)
    {
        HttpPool::Options options;
        options.address = places[node].settings.listen.callers;
        callers.push_back(std::make_unique<HttpPool>(base.get(), options));
        callers.back()->send(request, 9s, [](const auto&) {});
    }

    std::size_t crashCount() const
    {
        std::size_t out = 0;
        for (const auto& it : places)
            out += static_cast<std::size_t>(it.backend->crashes);
        return out;
    }

    /// \returns how often a request with \a target has begun to run at a server.
    std::size_t runCount(const std::string& target) const
    {
        std::size_t out = 0;
        for (const auto& it : places) {
            const auto& ran = it.backend->requests;
            out += static_cast<std::size_t>(std::count_if(
                ran.begin(), ran.end(), [&](const auto& request) { return request.target == target; }));
        }
        return out;
    }

    bool areAllServersUp() const
    {
        return std::all_of(places.begin(), places.end(), [](const auto& it) { return it.backend->isUp(); });
    }

    /// \brief Sends the same request to each node in turn until servers have crashed \a count times in all.
    void crashServers(std::size_t count, const std::string& path)
    {
        for (std::size_t i = 0; crashCount() < count && i < 60; ++i) {
            call(i % places.size(), "GET", path);
            until([&] { return areAllServersUp(); });
            pass(2 * heartbeatInterval);
        }
        REQUIRE(crashCount() >= count);
    }

private:
    void sendHeartbeat(std::size_t i)
    {
        const auto& place = places[i];
        if (!place.backend->isUp() || !place.node)
            return;
        const auto body = R"({"address":")" + place.backend->address + R"(","info":{"service":")"
            + place.settings.service + R"(","version":"v1","zone":"z","slots":4},"status":{"state":"ready",)"
            + R"("seq":)" + std::to_string(++m_lastSequence) + R"(,"warmup_left_ms":0}})";
        m_announcementPools[i]->send(
            { "PUT", "/instances/" + place.backend->id, {}, body }, 1s, [](const auto&) {});
    }

    std::vector<std::unique_ptr<HttpPool>> m_announcementPools;
    std::vector<Timer> m_heartbeats;
    int m_lastSequence = 0;
};

} // namespace robinrun::support
