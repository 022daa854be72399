#pragma once

#include "Core/Random.h"
#include "Record.h"
#include "Upstream.h"
#include "test/support/ChildProcess.h"
#include "test/support/FakeStore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// \brief A small deployment on loopback: nodes as processes with the command of the deploy file, started
/// again when they end, with an upstream beside each, the platform's store, the operator, readiness checks
/// and clients.
class Site {
public:
    /// \brief A service, its upstreams (each beside a node of its own) and how often it is asked for.
    struct ServicePlan {
        std::string name;
        std::size_t upstreams = 1;
        std::size_t weight = 1; ///< of its requests among those of all services
    };

    struct Options {
        std::string root; ///< of the repository
        std::string folder; ///< temporary, for settings and logs
        std::vector<ServicePlan> services;
        double requestsPerSecond = 6; ///< of the clients of each machine
        Duration work = 20ms; ///< of an upstream on a request
        bool isIdempotent = true; ///< whether requests are
    };

    /// \brief Where the processes of a machine listen.
    struct Addresses {
        std::string callers;
        std::string control;
        std::string readiness;
        std::string app;
        std::string peers;
        std::string metrics;

        /// \returns addresses that nothing has.
        static Addresses free();
    };

    /// \brief A machine: a node, its upstream and its clients.
    struct Host {
        std::string name;
        std::string service;
        std::string zone;
        std::string settingsFile;
        Addresses addresses;
        std::unique_ptr<Upstream> upstream;
        support::ChildProcess node;
        bool isDown = false; ///< ended, and not started again yet
        bool isGone = false; ///< removed for good
        bool wasKilled = false; ///< by the case, since its last start
        unsigned ownEnds = 0;
        unsigned missedReadiness = 0;
        std::optional<Instant> firstReload;
        std::size_t reloads = 0; ///< signals that its settings have changed
        Instant started {};
        Timer restart;
        Timer reload;
        Timer nextRequest;
        std::unique_ptr<HttpPool> clients;
    };

    /// What clients saw of one service.
    struct Count {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;
    };

    Site(event_base* base, Options options, Record& record);

    std::vector<std::unique_ptr<Host>>& hosts() { return m_hosts; }
    std::vector<Host*> hostsOf(const std::string& service);
    /// \returns the machines that were not removed.
    std::vector<Host*> present();

    /// \brief Kills the nodes of \a hosts at the same moment. They are started again after a short delay.
    void kill(const std::vector<Host*>& hosts);

    /// \brief Removes the machine \a host for good, without a word, and adds one with the same service and
    /// zone at a new address.
    void replace(Host& host);
    /// \brief Adds a machine of \a service at the address that \a former had.
    void reuseAddress(const Host& former, const std::string& service);

    /// \brief Lets the deployment start to serve. \returns whether it then serves at least 0.9 of all
    /// requests.
    bool startToServe();

    /// \returns the part of the requests sent in the next \a length that is served.
    double servedShare(Duration length);

    /// \returns the part of all requests so far that was served.
    double servedShareSoFar();

    /// \brief From now on the settings file of \a hosts changes, with a SIGHUP, up to \a perSecond times a
    /// second, each time while their node handles a request.
    void startReloads(const std::vector<Host*>& hosts, double perSecond);

    /// \returns the requests that were run, whose connection ended with no answer, and that were sent up to 2
    /// s after a SIGHUP of their machine.
    std::uint64_t cutAfterReload() const { return m_cutAfterReload; }

    /// \brief The platform's store is down: it answers 503 and does nothing.
    void setStoreDown(bool isDown);

    /// \returns how many of the requests that are sent in the next \a length the upstream \a id runs.
    std::size_t runsAt(const std::string& id, Duration length);

    void pass(Duration length) const;

private:
    void addHost(const std::string& service, const std::string& zone, const Addresses& addresses);
    void writeSettings(const Host& host) const;
    void startNode(Host& host);
    void watch();
    void askReadiness(Host& host);
    void putConfiguration();
    void sendLater(Host& host);
    void reloadSoon(Host& host);
    void send(Host& host);
    /// \param countNumber of the count that the request belongs to; 0: none.
    void answered(const Host& host, const std::string& id, const std::string& service,
        std::uint64_t countNumber, const Result<HttpReply, HttpError>& reply);
    const std::string& nextService();
    bool getsClients(const Host& host) const;
    std::string routeOf(const std::string& service) const;

    event_base* m_base;
    Options m_options;
    Record* m_record;
    support::FakeStore m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, Count> m_counts;
    Count m_all; ///< of all services, since the start
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_cutAfterReload = 0;
    Duration m_reloadGap {};
    std::map<const Host*, Instant> m_reloaded; ///< hosts whose settings change, and when they last did
    Timer m_watch;
    Timer m_ready;
    bool m_hasTraffic = false;
    bool m_isCounting = false; ///< what is sent now
    std::uint64_t m_countNumber = 0;
    Random m_random { 1 };
};

} // namespace review
