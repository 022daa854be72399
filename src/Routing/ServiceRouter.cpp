#include "Routing/ServiceRouter.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr std::uint32_t allGroups = 0; // pays for retries where groups share them

    /// How often errors are judged and pauses ended; decisions between use the last judgement.
    constexpr Duration judgementEvery = 20ms;
    constexpr int maxPauseDoublings = 4;
    /// Work that was never measured is taken for this part of the target latency.
    constexpr double unknownWorkShare = 0.3;

} // namespace

ServiceRouter::ServiceRouter(Options options)
    : m_options(options)
    , m_choice(makeChoice(options.kind))
    , m_ejection(options.ejection)
{
    if (auto* timely = std::get_if<TimelyChoice>(&m_choice))
        timely->options.farLoss = options.farLoss;
}

UpstreamView* ServiceRouter::viewOf(const std::string& name)
{
    const auto it = m_index.find(name);
    return it == m_index.end() ? nullptr : &m_views[it->second];
}

const UpstreamView* ServiceRouter::find(const std::string& upstream) const
{
    const auto it = m_index.find(upstream);
    return it == m_index.end() ? nullptr : &m_views[it->second];
}

RetryBudget& ServiceRouter::budgetOf(std::uint32_t group)
{
    const auto payer = m_options.sharesRetries ? allGroups : group;
    return m_budgets.try_emplace(payer, m_options.retryFraction, m_options.retryBurst).first->second;
}

void ServiceRouter::setUpstreams(const std::vector<RouteTarget>& targets, Instant now)
{
    const bool isFirst = m_views.empty();
    std::vector<UpstreamView> views;
    std::unordered_map<std::string, std::size_t> index;
    for (const auto& it : targets) {
        index[it.name] = views.size();
        if (auto* known = viewOf(it.name)) {
            known->setSlots(it.slots);
            known->setFar(it.isFar);
            views.push_back(std::move(*known));
            continue;
        }
        views.emplace_back(it.name, it.slots, it.roundTrip, it.isFar);
        if (!isFirst)
            views.back().restartWarmUp(now);
    }
    const bool isSameOrder = index == m_index;
    m_views = std::move(views);
    m_index = std::move(index);
    if (!isSameOrder)
        m_ejection = Ejection(m_options.ejection);
}

void ServiceRouter::setRetryFraction(double fraction)
{
    setRetryBounds(fraction, m_options.retryBurst);
}

void ServiceRouter::setRetryBurst(double burst)
{
    setRetryBounds(m_options.retryFraction, burst);
}

void ServiceRouter::setRetryBounds(double fraction, double burst)
{
    m_options.retryFraction = fraction;
    m_options.retryBurst = burst;
    for (auto& [group, budget] : m_budgets)
        budget.setBounds(fraction, burst);
}

double ServiceRouter::savedRetries() const
{
    double out = 0;
    for (const auto& [group, budget] : m_budgets)
        out += budget.saved();
    return out;
}

void ServiceRouter::measuredWork(std::string_view callClass, Duration held, double slowdown)
{
    viewOfClass(callClass).work.addSample(held, slowdown);
}

void ServiceRouter::took(std::string_view callClass, Duration actual, Duration expected)
{
    viewOfClass(callClass).lateChance.took(actual, expected);
}

ServiceRouter::ClassView& ServiceRouter::viewOfClass(std::string_view callClass)
{
    auto it = m_classes.find(callClass);
    if (it == m_classes.end())
        it = m_classes.emplace(std::string(callClass), ClassView()).first;
    return it->second;
}

Duration ServiceRouter::usualWork(std::string_view callClass, Duration targetLatency) const
{
    const auto it = m_classes.find(callClass);
    const auto guess = fromSeconds(toSeconds(targetLatency) * unknownWorkShare);
    return it == m_classes.end() ? guess : it->second.work.expectedSlotTime(1).value_or(guess);
}

ChoiceInput ServiceRouter::inputFor(const RouteNeeds& needs, Instant now) const
{
    const auto it = m_classes.find(needs.callClass);
    const bool isKnown = it != m_classes.end();
    ClassSlotTimeEstimate work;
    if (!isKnown)
        work.addSample(usualWork(needs.callClass, needs.targetLatency), 1);
    return { m_views, m_candidates, now, needs.group, needs.targetLatency, isKnown ? it->second.work : work,
        isKnown ? &it->second.lateChance : &m_unknownChance, needs.relativeBytes };
}

Duration ServiceRouter::expectedAt(const std::string& upstream, const RouteNeeds& needs, Instant now)
{
    const auto* view = viewOf(upstream);
    return view ? TimelyChoice {}.expected(*view, inputFor(needs, now)) : Duration::zero();
}

double ServiceRouter::slowdownOf(const std::string& upstream)
{
    const auto* view = viewOf(upstream);
    return view && view->report() ? view->report()->load.slowdown : 1;
}

Duration ServiceRouter::workClockOf(const std::string& upstream, Instant now)
{
    const auto* view = viewOf(upstream);
    return view ? view->workClock().read(now) : Duration::zero();
}

Duration ServiceRouter::remainingAt(const std::string& upstream, std::string_view callClass, Duration done)
{
    const auto* view = viewOf(upstream);
    return view ? m_remaining.of(callClass, done, view->workClock().slowdown()) : Duration::zero();
}

