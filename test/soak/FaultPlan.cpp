#include "soak/FaultPlan.h"

#include <csignal>
#include <iterator>
#include <string_view>
#include <utility>

namespace robinrun::soak {
namespace {

    using support::FakeStore;
    using support::FaultProxy;
    using support::LinkFault;

    constexpr Duration shortestGap = 50ms;
    constexpr Duration longestGap = 700ms;
    constexpr Duration shortestFault = 100ms;
    constexpr Duration longestFault = 3s;
    constexpr double slowFactor = 6;
    constexpr double shareOfForgotten = 0.4; ///< of the faults of links between nodes
    constexpr Duration shortestGapBeside = 300ms;
    constexpr Duration longestGapBeside = 2s;
    constexpr double shareOfFreezes = 0.3; ///< of what comes beside
    constexpr Duration shortestFreeze = 200ms;
    constexpr Duration longestFreeze = 10s;
    constexpr double shareOfCopies = 0.3; ///< of what the operator and the store do
    constexpr double shareOfReturns = 0.3;
    constexpr double shareOfEmptied = 0.4; ///< of the words on halls; the others take one back
    constexpr double shareOfLeaving = 0.25; ///< of the statements of backend servers
    constexpr std::string_view limits[] = { "", "0", "0.5", "2", "8" }; ///< requests a second; "": none
    constexpr Duration shortestGapOfStatements = 500ms;
    constexpr Duration longestGapOfStatements = 3s;
    constexpr int freezes = 3; ///< of one series
    /// Entries that no server or node of this site writes.
    constexpr std::string_view foreignEntries[] = {
        "", "{", "[]", R"({"address":7})", "\xff\xfe",
        R"({"address":"a","born":"x","info":{"service":"shop","slots":-1},"status":{"state":"odd","seq":1e99}})",
        R"({"address":"10.0.0.1:1","born":1,"info":{"service":"nowhere","slots":4},"status":{"state":"ready","seq":1}})"
    };

} // namespace

FaultPlan::FaultPlan(SoakSite& site, std::uint64_t seed)
    : m_site(&site)
    , m_random(seed)
    , m_forgets(seed)
    , m_beside(seed)
    , m_operator(seed)
    , m_statements(seed)
    , m_started(monotonicNow())
{
}

void FaultPlan::run(Duration length)
{
    m_end = monotonicNow() + length;
    next();
    nextBeside();
    m_site->store().era = 1;
    m_site->copyStore();
    nextOfOperator();
    nextStatement();
}

void FaultPlan::nextStatement()
{
    if (monotonicNow() >= m_end)
        return;
    auto& host = *m_site->hosts()[m_statements.below(m_site->hosts().size())];
    if (m_statements.chance(shareOfLeaving)) {
        note(host.name + "'s server leaves by its answers");
        host.backend->replaceByAnswers();
    } else {
        const std::string limit(limits[m_statements.below(std::size(limits))]);
        note(host.name + "'s server names the limit '" + limit + "'");
        host.backend->setLimit(limit);
    }
    const auto gap = shortestGapOfStatements
        + fromSeconds(toSeconds(longestGapOfStatements - shortestGapOfStatements) * m_statements.unit());
    m_nextStatement = Timer::once(m_site->base(), gap, [this] { nextStatement(); });
}

void FaultPlan::nextOfOperator()
{
    if (monotonicNow() >= m_end)
        return;
    auto& host = *m_site->hosts()[m_operator.below(m_site->hosts().size())];
    const auto dice = m_operator.unit();
    if (dice < shareOfCopies) {
        note("the store keeps a copy");
        m_site->copyStore();
    } else if (dice < shareOfCopies + shareOfReturns) {
        note("the store comes back from its copy");
        m_site->returnStore();
    } else {
        const bool isEmptied = m_operator.chance(shareOfEmptied);
        note(host.hall + (isEmptied ? " is emptied" : " is taken back"));
        m_site->setEmptied(host, isEmptied);
    }
    const auto gap = shortestGapBeside
        + fromSeconds(toSeconds(longestGapBeside - shortestGapBeside) * m_operator.unit());
    m_nextOfOperator = Timer::once(m_site->base(), gap, [this] { nextOfOperator(); });
}

void FaultPlan::next()
{
    if (monotonicNow() >= m_end)
        return undoAll();
    const auto kind = static_cast<FaultKind>(m_random.below(countOf<FaultKind>()));
    apply(kind, between(shortestFault, longestFault));
    m_next = Timer::once(m_site->base(), between(shortestGap, longestGap), [this] { next(); });
}

Duration FaultPlan::between(Duration least, Duration most)
{
    return least + fromSeconds(toSeconds(most - least) * m_random.unit());
}

SoakSite::Host& FaultPlan::anyHost()
{
    return *m_site->hosts()[m_random.below(m_site->hosts().size())];
}

void FaultPlan::note(const std::string& text)
{
    m_story.push_back(std::to_string(toMilliseconds(monotonicNow() - m_started)) + " ms: " + text);
}

void FaultPlan::later(Duration delay, std::function<void()> f)
{
    m_later.push_back(Timer::once(m_site->base(), delay, std::move(f)));
}

void FaultPlan::apply(FaultKind kind, Duration length)
{
    auto& host = anyHost();
    note(std::string(nameOf(kind)) + " " + host.name + " for " + std::to_string(toMilliseconds(length))
        + " ms");
    switch (kind) {
    case FaultKind::HarmLink:
        return harmLink(host, length);
    case FaultKind::KillNode:
        return m_site->killNode(host, length);
    case FaultKind::PauseNode:
        return pause(host, length);
    case FaultKind::StopNode:
        return m_site->stopNode(host, length);
    case FaultKind::ReloadNode:
        return m_site->reloadNode(host);
    case FaultKind::HarmStore:
        return harmStore(length);
    case FaultKind::ForgetHistory:
        m_site->store().compact("keyed.op");
        return m_site->store().compact("keyed.nodes");
    case FaultKind::ReplaceBackend:
        return host.backend->replace();
    case FaultKind::CrashBackend:
        host.backend->crash();
        return later(length, [&host] {
            if (!host.backend->isRunning())
                host.backend->start();
        });
    case FaultKind::SlowBackend:
        host.backend->setSlowdown(slowFactor);
        return later(length, [&host] { host.backend->setSlowdown(1); });
    case FaultKind::FillBackend:
        host.backend->setFull(true);
        return later(length, [&host] { host.backend->setFull(false); });
    case FaultKind::ChangeConfiguration:
        return m_site->changeConfiguration();
    }
}

void FaultPlan::harmLink(SoakSite::Host& host, Duration length)
{
    FaultProxy* const links[]
        = { host.toCallers.get(), host.toPeers.get(), host.toStore.get(), host.toBackend.get() };
    constexpr std::string_view names[] = { "callers", "peers", "store", "backend" };
    const auto i = m_random.below(std::size(links));
    // None is no fault. Forgotten connections are drawn apart, so that seeds of before draw what they drew;
    // only peers notice them by themselves, as the relay's own system goes on acknowledging what is sent.
    constexpr auto faults = countOf<LinkFault>() - 2;
    auto fault = static_cast<LinkFault>(1 + m_random.below(faults));
    if (links[i] == host.toPeers.get() && m_forgets.chance(shareOfForgotten))
        fault = LinkFault::Forget;
    note("  its link to " + std::string(names[i]) + ": " + std::string(nameOf(fault)));
    auto* link = links[i];
    link->set(fault);
    later(length, [link] { link->set(LinkFault::None); });
}

void FaultPlan::harmStore(Duration length)
{
    constexpr FakeStore::Mode modes[]
        = { FakeStore::Mode::Refusing, FakeStore::Mode::Silent, FakeStore::Mode::Losing };
    m_site->store().mode = modes[m_random.below(std::size(modes))];
    later(length, [this] { m_site->store().mode = FakeStore::Mode::Up; });
}

void FaultPlan::pause(SoakSite::Host& host, Duration length)
{
    host.node.signal(SIGSTOP);
    later(length, [&host] { host.node.signal(SIGCONT); });
}

void FaultPlan::nextBeside()
{
    if (monotonicNow() >= m_end)
        return;
    auto& host = *m_site->hosts()[m_beside.below(m_site->hosts().size())];
    if (m_beside.chance(shareOfFreezes))
        freezeInSeries(host);
    else
        writeForeign(host);
    const auto gap
        = shortestGapBeside + fromSeconds(toSeconds(longestGapBeside - shortestGapBeside) * m_beside.unit());
    m_nextBeside = Timer::once(m_site->base(), gap, [this] { nextBeside(); });
}

void FaultPlan::writeForeign(SoakSite::Host& host)
{
    const std::string entry(foreignEntries[m_beside.below(std::size(foreignEntries))]);
    note("another writer at " + host.name + ": " + entry);
    host.backend->announceForeign(entry);
    m_site->store().put("keyed.nodes", host.name + "-foreign", entry);
    m_site->store().putRaw("keyed.nodes", entry.substr(0, 1));
}

void FaultPlan::freezeInSeries(SoakSite::Host& host)
{
    // Most are short: each is as likely to be under a second as over it.
    const double draw = m_beside.unit();
    const auto length
        = shortestFreeze + fromSeconds(toSeconds(longestFreeze - shortestFreeze) * draw * draw * draw);
    note("freezes of " + host.name + " for " + std::to_string(toMilliseconds(length)) + " ms");
    for (int i = 0; i < freezes; ++i)
        later(2 * i * length, [this, &host, length] { pause(host, length); });
}

void FaultPlan::undoAll()
{
    note("all faults end");
    m_later.clear();
    m_site->store().mode = FakeStore::Mode::Up;
    for (auto& it : m_site->hosts()) {
        m_site->setEmptied(*it, it->hall == m_site->hosts().front()->hall); // one stays emptied in the calm
        for (auto* link : { it->toCallers.get(), it->toPeers.get(), it->toStore.get(), it->toBackend.get() })
            link->set(LinkFault::None);
        it->node.signal(SIGCONT);
        it->backend->setSlowdown(1);
        it->backend->setFull(false);
        it->backend->setLimit("");
        if (!it->backend->isRunning())
            it->backend->start();
    }
}

} // namespace robinrun::soak
