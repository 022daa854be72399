#pragma once

#include "Core/Loop.h"
#include "Core/Random.h"
#include "soak/Ledger.h"
#include "soak/SoakBackend.h"
#include "support/ChildProcess.h"
#include "support/FakeStore.h"
#include "support/FaultProxy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun::soak {

/// \brief Real nodes as processes, each between proxies that can harm its links, with backend servers, a
/// store and callers inside the soak's own process.
class SoakSite {
public:
    struct Options {
        std::string program; ///< the node
        std::string charts;
        std::string folder; ///< for settings and logs
        std::size_t nodes = 6;
        double callsPerSecond = 15; ///< of the callers of each node
    };

    /// \brief A host: a node, its backend server and the proxies on its links.
    struct Host {
        std::string name;
        std::string hall;
        std::string settingsFile;
        std::string callers; ///< address of the node for its callers, by way of a proxy
        std::string readiness;
        std::unique_ptr<support::FaultProxy> toCallers;
        std::unique_ptr<support::FaultProxy> toPeers;
        std::unique_ptr<support::FaultProxy> toStore;
        std::unique_ptr<support::FaultProxy> toBackend;
        std::unique_ptr<SoakBackend> backend;
        support::ChildProcess node;
        std::uint64_t life = 0;
        bool isStopping = false; ///< was asked to end
        bool isReady = false; ///< as it last said
        Timer restart;
        std::unique_ptr<HttpPool> keptConnections; ///< of its callers; used until the process is gone
    };

    SoakSite(event_base* base, Options options, std::uint64_t seed);

    std::vector<std::unique_ptr<Host>>& hosts() { return m_hosts; }
    support::FakeStore& store() { return m_store; }
    Ledger& ledger() { return m_ledger; }
    std::uint64_t version() const { return m_version; }
    event_base* base() { return m_base; }

    void startNode(Host& host);
    /// \brief Asks the node to end in order; it starts again after \a pause.
    void stopNode(Host& host, Duration pause);
    /// \brief Kills the node; it starts again after \a pause.
    void killNode(Host& host, Duration pause);
    /// \brief Writes a new configuration; the route "/which/" goes to the other service.
    void changeConfiguration();
    /// \brief The operator empties the data hall of \a host, or takes it back.
    void setEmptied(const Host& host, bool isEmptied);
    /// \brief The store keeps a copy, to come back from.
    void copyStore() { m_store.keepCopy(); }
    /// \brief The store comes back from its copy; the operator writes what it wants once more.
    void returnStore();
    /// \brief Changes the settings file of \a host and sends SIGHUP.
    void reloadNode(Host& host);

    /// \brief From now on nothing is harmed: a request without an answer breaks a promise.
    void setCalm(bool isCalm);

    /// \returns whether each node that should run serves and has the newest configuration in force.
    bool isAllInForce() const;

private:
    void addHost(std::size_t i);
    void writeSettings(const Host& host, int linesPerSecond) const;
    void watch();
    void askReadiness(Host& host);
    void callOnce(std::size_t i);
    void send(std::size_t i, HttpRequest request, bool isProbe);
    void probeVersion(std::size_t i);
    /// \brief The request that crashes servers comes again, at any node.
    void sendPoison();
    /// \returns whether a call may still reach the backend server of \a host.
    bool mayRun(const Host& host) const;
    std::string lifeOf(const Host& host) const { return host.name + "/" + std::to_string(host.life); }

    event_base* m_base;
    Options m_options;
    Random m_random;
    support::FakeStore m_store;
    Ledger m_ledger;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastRequest = 0;
    bool m_isCalm = false;
    Instant m_calmSince {};
    std::map<std::string, Instant> m_emptied; ///< halls, and when the store had it
    Timer m_watch;
    Timer m_ask;
    Timer m_probe;
    Timer m_poison;
    std::vector<Timer> m_traffic;
};

} // namespace robinrun::soak
