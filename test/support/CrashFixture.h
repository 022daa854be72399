#pragma once

#include "MeshFixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief Nodes whose backend servers announce themselves by their own heartbeats, also after a crash, and
/// requests that crash what runs them.
struct CrashFixture : MeshFixture {
    static constexpr Duration heartbeat = 50ms;
    /// After it all nodes in touch know what has happened; the bound of the deployments is 3 s.
    static constexpr Duration inTouch = 1s;

    /// \param shops backend servers of `shop`, at nodes 1 and up; node 0 is of `other`.
    explicit CrashFixture(std::size_t shops = 4)
    {
        store.put("keyed.op", "config", configuration(1));
        add("other");
        for (std::size_t i = 0; i < shops; ++i)
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
        m_reporters.push_back(std::make_unique<HttpPool>(base.get(), options));
        m_heartbeats.push_back(Timer::repeating(base.get(), heartbeat, [this, i] { beat(i); }));
    }

    /// \brief All servers of `shop` crash when they run a request whose target ends in \a ending.
    void crashOn(const std::string& ending)
    {
        for (auto& it : places) {
            it.backend->crashesOn
                = [ending](const HttpRequest& request) { return request.target.ends_with(ending); };
        }
    }

    /// \brief Sends a request and does not wait for its answer.
    void sendAside(std::size_t node, const HttpRequest& request)
    {
        HttpPool::Options options;
        options.address = places[node].settings.listen.callers;
        callers.push_back(std::make_unique<HttpPool>(base.get(), options));
        callers.back()->send(request, 9s, [](const auto&) {});
    }

    std::size_t crashes() const
    {
        std::size_t out = 0;
        for (const auto& it : places)
            out += static_cast<std::size_t>(it.backend->crashes);
        return out;
    }

    /// \returns how often a request with \a target has begun to run.
    std::size_t deliveries(const std::string& target) const
    {
        std::size_t out = 0;
        for (const auto& it : places) {
            const auto& ran = it.backend->requests;
            out += static_cast<std::size_t>(std::count_if(
                ran.begin(), ran.end(), [&](const auto& request) { return request.target == target; }));
        }
        return out;
    }

    bool areAllUp() const
    {
        return std::all_of(places.begin(), places.end(), [](const auto& it) { return it.backend->isUp(); });
    }

    /// \brief Sends the same request to one node after the other until \a enough servers have crashed.
    void crashAtLeast(std::size_t enough, const std::string& path)
    {
        for (std::size_t i = 0; crashes() < enough && i < 60; ++i) {
            call(i % places.size(), "GET", path);
            until([&] { return areAllUp(); });
            pass(2 * heartbeat);
        }
        REQUIRE(crashes() >= enough);
    }

private:
    void beat(std::size_t i)
    {
        const auto& place = places[i];
        if (!place.backend->isUp() || !place.node)
            return;
        const auto body = R"({"address":")" + place.backend->address + R"(","info":{"service":")"
            + place.settings.service + R"(","version":"v1","zone":"z","slots":4},"status":{"state":"ready",)"
            + R"("seq":)" + std::to_string(++m_sequence) + R"(,"warmup_left_ms":0}})";
        m_reporters[i]->send({ "PUT", "/instances/" + place.backend->id, {}, body }, 1s, [](const auto&) {});
    }

    std::vector<std::unique_ptr<HttpPool>> m_reporters;
    std::vector<Timer> m_heartbeats;
    int m_sequence = 0;
};

} // namespace robinrun::support
