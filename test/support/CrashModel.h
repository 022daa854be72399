#pragma once

#include "Core/Random.h"
#include "Crashes/CrashTracker.h"
#include "VirtualLoop.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief Simulates nodes with crash trackers, and servers that some requests crash, in virtual time over a
/// network that loses messages.
///
/// A report or acquittal reaches a node after a network delay, or, if it is lost, with the comparison that
/// nodes make every second. A node that restarts or was isolated receives everything afterwards. Runs with
/// the same seed are identical.
class CrashModel {
public:
    struct Options {
        std::size_t nodeCount = 13;
        std::size_t serverCount = 4;
        double lossProbability = 0.1; ///< Of a report or acquittal when it is first sent.
        Duration restartTime = 3s;
        Duration timeToCrash = 70ms;
    };

    /// Maximum time until a report reaches all connected nodes, as required of the product.
    static constexpr Duration maxPropagationDelay = 3s;

    CrashModel(std::uint64_t seed, Options options)
        : m_options(options)
        , m_random(seed)
        , m_nodes(options.nodeCount)
        , m_servers(options.serverCount)
    {
    }

    VirtualLoop& loop() { return m_loop; }
    Random& random() { return m_random; }
    Instant now() const { return m_loop.now(); }

    /// \brief Sends a request to a random node; up to \a attempts servers run it, one after the other.
    /// \param work time that the request takes; std::nullopt if it crashes its server instead.
    void sendRequest(ContentId content, std::optional<Duration> work, int attempts)
    {
        const auto node = m_random.below(m_nodes.size());
        ++m_requestCounts[content];
        startAttempt(node, content, work, attempts);
    }

    /// \brief Ends a server for a reason other than its requests.
    void killServer(std::size_t server)
    {
        if (m_servers[server].isUp)
            crashServer(server);
    }
    void killAllServers()
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            killServer(i);
    }

    /// \brief Restarts a node. It loses its state and receives it again from other nodes or the store.
    void restartNode(std::size_t node)
    {
        m_nodes[node].tracker = CrashTracker();
        m_loop.after(m_random.below(300) * 1ms, [this, node] { synchronizeNode(node); });
    }

    /// \brief Keeps all messages from a node for \a duration.
    void isolateNode(std::size_t node, Duration duration)
    {
        m_nodes[node].isolatedUntil = now() + duration;
        m_loop.after(duration + 500ms, [this, node] { synchronizeNode(node); });
    }

    /// \returns the number of runs of \a content that began after \a since and were sent by a connected node.
    std::size_t runsAfter(ContentId content, Instant since) const
    {
        std::size_t out = 0;
        for (const auto& it : m_startedRuns)
            out += it.content == content && it.startedAt > since && it.isSenderConnected ? 1 : 0;
        return out;
    }

    /// \returns the time at which \a content crashed its third server, if it did.
    std::optional<Instant> thirdCrashTime(ContentId content) const
    {
        const auto it = m_crashTimes.find(content);
        return it == m_crashTimes.end() || it->second.size() < 3 ? std::nullopt
                                                                 : std::optional(it->second[2]);
    }

    std::size_t requestCount(ContentId content) { return m_requestCounts[content]; }
    std::size_t successCount(ContentId content) { return m_successCounts[content]; }

    /// \returns the number of nodes that hold back \a content.
    std::size_t holdingNodeCount(ContentId content) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
            [&](const auto& it) { return it.tracker.holds().contains(content); }));
    }

