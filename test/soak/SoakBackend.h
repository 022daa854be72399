#pragma once

#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "Node/Timer.h"
#include "soak/Ledger.h"

#include <cstdint>
#include <event2/event.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::soak {

/// \brief A backend server of the soak: slots, work, announcements to its node, leaving, crashes and slow
/// phases. Each start has an id of its own, or the same one and says when it began.
class SoakBackend {
public:
    struct Options {
        std::string address;
        std::string announcements; ///< of the node beside it
        std::string service;
        std::string name; ///< of the place; ids of starts begin with it
        std::uint32_t slots = 4;
        Duration work = 20ms;
        bool keepsId = false; ///< over all its starts
    };

    SoakBackend(event_base* base, Options options, Ledger& ledger);

    /// \brief A new start; its counts begin anew.
    void start();
    void crash();
    /// \brief Announces that it leaves; once that is acknowledged it serves on for a while, ends, and another
    /// start takes the address.
    void replace();

    /// \brief As replace(), but says only in its answers that it leaves; announcements still say that it is
    /// ready.
    void replaceByAnswers();

    /// \brief Names \a limit in its answers from now on: requests a second, as text; none if empty.
    void setLimit(std::string limit);

    /// \brief Runs \a f each time that a call comes.
    void onRun(std::function<void()> f) { m_onRun = std::move(f); }

    /// \brief Another writer sends \a body to the node as an announcement of this server.
    void announceForeign(const std::string& body);

    /// \brief Work takes \a factor times as long from now on.
    void setSlowdown(double factor) { m_slowdown = factor; }
    /// \brief Whether each request is rejected as not run.
    void setFull(bool isFull) { m_isFull = isFull; }

    /// Of requests that crash the server which runs them.
    static constexpr const char* poisonTarget = "/read/poison";

    /// \brief From now on no crash is allowed for.
    void setCalm(bool isCalm) { m_isCalm = isCalm; }

    bool isRunning() const { return m_server != nullptr; }
    const std::string& upstream() const { return m_upstream; }

private:
    void take(std::unique_ptr<HttpExchange> exchange);
    void run(std::unique_ptr<HttpExchange> exchange);
    /// \brief A request has crashed this server; the next start comes after a while.
    void crashUnder();
    void announce();
    void endAfter(Duration delay);
    HttpHeaders loadHeaders(const std::string& requestId) const;
    /// \returns a text that names this start also where all starts have the same id.
    std::string life() const { return m_upstream + "/" + std::to_string(m_starts); }

    event_base* m_base;
    Options m_options;
    Ledger* m_ledger;
    bool m_isCalm = false;
    HttpPool m_pool; ///< to the node
    std::unique_ptr<HttpServer> m_server;
    std::string m_upstream;
    std::uint64_t m_starts = 0;
    std::int64_t m_born = 0; ///< Unix ms of this start
    std::uint64_t m_sequence = 0;
    std::uint32_t m_running = 0;
    double m_slowdown = 1;
    bool m_isFull = false;
    bool m_isLeaving = false;
    bool m_saysLeaving = false; ///< in its answers
    std::string m_limit; ///< as its answers name it; "": none
    std::optional<Instant> m_leaveAcknowledged;
    std::function<void()> m_onRun;
    Timer m_heartbeat;
    Timer m_end;
    std::vector<std::pair<std::uint64_t, Timer>> m_work; ///< by number of the run
    std::uint64_t m_lastRun = 0;
};

} // namespace robinrun::soak
