#include "PolicyRun.h"

#include <algorithm>

namespace robinrun::bench {
namespace {

    constexpr Duration probeEvery = 100ms;
    constexpr Duration drainGrace = 2s;
    /// A draining server turns new work away this long after it began.
    constexpr Duration drainRejects = 2s;
    constexpr double errorSampleWeight = 0.05;

    ServiceRouter::Options routerOptions(ChoiceKind kind, bool hedges)
    {
        ServiceRouter::Options options;
        options.kind = kind;
        options.hedges = hedges;
        if (kind != ChoiceKind::ExpectedDelay) {
            // Baselines choose by their own rule alone.
            options.ejection.errorShare = 2;
            options.hedges = false;
        }
        return options;
    }

    Admission::Options admissionOptions(const Deployment& deployment)
    {
        Admission::Options options;
        options.slots = deployment.slots;
        options.initialService = deployment.meanService;
        return options;
    }

} // namespace

PolicyRun::PolicyRun(
    const Deployment& deployment, const Scenario& scenario, ChoiceKind kind, std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_kind(kind)
    , m_arrivals(m_loop, m_deployment, m_scenario, seed,
          [this](std::uint32_t group, std::uint32_t ingress) { arrive(group, ingress); })
{
    for (std::uint32_t i = 0; i < deployment.upstreams; ++i) {
        const ProbeBudget::Options probes { deployment.probesPerSecond, deployment.probeSlotShare,
            deployment.slots };
        m_upstreams.push_back(std::make_unique<Upstream>(
            Upstream { "u" + std::to_string(i), i % deployment.halls, Admission(admissionOptions(deployment)),
                FakeBackend(deployment, seed * 100 + i), ProbeBudget(probes, m_loop.now()),
                Ewma(errorSampleWeight), {}, false, false, Instant::max() }));
        m_upstreamByName[m_upstreams.back()->name] = i;
        for (std::uint32_t group = 0; group < scenario.groups.size(); ++group)
            m_upstreams.back()->admission.setWeight(group, scenario.groups[group].weight);
    }
    for (std::uint32_t i = 0; i < deployment.ingresses; ++i) {
        const auto hall = i % deployment.halls;
        m_ingresses.push_back(std::make_unique<Ingress>(Ingress {
            hall, ServiceRouter(routerOptions(kind, deployment.hedges)), Random(seed * 10 + i), false }));
        std::vector<RouteTarget> targets;
        for (const auto& it : m_upstreams)
            targets.push_back({ it->name, deployment.slots, 2 * oneWay(hall, it->hall) });
        m_ingresses.back()->router.setUpstreams(targets, m_loop.now());
    }
    m_tally.groups.resize(scenario.groups.size());
    schedule();
}

Duration PolicyRun::oneWay(std::uint32_t hallA, std::uint32_t hallB) const
{
    return hallA == hallB ? m_deployment.insideHall : m_deployment.betweenHalls;
}

void PolicyRun::schedule()
{
    m_loop.at(Instant(m_scenario.faultStart), [this] { startFault(); });
    m_loop.at(Instant(m_scenario.faultEnd), [this] { endFault(); });
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        m_loop.after(probeEvery * (i + 1) / m_upstreams.size(), [this, i] { probeTick(i); });
}

void PolicyRun::startFault()
{
    constexpr double slowBy = 5;
    auto& first = *m_upstreams[0];
    if (m_scenario.isSlow())
        first.backend.slowFactor = slowBy;
    switch (m_scenario.kind) {
    case ScenarioKind::FailFast:
        first.backend.failsFast = true;
        break;
    case ScenarioKind::ColdStart:
        first.backend.isDown = true;
        break;
    case ScenarioKind::Draining:
        first.drainingSince = m_loop.now();
        first.backend.isDraining = true;
        first.backend.rejectsFrom = m_loop.now() + drainRejects;
        break;
    case ScenarioKind::HallLost:
        for (auto& it : m_upstreams)
            it->isDead = it->hall == 1;
        for (auto& it : m_ingresses)
            it->isDead = it->hall == 1;
        break;
    default:
        break;
    }
}

void PolicyRun::endFault()
{
    auto& backend = m_upstreams[0]->backend;
    backend.slowFactor = 1;
    backend.failsFast = false;
    if (backend.isDown)
        backend.coldSince = m_loop.now();
    backend.isDown = false;
}

void PolicyRun::arrive(std::uint32_t group, std::uint32_t ingress)
{
    // Callers of a lost hall go to another one.
    while (m_ingresses[ingress]->isDead)
        ingress = (ingress + 1) % m_deployment.ingresses;
    const auto id = ++m_lastCall;
    Call call;
    call.group = group;
    call.ingress = ingress;
    call.arrived = m_loop.now();
    call.deadline = m_loop.now() + m_deployment.deadline;
    m_calls.emplace(id, std::move(call));
    m_tally.groups[group].demand += m_deployment.meanService;
    m_ingresses[ingress]->router.firstAttempt(group);
    m_loop.after(m_deployment.deadline, [this, id] { deadlineReached(id); });
    proceed(id);
}

void PolicyRun::proceed(std::uint64_t callId)
{
    auto& call = m_calls.at(callId);
    auto& ingress = *m_ingresses[call.ingress];
    const auto name = ingress.router.pick(call.tried, { call.group }, m_loop.now(), ingress.random);
    if (!name)
        return finish(callId, call.hasFailed ? End::Failed : End::Refused, {});
    send(callId, m_upstreamByName.at(*name));
}

void PolicyRun::send(std::uint64_t callId, std::size_t upstream)
{
    auto& call = m_calls.at(callId);
    auto& ingress = *m_ingresses[call.ingress];
    const auto& target = *m_upstreams[upstream];
    const auto attemptId = ++m_lastAttempt;
    m_attempts[attemptId] = { callId, upstream, {}, {}, false, false };
    call.out.push_back(attemptId);
    call.tried.push_back(target.name);
    const auto elsewhere = ingress.router.sent(target.name, call.group);
    m_loop.after(oneWay(ingress.hall, target.hall), [this, attemptId, elsewhere, deadline = call.deadline] {
        takeAtOwner(attemptId, elsewhere, deadline);
    });
    if (const auto patience = ingress.router.hedgeDelay())
        m_loop.after(*patience, [this, callId, attemptId] { attemptTimedOut(callId, attemptId); });
}

void PolicyRun::takeAtOwner(std::uint64_t attemptId, Duration elsewhere, Instant deadline)
{
    auto& attempt = m_attempts.at(attemptId);
    auto& upstream = *m_upstreams[attempt.upstream];
    const auto call = m_calls.find(attempt.call);
    if (upstream.isDead || call == m_calls.end())
        return;
    attempt.arrivedAtOwner = m_loop.now();
    ++upstream.inHand[{ call->second.ingress, call->second.group }];
    Offer offer;
    offer.id = attemptId;
    offer.group = call->second.group;
    offer.deadline = deadline;
    offer.elsewhere = elsewhere;
    act(attempt.upstream, upstream.admission.offer(offer, m_loop.now()));
}

void PolicyRun::act(std::size_t upstream, const Dispatch& dispatch)
{
    for (const auto& it : dispatch.refused)
        answer(it.id, End::Refused, it.reason, {});
    for (const auto id : dispatch.run)
        runAt(upstream, id);
}

void PolicyRun::runAt(std::size_t index, std::uint64_t attemptId)
{
    auto& upstream = *m_upstreams[index];
    auto& attempt = m_attempts.at(attemptId);
    attempt.isRunning = true;
    attempt.started = m_loop.now();
    if (m_loop.now() - drainGrace > upstream.drainingSince)
        ++m_tally.newWorkAfterDrain;
    if (upstream.backend.isDown) {
        constexpr Duration connectRefused = 100us;
        m_loop.after(connectRefused, [this, index, attemptId] {
            auto& owner = *m_upstreams[index];
            if (owner.isDead)
                return;
            owner.errors.add(1);
            const auto next = owner.admission.finished(attemptId, m_loop.now());
            answer(attemptId, End::Refused, Reason::BackendUnreachable, {});
            act(index, next);
        });
        return;
    }
    const auto run = upstream.backend.run(m_loop.now());
    m_loop.after(run.held, [this, attemptId, run] { endedAt(attemptId, run); });
}

void PolicyRun::endedAt(std::uint64_t attemptId, FakeBackend::Run run)
{
    const auto& attempt = m_attempts.at(attemptId);
    const auto index = attempt.upstream;
    auto& upstream = *m_upstreams[index];
    if (upstream.isDead || attempt.isOver)
        return;
    upstream.errors.add(run.isFailure ? 1 : 0);
    const auto next = upstream.admission.finished(attemptId, m_loop.now());
    answer(attemptId, run.isFailure ? End::Failed : End::Answered, Reason::None, run.held);
    act(index, next);
}

Report PolicyRun::reportOf(std::size_t index, std::uint32_t ingress, std::uint32_t group)
{
    auto& upstream = *m_upstreams[index];
    Report report;
    report.load = upstream.admission.loadFor(group, m_loop.now());
    report.queued = upstream.admission.load(m_loop.now()).waiting;
    report.yours = upstream.inHand[{ ingress, group }];
    report.errorShare = upstream.errors.value();
    const bool lies = m_scenario.has(ScenarioKind::LyingLoad) && index == 0 && !isOwn();
    if (lies) {
        // Baselines know load from the server's own endpoint; robinrun never asks it.
        report.load.inUse = 0;
        report.load.waiting = 0;
        report.queued = 0;
        report.load.service = m_deployment.meanService / 10;
    }
    return report;
}

void PolicyRun::answer(std::uint64_t attemptId, End end, Reason reason, Duration held)
{
    auto& attempt = m_attempts.at(attemptId);
    attempt.isOver = true;
    auto& upstream = *m_upstreams[attempt.upstream];
    const auto call = m_calls.find(attempt.call);
    if (call == m_calls.end())
        return;
    const auto ingress = call->second.ingress;
    const auto group = call->second.group;
    auto& inHand = upstream.inHand[{ ingress, group }];
    inHand -= inHand ? 1 : 0;
    const auto report = reportOf(attempt.upstream, ingress, group);
    const bool isLeaving = upstream.admission.isLeaving();
    m_loop.after(oneWay(m_ingresses[ingress]->hall, upstream.hall), [=, this] {
        auto heard = report;
        heard.heard = m_loop.now();
        takeAnswer(attemptId, heard, end, reason, held, isLeaving);
    });
}

void PolicyRun::takeAnswer(
    std::uint64_t attemptId, const Report& report, End end, Reason reason, Duration held, bool isLeaving)
{
    const auto& attempt = m_attempts.at(attemptId);
    const auto found = m_calls.find(attempt.call);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    if (std::erase(call.out, attemptId) == 0)
        return;
    auto& ingress = *m_ingresses[call.ingress];
    const auto& name = m_upstreams[attempt.upstream]->name;
    const bool isFailure = end == End::Failed || reason == Reason::BackendUnreachable;
    ingress.router.answered(name, call.group, report, held, isFailure, m_loop.now());
    ingress.router.setLeaving(name, isLeaving, m_loop.now());
    if (end == End::Answered) {
        ingress.router.measuredLatency(m_loop.now() - call.arrived);
        return finish(attempt.call, End::Answered, held);
    }
    call.hasFailed = call.hasFailed || end == End::Failed;
    if (!call.out.empty())
        return;
    tryAgainOrEnd(attempt.call, end, reason == Reason::Leaving);
}

void PolicyRun::tryAgainOrEnd(std::uint64_t callId, End end, bool isFree)
{
    auto& call = m_calls.at(callId);
    auto& ingress = *m_ingresses[call.ingress];
    if (isFree)
        return proceed(callId);
    if (call.attemptsLeft > 1 && ingress.router.trySpendRetry(call.group)) {
        --call.attemptsLeft;
        ++m_tally.retries;
        return proceed(callId);
    }
    finish(callId, call.hasFailed ? End::Failed : end, {});
}

void PolicyRun::attemptTimedOut(std::uint64_t callId, std::uint64_t attemptId)
{
    const auto found = m_calls.find(callId);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    auto& ingress = *m_ingresses[call.ingress];
    if (std::find(call.out.begin(), call.out.end(), attemptId) == call.out.end())
        return;
    ingress.router.attemptTimedOut(m_upstreams[m_attempts.at(attemptId).upstream]->name, m_loop.now());
    if (call.attemptsLeft <= 1)
        return;
    const auto name = ingress.router.pick(call.tried, { call.group }, m_loop.now(), ingress.random);
    if (!name || !ingress.router.trySpendRetry(call.group))
        return;
    --call.attemptsLeft;
    ++m_tally.hedges;
    send(callId, m_upstreamByName.at(*name));
}

void PolicyRun::deadlineReached(std::uint64_t callId)
{
    const auto found = m_calls.find(callId);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    for (const auto id : call.out)
        m_ingresses[call.ingress]->router.lost(
            m_upstreams[m_attempts.at(id).upstream]->name, call.group, m_loop.now());
    finish(callId, End::Failed, {});
}

void PolicyRun::cancel(std::uint64_t attemptId)
{
    auto& attempt = m_attempts.at(attemptId);
    const auto index = attempt.upstream;
    auto& upstream = *m_upstreams[index];
    if (upstream.isDead || attempt.isOver)
        return;
    if (upstream.admission.cancelWaiting(attemptId))
        return;
    if (!attempt.isRunning || upstream.backend.isDown)
        return;
    attempt.isOver = true;
    act(index, upstream.admission.finished(attemptId, m_loop.now()));
}

void PolicyRun::finish(std::uint64_t callId, End end, Duration held)
{
    auto& call = m_calls.at(callId);
    auto& ingress = *m_ingresses[call.ingress];
    for (const auto id : call.out) {
        const auto& upstream = *m_upstreams[m_attempts.at(id).upstream];
        ingress.router.abandoned(upstream.name, call.group);
        m_loop.after(
            oneWay(ingress.hall, upstream.hall), [this, id, who = std::pair(call.ingress, call.group)] {
                auto& owner = *m_upstreams[m_attempts.at(id).upstream];
                const auto& attempt = m_attempts.at(id);
                const bool isHeld = attempt.arrivedAtOwner != Instant {} && !attempt.isOver;
                auto& inHand = owner.inHand[who];
                if (isHeld && inHand)
                    --inHand;
                cancel(id);
            });
    }
    auto& tally = m_tally.groups[call.group];
    const auto latency = end == End::Answered ? m_loop.now() - call.arrived : m_deployment.deadline;
    if (end == End::Refused) {
        ++tally.refused;
    } else {
        end == End::Answered ? ++tally.answered : ++tally.failed;
        tally.latencyUs.push_back(latency.count());
        tally.slotTime += held;
    }
    m_calls.erase(callId);
}

void PolicyRun::probeTick(std::size_t index)
{
    if (m_loop.now() >= Instant(m_scenario.length))
        return;
    m_loop.after(probeEvery, [this, index] { probeTick(index); });
    auto& upstream = *m_upstreams[index];
    const auto load = upstream.admission.load(m_loop.now());
    if (upstream.isDead || upstream.isProbing || load.inUse >= load.slots
        || !upstream.probes.tryStart(load.waiting, m_loop.now()))
        return;
    upstream.isProbing = true;
    upstream.admission.holdSlot();
    ++m_tally.probes;
    const auto held = fromSeconds(toSeconds(m_deployment.probeCost) * upstream.backend.slowFactor);
    m_loop.after(held, [this, index, held] {
        auto& probed = *m_upstreams[index];
        probed.isProbing = false;
        probed.probes.ended(held, m_loop.now());
        act(index, probed.admission.releaseSlot(m_loop.now()));
        if (probed.backend.isDraining && !probed.admission.isLeaving())
            act(index, probed.admission.setLeaving(true, m_loop.now()));
    });
}

RunTally PolicyRun::run()
{
    m_loop.run(Instant(m_scenario.length + m_deployment.deadline + 1s));
    return std::move(m_tally);
}

} // namespace robinrun::bench
