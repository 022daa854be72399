#include "Routing/Choice.h"

#include "Core/Check.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace robinrun {
namespace {

    /// How many reports the hot/cold ranking samples, and the load quantile above which one is hot.
    constexpr std::size_t hotColdSample = 3;
    constexpr double hotQuantile = 0.75;

    /// Slot time to reckon with before any report: any will do that lets own calls in flight count.
    constexpr double unknownServiceSeconds = 0.01;

    double reportedLoad(const UpstreamView& view)
    {
        if (!view.report())
            return view.inFlight();
        return view.report()->load.slotsInUse + view.report()->load.waitingCalls;
    }

    double reportedService(const UpstreamView& view)
    {
        return view.report() ? toSeconds(view.report()->load.meanSlotTime) : 0;
    }

    /// \returns the candidate with the least score; ties go to one of them at random.
    template <class Score>
    std::size_t leastBy(std::span<const std::size_t> candidates, Random& random, Score score)
    {
        double least = std::numeric_limits<double>::infinity();
        std::size_t best = candidates.front();
        std::size_t ties = 0;
        for (const auto it : candidates) {
            const double s = score(it);
            if (s < least) {
                least = s;
                best = it;
                ties = 1;
            } else if (s == least && random.below(++ties) == 0) {
                best = it;
            }
        }
        return best;
    }

