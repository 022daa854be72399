#include "PolicyRun.h"

#include <algorithm>

namespace robinrun::bench {
namespace {

    /// A draining server turns new work away this long after it began.
    constexpr Duration drainRejects = 2s;
    constexpr double errorSampleWeight = 0.05;

    ServiceRouter::Options routerOptions(ChoicePolicyKind kind, bool hedges)
    {
        ServiceRouter::Options options;
        options.policyKind = kind;
        options.sendsHedges = hedges;
        if (kind != ChoicePolicyKind::ExpectedDelay) {
            // Baselines choose by their own rule alone.
            options.ejection.maxErrorShare = 2;
            options.sendsHedges = false;
        }
        return options;
    }

    Admission::Options admissionOptions(const Deployment& deployment)
    {
        Admission::Options options;
        options.slots = deployment.slots;
        options.initialSlotTime = deployment.meanService;
        return options;
    }

} // namespace

PolicyRun::PolicyRun(
    const Deployment& deployment, const Scenario& scenario, ChoicePolicyKind kind, std::uint64_t seed)
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
            m_upstreams.back()->admission.setGroupWeight(group, scenario.groups[group].weight);
    }
    for (std::uint32_t i = 0; i < deployment.ingresses; ++i) {
        const auto hall = i % deployment.halls;
        m_ingresses.push_back(std::make_unique<Ingress>(Ingress {
            hall, ServiceRouter(routerOptions(kind, deployment.hedges)), Random(seed * 10 + i), false }));
        std::vector<UpstreamConfig> targets;
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
    m_ingresses[ingress]->router.recordFirstAttempt(group);
    m_loop.after(m_deployment.deadline, [this, id] { deadlineReached(id); });
    proceed(id);
}

void PolicyRun::proceed(std::uint64_t callId)
{
    auto& call = m_calls.at(callId);
    auto& ingress = *m_ingresses[call.ingress];
    const auto name = ingress.router.pickUpstream(call.tried, { call.group }, m_loop.now(), ingress.random);
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
    m_attempts[attemptId] = { callId, upstream, {}, false, false };
    call.out.push_back(attemptId);
    call.tried.push_back(target.name);
    const auto elsewhere = ingress.router.onAttemptSent(target.name, call.group);
    m_loop.after(oneWay(ingress.hall, target.hall), [this, attemptId, elsewhere, deadline = call.deadline] {
        takeAtOwner(attemptId, elsewhere, deadline);
    });
    if (const auto patience = ingress.router.hedgeDelay())
        m_loop.after(*patience, [this, callId, attemptId] { attemptTimedOut(callId, attemptId); });
}

void PolicyRun::takeAnswer(
    std::uint64_t attemptId, const OwnerReport& report, End end, Reason reason, Duration held, bool isLeaving)
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
    ingress.router.onAttemptAnswered(name, call.group, report, held, isFailure, m_loop.now());
    ingress.router.setLeaving(name, isLeaving, m_loop.now());
    if (end == End::Answered) {
        ingress.router.recordCallLatency(m_loop.now() - call.arrived);
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
    if (call.attemptsLeft > 1
        && ingress.router.trySpendRetry(call.group, RetryPriority::Outside, m_loop.now())) {
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
    ingress.router.onAttemptLate(m_upstreams[m_attempts.at(attemptId).upstream]->name, m_loop.now());
    if (call.attemptsLeft <= 1)
        return;
    const auto name = ingress.router.pickUpstream(call.tried, { call.group }, m_loop.now(), ingress.random);
    if (!name || !ingress.router.trySpendRetry(call.group, RetryPriority::Outside, m_loop.now()))
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
        m_ingresses[call.ingress]->router.onAttemptLost(
            m_upstreams[m_attempts.at(id).upstream]->name, call.group, m_loop.now());
    finish(callId, End::Failed, {});
}

void PolicyRun::finish(std::uint64_t callId, End end, Duration held)
{
    auto& call = m_calls.at(callId);
    auto& ingress = *m_ingresses[call.ingress];
    for (const auto id : call.out) {
        const auto& upstream = *m_upstreams[m_attempts.at(id).upstream];
        ingress.router.onAttemptAbandoned(upstream.name, call.group);
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

RunTally PolicyRun::run()
{
    m_loop.run(Instant(m_scenario.length + m_deployment.deadline + 1s));
    return std::move(m_tally);
}

} // namespace robinrun::bench
