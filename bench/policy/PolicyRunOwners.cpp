#include "PolicyRun.h"

/// \file The owners' side of a run: admission, the backend servers and probes.

namespace robinrun::bench {
namespace {

    /// Work that starts longer than this after a server began to drain is RunTally::newWorkAfterDrain.
    constexpr Duration drainGrace = 2s;

} // namespace

void PolicyRun::takeAtOwner(std::uint64_t attemptId, Duration elsewhere, Instant deadline)
{
    auto& attempt = m_attempts.at(attemptId);
    auto& upstream = *m_upstreams[attempt.upstream];
    const auto call = m_calls.find(attempt.call);
    if (upstream.isDead || call == m_calls.end())
        return;
    attempt.arrivedAtOwner = m_loop.now();
    ++upstream.inHand[{ call->second.ingress, call->second.group }];
    OfferedCall offer;
    offer.id = attemptId;
    offer.group = call->second.group;
    offer.deadline = deadline;
    offer.slotTimeElsewhere = elsewhere;
    act(attempt.upstream, upstream.admission.offer(offer, m_loop.now()));
}

void PolicyRun::act(std::size_t upstream, const AdmissionResult& dispatch)
{
    for (const auto& it : dispatch.refusals)
        answer(it.id, End::Refused, it.reason, {});
    for (const auto id : dispatch.callsToRun)
        runAt(upstream, id);
}

void PolicyRun::runAt(std::size_t index, std::uint64_t attemptId)
{
    auto& upstream = *m_upstreams[index];
    auto& attempt = m_attempts.at(attemptId);
    attempt.isRunning = true;
    if (m_loop.now() - drainGrace > upstream.drainingSince)
        ++m_tally.newWorkAfterDrain;
    if (upstream.backend.isDown) {
        constexpr Duration connectRefused = 100us;
        m_loop.after(connectRefused, [this, index, attemptId] {
            auto& owner = *m_upstreams[index];
            if (owner.isDead)
                return;
            owner.errors.add(1);
            const auto next = owner.admission.onRunEnded(attemptId, RunOutcome::Answered, m_loop.now());
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
    const auto next = upstream.admission.onRunEnded(attemptId, RunOutcome::Answered, m_loop.now());
    answer(attemptId, run.isFailure ? End::Failed : End::Answered, Reason::None, run.held);
    act(index, next);
}

OwnerReport PolicyRun::reportOf(std::size_t index, std::uint32_t ingress, std::uint32_t group)
{
    auto& upstream = *m_upstreams[index];
    OwnerReport report;
    report.load = upstream.admission.loadForGroup(group, m_loop.now());
    report.queuedCalls = upstream.admission.load(m_loop.now()).waitingCalls;
    report.callsOfThisIngress = upstream.inHand[{ ingress, group }];
    report.errorShare = upstream.errors.value();
    const bool lies = m_scenario.has(ScenarioKind::LyingLoad) && index == 0 && !isOwn();
    if (lies) {
        // Baselines know load from the server's own endpoint; robinrun never asks it.
        report.load.slotsInUse = 0;
        report.load.waitingCalls = 0;
        report.queuedCalls = 0;
        report.load.meanSlotTime = m_deployment.meanService / 10;
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
        heard.receivedAt = m_loop.now();
        takeAnswer(attemptId, heard, end, reason, held, isLeaving);
    });
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
    act(index, upstream.admission.onRunEnded(attemptId, RunOutcome::Answered, m_loop.now()));
}

void PolicyRun::probeTick(std::size_t index)
{
    if (m_loop.now() >= Instant(m_scenario.length))
        return;
    m_loop.after(probeEvery, [this, index] { probeTick(index); });
    auto& upstream = *m_upstreams[index];
    if (!upstream.isDead)
        act(index, upstream.admission.refuseCallsMissingDeadline(m_loop.now()));
    const auto load = upstream.admission.load(m_loop.now());
    if (upstream.isDead || upstream.isProbing || load.slotsInUse >= load.slotLimit
        || !upstream.probes.tryStartProbe(load.waitingCalls, m_loop.now()))
        return;
    upstream.isProbing = true;
    upstream.admission.holdSlot();
    ++m_tally.probes;
    const auto held = fromSeconds(toSeconds(m_deployment.probeCost) * upstream.backend.slowFactor);
    m_loop.after(held, [this, index, held] {
        auto& probed = *m_upstreams[index];
        probed.isProbing = false;
        probed.probes.onProbeEnded(held, m_loop.now());
        act(index, probed.admission.releaseSlot(m_loop.now()));
        if (probed.backend.isDraining && !probed.admission.isLeaving())
            act(index, probed.admission.setLeaving(true, m_loop.now()));
    });
}

} // namespace robinrun::bench
