#include "Routing/ServiceRouter.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr std::uint32_t sharedBudgetGroup = 0; // key of the retry budget that all groups share

    /// Interval at which ejections are updated and expired pauses ended; choices in between use the last
    /// result.
    constexpr Duration stateCheckInterval = 20ms;
    constexpr int maxPauseDoublings = 4;
    /// Slot time of a class without a recorded one, as a share of its target latency.
    constexpr double defaultSlotTimeShare = 0.3;

} // namespace

ServiceRouter::ServiceRouter(Options options)
    : m_options(options)
    , m_policy(makeChoicePolicy(options.policyKind))
    , m_ejection(options.ejection)
{
    if (auto* timely = std::get_if<TimelyChoice>(&m_policy))
        timely->options.farLoss = options.farLoss;
}

UpstreamView* ServiceRouter::viewOf(const std::string& name)
{
    const auto it = m_indexByName.find(name);
    return it == m_indexByName.end() ? nullptr : &m_views[it->second];
}

const UpstreamView* ServiceRouter::findView(const std::string& upstream) const
{
    const auto it = m_indexByName.find(upstream);
    return it == m_indexByName.end() ? nullptr : &m_views[it->second];
}

RetryBudget& ServiceRouter::budgetOf(std::uint32_t group)
{
    const auto payingGroup = m_options.sharesRetryBudget ? sharedBudgetGroup : group;
    return m_retryBudgets.try_emplace(payingGroup, m_options.retryFraction, m_options.retryBurst)
        .first->second;
}

void ServiceRouter::setUpstreams(const std::vector<UpstreamConfig>& upstreams, Instant now)
{
    const bool isFirst = m_views.empty();
    std::vector<UpstreamView> views;
    std::unordered_map<std::string, std::size_t> index;
    for (const auto& it : upstreams) {
        index[it.name] = views.size();
        if (auto* known = viewOf(it.name)) {
            known->setSlots(it.slots);
            known->setFar(it.isFar);
            views.push_back(std::move(*known));
            continue;
        }
        views.emplace_back(it.name, it.slots, it.roundTrip, it.isFar);
        if (!isFirst)
            views.back().restartSlowStart(now);
    }
    const bool isSameOrder = index == m_indexByName;
    m_views = std::move(views);
    m_indexByName = std::move(index);
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
    for (auto& [group, budget] : m_retryBudgets)
        budget.setBounds(fraction, burst);
}

double ServiceRouter::savedRetries() const
{
    double total = 0;
    for (const auto& [group, budget] : m_retryBudgets)
        total += budget.savedRetries();
    return total;
}

void ServiceRouter::recordSlotTime(std::string_view callClass, Duration slotTime, double slowdown)
{
    estimatesOf(callClass).work.addSample(slotTime, slowdown);
}

void ServiceRouter::recordResponseTime(std::string_view callClass, Duration actual, Duration expected)
{
    estimatesOf(callClass).lateness.addResponse(actual, expected);
}

ServiceRouter::ClassEstimates& ServiceRouter::estimatesOf(std::string_view callClass)
{
    auto it = m_estimatesByClass.find(callClass);
    if (it == m_estimatesByClass.end())
        it = m_estimatesByClass.emplace(std::string(callClass), ClassEstimates()).first;
    return it->second;
}

Duration ServiceRouter::expectedSlotTime(std::string_view callClass, Duration targetLatency) const
{
    const auto it = m_estimatesByClass.find(callClass);
    const auto fallback = fromSeconds(toSeconds(targetLatency) * defaultSlotTimeShare);
    return it == m_estimatesByClass.end() ? fallback : it->second.work.expectedSlotTime(1).value_or(fallback);
}

ChoiceInput ServiceRouter::choiceInputFor(const CallProfile& profile, Instant now) const
{
    const auto it = m_estimatesByClass.find(profile.callClass);
    const bool hasEstimates = it != m_estimatesByClass.end();
    ClassSlotTimeEstimate work;
    if (!hasEstimates)
        work.addSample(expectedSlotTime(profile.callClass, profile.remainingTargetLatency), 1);
    return { m_views, m_candidates, now, profile.group, profile.remainingTargetLatency,
        hasEstimates ? it->second.work : work, hasEstimates ? &it->second.lateness : &m_defaultLateness,
        profile.relativeBytes };
}

Duration ServiceRouter::expectedResponseTime(
    const std::string& upstream, const CallProfile& profile, Instant now)
{
    const auto* view = viewOf(upstream);
    return view ? TimelyChoice {}.expectedTime(*view, choiceInputFor(profile, now)) : Duration::zero();
}

double ServiceRouter::reportedSlowdown(const std::string& upstream)
{
    const auto* view = viewOf(upstream);
    return view && view->report() ? view->report()->load.slowdown : 1;
}

Duration ServiceRouter::workClockReading(const std::string& upstream, Instant now)
{
    const auto* view = viewOf(upstream);
    return view ? view->workClock().read(now) : Duration::zero();
}

Duration ServiceRouter::expectedRemainingTime(
    const std::string& upstream, std::string_view callClass, Duration completedWork)
{
    const auto* view = viewOf(upstream);
    return view ? m_remainingTime.remainingTime(callClass, completedWork, view->workClock().slowdown())
                : Duration::zero();
}

