#pragma once

#include "Core/Random.h"
#include "Rollout/RolloutJudge.h"
#include "Rollout/RolloutSchedule.h"
#include "Rollout/RolloutTable.h"
#include "Rollout/ServerVersions.h"
#include "Rollout/VersionEvidence.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \brief Simulates a roll-out of one service in virtual time: nodes that send calls and own backend servers,
/// reports to the judging nodes, phases that reach the other nodes late, and a store that takes one end.
///
/// It uses the decisions of the Rollout module and nothing of the network. The bounds on a faulty version are
/// counted from outside, over all nodes.
class RolloutModel {
public:
    struct Fault {
        double failing = 0; ///< share of the target version's answers that are errors
        double slower = 1; ///< factor on the target version's time per call
        Duration after {}; ///< time from the order until the fault shows
        bool isUnderLoad = false; ///< shows only at a server that runs another call
        bool isOneRoute = false; ///< shows only on one of four routes

        bool isAny() const { return failing > 0 || slower > 1; }
    };
    struct Options {
        Fault fault {};
        double callsPerSecond = 200;
        std::size_t nodes = 60;
        std::size_t servers = 20; ///< of each version
        Duration duration = 15s;
        double commonFailures = 0.002; ///< share of errors of both versions
        double logDeviation = 0.6; ///< standard deviation of the logarithm of a call's time
        std::size_t badServers = 0; ///< of the target version that fail half of their calls by themselves
        std::size_t judges = 3;
        Duration judgeLossInterval {}; ///< a judge is replaced by a new one each such time; 0: never
    };
    struct Outcome {
        RolloutPhase phase = RolloutPhase::Observing;
        Duration endedAfter {}; ///< from the order
        double targetCalls = 0; ///< before the deadline
        double calls = 0; ///< of the service before the deadline
        std::uint64_t badAnswers = 0;
        double lateCalls = 0; ///< to a faulty version more than `rollbackTime` after its 50th bad answer
        std::string cause;

        bool isOverExposed(const RolloutBounds& bounds) const
        {
            return targetCalls > bounds.share * calls + bounds.slack || lateCalls > 0;
        }
    };

    static constexpr Duration step = 10ms;
    static constexpr Duration rollbackTime = 5s;
    static constexpr std::uint64_t countedBadAnswers = 50;
    static constexpr double meanSeconds = 0.25;
    static constexpr std::size_t routes = 4;

    RolloutModel(std::uint64_t seed, Options options)
        : m_options(options)
        , m_random(seed)
        , m_tables(options.nodes, RolloutTable(bounds))
        , m_servers(2 * options.servers)
    {
        m_order = { "shop", "v2", options.duration, { 0, 7 } };
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            auto& it = m_servers[i];
            it.name = "s" + std::to_string(i);
            it.isTarget = i >= options.servers;
            it.isBad = it.isTarget && i - options.servers < options.badServers;
            it.owner = i % options.nodes;
        }
        for (std::size_t i = 0; i < options.judges; ++i)
            m_judges.push_back({ i % options.nodes, RolloutJudge(m_order, bounds) });
        KeyedPage page;
        page.records.push_back({ "rollout/shop", "order", m_order.position });
        page.next = { 0, 8 };
        const RolloutTable::Parsers parsers { [](std::string_view) { return std::string("shop"); },
            [this](const std::string&, std::string_view) -> Result<RolloutOrder, std::string> {
                return m_order;
            },
            [](const std::string&, const std::string&) {} };
        for (auto& it : m_tables)
            it.applyPage(page, parsers, m_now);
    }

    /// \brief Plays the roll-out to some time after its deadline.
    Outcome run()
    {
        const auto end = m_options.duration + 2s;
        for (; m_now - Instant {} < end; m_now += step) {
            deliverDue();
            endDueCalls();
            startCalls();
            report();
            judge();
        }
        m_outcome.phase = m_stored.value_or(m_tables.front().find("shop")->phase);
        m_outcome.cause = m_cause;
        return m_outcome;
    }

    inline static const RolloutBounds bounds { 0.1, 50 };