void ServiceRouter::heard(const std::string& upstream, const Report& report, Instant now)
{
    auto* view = viewOf(upstream);
    if (!view)
        return;
    if (const auto slowPhase = view->heard(report))
        m_remaining.slowPhaseEnded(*slowPhase);
    if (report.load.isUnreachable)
        pauseLost(*view, now);
    else if (view->state() == UpstreamState::Lost)
        revive(upstream, now);
}

void ServiceRouter::revive(const std::string& upstream, Instant now)
{
    m_pauses.erase(upstream);
    if (auto* view = viewOf(upstream))
        view->setState(UpstreamState::Active, now);
}

void ServiceRouter::endPauses(Instant now)
{
    for (auto& [name, pause] : m_pauses) {
        auto* view = viewOf(name);
        if (!view || view->state() == UpstreamState::Active || now < pause.until)
            continue;
        if (view->state() == UpstreamState::Lost)
            view->startTrial();
        view->setState(UpstreamState::Active, now);
    }
}

void ServiceRouter::pause(UpstreamView& view, UpstreamState state, Duration length, Instant now)
{
    auto& it = m_pauses[view.name()];
    it.length = length;
    it.until = now + length;
    view.setState(state, now);
}

std::optional<std::string> ServiceRouter::pick(
    std::span<const std::string> excluded, const RouteNeeds& needs, Instant now, Random& random)
{
    if (now >= m_nextJudgement) {
        m_nextJudgement = now + judgementEvery;
        endPauses(now);
        if (m_options.ejects) {
            for (const auto i : m_ejection.update(m_views, now))
                m_views[i].restartWarmUp(now);
        }
    }
    m_excluded.clear();
    for (const auto& it : excluded) {
        const auto found = m_index.find(it);
        if (found != m_index.end())
            m_excluded.push_back(found->second);
    }
    m_ejection.candidates(m_views, m_excluded, now, m_candidates);
    const auto chosen = choose(m_choice, inputFor(needs, now), random);
    if (!chosen)
        return std::nullopt;
    return m_views[*chosen].name();
}

Duration ServiceRouter::sent(const std::string& upstream, std::uint32_t group)
{
    auto* view = viewOf(upstream);
    if (!view)
        return Duration::zero();
    view->sent(group);
    auto& use = m_use[group];
    const Duration others = use.total - use.own[upstream];
    const auto [it, isFirst] = use.othersAtLastSend.try_emplace(upstream, others);
    const Duration elsewhere = isFirst ? Duration::zero() : others - it->second;
    it->second = others;
    return elsewhere;
}

void ServiceRouter::answered(const std::string& upstream, std::uint32_t group, const Report& report,
    Duration held, bool isFailure, Instant now)
{
    auto& use = m_use[group];
    use.total += held;
    use.own[upstream] += held;
    auto* view = viewOf(upstream);
    if (!view)
        return;
    if (const auto slowPhase = view->answered(group, report, isFailure, now))
        m_remaining.slowPhaseEnded(*slowPhase);
    m_pauses.erase(upstream);
}

void ServiceRouter::lost(const std::string& upstream, std::uint32_t group, Instant now)
{
    auto* view = viewOf(upstream);
    if (!view)
        return;
    view->gotNoAnswer(group, now);
    pauseLost(*view, now);
}

std::optional<Duration> ServiceRouter::hedgeDelay() const
{
    const auto late = m_options.hedges ? m_latency.late() : std::nullopt;
    return late ? std::optional(std::max(*late, m_options.leastHedge)) : std::nullopt;
}

void ServiceRouter::pauseLost(UpstreamView& view, Instant now)
{
    if (view.state() == UpstreamState::Lost)
        return;
    pause(view, UpstreamState::Lost, longerPause(view.name(), now), now);
}

Duration ServiceRouter::longerPause(const std::string& upstream, Instant now)
{
    auto& it = m_pauses[upstream];
    if (now < it.until)
        return it.until - now;
    const auto longest = m_options.lostFor * (1 << maxPauseDoublings);
    it.length = it.length > Duration::zero() ? std::min(2 * it.length, longest) : m_options.lostFor;
    it.until = now + it.length;
    return it.length;
}

void ServiceRouter::attemptTimedOut(const std::string& upstream, Instant now)
{
    auto* view = viewOf(upstream);
    if (view && view->late() >= m_options.lateLimit)
        view->rest(now + longerPause(upstream, now));
}

void ServiceRouter::abandoned(const std::string& upstream, std::uint32_t group)
{
    if (auto* view = viewOf(upstream))
        view->abandoned(group);
}

void ServiceRouter::setLeaving(const std::string& upstream, bool isLeaving, Instant now)
{
    auto* view = viewOf(upstream);
    if (!view || (!isLeaving && view->state() != UpstreamState::Leaving))
        return;
    if (isLeaving)
        pause(*view, UpstreamState::Leaving, m_options.leavingMemory, now);
    else
        view->setState(UpstreamState::Active, now);
}

void ServiceRouter::measuredRoundTrip(const std::string& upstream, Duration roundTrip)
{
    if (auto* view = viewOf(upstream))
        view->measuredRoundTrip(roundTrip);
}

} // namespace robinrun
