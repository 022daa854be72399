#include "SharedRun.h"

#include "Queueing/Slowdown.h"

#include <algorithm>
#include <array>

namespace robinrun::bench {
namespace {

    constexpr std::uint32_t group = 1;
    constexpr std::array<std::string_view, 2> classNames { "called", "nested" };
    /// As the ingress of a node does.
    constexpr std::uint32_t maxAsks = 2;
    constexpr std::uint32_t maxFreeRefusals = 2;
    /// Nested calls go first: their parents hold slots.
    constexpr std::uint32_t priorityOfNested = 0;
    constexpr std::uint32_t priorityOfCallers = 1;
    /// As the timer of a node.
    constexpr Duration tickEvery = 50ms;

} // namespace

SharedRun::SharedRun(const SharedSite& site, Options options)
    : m_site(site)
    , m_options(options)
    , m_random(options.seed)
{
    addUpstreams(0, site.upstreams);
    addUpstreams(1, site.nestedUpstreams);
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        addIngress(m_upstreams[i].hall, options.seed * 100 + i);
}

void SharedRun::addIngress(std::uint32_t hall, std::uint64_t seed)
{
    Ingress ingress { hall, {}, Random(seed) };
    for (std::size_t service = 0; service < classNames.size(); ++service) {
        ServiceRouter::Options routing;
        routing.policyKind = m_options.kind;
        std::vector<UpstreamConfig> targets;
        for (const auto& it : m_upstreams) {
            const bool isFar = it.hall != hall;
            if (it.service == service)
                targets.push_back({ it.name, m_site.slots, 2 * oneWay(it.hall, hall), isFar });
        }
        ingress.routers.emplace_back(routing);
        ingress.routers.back().setUpstreams(targets, {});
    }
    m_ingresses.push_back(std::move(ingress));
}

void SharedRun::addUpstreams(std::size_t service, std::uint32_t n)
{
    for (std::uint32_t i = 0; i < n; ++i) {
        const auto index = m_upstreams.size();
        Admission::Options admission;
        admission.slots = m_site.slots;
        admission.limitKind = m_options.limit;
        admission.slotShare = m_options.usableShare;
        admission.initialSlotTime = service ? m_site.nestedWork : m_site.work;
        m_upstreams.push_back({ "u" + std::to_string(index), service, i % m_site.halls, Admission(admission),
            SharedBackend(m_site, m_options.seed * 1000 + index) });
        m_byName[m_upstreams.back().name] = index;
    }
}

Duration SharedRun::oneWay(std::uint32_t hallA, std::uint32_t hallB) const
{
    return hallA == hallB ? m_site.insideHall : m_site.betweenHalls;
}

void SharedRun::nextArrival()
{
    const double rate = m_options.load * m_site.capacity();
    m_loop.after(fromSeconds(m_random.exponential(1 / rate)), [this] {
        if (m_loop.now() >= Instant(m_options.length))
            return;
        proceed(
            begin(0, m_random.below(m_ingresses.size()), 0, m_loop.now() + m_site.deadline, m_site.target));
        nextArrival();
    });
}

SharedRun::CallId SharedRun::begin(
    std::size_t service, std::size_t ingress, CallId parent, Instant deadline, Duration target)
{
    const auto id = ++m_lastCall;
    Call call;
    call.service = service;
    call.ingress = ingress;
    call.arrived = m_loop.now();
    call.deadline = deadline;
    call.target = target;
    call.asksLeft = asks() ? maxAsks : 0;
    call.refusalsLeft = maxFreeRefusals;
    call.parent = parent;
    m_calls.emplace(id, std::move(call));
    return id;
}

CallProfile SharedRun::needsOf(const Call& call) const
{
    const auto left = std::max(call.target - (m_loop.now() - call.arrived), Duration(1));
    return { group, classNames[call.service], left };
}

void SharedRun::proceed(CallId id)
{
    auto& call = m_calls.at(id);
    auto& ingress = m_ingresses[call.ingress];
    auto& router = ingress.routers[call.service];
    const auto name = router.pickUpstream(call.tried, needsOf(call), m_loop.now(), ingress.random);
    if (!name)
        return finish(id, Reason::NoUpstream);
    if (std::find(call.busy.begin(), call.busy.end(), *name) != call.busy.end())
        call.asksLeft = 0;
    call.upstream = m_byName.at(*name);
    call.slowdownWhenSent = router.reportedSlowdown(*name);
    call.sent = m_loop.now();
    call.expected = router.expectedResponseTime(*name, needsOf(call), m_loop.now());
    router.onAttemptSent(*name, group);
    const auto hall = m_upstreams[call.upstream].hall;
    m_tally.far += hall != ingress.hall;
    ++m_tally.messages;
    m_loop.after(oneWay(ingress.hall, hall),
        [this, id, onlyAtOnce = call.asksLeft > 0] { takeAtOwner(id, onlyAtOnce); });
}

void SharedRun::takeAtOwner(CallId id, bool onlyAtOnce)
{
    const auto& call = m_calls.at(id);
    auto& upstream = m_upstreams[call.upstream];
    const bool isReady = upstream.admission.hasFreeSlot(m_loop.now())
        && !isSlow(upstream.admission.load(m_loop.now()).slowdown);
    if (onlyAtOnce && !isReady)
        return answer(id, Reason::Busy);
    OfferedCall offer;
    offer.id = id;
    offer.group = group;
    offer.priority = call.parent ? priorityOfNested : priorityOfCallers;
    offer.deadline = call.deadline;
    offer.softDeadline = call.parent ? call.deadline : call.arrived + call.target;
    act(upstream.admission.offer(offer, m_loop.now()));
}

void SharedRun::act(const AdmissionResult& dispatch)
{
    for (const auto& it : dispatch.refusals)
        answer(it.id, it.reason);
    for (const auto id : dispatch.callsToRun)
        runAtBackend(id);
}

void SharedRun::runAtBackend(CallId id)
{
    auto& call = m_calls.at(id);
    auto& upstream = m_upstreams[call.upstream];
    call.started = m_loop.now();
    const auto work = call.service ? m_site.nestedWork : m_site.work;
    const auto takes = upstream.backend.run(work, upstream.admission.slotsInUse(), m_loop.now());
    const auto left = call.deadline - m_loop.now();
    call.hasFailed = takes > left;
    m_loop.after(std::min(takes, left), [this, id] { workDone(id); });
}

void SharedRun::workDone(CallId id)
{
    auto& call = m_calls.at(id);
    const bool callsOn
        = !call.parent && !call.hasFailed && m_site.nestedUpstreams && m_random.chance(m_site.nestedShare);
    if (!callsOn)
        return ended(id);
    call.nestedLeft = m_site.nestedCalls;
    std::vector<CallId> nested;
    for (std::uint32_t i = 0; i < m_site.nestedCalls; ++i)
        nested.push_back(
            begin(1, call.upstream, id, call.deadline, m_site.target - (m_loop.now() - call.arrived)));
    for (const auto it : nested)
        proceed(it);
}

void SharedRun::ended(CallId id)
{
    const auto& call = m_calls.at(id);
    const auto upstream = call.upstream;
    const auto end = call.hasFailed ? RunOutcome::Failed : RunOutcome::Answered;
    learn(upstream);
    answer(id, call.hasFailed ? Reason::BackendFailed : Reason::None);
    act(m_upstreams[upstream].admission.onRunEnded(id, end, m_loop.now()));
}

OwnerReport SharedRun::reportOf(const Upstream& upstream) const
{
    OwnerReport report;
    report.load = upstream.admission.load(m_loop.now());
    report.queuedCalls = report.load.waitingCalls;
    return report;
}

void SharedRun::answer(CallId id, Reason reason)
{
    const auto& call = m_calls.at(id);
    const auto& upstream = m_upstreams[call.upstream];
    const auto held = call.started == Instant {} ? Duration::zero() : m_loop.now() - call.started;
    ++m_tally.messages;
    m_loop.after(oneWay(m_ingresses[call.ingress].hall, upstream.hall),
        [this, id, report = reportOf(upstream), reason, held] { takeAnswer(id, report, reason, held); });
}

void SharedRun::takeAnswer(CallId id, const OwnerReport& report, Reason reason, Duration held)
{
    const auto& call = m_calls.at(id);
    auto& router = m_ingresses[call.ingress].routers[call.service];
    const auto& name = m_upstreams[call.upstream].name;
    auto heard = report;
    heard.receivedAt = m_loop.now();
    router.onAttemptAnswered(name, group, heard, held, false, m_loop.now());
    if (reason != Reason::None && reason != Reason::BackendFailed)
        return refused(id, reason);
    router.recordSlotTime(classNames[call.service], held, call.slowdownWhenSent);
    router.recordResponseTime(classNames[call.service], m_loop.now() - call.sent, call.expected);
    finish(id, std::nullopt);
}

void SharedRun::refused(CallId id, Reason reason)
{
    auto& call = m_calls.at(id);
    const auto& name = m_upstreams[call.upstream].name;
    if (reason == Reason::Busy) {
        call.busy.push_back(name);
        call.asksLeft -= call.asksLeft ? 1 : 0;
        return proceed(id);
    }
    call.tried.push_back(name);
    if (!call.refusalsLeft || m_loop.now() >= call.deadline)
        return finish(id, reason);
    --call.refusalsLeft;
    proceed(id);
}

void SharedRun::finish(CallId id, std::optional<Reason> refusal)
{
    const auto call = m_calls.at(id);
    m_calls.erase(id);
    if (call.parent) {
        auto& parent = m_calls.at(call.parent);
        parent.hasFailed = parent.hasFailed || refusal;
        if (--parent.nestedLeft == 0)
            ended(call.parent);
        return;
    }
    if (refusal)
        ++m_tally.refused;
    else if (call.hasFailed || m_loop.now() > call.deadline)
        ++m_tally.failed;
    else
        m_loop.now() - call.arrived <= call.target ? ++m_tally.inTime : ++m_tally.late;
}

void SharedRun::learn(std::size_t index)
{
    auto& upstream = m_upstreams[index];
    const double slowdown = m_site.tellsSlowdown ? upstream.backend.slowdown(m_loop.now()) : 1;
    upstream.admission.setSlowdown(slowdown, m_loop.now());
    if (slowdown != upstream.told) {
        upstream.told = slowdown;
        tell(index);
    }
    const bool probes = isSlow(slowdown) && m_options.probeEvery > Duration::zero();
    if (!probes || upstream.isProbing || m_loop.now() >= Instant(m_options.length))
        return;
    upstream.isProbing = true;
    m_loop.after(m_options.probeEvery, [this, index] {
        m_upstreams[index].isProbing = false;
        learn(index);
    });
}

void SharedRun::tell(std::size_t index)
{
    if (!tells())
        return;
    const auto& upstream = m_upstreams[index];
    for (auto& ingress : m_ingresses) {
        ++m_tally.messages;
        m_loop.after(
            oneWay(ingress.hall, upstream.hall), [this, &ingress, index, report = reportOf(upstream)] {
                auto heard = report;
                heard.receivedAt = m_loop.now();
                const auto& told = m_upstreams[index];
                ingress.routers[told.service].onLoadReport(told.name, heard, m_loop.now());
            });
    }
}

void SharedRun::tick(std::size_t index)
{
    act(m_upstreams[index].admission.refuseCallsMissingDeadline(m_loop.now()));
    if (m_loop.now() < Instant(m_options.length))
        m_loop.after(tickEvery, [this, index] { tick(index); });
}

SharedTally SharedRun::run()
{
    nextArrival();
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        tick(i);
    constexpr Duration rest = 10s; // for what is out at the end
    m_loop.run(Instant(m_options.length + rest));
    return m_tally;
}

} // namespace robinrun::bench
