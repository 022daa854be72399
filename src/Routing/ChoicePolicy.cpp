#include "Routing/ChoicePolicy.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace robinrun {
namespace {

    /// Number of candidates that HotColdChoice samples, and the quantile of the load from which one is hot.
    constexpr std::size_t hotColdSampleSize = 3;
    constexpr double hotLoadQuantile = 0.75;

    /// Slot time assumed before the first report. Any value above 0 makes calls in flight count.
    constexpr double defaultSlotSeconds = 0.01;

    double reportedLoad(const UpstreamView& view)
    {
        if (!view.report())
            return view.inFlight();
        return view.report()->load.slotsInUse + view.report()->load.waitingCalls;
    }

    double reportedSlotSeconds(const UpstreamView& view)
    {
        return view.report() ? toSeconds(view.report()->load.meanSlotTime) : 0;
    }

    /// \returns the candidate with the least score; breaks ties at random.
    template <class Score>
    std::size_t candidateWithLeastScore(std::span<const std::size_t> candidates, Random& random, Score score)
    {
        double leastScore = std::numeric_limits<double>::infinity();
        std::size_t best = candidates.front();
        std::size_t ties = 0;
        for (const auto it : candidates) {
            const double candidateScore = score(it);
            if (candidateScore < leastScore) {
                leastScore = candidateScore;
                best = it;
                ties = 1;
            } else if (candidateScore == leastScore && random.below(++ties) == 0) {
                best = it;
            }
        }
        return best;
    }

    /// \brief Fills \a out with up to \a n different random candidates.
    void drawSample(
        std::vector<std::size_t>& out, std::span<const std::size_t> candidates, std::size_t n, Random& random)
    {
        out.assign(candidates.begin(), candidates.end());
        if (out.size() <= n)
            return;
        for (std::size_t i = 0; i < n; ++i)
            std::swap(out[i], out[i + random.below(out.size() - i)]);
        out.resize(n);
    }

} // namespace

std::size_t RandomChoice::operator()(const ChoiceInput& input, Random& random)
{
    return input.candidates[random.below(input.candidates.size())];
}

std::size_t RoundRobinChoice::operator()(const ChoiceInput& input, Random&)
{
    return input.candidates[nextPosition++ % input.candidates.size()];
}

std::size_t LeastInFlightChoice::operator()(const ChoiceInput& input, Random& random)
{
    return candidateWithLeastScore(
        input.candidates, random, [&](std::size_t i) { return double(input.views[i].inFlight()); });
}

std::size_t PowerOfTwoChoice::operator()(const ChoiceInput& input, Random& random)
{
    std::vector<std::size_t> sampled;
    drawSample(sampled, input.candidates, 2, random);
    return candidateWithLeastScore(
        sampled, random, [&](std::size_t i) { return reportedLoad(input.views[i]); });
}

std::size_t HotColdChoice::operator()(const ChoiceInput& input, Random& random)
{
    std::vector<double> loads;
    loads.reserve(input.candidates.size());
    for (const auto it : input.candidates)
        loads.push_back(reportedLoad(input.views[it]));
    const auto thresholdIndex
        = static_cast<std::ptrdiff_t>(hotLoadQuantile * static_cast<double>(loads.size() - 1));
    std::nth_element(loads.begin(), loads.begin() + thresholdIndex, loads.end());
    const double threshold = loads[static_cast<std::size_t>(thresholdIndex)];
    std::vector<std::size_t> sampled;
    drawSample(sampled, input.candidates, hotColdSampleSize, random);
    std::vector<std::size_t> cold;
    std::copy_if(sampled.begin(), sampled.end(), std::back_inserter(cold),
        [&](std::size_t i) { return reportedLoad(input.views[i]) < threshold; });
    if (cold.empty())
        return candidateWithLeastScore(
            sampled, random, [&](std::size_t i) { return reportedLoad(input.views[i]); });
    return candidateWithLeastScore(
        cold, random, [&](std::size_t i) { return reportedSlotSeconds(input.views[i]); });
}

ExpectedDelayChoice::CandidateSummary ExpectedDelayChoice::summarizeCandidates(const ChoiceInput& input)
{
    CandidateSummary summary;
    summary.medianSlotSeconds = defaultSlotSeconds;
    m_slotSeconds.clear();
    for (const auto it : input.candidates) {
        const auto& view = input.views[it];
        if (!view.report())
            continue;
        summary.otherCallsPerSlot += view.reportedOtherCalls(input.group) / std::max(1U, view.slots());
        m_slotSeconds.push_back(reportedSlotSeconds(view));
    }
    if (m_slotSeconds.empty())
        return summary;
    summary.otherCallsPerSlot /= static_cast<double>(m_slotSeconds.size());
    const auto median = m_slotSeconds.begin() + static_cast<std::ptrdiff_t>((m_slotSeconds.size() - 1) / 2);
    std::nth_element(m_slotSeconds.begin(), median, m_slotSeconds.end());
    summary.medianSlotSeconds = *median;
    return summary;
}

double ExpectedDelayChoice::slotSecondsOf(
    const UpstreamView& view, const CandidateSummary& summary, Instant now) const
{
    if (!view.report())
        return summary.medianSlotSeconds;
    const double reported = reportedSlotSeconds(view);
    const bool isNearMedian = reported < summary.medianSlotSeconds * options.equalSlotTimeFactor
        && reported * options.equalSlotTimeFactor > summary.medianSlotSeconds;
    if (isNearMedian)
        return summary.medianSlotSeconds;
    const double reportFreshness = freshness(now - view.report()->receivedAt, options.slotTimeDecayTime);
    return summary.medianSlotSeconds + (reported - summary.medianSlotSeconds) * reportFreshness;
}

