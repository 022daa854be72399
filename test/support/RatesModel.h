#pragma once

#include "Core/Random.h"
#include "Rates/RateKeeper.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief Nodes that keep rates, in virtual time, with messages that are late, lost or cut off. Calls that
/// are let through are noted with their time; that is all that the checks know.
struct RatesModel {
    struct Node {
        std::string name;
        std::uint64_t life = 0;
        std::unique_ptr<RateKeeper> keeper;
        std::deque<std::pair<Instant, std::string>> waiting; ///< calls that wait for a credit, until when
        int side = 0; ///< of a cut; only nodes of one side hear each other
        bool isFrozen = false;
    };
    struct Message {
        Instant at;
        std::size_t from;
        std::size_t to;
        std::uint64_t toLife;
        proto::PeerMessage body;
    };

    struct UnderWay {
        Instant until;
        std::size_t node;
        std::uint64_t life;
        std::string group;
        CreditPurse::Credit credit;
        bool isRefused;
    };

    static constexpr std::size_t capable = 8;
    static constexpr Duration patience = 100ms;

    RatesModel(std::size_t n, std::map<std::string, GroupRate> rates, std::uint64_t seed)
        : random(seed)
        , rates(std::move(rates))
    {
        for (std::size_t i = 0; i < n; ++i) {
            nodes.emplace_back();
            nodes.back().name = "n" + std::to_string(i);
        }
        for (std::size_t i = 0; i < n; ++i)
            restart(i);
    }

    /// \brief The first of the nodes have more capacity than the others, where there are many.
    std::vector<CreditHomes::Node> known() const
    {
        std::vector<CreditHomes::Node> out;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            out.push_back({ nodes[i].name, i < capable ? 0.5 : 0.1 });
        return out;
    }

    /// \brief The node starts anew with nothing in memory.
    void restart(std::size_t i)
    {
        auto& node = nodes[i];
        node.life = ++lastLife;
        node.waiting.clear();
        node.isFrozen = false;
        RateKeeper::Options options { node.name, node.life, terms };
        node.keeper = std::make_unique<RateKeeper>(
            options, [this, i](const std::string& to, proto::PeerMessage& message, Instant) {
                for (std::size_t k = 0; k < nodes.size(); ++k) {
                    if (nodes[k].name == to)
                        send(i, k, message);
                }
                return true;
            });
        node.keeper->setRates(rates);
        node.keeper->setNodes(known());
        node.keeper->onChanged([this, i](const auto&, Instant) { retryWaiting(i); });
    }

    void send(std::size_t from, std::size_t to, const proto::PeerMessage& body)
    {
        ++sent;
        sentBytes += body.ByteSizeLong();
        if (random.unit() < loss || nodes[from].side != nodes[to].side)
            return;
        const auto delay = fromSeconds(toSeconds(oneWay) * (1 + jitter * random.unit()));
        messages.push_back({ now + delay, from, to, nodes[to].life, body });
    }

    void deliver(const Message& message)
    {
        auto& node = nodes[message.to];
        const bool isCut = nodes[message.from].side != node.side;
        if (isCut || node.life != message.toLife)
            return;
        if (message.body.has_credit_grants())
            return node.keeper->takeGrants(nodes[message.from].name, message.body.credit_grants(), now);
        proto::PeerMessage answer;
        *answer.mutable_credit_grants()
            = node.keeper->takeAsk(nodes[message.from].life, message.body.credit_ask(), now);
        send(message.to, message.from, answer);
    }

    /// \brief A call of \a group comes to node \a i.
    void call(std::size_t i, const std::string& group)
    {
        ++asked[group];
        decide(i, group, now + patience, nodes[i].keeper->spend(group, now));
    }

    void decide(std::size_t i, const std::string& group, Instant until, const CreditPurse::Decision& decision)
    {
        switch (decision.verdict) {
        case CreditPurse::Verdict::Spent:
            underWay.push_back({ now + fromSeconds(runSeconds * random.unit()), i, nodes[i].life, group,
                decision.credit, random.unit() < refusedShare });
            if (!underWay.back().isRefused)
                ran[group].push_back(now);
            return;
        case CreditPurse::Verdict::Wait:
            ++waits;
            nodes[i].waiting.emplace_back(until, group);
            return;
        case CreditPurse::Verdict::Refused:
            ++refused[group];
        }
    }

    void retryWaiting(std::size_t i)
    {
        const auto waiting = std::move(nodes[i].waiting);
        nodes[i].waiting.clear();
        for (const auto& [until, group] : waiting)
            decide(i, group, until, nodes[i].keeper->retry(group, now));
    }

    void endCalls()
    {
        const auto isOver = [&](const UnderWay& it) { return it.until <= now; };
        for (const auto& it : underWay) {
            auto& node = nodes[it.node];
            if (!isOver(it) || node.life != it.life)
                continue;
            if (it.isRefused)
                node.keeper->giveBack(it.group, it.credit, now);
            else
                node.keeper->ran(it.group, it.credit);
        }
        std::erase_if(underWay, isOver);
    }

    /// \brief Lets 1 ms pass.
    void step()
    {
        now += 1ms;
        endCalls();
        std::vector<Message> due;
        const auto isDue = [&](const Message& it) { return it.at <= now && !nodes[it.to].isFrozen; };
        for (const auto& it : messages) {
            if (isDue(it))
                due.push_back(it);
        }
        std::erase_if(messages, isDue);
        for (const auto& it : due)
            deliver(it);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto& node = nodes[i];
            if (node.isFrozen)
                continue;
            const bool isTick = (now.time_since_epoch() / 1ms + static_cast<std::int64_t>(7 * i)) % 50 == 0;
            if (isTick)
                node.keeper->tick(now);
            while (!node.waiting.empty() && node.waiting.front().first <= now) {
                ++refused[node.waiting.front().second];
                node.waiting.pop_front();
            }
        }
    }

    /// \returns the most calls of \a group that ran in any window.
    std::size_t mostInWindow(const std::string& group) const
    {
        const auto found = ran.find(group);
        if (found == ran.end())
            return 0;
        std::size_t most = 0;
        std::size_t first = 0;
        const auto& times = found->second;
        for (std::size_t i = 0; i < times.size(); ++i) {
            while (times[i] - times[first] >= terms.window)
                ++first;
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    /// \returns how many calls of \a group ran since \a from.
    std::size_t ranSince(const std::string& group, Instant from) const
    {
        const auto found = ran.find(group);
        if (found == ran.end())
            return 0;
        const auto isLater = [&](Instant it) { return it >= from; };
        return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), isLater));
    }

    Random random;
    std::map<std::string, GroupRate> rates;
    RateTerms terms;
    Duration oneWay = 2ms;
    double jitter = 0.3;
    double loss = 0;
    double refusedShare = 0; ///< of the calls that were let through, that don't run
    double runSeconds = 0.5; ///< that calls take at most
    std::vector<UnderWay> underWay;
    Instant now { 1s };
    std::vector<Node> nodes;
    std::vector<Message> messages;
    std::uint64_t lastLife = 0;
    std::map<std::string, std::vector<Instant>> ran;
    std::map<std::string, std::size_t> asked;
    std::map<std::string, std::size_t> refused;
    std::size_t waits = 0;
    std::size_t sent = 0;
    std::size_t sentBytes = 0;
};

} // namespace robinrun::support
