#pragma once

#include "Core/Random.h"
#include "Crashes/CrashLedger.h"
#include "VirtualLoop.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief Nodes with their ledgers, and servers that some requests crash, in virtual time over a network that
/// loses news.
///
/// Reports and acquittals reach a node after a way of the network, or by the comparison that contacts make
/// each second if they were lost. A node that starts again, or was cut off, hears all when it is back. The
/// same seed gives the same run.
class CrashModel {
public:
    struct Options {
        std::size_t nodes = 13;
        std::size_t servers = 4;
        double loss = 0.1; ///< of news on its first way
        Duration downFor = 3s;
        Duration crashAfter = 70ms;
    };

    /// Bound of the deployments on news between nodes in touch.
    static constexpr Duration inTouch = 3s;

    CrashModel(std::uint64_t seed, Options options)
        : m_options(options)
        , m_random(seed)
        , m_nodes(options.nodes)
        , m_servers(options.servers)
    {
    }

    VirtualLoop& loop() { return m_loop; }
    Random& random() { return m_random; }
    Instant now() const { return m_loop.now(); }

    /// \brief A request comes to a node: up to \a attempts servers run it, one after the other.
    /// \param work how long it takes where it crashes nothing; nothing for one that crashes servers.
    void request(ContentId content, std::optional<Duration> work, int attempts)
    {
        const auto node = m_random.below(m_nodes.size());
        ++m_asked[content];
        attempt(node, content, work, attempts);
    }

    /// \brief A server ends for another cause.
    void kill(std::size_t server)
    {
        if (m_servers[server].isUp)
            crash(server);
    }
    void killAll()
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            kill(i);
    }

    /// \brief A node starts again: what it knew is gone, and is heard again from others or the store.
    void restart(std::size_t node)
    {
        m_nodes[node].ledger = CrashLedger();
        m_loop.after(m_random.below(300) * 1ms, [this, node] { hearAll(node); });
    }

    /// \brief A node hears nothing for \a length.
    void cutOff(std::size_t node, Duration length)
    {
        m_nodes[node].cutUntil = now() + length;
        m_loop.after(length + 500ms, [this, node] { hearAll(node); });
    }

    /// \returns how often a node in touch has sent \a content to a server that began it, after \a since.
    std::size_t deliveriesAfter(ContentId content, Instant since) const
    {
        std::size_t out = 0;
        for (const auto& it : m_deliveries)
            out += it.content == content && it.at > since && it.isInTouch ? 1 : 0;
        return out;
    }

    /// \returns when \a content has crashed its third server, if it has.
    std::optional<Instant> thirdCrashBy(ContentId content) const
    {
        const auto it = m_crashesBy.find(content);
        return it == m_crashesBy.end() || it->second.size() < 3 ? std::nullopt : std::optional(it->second[2]);
    }

    std::size_t asked(ContentId content) { return m_asked[content]; }
    std::size_t served(ContentId content) { return m_served[content]; }

    /// \returns at how many nodes \a content is held back.
    std::size_t holding(ContentId content) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
            [&](const auto& it) { return it.ledger.holds().contains(content); }));
    }