private:
    struct Run {
        std::uint64_t id = 0;
        ContentId content = 0;
        Instant startedAt {};
        std::size_t node = 0;
        std::optional<Duration> workTime;
        int attemptsLeft = 0;
    };
    struct Server {
        bool isUp = true;
        std::vector<Run> running;
        std::set<ContentId> succeededContents;
    };
    struct Node {
        CrashTracker tracker;
        Instant isolatedUntil {};
    };
    struct StartedRun {
        ContentId content = 0;
        Instant startedAt {};
        bool isSenderConnected = true;
    };

    std::vector<std::string> hosts() const
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            out.push_back(std::to_string(i));
        return out;
    }

    void startAttempt(std::size_t node, ContentId content, std::optional<Duration> work, int attempts)
    {
        std::vector<std::size_t> upServers;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].isUp)
                upServers.push_back(i);
        }
        if (attempts == 0 || upServers.empty())
            return;
        auto server = upServers[m_random.below(upServers.size())];
        const auto verdict = m_nodes[node].tracker.verdictOf(content, now());
        if (verdict == CrashTracker::Verdict::Held)
            return;
        if (verdict == CrashTracker::Verdict::Trial)
            server = std::stoul(*trialHostOf(content, hosts()));
        m_loop.after(1ms + m_random.below(4) * 1ms, [this, node, server, content, work, attempts] {
            beginRun(server, { ++m_lastRunId, content, now(), node, work, attempts - 1 });
        });
    }

    void beginRun(std::size_t server, const Run& run)
    {
        auto& state = m_servers[server];
        // The owner is on the host of the server.
        const auto verdict = m_nodes[server].tracker.verdictOf(run.content, now());
        const bool isAlreadyRunning = std::any_of(state.running.begin(), state.running.end(),
            [&](const auto& it) { return it.content == run.content; });
        const bool mayTry = std::to_string(server) == *trialHostOf(run.content, hosts()) && !isAlreadyRunning;
        const bool isHeld
            = verdict == CrashTracker::Verdict::Held || (verdict == CrashTracker::Verdict::Trial && !mayTry);
        if (!state.isUp || isHeld)
            return;
        state.running.push_back(run);
        const bool isSenderConnected = m_nodes[run.node].isolatedUntil + maxPropagationDelay <= now();
        m_startedRuns.push_back({ run.content, now(), isSenderConnected });
        const auto duration = run.workTime.value_or(m_options.timeToCrash);
        m_loop.after(duration, [this, server, id = run.id] { endRun(server, id); });
    }

    void endRun(std::size_t server, std::uint64_t id)
    {
        auto& state = m_servers[server];
        const auto it = std::find_if(
            state.running.begin(), state.running.end(), [&](const auto& run) { return run.id == id; });
        if (it == state.running.end())
            return; // The server ended during the run.
        if (!it->workTime) {
            m_crashTimes[it->content].push_back(now());
            return crashServer(server);
        }
        ++m_successCounts[it->content];
        state.succeededContents.insert(it->content);
        if (const auto acquittal = m_nodes[server].tracker.acquittalOf(it->content)) {
            m_nodes[server].tracker.applyAcquittal(*acquittal);
            m_nodes[server].tracker.updateHolds();
            m_acquittals.push_back(*acquittal);
            broadcast([acquittal = *acquittal](CrashTracker& tracker) { tracker.applyAcquittal(acquittal); });
        }
        state.running.erase(it);
    }

    void crashServer(std::size_t server)
    {
        auto& state = m_servers[server];
        state.isUp = false;
        m_loop.after(m_options.restartTime, [this, server] { m_servers[server].isUp = true; });
        const auto running = std::exchange(state.running, {});
        proto::CrashReport report;
        report.set_id(m_random.bits());
        report.set_at_ms(static_cast<std::uint64_t>(now().time_since_epoch().count() / 1000));
        for (const auto& it : running) {
            auto& suspect = *report.add_suspects();
            suspect.set_content(it.content);
            suspect.set_ran_ms(static_cast<std::uint32_t>((now() - it.startedAt).count() / 1000));
            suspect.set_ended_well_before(state.succeededContents.contains(it.content));
            m_loop.after(
                2ms, [this, it] { startAttempt(it.node, it.content, it.workTime, it.attemptsLeft); });
        }
        if (running.empty())
            return;
        m_reports.push_back(report);
        m_loop.after(3ms, [this, server, report] {
            m_nodes[server].tracker.addReport(report, now());
            m_nodes[server].tracker.updateHolds();
        });
        broadcast([this, report](CrashTracker& tracker) { tracker.addReport(report, now()); });
    }

    template <class F> void broadcast(F f)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const bool isLost = m_random.unit() < m_options.lossProbability;
            const auto delay = isLost ? 1s + m_random.below(500) * 1ms : 5ms + m_random.below(60) * 1ms;
            m_loop.after(delay, [this, i, f] {
                if (m_nodes[i].isolatedUntil > now())
                    return;
                f(m_nodes[i].tracker);
                m_nodes[i].tracker.updateHolds();
            });
        }
    }

    void synchronizeNode(std::size_t node)
    {
        if (m_nodes[node].isolatedUntil > now())
            return;
        for (const auto& it : m_acquittals)
            m_nodes[node].tracker.applyAcquittal(it);
        for (const auto& it : m_reports)
            m_nodes[node].tracker.addReport(it, now());
        m_nodes[node].tracker.updateHolds();
    }

    Options m_options;
    VirtualLoop m_loop;
    Random m_random;
    std::vector<Node> m_nodes;
    std::vector<Server> m_servers;
    std::uint64_t m_lastRunId = 0;
    std::vector<StartedRun> m_startedRuns;
    std::map<ContentId, std::vector<Instant>> m_crashTimes;
    std::map<ContentId, std::size_t> m_requestCounts;
    std::map<ContentId, std::size_t> m_successCounts;
    std::vector<proto::CrashReport> m_reports;
    std::vector<proto::CrashAcquittal> m_acquittals;
};

} // namespace robinrun::support
