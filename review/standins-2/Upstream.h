#pragma once

#include "Core/Time.h"
#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "Node/Timer.h"
#include "Record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

using namespace robinrun;

/// \brief A sound upstream as the users' pages describe it: slots, a health path, heartbeats, and a new id
/// with each start.
class Upstream {
public:
    struct Options {
        std::string address;
        std::string control; ///< address of the node beside it that takes heartbeats
        std::string service;
        std::string zone;
        std::string name; ///< its ids begin with this
        Duration work = 20ms;
    };

    Upstream(event_base* base, Options options, Record& record)
        : m_base(base)
        , m_options(std::move(options))
        , m_record(&record)
    {
        start();
    }

    /// \brief Starts a new incarnation.
    void start()
    {
        m_id = "i-" + m_options.name + "-" + std::to_string(++m_starts);
        m_sequence = 0;
        HttpServer::Options options;
        options.address = m_options.address;
        m_server = std::move(
            HttpServer::listen(m_base, options, [this](auto it) { take(std::move(it)); }).value());
        m_toNode = std::make_unique<HttpPool>(m_base, controlOptions());
        m_record->line("upstream " + m_id + " starts");
        beat();
        m_heartbeat = Timer::repeating(m_base, heartbeatEvery, [this] { beat(); });
    }

    /// \brief Crashes: its connections end, and it says nothing.
    void crash()
    {
        m_record->line("upstream " + m_id + " crashes");
        m_heartbeat = Timer();
        m_work.clear();
        m_toNode.reset();
        m_server.reset();
    }

    /// \brief A cut between it and the control address holds up its heartbeats. Of these the first one
    /// arrives in the end, by deliverHeldBeat().
    void setCut(bool isCut) { m_isCut = isCut; }
    void deliverHeldBeat()
    {
        if (!m_held)
            return;
        m_record->note("a heartbeat that the cut held up arrives: " + m_held->target);
        m_late = std::make_unique<HttpPool>(m_base, controlOptions());
        m_late->send(*m_held, 1s, [this](const Result<HttpReply, HttpError>& reply) {
            m_record->note("  it gets " + (reply ? std::to_string(reply.value().status) : "no answer"));
        });
        m_held.reset();
    }

    /// \brief Says that it leaves, with the last word of its incarnation, and serves on. Its health path then
    /// says that it leaves. \a onAcknowledged runs with the 2xx.
    void leave(std::function<void()> onAcknowledged)
    {
        m_record->note("upstream " + m_id + " says that it leaves");
        m_heartbeat = Timer();
        m_toNode->send({ "DELETE", "/instances/" + m_id, {}, "" }, 1s,
            [this, onAcknowledged = std::move(onAcknowledged)](const Result<HttpReply, HttpError>& reply) {
                if (!reply || reply.value().status / 100 != 2)
                    return m_record->note("  it gets no acknowledgement");
                m_record->note("  it gets " + std::to_string(reply.value().status));
                m_isLeaving = true;
                m_server->setClosing(true); // its answers end their connections
                onAcknowledged();
            });
    }
    bool isLeaving() const { return m_isLeaving; }

    const std::string& id() const { return m_id; }

private:
    static constexpr Duration heartbeatEvery = 1500ms;
    static constexpr std::size_t slots = 12;

    HttpPool::Options controlOptions() const
    {
        HttpPool::Options out;
        out.address = m_options.control;
        out.maxConnections = 1;
        out.connectTimeout = 1s;
        return out;
    }

    void beat()
    {
        const auto body = R"({"address":")" + m_options.address + R"(","info":{"service":")"
            + m_options.service + R"(","version":"v1","zone":")" + m_options.zone + R"(","slots":)"
            + std::to_string(slots) + R"(},"status":{"state":"ready","seq":)" + std::to_string(++m_sequence)
            + R"(,"warmup_left_ms":0}})";
        const HttpRequest request { "PUT", "/instances/" + m_id, { { "Content-Type", "application/json" } },
            body };
        if (m_isCut) {
            if (!m_held)
                m_held = request;
            return;
        }
        m_toNode->send(request, 1s, [](const Result<HttpReply, HttpError>&) {});
    }

    HttpHeaders headersFor(const HttpRequest& request) const
    {
        HttpHeaders out { { "X-Robinrun-Instance-Id", m_id },
            { "X-Robinrun-Server-Load", std::to_string(m_work.size()) + ",0," + std::to_string(slots) } };
        if (const auto id = findHeader(request.headers, "X-Robinrun-Request-Id"))
            out.emplace_back("X-Robinrun-Request-Id", std::string(*id));
        return out;
    }

    void take(std::unique_ptr<HttpExchange> exchange)
    {
        const auto& request = exchange->request();
        auto headers = headersFor(request);
        if (request.target == "/healthz") {
            const int status = m_isLeaving ? 503 : 200;
            m_record->line("health of " + m_id + ": " + std::to_string(status));
            return exchange->reply({ status, headers, "" });
        }
        const auto target = findHeader(request.headers, "X-Robinrun-Target-Instance");
        if (target && *target != m_id) {
            m_record->line("421 from " + m_id + " for a request that expects " + std::string(*target));
            return exchange->reply({ 421, headers, "" });
        }
        if (m_work.size() >= slots) {
            headers.emplace_back("X-Robinrun-Not-Executed", "1");
            return exchange->reply({ 503, headers, "" });
        }
        run(std::move(exchange));
    }

    void run(std::unique_ptr<HttpExchange> exchange)
    {
        const auto number = ++m_runs;
        const std::shared_ptr<HttpExchange> held = std::move(exchange);
        const auto id = findHeader(held->request().headers, "X-Robinrun-Request-Id").value_or("");
        m_record->ran(std::string(id), m_id);
        auto timer = Timer::once(m_base, m_options.work, [this, held, number] {
            auto headers = headersFor(held->request());
            headers.emplace_back("X-Robinrun-Server-Signature", "s." + m_id);
            held->reply({ 200, headers, "done by " + m_id + "\n" });
            m_work.erase(number);
        });
        m_work.emplace(number, std::move(timer));
    }

    event_base* m_base;
    Options m_options;
    Record* m_record;
    std::unique_ptr<HttpPool> m_toNode;
    std::unique_ptr<HttpPool> m_late; ///< brings what was held up
    std::unique_ptr<HttpServer> m_server;
    std::string m_id;
    std::uint64_t m_starts = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_runs = 0;
    bool m_isLeaving = false;
    bool m_isCut = false;
    std::optional<HttpRequest> m_held; ///< the first heartbeat since the cut
    std::map<std::uint64_t, Timer> m_work;
    Timer m_heartbeat;
};

} // namespace review
