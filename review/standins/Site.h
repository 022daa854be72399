#pragma once

#include "review/standins/Store.h"
#include "review/standins/Upstream.h"
#include "test/support/ChildProcess.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun::review {

/// \brief A small deployment on loopback: nodes as processes, started as the deploy file says, with settings
/// made from its template; the store and the upstreams are stand-ins in this process.
class Site {
public:
    struct Options {
        std::string root; ///< of the repository
        std::string folder; ///< temporary: settings and logs
        std::string recordFile;
        std::size_t hosts = 7;
        Upstream::Options upstream {};
        /// Of the hosts, those from this one on stand beside upstreams of the service `ledger`, which runs
        /// the route `/check/`; the others beside `shop`.
        std::size_t firstOfLedger = SIZE_MAX;
        int longestMs = 1000; ///< timeout of the routes
    };
    struct Host {
        std::string name;
        std::string zone;
        std::string outbound;
        std::string readiness;
        std::string settingsFile;
        bool isReady = false;
        unsigned misses = 0; ///< of the platform's last questions, in a row
        std::unique_ptr<Upstream> upstream;
        support::ChildProcess node;
        Timer restart;
    };

    Site(event_base* base, Options options);

    std::vector<std::unique_ptr<Host>>& hosts() { return m_hosts; }
    Store& store() { return m_store; }
    event_base* base() { return m_base; }

    /// \brief Calls \a f each time that an upstream starts to work on a request.
    void onRun(std::function<void(const std::string& id)> f) { m_onRun = std::move(f); }

    /// \brief Writes the configuration \a version as the operator: an idempotent and a non-idempotent route.
    void writeConfiguration(std::uint64_t version);

    /// \brief SIGTERM; the node is started again when it has ended, or is killed after the grace time.
    void stop(Host& host);

    /// \brief SIGKILL; the node is started again after \a pause, as the platform does.
    void kill(Host& host, Duration pause);

    /// \returns whether the clients on \a host are given new work.
    bool getsWork(const Host& host) const;

    /// \brief Adds a line to the record: what happened, and when.
    void note(const std::string& text);

    /// \returns seconds since the start.
    double now() const { return toSeconds(monotonicNow() - m_started); }

    /// \brief Runs the loop for \a length.
    void pass(Duration length);

    /// \returns whether all nodes answer 200 to the platform's question.
    bool areAllReady() const;

private:
    void addHost(std::size_t i);
    void startNode(Host& host);
    void askReadiness(Host& host);
    void startEnded(Host& host, Instant asked);
    std::string fillTemplate(const std::map<std::string, std::string>& fields) const;

    event_base* m_base;
    Options m_options;
    Instant m_started;
    std::ofstream m_record;
    Store m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    Timer m_ask;
    std::function<void(const std::string&)> m_onRun;
};

} // namespace robinrun::review