double ExpectedDelayChoice::expectedDelaySeconds(
    const UpstreamView& view, const CandidateSummary& summary, const ChoiceInput& input) const
{
    const double slots = std::max(1U, view.slots());
    const double slotSeconds = slotSecondsOf(view, summary, input.now);
    double otherCalls = summary.otherCallsPerSlot * slots;
    if (view.report())
        otherCalls += (view.reportedOtherCalls(input.group) - otherCalls)
            * freshness(input.now - view.report()->receivedAt, options.loadDecayTime);
    const double usableSlots = slots * view.usableSlotShare(options.slowStartDuration, input.now);
    const bool hasQueue = view.report() && view.report()->queuedCalls > view.slots() / 2;
    const double ownCalls = hasQueue ? view.inFlightOf(input.group) : view.inFlight();
    const double calls = view.inFlightOf(input.group) + otherCalls;
    const double slotWaitSeconds = slotSeconds * std::max(0.0, calls + 1 - usableSlots) / usableSlots;
    const double waitSeconds = std::max(slotWaitSeconds, toSeconds(view.serverLimitWait(input.now)));
    const double utilization
        = options.loadPenaltySlope * (options.ownCallWeight * ownCalls + otherCalls) / usableSlots;
    const double loadPenalty = slotSeconds * utilization / (1 + utilization / options.maxLoadPenalty);
    const double failureShare = std::min(view.errorShare(input.now), 0.95);
    return (toSeconds(view.roundTrip()) + waitSeconds + loadPenalty + slotSeconds) / (1 - failureShare);
}

std::size_t ExpectedDelayChoice::operator()(const ChoiceInput& input, Random& random)
{
    const auto summary = summarizeCandidates(input);
    drawSample(m_sampledCandidates, input.candidates, options.sampleSize, random);
    return candidateWithLeastScore(m_sampledCandidates, random,
        [&](std::size_t i) { return expectedDelaySeconds(input.views[i], summary, input); });
}

Duration TimelyChoice::expectedTime(const UpstreamView& view, const ChoiceInput& input) const
{
    const double slots = std::max(1U, view.slots());
    double otherCalls = 0;
    double slowdown = 1;
    Duration slotTime = input.workEstimate.expectedSlotTime(1).value_or(Duration::zero());
    if (const auto& report = view.report()) {
        const auto age = input.now - report->receivedAt;
        const double reportedCalls
            = double(report->load.slotsInUse) + report->queuedCalls - report->callsOfThisIngress;
        otherCalls = std::max(0.0, reportedCalls) * freshness(age, options.loadDecayTime);
        slowdown += (report->load.slowdown - 1) * freshness(age, options.slowdownDecayTime);
        slotTime = report->load.meanSlotTime;
    }
    const double calls = view.inFlight() + otherCalls;
    const double waitSeconds = toSeconds(slotTime) * std::max(0.0, calls + 1 - slots) / slots;
    const double workSeconds
        = toSeconds(input.workEstimate.expectedSlotTime(1).value_or(Duration::zero())) * slowdown;
    return view.roundTrip() + std::max(fromSeconds(waitSeconds), view.pacingWait(input.now))
        + fromSeconds(workSeconds);
}

double TimelyChoice::expectedLoss(const UpstreamView& view, const ChoiceInput& input) const
{
    const auto responseTime = expectedTime(view, input);
    if (input.remainingTargetLatency <= Duration::zero())
        return toSeconds(responseTime);
    require(input.latenessEstimate, "TimelyChoice: a call with a target latency has a lateness estimate");
    const double targetShare = toSeconds(responseTime) / toSeconds(input.remainingTargetLatency);
    const double lateProbability
        = input.latenessEstimate->lateProbability(responseTime, input.remainingTargetLatency);
    const double failureProbability = 1 - (1 - lateProbability) * (1 - view.errorShare(input.now));
    const double relativeBytes
        = std::clamp(input.relativeBytes, options.minRelativeBytes, options.maxRelativeBytes);
    return failureProbability + options.delayLossPerTarget * targetShare
        + (view.isFar() ? options.farLoss * relativeBytes : 0);
}

std::size_t TimelyChoice::operator()(const ChoiceInput& input, Random& random)
{
    return candidateWithLeastScore(
        input.candidates, random, [&](std::size_t i) { return expectedLoss(input.views[i], input); });
}

ChoicePolicy makeChoicePolicy(ChoicePolicyKind kind)
{
    switch (kind) {
    case ChoicePolicyKind::Random:
        return RandomChoice {};
    case ChoicePolicyKind::RoundRobin:
        return RoundRobinChoice {};
    case ChoicePolicyKind::LeastInFlight:
        return LeastInFlightChoice {};
    case ChoicePolicyKind::PowerOfTwo:
        return PowerOfTwoChoice {};
    case ChoicePolicyKind::HotCold:
        return HotColdChoice {};
    case ChoicePolicyKind::Timely:
        return TimelyChoice {};
    case ChoicePolicyKind::ExpectedDelay:
        break;
    }
    return ExpectedDelayChoice {};
}

std::optional<std::size_t> chooseUpstream(ChoicePolicy& policy, const ChoiceInput& input, Random& random)
{
    if (input.candidates.empty())
        return std::nullopt;
    return std::visit([&](auto& it) { return it(input, random); }, policy);
}

} // namespace robinrun
