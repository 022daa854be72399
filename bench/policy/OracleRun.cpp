#include "OracleRun.h"

#include <algorithm>

namespace robinrun::bench {
namespace {

    /// A server that takes longer than this many times its usual time is left alone.
    constexpr double usableFactor = 1.3;
    constexpr Duration watchEvery = 20ms;

    Admission::Options queueOptions(const Deployment& deployment)
    {
        Admission::Options options;
        options.slots = deployment.slots * deployment.upstreams;
        options.queueLimit = options.queueLimit * deployment.upstreams;
        options.initialSlotTime = deployment.meanService;
        return options;
    }

} // namespace

OracleRun::OracleRun(const Deployment& deployment, const Scenario& scenario, std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_queue(queueOptions(deployment))
    , m_isOut(deployment.upstreams, false)
    , m_inUse(deployment.upstreams, 0)
    , m_arrivals(m_loop, m_deployment, m_scenario, seed,
          [this](std::uint32_t group, std::uint32_t ingress) { arrive(group, ingress); })
{
    for (std::uint32_t i = 0; i < deployment.upstreams; ++i)
        m_backends.emplace_back(deployment, seed * 100 + i);
    for (std::uint32_t i = 0; i < scenario.groups.size(); ++i)
        m_queue.setGroupWeight(i, scenario.groups[i].weight);
    m_tally.groups.resize(scenario.groups.size());
    schedule();
}

void OracleRun::schedule()
{
    const auto kind = m_scenario.kind;
    const auto start = Instant(m_scenario.faultStart);
    const auto end = Instant(m_scenario.faultEnd);
    const bool hurtsOne = m_scenario.isSlow() || kind == ScenarioKind::FailFast
        || kind == ScenarioKind::ColdStart || kind == ScenarioKind::Draining
        || kind == ScenarioKind::HallLost;
    if (!hurtsOne)
        return;
    m_loop.at(start, [this, kind] {
        for (std::size_t i = 0; i < m_isOut.size(); ++i)
            m_isOut[i] = kind == ScenarioKind::HallLost ? i % m_deployment.halls == 1 : i == 0;
        updateSlots();
    });
    m_loop.at(end, [this, kind] {
        if (kind != ScenarioKind::HallLost && kind != ScenarioKind::Draining)
            std::fill(m_isOut.begin(), m_isOut.end(), false);
        if (kind == ScenarioKind::ColdStart)
            m_backends[0].coldSince = m_loop.now();
        updateSlots();
    });
    for (Duration t {}; t < m_scenario.length; t += watchEvery)
        m_loop.at(Instant(t), [this] { updateSlots(); });
}

bool OracleRun::isUsable(std::size_t upstream) const
{
    return !m_isOut[upstream] && m_backends[upstream].coldFactor(m_loop.now()) < usableFactor;
}

void OracleRun::updateSlots()
{
    std::uint32_t slots = 0;
    for (std::size_t i = 0; i < m_backends.size(); ++i)
        slots += isUsable(i) ? m_deployment.slots : m_inUse[i];
    m_queue.setSlots(slots);
}

void OracleRun::arrive(std::uint32_t group, std::uint32_t ingress)
{
    const auto id = ++m_lastId;
    m_calls[id] = { group, ingress, m_loop.now() };
    m_tally.groups[group].demand += m_deployment.meanService;
    OfferedCall offer;
    offer.id = id;
    offer.group = group;
    offer.deadline = m_loop.now() + m_deployment.deadline;
    act(m_queue.offer(offer, m_loop.now()));
}

void OracleRun::act(const AdmissionResult& dispatch)
{
    for (const auto& it : dispatch.refusals) {
        ++m_tally.groups[m_calls.at(it.id).group].refused;
        m_calls.erase(it.id);
    }
    for (const auto id : dispatch.callsToRun)
        start(id);
}

void OracleRun::start(std::uint64_t id)
{
    const auto call = m_calls.at(id);
    std::size_t best = m_backends.size();
    Duration bestDelay = Duration::max();
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        const bool isNear = i % m_deployment.halls == call.ingress % m_deployment.halls;
        const auto delay = isNear ? m_deployment.insideHall : m_deployment.betweenHalls;
        if (isUsable(i) && m_inUse[i] < m_deployment.slots && delay < bestDelay) {
            best = i;
            bestDelay = delay;
        }
    }
    if (best == m_backends.size())
        best = 0; // only while the slots are being counted anew
    ++m_inUse[best];
    const auto held = m_backends[best].run(m_loop.now()).held;
    m_loop.after(held, [this, id, best, bestDelay, held] {
        --m_inUse[best];
        const auto call = m_calls.at(id);
        auto& tally = m_tally.groups[call.group];
        ++tally.answered;
        tally.slotTime += held;
        tally.latencyUs.push_back((m_loop.now() - call.arrived + 2 * bestDelay).count());
        m_calls.erase(id);
        const auto next = m_queue.onRunEnded(id, RunOutcome::Answered, m_loop.now());
        updateSlots();
        act(next);
    });
}

RunTally OracleRun::run()
{
    m_loop.run(Instant(m_scenario.length + m_deployment.deadline));
    return std::move(m_tally);
}

} // namespace robinrun::bench
