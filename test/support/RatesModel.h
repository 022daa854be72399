#pragma once

#include "Core/Random.h"
#include "Rates/GroupRateLimiter.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief Simulates nodes with rate limiters in virtual time, over a network that delays, loses and blocks
/// messages. Records the time of each call that runs, for the checks of the tests.
struct RatesModel {
    struct Node {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<GroupRateLimiter> limiter;
        /// Time limit and group of each call that waits for a credit.
        std::deque<std::pair<Instant, std::string>> waitingCalls;
        int partition = 0; ///< Only nodes of the same partition receive each other's messages.
        bool isFrozen = false;
        bool isConnecting = false; ///< Links to it are being opened: nothing can be sent to it.
    };
    struct Message {
        Instant arrivesAt;
        std::size_t from;
        std::size_t to;
        std::uint64_t toIncarnation;
        proto::PeerMessage body;
    };

    struct RunningCall {
        Instant endsAt;
        std::size_t node;
        std::uint64_t incarnation;
        std::string group;
        CreditBorrower::Credit credit;
        bool isRefused;
    };

    static constexpr std::size_t largeNodeCount = 8;
    static constexpr Duration creditWaitTimeout = 100ms;

    RatesModel(std::size_t nodeCount, std::map<std::string, GroupRate> rates, std::uint64_t seed)
        : random(seed)
        , rates(std::move(rates))
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            nodes.emplace_back();
            nodes.back().name = "n" + std::to_string(i);
        }
        for (std::size_t i = 0; i < nodeCount; ++i)
            restartNode(i);
    }

    /// \returns all nodes; the first \a largeNodeCount of them have more capacity than the others.
    std::vector<LenderAssignment::Node> nodeCapacities() const
    {
        std::vector<LenderAssignment::Node> out;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            out.push_back({ nodes[i].name, i < largeNodeCount ? 0.5 : 0.1 });
        return out;
    }

    /// \brief Restarts the node; it loses all its state.
    void restartNode(std::size_t i)
    {
        auto& node = nodes[i];
        node.incarnation = ++lastIncarnation;
        node.waitingCalls.clear();
        node.isFrozen = false;
        GroupRateLimiter::Options options { node.name, node.incarnation, tolerance };
        node.limiter = std::make_unique<GroupRateLimiter>(
            options, [this, i](const std::string& to, proto::PeerMessage& message, Instant) {
                for (std::size_t k = 0; k < nodes.size(); ++k) {
                    if (nodes[k].name != to)
                        continue;
                    if (nodes[k].isConnecting)
                        return false;
                    send(i, k, message);
                }
                return true;
            });
        node.limiter->setRates(rates);
        node.limiter->setNodes(nodeCapacities());
        node.limiter->setCreditsChangedHandler([this, i](const auto&, Instant) { retryWaitingCalls(i); });
    }

    void send(std::size_t from, std::size_t to, const proto::PeerMessage& body)
    {
        ++sentMessages;
        sentBytes += body.ByteSizeLong();
        if (random.unit() < lossProbability || nodes[from].partition != nodes[to].partition)
            return;
        const auto delay = fromSeconds(toSeconds(oneWayDelay) * (1 + maxJitterFraction * random.unit()));
        messages.push_back({ now + delay, from, to, nodes[to].incarnation, body });
    }

    void deliver(const Message& message)
    {
        auto& node = nodes[message.to];
        const bool isCut = nodes[message.from].partition != node.partition;
        if (isCut || node.incarnation != message.toIncarnation)
            return;
        if (message.body.has_credit_grants())
            return node.limiter->addGrants(nodes[message.from].name, message.body.credit_grants(), now);
        proto::PeerMessage answer;
        *answer.mutable_credit_grants()
            = node.limiter->lendCredits(nodes[message.from].incarnation, message.body.credit_ask(), now);
        send(message.to, message.from, answer);
    }

    /// \brief Starts a call of \a group at node \a i.
    void startCall(std::size_t i, const std::string& group)
    {
        ++callCounts[group];
        handleDecision(i, group, now + creditWaitTimeout, nodes[i].limiter->acquire(group, now));
    }

    void handleDecision(
        std::size_t i, const std::string& group, Instant until, const CreditBorrower::Decision& decision)
    {
        switch (decision.verdict) {
        case CreditBorrower::Verdict::Allowed:
            runningCalls.push_back({ now + fromSeconds(maxRunSeconds * random.unit()), i,
                nodes[i].incarnation, group, decision.credit, random.unit() < refusedFraction });
            if (!runningCalls.back().isRefused)
                runTimes[group].push_back(now);
            return;
        case CreditBorrower::Verdict::Wait:
            ++waitCount;
            nodes[i].waitingCalls.emplace_back(until, group);
            return;
        case CreditBorrower::Verdict::Refused:
            ++refusedCounts[group];
        }
    }

    void retryWaitingCalls(std::size_t i)
    {
        const auto waitingCalls = std::move(nodes[i].waitingCalls);
        nodes[i].waitingCalls.clear();
        for (const auto& [until, group] : waitingCalls)
            handleDecision(i, group, until, nodes[i].limiter->retryAcquire(group, now));
    }

    void endDueCalls()
    {
        const auto hasEnded = [&](const RunningCall& it) { return it.endsAt <= now; };
        for (const auto& it : runningCalls) {
            auto& node = nodes[it.node];
            if (!hasEnded(it) || node.incarnation != it.incarnation)
                continue;
            if (it.isRefused)
                node.limiter->returnCredit(it.group, it.credit, now);
            else
                node.limiter->onCallRan(it.group, it.credit);
        }
        std::erase_if(runningCalls, hasEnded);
    }

    /// \brief Advances the simulation by 1 ms.
    void step()
    {
        now += 1ms;
        endDueCalls();
        std::vector<Message> dueMessages;
        const auto isDue = [&](const Message& it) { return it.arrivesAt <= now && !nodes[it.to].isFrozen; };
        for (const auto& it : messages) {
            if (isDue(it))
                dueMessages.push_back(it);
        }
        std::erase_if(messages, isDue);
        for (const auto& it : dueMessages)
            deliver(it);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto& node = nodes[i];
            if (node.isFrozen)
                continue;
            const bool isTickDue
                = (now.time_since_epoch() / 1ms + static_cast<std::int64_t>(7 * i)) % 50 == 0;
            if (isTickDue)
                node.limiter->tick(now);
            while (!node.waitingCalls.empty() && node.waitingCalls.front().first <= now) {
                ++refusedCounts[node.waitingCalls.front().second];
                node.waitingCalls.pop_front();
            }
        }
    }

    /// \returns the maximum number of calls of \a group that ran in any window.
    std::size_t maxRunsInWindow(const std::string& group) const
    {
        const auto found = runTimes.find(group);
        if (found == runTimes.end())
            return 0;
        std::size_t maxRuns = 0;
        std::size_t first = 0;
        const auto& times = found->second;
        for (std::size_t i = 0; i < times.size(); ++i) {
            while (times[i] - times[first] >= tolerance.window)
                ++first;
            maxRuns = std::max(maxRuns, i - first + 1);
        }
        return maxRuns;
    }

    /// \returns the number of calls of \a group that ran since \a from.
    std::size_t runsSince(const std::string& group, Instant from) const
    {
        const auto found = runTimes.find(group);
        if (found == runTimes.end())
            return 0;
        const auto isLater = [&](Instant it) { return it >= from; };
        return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), isLater));
    }

    Random random;
    std::map<std::string, GroupRate> rates;
    RateTolerance tolerance;
    Duration oneWayDelay = 2ms;
    double maxJitterFraction = 0.3;
    double lossProbability = 0;
    double refusedFraction = 0; ///< Fraction of the calls with a credit that are refused later and don't run.
    double maxRunSeconds = 0.5;
    std::vector<RunningCall> runningCalls;
    Instant now { 1s };
    std::vector<Node> nodes;
    std::vector<Message> messages;
    std::uint64_t lastIncarnation = 0;
    std::map<std::string, std::vector<Instant>> runTimes;
    std::map<std::string, std::size_t> callCounts;
    std::map<std::string, std::size_t> refusedCounts;
    std::size_t waitCount = 0;
    std::size_t sentMessages = 0;
    std::size_t sentBytes = 0;
};

} // namespace robinrun::support