private:
    struct Run {
        std::uint64_t id = 0;
        ContentId content = 0;
        Instant started {};
        std::size_t node = 0;
        std::optional<Duration> work;
        int attemptsLeft = 0;
    };
    struct Server {
        bool isUp = true;
        std::vector<Run> running;
        std::set<ContentId> goodBefore;
    };
    struct Node {
        CrashLedger ledger;
        Instant cutUntil {};
    };
    struct Delivery {
        ContentId content = 0;
        Instant at {};
        bool isInTouch = true;
    };

    std::vector<std::string> hosts() const
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            out.push_back(std::to_string(i));
        return out;
    }

    void attempt(std::size_t node, ContentId content, std::optional<Duration> work, int attempts)
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].isUp)
                up.push_back(i);
        }
        if (attempts == 0 || up.empty())
            return;
        auto server = up[m_random.below(up.size())];
        const auto verdict = m_nodes[node].ledger.verdictOf(content, now());
        if (verdict == CrashLedger::Verdict::Held)
            return;
        if (verdict == CrashLedger::Verdict::Trial)
            server = std::stoul(*trialHostOf(content, hosts()));
        m_loop.after(1ms + m_random.below(4) * 1ms, [this, node, server, content, work, attempts] {
            begin(server, { ++m_lastRun, content, now(), node, work, attempts - 1 });
        });
    }

    void begin(std::size_t server, const Run& run)
    {
        auto& at = m_servers[server];
        const auto verdict = m_nodes[server].ledger.verdictOf(run.content, now()); // the owner's node
        const bool isTried = std::any_of(
            at.running.begin(), at.running.end(), [&](const auto& it) { return it.content == run.content; });
        const bool mayTry = std::to_string(server) == *trialHostOf(run.content, hosts()) && !isTried;
        const bool isHeld
            = verdict == CrashLedger::Verdict::Held || (verdict == CrashLedger::Verdict::Trial && !mayTry);
        if (!at.isUp || isHeld)
            return;
        at.running.push_back(run);
        const bool isInTouch = m_nodes[run.node].cutUntil + inTouch <= now();
        m_deliveries.push_back({ run.content, now(), isInTouch });
        const auto length = run.work.value_or(m_options.crashAfter);
        m_loop.after(length, [this, server, id = run.id] { end(server, id); });
    }

    void end(std::size_t server, std::uint64_t id)
    {
        auto& at = m_servers[server];
        const auto it = std::find_if(
            at.running.begin(), at.running.end(), [&](const auto& run) { return run.id == id; });
        if (it == at.running.end())
            return; // its server has ended under it
        if (!it->work) {
            m_crashesBy[it->content].push_back(now());
            return crash(server);
        }
        ++m_served[it->content];
        at.goodBefore.insert(it->content);
        if (const auto acquittal = m_nodes[server].ledger.acquittalOf(it->content)) {
            m_nodes[server].ledger.acquit(*acquittal);
            m_nodes[server].ledger.judge();
            m_acquittals.push_back(*acquittal);
            spread([acquittal = *acquittal](CrashLedger& ledger) { ledger.acquit(acquittal); });
        }
        at.running.erase(it);
    }

    void crash(std::size_t server)
    {
        auto& at = m_servers[server];
        at.isUp = false;
        m_loop.after(m_options.downFor, [this, server] { m_servers[server].isUp = true; });
        const auto running = std::exchange(at.running, {});
        proto::CrashReport report;
        report.set_id(m_random.bits());
        report.set_at_ms(static_cast<std::uint64_t>(now().time_since_epoch().count() / 1000));
        for (const auto& it : running) {
            auto& suspect = *report.add_suspects();
            suspect.set_content(it.content);
            suspect.set_ran_ms(static_cast<std::uint32_t>((now() - it.started).count() / 1000));
            suspect.set_ended_well_before(at.goodBefore.contains(it.content));
            m_loop.after(2ms, [this, it] { attempt(it.node, it.content, it.work, it.attemptsLeft); });
        }
        if (running.empty())
            return;
        m_reports.push_back(report);
        m_loop.after(3ms, [this, server, report] {
            m_nodes[server].ledger.take(report, now());
            m_nodes[server].ledger.judge();
        });
        spread([this, report](CrashLedger& ledger) { ledger.take(report, now()); });
    }

    template <class F> void spread(F f)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const bool isLost = m_random.unit() < m_options.loss;
            const auto delay = isLost ? 1s + m_random.below(500) * 1ms : 5ms + m_random.below(60) * 1ms;
            m_loop.after(delay, [this, i, f] {
                if (m_nodes[i].cutUntil > now())
                    return;
                f(m_nodes[i].ledger);
                m_nodes[i].ledger.judge();
            });
        }
    }

    void hearAll(std::size_t node)
    {
        if (m_nodes[node].cutUntil > now())
            return;
        for (const auto& it : m_acquittals)
            m_nodes[node].ledger.acquit(it);
        for (const auto& it : m_reports)
            m_nodes[node].ledger.take(it, now());
        m_nodes[node].ledger.judge();
    }

    Options m_options;
    VirtualLoop m_loop;
    Random m_random;
    std::vector<Node> m_nodes;
    std::vector<Server> m_servers;
    std::uint64_t m_lastRun = 0;
    std::vector<Delivery> m_deliveries;
    std::map<ContentId, std::vector<Instant>> m_crashesBy;
    std::map<ContentId, std::size_t> m_asked;
    std::map<ContentId, std::size_t> m_served;
    std::vector<proto::CrashReport> m_reports;
    std::vector<proto::CrashAcquittal> m_acquittals;
};

} // namespace robinrun::support