private:
    struct Server {
        std::string name;
        bool isTarget = false;
        bool isBad = false;
        std::size_t owner = 0;
        std::uint32_t running = 0;
        VersionEvidence evidence {};
        std::uint64_t reportedFailures = 0;
        Instant reportedAt {};
    };
    struct RunningCall {
        Instant end;
        std::size_t server;
        std::size_t route;
        Duration length;
        bool isFailure;
        bool operator>(const RunningCall& other) const { return end > other.end; }
    };
    struct Delivery {
        Instant at;
        std::size_t node;
        proto::RolloutRecords records;
        bool operator>(const Delivery& other) const { return at > other.at; }
    };
    struct Judge {
        std::size_t node;
        RolloutJudge judge;
    };

    const RolloutTable::Entry& entryAt(std::size_t node) { return *m_tables[node].find("shop"); }

    void startCalls()
    {
        const auto stepEnd = m_now + step;
        for (; m_nextCall < stepEnd;
             m_nextCall += fromSeconds(m_random.exponential(1 / m_options.callsPerSecond)))
            startCall(m_random.below(m_options.nodes));
    }

    void startCall(std::size_t node)
    {
        const auto& entry = entryAt(node);
        const bool isForTarget = m_random.unit() < entry.shareAt(m_now);
        const auto server = isForTarget ? pickTarget(entry) : m_random.below(m_options.servers);
        auto& it = m_servers[server];
        const auto& known = entryAt(it.owner);
        // An owner that knows better refuses the call, which then goes to the other version.
        const bool isRefused
            = it.isTarget ? known.phase == RolloutPhase::RolledBack : known.phase == RolloutPhase::Switching;
        run(isRefused ? (it.isTarget ? m_random.below(m_options.servers)
                                     : m_options.servers + m_random.below(m_options.servers))
                      : server);
    }

    std::size_t pickTarget(const RolloutTable::Entry& entry)
    {
        if (entry.phase != RolloutPhase::Observing)
            return m_options.servers + m_random.below(m_options.servers);
        const auto n = rolloutSchedule::observedServers(m_options.servers, entry.observedShare);
        return m_options.servers + m_random.below(n);
    }

    void run(std::size_t server)
    {
        auto& it = m_servers[server];
        const auto sinceOrder = m_now - Instant {};
        if (sinceOrder < m_options.duration) {
            ++m_outcome.calls;
            m_outcome.targetCalls += it.isTarget;
        }
        if (it.isTarget && m_options.fault.isAny() && m_fiftiethBadAt
            && m_now > *m_fiftiethBadAt + rollbackTime)
            ++m_outcome.lateCalls;
        const auto route = m_random.below(routes);
        const auto& fault = m_options.fault;
        const bool isFaulty = it.isTarget && sinceOrder >= fault.after
            && (!fault.isUnderLoad || it.running > 0) && (!fault.isOneRoute || route == 0);
        double seconds = meanSeconds * std::exp(m_options.logDeviation * m_random.normal());
        if (isFaulty)
            seconds *= fault.slower;
        const bool isFailure = m_random.unit() < m_options.commonFailures
            || (isFaulty && m_random.unit() < fault.failing) || (it.isBad && m_random.unit() < 0.5);
        const bool isBadAnswer = isFaulty && (isFailure || fault.slower > 1);
        ++it.running;
        m_calls.push({ m_now + fromSeconds(seconds), server, route, fromSeconds(seconds), isFailure });
        if (isBadAnswer)
            m_badEnds.push(m_now + fromSeconds(seconds));
    }

    void endDueCalls()
    {
        while (!m_badEnds.empty() && m_badEnds.top() <= m_now) {
            m_badEnds.pop();
            if (++m_outcome.badAnswers == countedBadAnswers)
                m_fiftiethBadAt = m_now;
        }
        while (!m_calls.empty() && m_calls.top().end <= m_now) {
            const auto call = m_calls.top();
            m_calls.pop();
            auto& it = m_servers[call.server];
            --it.running;
            it.evidence.recordAnswer("r" + std::to_string(call.route), call.length, call.isFailure);
        }
    }

    void report()
    {
        for (auto& it : m_servers) {
            const bool hasNew = it.evidence.failures() > it.reportedFailures;
            if (m_now - it.reportedAt < (hasNew ? Duration(100ms) : Duration(500ms)))
                continue;
            it.reportedAt = m_now;
            it.reportedFailures = it.evidence.failures();
            proto::VersionReport out;
            out.set_upstream(it.name);
            out.set_version(it.isTarget ? "v2" : "v1");
            out.set_in_flight(it.running);
            out.set_phase(static_cast<std::uint32_t>(entryAt(it.owner).phase));
            it.evidence.addTo(out);
            for (auto& judge : m_judges)
                judge.judge.addReport(out, m_now);
        }
    }

    std::vector<RolloutJudge::Server> servers() const
    {
        std::vector<RolloutJudge::Server> out;
        for (const auto& it : m_servers)
            out.push_back({ it.name, it.isTarget ? "v2" : "v1", 8, true });
        return out;
    }

    void judge()
    {
        if (m_stored)
            return;
        replaceLostJudge();
        for (auto& it : m_judges) {
            auto& table = m_tables[it.node];
            const auto decision = it.judge.decide(*table.find("shop"), servers(), m_now);
            if (decision.observedShare)
                table.raiseObservedShare(m_order.id(), *decision.observedShare);
            if (decision.phase && *decision.phase != RolloutPhase::Completed
                && table.advance(m_order.id(), *decision.phase, decision.cause, m_now))
                tellFrom(it.node);
            const auto wanted = decision.phase.value_or(table.find("shop")->phase);
            if (!isFinal(wanted) || m_stored)
                continue;
            // The store takes the first end.
            m_stored = wanted;
            m_cause = decision.cause;
            m_outcome.endedAfter = m_now - Instant {};
            table.setStatusWritten(m_order.id(), outcomeOf(wanted), m_now);
            tellFrom(it.node);
        }
        if (m_now >= m_nextTell) {
            m_nextTell = m_now + 1s;
            tellFrom(m_judges.front().node);
        }
    }

    void replaceLostJudge()
    {
        if (m_options.judgeLossInterval <= Duration::zero() || m_now < m_nextJudgeLoss)
            return;
        m_nextJudgeLoss = m_now + m_options.judgeLossInterval;
        m_judges.erase(m_judges.begin());
        m_judges.push_back({ m_random.below(m_options.nodes), RolloutJudge(m_order, bounds) });
    }

    void tellFrom(std::size_t node)
    {
        const auto records = m_tables[node].records(true, m_now);
        for (std::size_t i = 0; i < m_options.nodes; ++i) {
            if (i != node && !m_random.chance(lossRate))
                m_deliveries.push({ m_now + 5ms + Duration(m_random.below(75000)), i, records });
        }
    }

    void deliverDue()
    {
        while (!m_deliveries.empty() && m_deliveries.top().at <= m_now) {
            const auto it = m_deliveries.top();
            m_deliveries.pop();
            for (const auto& record : it.records.records())
                m_tables[it.node].applyRecord(record, m_now);
        }
    }

    static constexpr double lossRate = 0.02;

    Options m_options;
    Random m_random;
    RolloutOrder m_order;
    Instant m_now {};
    std::vector<RolloutTable> m_tables; ///< by node
    std::vector<Server> m_servers; ///< those of the former version first
    std::vector<Judge> m_judges;
    Instant m_nextCall {};
    Instant m_nextTell {};
    Instant m_nextJudgeLoss {};
    std::priority_queue<RunningCall, std::vector<RunningCall>, std::greater<>> m_calls;
    std::priority_queue<Instant, std::vector<Instant>, std::greater<>> m_badEnds;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_deliveries;
    std::optional<Instant> m_fiftiethBadAt;
    std::optional<RolloutPhase> m_stored;
    std::string m_cause;
    Outcome m_outcome;
};

} // namespace robinrun::support
