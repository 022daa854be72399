#pragma once

#include "Core/Random.h"
#include "starvation/CpuQuota.h"
#include "starvation/SlowServer.h"
#include "support/ChildProcess.h"
#include "support/FakeStore.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun::starvation {

/// \brief A calling group and the calls a second that all its callers together make.
struct CallingGroup {
    std::string name;
    std::string key;
    double callsPerSecond = 0;
};

/// \brief A class of calls and the route that carries it.
struct CallKind {
    std::string name; ///< Also the first part of the path.
    std::string service;
    bool isRepeatable = true;
    double shareOfCalls = 0;
    Duration target {};
    Duration deadline {};
    Duration work {}; ///< Mean slot time at a backend server.
    std::size_t replyBytes = 0;
    double nestedShare = 0; ///< Share of the runs that make nested calls.
    unsigned nestedCalls = 0; ///< Of such a run, one after the other.
};

/// \brief What a deployment consists of.
struct DeploymentPlan {
    std::string root; ///< Of the repository; holds the built node and the settings template.
    std::string program; ///< The node.
    std::string folder; ///< Temporary folder for settings and logs.
    std::size_t hosts = 74;
    std::size_t largeHosts = 8; ///< The first ones; the others have a fifth of their processor share.
    std::size_t servedByLast = 12; ///< Number of hosts, at the end, of the service that nested calls go to.
    std::size_t dataHalls = 4;
    std::size_t groups = 79;
    double groupSkew = 1.2; ///< Exponent of the sizes of groups (Zipf).
    double callsPerSecond = 630;
    double rateFactor = 1.6; ///< Rate limit of a group, as a multiple of what it sends.
    double processorFactor = 0; ///< Each node is held to this times its share of a core; 0: to none.
};

/// \returns the kinds of calls; the last one is made by backend servers only.
const std::vector<CallKind>& callKinds();

/// \brief Real nodes as processes on loopback, one beside each backend server, with settings made from the
/// template of the deploy folder. The store and the backend servers are stand-ins in this process.
class Deployment {
public:
    struct Host {
        std::string name;
        std::string dataHall;
        std::string callers; ///< Address of the node for its callers.
        std::string metrics;
        std::string readiness;
        std::string settingsFile;
        double cpuShare = 0;
        bool isReady = false;
        bool isLost = false; ///< It will not come back, and has no callers.
        std::unique_ptr<SlowServer> server;
        support::ChildProcess node;
        Timer restart;
    };

    Deployment(event_base* base, DeploymentPlan plan, std::uint64_t seed, NestedCounts& nested);

    event_base* base() const { return m_base; }
    const DeploymentPlan& plan() const { return m_plan; }
    std::vector<std::unique_ptr<Host>>& hosts() { return m_hosts; }
    const std::vector<CallingGroup>& groups() const { return m_groups; }

    /// \brief Kills the node with SIGKILL and starts it again after \a pause.
    void kill(Host& host, Duration pause);
    /// \brief Takes the host away for good, without notice: node, backend server and callers.
    void lose(Host& host);
    /// \brief Stops the node with SIGTERM and starts it again when it has ended.
    void restart(Host& host);
    /// \brief Writes the same groups and routes as a new version.
    void changeConfiguration();
    bool areAllReady() const;
    std::size_t quotaStops() const { return m_quota.stopCount(); }
    /// \brief Runs the loop for \a length.
    void pass(Duration length);

private:
    void addHost(std::size_t i);
    void startNode(Host& host);
    void askReadiness(Host& host);
    void holdToQuota(Instant now);

    event_base* m_base;
    DeploymentPlan m_plan;
    Random m_random;
    NestedCounts* m_nested;
    support::FakeStore m_store;
    std::vector<CallingGroup> m_groups;
    std::vector<std::unique_ptr<Host>> m_hosts;
    CpuQuota m_quota;
    std::uint64_t m_version = 0;
    Timer m_ask;
    Timer m_quotaTimer;
};

} // namespace robinrun::starvation