    /// \brief Draws up to \a n different candidates into \a out.
    void sampleInto(
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

std::size_t RandomChoice::operator()(const ChoiceInput& in, Random& random)
{
    return in.candidates[random.below(in.candidates.size())];
}

std::size_t RoundRobinChoice::operator()(const ChoiceInput& in, Random&)
{
    return in.candidates[next++ % in.candidates.size()];
}

std::size_t LeastInFlightChoice::operator()(const ChoiceInput& in, Random& random)
{
    return leastBy(in.candidates, random, [&](std::size_t i) { return double(in.views[i].inFlight()); });
}

std::size_t PowerOfTwoChoice::operator()(const ChoiceInput& in, Random& random)
{
    std::vector<std::size_t> two;
    sampleInto(two, in.candidates, 2, random);
    return leastBy(two, random, [&](std::size_t i) { return reportedLoad(in.views[i]); });
}

std::size_t HotColdChoice::operator()(const ChoiceInput& in, Random& random)
{
    std::vector<double> loads;
    loads.reserve(in.candidates.size());
    for (const auto it : in.candidates)
        loads.push_back(reportedLoad(in.views[it]));
    const auto rank = static_cast<std::ptrdiff_t>(hotQuantile * static_cast<double>(loads.size() - 1));
    std::nth_element(loads.begin(), loads.begin() + rank, loads.end());
    const double threshold = loads[static_cast<std::size_t>(rank)];
    std::vector<std::size_t> sampled;
    sampleInto(sampled, in.candidates, hotColdSample, random);
    std::vector<std::size_t> cold;
    std::copy_if(sampled.begin(), sampled.end(), std::back_inserter(cold),
        [&](std::size_t i) { return reportedLoad(in.views[i]) < threshold; });
    if (cold.empty())
        return leastBy(sampled, random, [&](std::size_t i) { return reportedLoad(in.views[i]); });
    return leastBy(cold, random, [&](std::size_t i) { return reportedService(in.views[i]); });
}

ExpectedDelayChoice::Means ExpectedDelayChoice::meansOf(const ChoiceInput& in)
{
    Means means;
    means.serviceSeconds = unknownServiceSeconds;
    m_services.clear();
    for (const auto it : in.candidates) {
        const auto& view = in.views[it];
        if (!view.report())
            continue;
        means.othersPerSlot += view.othersReported(in.group) / std::max(1U, view.slots());
        m_services.push_back(reportedService(view));
    }
    if (m_services.empty())
        return means;
    means.othersPerSlot /= static_cast<double>(m_services.size());
    const auto middle = m_services.begin() + static_cast<std::ptrdiff_t>((m_services.size() - 1) / 2);
    std::nth_element(m_services.begin(), middle, m_services.end());
    means.serviceSeconds = *middle;
    return means;
}

double ExpectedDelayChoice::serviceOf(const UpstreamView& view, const Means& means, Instant now) const
{
    if (!view.report())
        return means.serviceSeconds;
    const double reported = reportedService(view);
    const bool isAlike
        = reported < means.serviceSeconds * options.alike && reported * options.alike > means.serviceSeconds;
    if (isAlike)
        return means.serviceSeconds;
    const double fresh = freshness(now - view.report()->heard, options.speedMemory);
    return means.serviceSeconds + (reported - means.serviceSeconds) * fresh;
}

double ExpectedDelayChoice::delay(const UpstreamView& view, const Means& means, const ChoiceInput& in) const
{
    const double slots = std::max(1U, view.slots());
    const double service = serviceOf(view, means, in.now);
    double others = means.othersPerSlot * slots;
    if (view.report())
        others += (view.othersReported(in.group) - others)
            * freshness(in.now - view.report()->heard, options.newsMemory);
    const double usable = slots * view.warmth(options.warmUp, in.now);
    const bool hasQueue = view.report() && view.report()->queued > view.slots() / 2;
    const double own = hasQueue ? view.inFlightOf(in.group) : view.inFlight();
    const double load = view.inFlightOf(in.group) + others;
    const double wait = service * std::max(0.0, load + 1 - usable) / usable;
    const double fill = options.loadSlope * (options.ownWeight * own + others) / usable;
    const double crowding = service * fill / (1 + fill / options.maxCrowding);
    const double failures = std::min(view.errorShare(in.now), 0.95);
    return (toSeconds(view.roundTrip()) + wait + crowding + service) / (1 - failures);
}

std::size_t ExpectedDelayChoice::operator()(const ChoiceInput& in, Random& random)
{
    const auto means = meansOf(in);
    sampleInto(m_sampled, in.candidates, options.sample, random);
    return leastBy(m_sampled, random, [&](std::size_t i) { return delay(in.views[i], means, in); });
}

Duration TimelyChoice::expected(const UpstreamView& view, const ChoiceInput& in) const
{
    const double usable = std::max(1U, view.slots());
    double others = 0;
    double slowdown = 1;
    Duration service = in.work.expectedSlotTime(1).value_or(Duration::zero());
    if (const auto& report = view.report()) {
        const auto age = in.now - report->heard;
        const double busy = double(report->load.slotsInUse) + report->queued - report->yours;
        others = std::max(0.0, busy) * freshness(age, options.loadMemory);
        slowdown += (report->load.slowdown - 1) * freshness(age, options.slowdownMemory);
        service = report->load.meanSlotTime;
    }
    const double load = view.inFlight() + others;
    const double wait = toSeconds(service) * std::max(0.0, load + 1 - usable) / usable;
    const double work = toSeconds(in.work.expectedSlotTime(1).value_or(Duration::zero())) * slowdown;
    return view.roundTrip() + std::max(fromSeconds(wait), view.coldWait(in.now)) + fromSeconds(work);
}

double TimelyChoice::loss(const UpstreamView& view, const ChoiceInput& in) const
{
    const auto time = expected(view, in);
    if (in.targetLatency <= Duration::zero())
        return toSeconds(time);
    require(in.lateChance, "TimelyChoice: the chance to be late is known");
    const double part = toSeconds(time) / toSeconds(in.targetLatency);
    const double late = in.lateChance->of(time, in.targetLatency);
    const double failed = 1 - (1 - late) * (1 - view.errorShare(in.now));
    const double bytes = std::clamp(in.relativeBytes, options.leastRelativeBytes, options.mostRelativeBytes);
    return failed + options.delayLoss * part + (view.isFar() ? options.farLoss * bytes : 0);
}

std::size_t TimelyChoice::operator()(const ChoiceInput& in, Random& random)
{
    return leastBy(in.candidates, random, [&](std::size_t i) { return loss(in.views[i], in); });
}

Choice makeChoice(ChoiceKind kind)
{
    switch (kind) {
    case ChoiceKind::Random:
        return RandomChoice {};
    case ChoiceKind::RoundRobin:
        return RoundRobinChoice {};
    case ChoiceKind::LeastInFlight:
        return LeastInFlightChoice {};
    case ChoiceKind::PowerOfTwo:
        return PowerOfTwoChoice {};
    case ChoiceKind::HotCold:
        return HotColdChoice {};
    case ChoiceKind::Timely:
        return TimelyChoice {};
    case ChoiceKind::ExpectedDelay:
        break;
    }
    return ExpectedDelayChoice {};
}

std::optional<std::size_t> choose(Choice& choice, const ChoiceInput& in, Random& random)
{
    if (in.candidates.empty())
        return std::nullopt;
    return std::visit([&](auto& it) { return it(in, random); }, choice);
}

} // namespace robinrun
