#pragma once

#include "Core/EnumNames.h"
#include "Core/Random.h"
#include "Core/Time.h"
#include "Queueing/ClassSlotTimeEstimate.h"
#include "Routing/LatenessEstimate.h"
#include "Routing/UpstreamView.h"

#include <cstddef>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace robinrun {

/// \brief The ways to choose an upstream. All but the last are kept as baselines to measure against.
enum class ChoicePolicyKind {
    Random,
    RoundRobin,
    LeastInFlight,
    PowerOfTwo,
    HotCold,
    ExpectedDelay,
    Timely,
};

template <> struct EnumNames<ChoicePolicyKind> {
    static constexpr std::array<std::string_view, 7> names { "random", "round-robin", "least-in-flight",
        "power-of-two", "hot-cold", "robinrun", "timely" };
};

/// \brief Candidates of one decision: indexes into `views` that may be chosen.
struct ChoiceInput {
    std::span<const UpstreamView> views;
    std::span<const std::size_t> candidates;
    Instant now {};
    std::uint32_t group = 0;
    Duration remainingTargetLatency {}; ///< what is left of it; 0: none
    ClassSlotTimeEstimate workEstimate {}; ///< slot times of such calls
    const LatenessEstimate* latenessEstimate
        = nullptr; ///< of such calls; needed where there is a target latency
    double relativeBytes = 1; ///< of such a call and its answer, over those of a mean call
};

/// \brief Uniform choice, blind to load.
struct RandomChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Each candidate in turn, blind to load.
struct RoundRobinChoice {
    std::size_t nextPosition = 0;
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Least own calls in flight; ties at random.
struct LeastInFlightChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief The less loaded of two random candidates, by the last report as it stands.
struct PowerOfTwoChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Probing with hot/cold ranking: of a few sampled reports those above a load quantile are hot; among
/// the cold ones the least latency wins, and if all are hot the least load.
struct HotColdChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief robinrun's own: the least expected delay, from own calls (exact) and others' (stale, by age).
///
/// Expected delay = round trip + wait for a slot + slot time. Others' calls are taken from the owner's last
/// report and decay towards the mean over the candidates as the report ages, so old news of an idle or a busy
/// upstream counts less and less. Own calls in flight weigh more than they are: they are the one exact
/// figure, and spread each ingress's calls evenly, so that ingresses with the same news don't all follow it.
/// Cost: O(candidates); about 15 ns each.
/// \sa docs/design/choice.md
struct ExpectedDelayChoice {
    struct Options {
        Duration loadDecayTime = 60ms; ///< time constant for others' calls
        Duration slotTimeDecayTime = 2s; ///< time constant for the slot time
        double equalSlotTimeFactor
            = 1.5; ///< slot times within this factor of the median are taken as equal: they differ by chance
        Duration slowStartDuration = 5s; ///< length of the slow start
        std::size_t sampleSize = 8; ///< candidates compared
        double loadPenaltySlope
            = 0.5; ///< part of a slot time that a full set of slots counts for below saturation
        double ownCallWeight = 8; ///< how many calls one own call in flight counts for, below saturation
        double maxLoadPenalty = 10; ///< bound of what load below saturation counts for, in slot times
    };
    Options options {};
    std::size_t operator()(const ChoiceInput& input, Random& random);

private:
    struct CandidateSummary {
        double otherCallsPerSlot = 0;
        double medianSlotSeconds = 0; ///< the median
    };
    CandidateSummary summarizeCandidates(const ChoiceInput& input);
    double slotSecondsOf(const UpstreamView& view, const CandidateSummary& summary, Instant now) const;
    double expectedDelaySeconds(
        const UpstreamView& view, const CandidateSummary& summary, const ChoiceInput& input) const;
    std::vector<std::size_t> m_sampledCandidates;
    std::vector<double> m_slotSeconds;
};

/// \brief The least expected loss of credit, for calls with a target latency.
///
/// An answer in time is worth 1, a late one next to nothing; so what counts is the chance to be late, not the
/// delay itself: a near upstream that is in time goes before a faster one far away. The expected time is
/// round trip + wait for a slot + calm slot time x the slow-down that the owner last told of; owners tell of
/// each change. An upstream that is slow without telling is not known by this. Calls without a target go by
/// the time alone.
/// Cost: O(candidates).
/// \sa docs/design/platform.md
struct TimelyChoice {
    struct Options {
        Duration slowdownDecayTime = 1s; ///< time constant, in case that the news of its end is lost
        Duration loadDecayTime = 500ms; ///< time constant for others' calls
        double farLoss = 0.15; ///< credit that the bytes of a mean call to another data hall cost
        double minRelativeBytes = 0.2; ///< a small call costs messages and time on its way all the same
        double maxRelativeBytes = 4; ///< a large one is not kept where it can't be served for its bytes alone
        double delayLossPerTarget = 0.1; ///< credit for each target latency that passes, among those in time
    };
    Options options {};
    std::size_t operator()(const ChoiceInput& input, Random& random);

    /// \returns the time that a call is expected to take there.
    Duration expectedTime(const UpstreamView& view, const ChoiceInput& input) const;

private:
    double expectedLoss(const UpstreamView& view, const ChoiceInput& input) const;
};

/// \brief A way to choose, with its state.
using ChoicePolicy = std::variant<RandomChoice, RoundRobinChoice, LeastInFlightChoice, PowerOfTwoChoice,
    HotColdChoice, ExpectedDelayChoice, TimelyChoice>;

/// \returns the choice of \a kind with its defaults.
ChoicePolicy makeChoicePolicy(ChoicePolicyKind kind);

/// \brief Chooses among the candidates. \returns an index into the views; nothing if there are no candidates.
std::optional<std::size_t> chooseUpstream(ChoicePolicy& policy, const ChoiceInput& input, Random& random);

} // namespace robinrun