void ServiceRouter::onLoadReport(const std::string& upstream, const OwnerReport& report, Instant now)
{
    auto* view = viewOf(upstream);
    if (!view)
        return;
    if (const auto slowPhase = view->onLoadReport(report))
        m_remainingTime.addSlowPhase(*slowPhase);
    if (report.load.isUnreachable)
        pauseLostUpstream(*view, now);
    else if (view->state() == UpstreamState::Lost)
        reactivate(upstream, now);
}

void ServiceRouter::reactivate(const std::string& upstream, Instant now)
{
    m_pauses.erase(upstream);
    if (auto* view = viewOf(upstream))
        view->setState(UpstreamState::Active, now);
}

void ServiceRouter::endExpiredPauses(Instant now)
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

void ServiceRouter::pauseUpstream(UpstreamView& view, UpstreamState state, Duration length, Instant now)
{
    auto& it = m_pauses[view.name()];
    it.length = length;
    it.until = now + length;
    view.setState(state, now);
}

std::optional<std::string> ServiceRouter::pickUpstream(
    std::span<const std::string> excluded, const CallProfile& profile, Instant now, Random& random)
{
    if (now >= m_nextStateCheck) {
        m_nextStateCheck = now + stateCheckInterval;
        endExpiredPauses(now);
        if (m_options.ejectsOutliers) {
            for (const auto i : m_ejection.update(m_views, now))
                m_views[i].restartSlowStart(now);
        }
    }
    m_excluded.clear();
    for (const auto& it : excluded) {
        const auto found = m_indexByName.find(it);
        if (found != m_indexByName.end())
            m_excluded.push_back(found->second);
    }
    m_ejection.collectCandidates(m_views, m_excluded, now, m_candidates);
    const auto chosen = chooseUpstream(m_policy, choiceInputFor(profile, now), random);
    if (!chosen)
        return std::nullopt;
    return m_views[*chosen].name();
}

Duration ServiceRouter::onAttemptSent(const std::string& upstream, std::uint32_t group)
{
    auto* view = viewOf(upstream);
    if (!view)
        return Duration::zero();
    view->onAttemptSent(group);
    auto& usage = m_groupUsage[group];
    const Duration elsewhere = usage.totalSlotTime - usage.slotTimeByUpstream[upstream];
    const auto [it, isFirst] = usage.elsewhereAtLastSend.try_emplace(upstream, elsewhere);
    const Duration sinceLastSend = isFirst ? Duration::zero() : elsewhere - it->second;
    it->second = elsewhere;
    return sinceLastSend;
}

void ServiceRouter::onAttemptAnswered(const std::string& upstream, std::uint32_t group,
    const OwnerReport& report, Duration slotTime, bool isFailure, Instant now)
{
    auto& usage = m_groupUsage[group];
    usage.totalSlotTime += slotTime;
    usage.slotTimeByUpstream[upstream] += slotTime;
    auto* view = viewOf(upstream);
    if (!view)
        return;
    if (const auto slowPhase = view->onAttemptAnswered(group, report, isFailure, now))
        m_remainingTime.addSlowPhase(*slowPhase);
    m_pauses.erase(upstream);
}

void ServiceRouter::onAttemptLost(const std::string& upstream, std::uint32_t group, Instant now)
{
    auto* view = viewOf(upstream);
    if (!view)
        return;
    view->onAttemptLost(group, now);
    pauseLostUpstream(*view, now);
}

std::optional<Duration> ServiceRouter::hedgeDelay() const
{
    const auto lateThreshold = m_options.sendsHedges ? m_callLatency.lateThreshold() : std::nullopt;
    return lateThreshold ? std::optional(std::max(*lateThreshold, m_options.minHedgeDelay)) : std::nullopt;
}

void ServiceRouter::pauseLostUpstream(UpstreamView& view, Instant now)
{
    if (view.state() == UpstreamState::Lost)
        return;
    pauseUpstream(view, UpstreamState::Lost, extendPause(view.name(), now), now);
}

Duration ServiceRouter::extendPause(const std::string& upstream, Instant now)
{
    auto& it = m_pauses[upstream];
    if (now < it.until)
        return it.until - now;
    const auto maxLength = m_options.initialLostPause * (1 << maxPauseDoublings);
    it.length
        = it.length > Duration::zero() ? std::min(2 * it.length, maxLength) : m_options.initialLostPause;
    it.until = now + it.length;
    return it.length;
}

void ServiceRouter::onAttemptLate(const std::string& upstream, Instant now)
{
    auto* view = viewOf(upstream);
    if (view && view->countLateAttempt() >= m_options.lateAttemptsUntilPause)
        view->pauseUntil(now + extendPause(upstream, now));
}

void ServiceRouter::onAttemptAbandoned(const std::string& upstream, std::uint32_t group)
{
    if (auto* view = viewOf(upstream))
        view->onAttemptAbandoned(group);
}

void ServiceRouter::setLeaving(const std::string& upstream, bool isLeaving, Instant now)
{
    auto* view = viewOf(upstream);
    if (!view || (!isLeaving && view->state() != UpstreamState::Leaving))
        return;
    if (isLeaving)
        pauseUpstream(*view, UpstreamState::Leaving, m_options.leavingTimeout, now);
    else
        view->setState(UpstreamState::Active, now);
}

void ServiceRouter::recordRoundTrip(const std::string& upstream, Duration roundTrip)
{
    if (auto* view = viewOf(upstream))
        view->addRoundTripSample(roundTrip);
}

} // namespace robinrun
