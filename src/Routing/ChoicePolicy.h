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

/// \brief The policies that choose an upstream. All but the last are baselines for measurements.
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

/// \brief Input of one choice: the upstreams and the properties of the call.
struct ChoiceInput {
    std::span<const UpstreamView> views;
    std::span<const std::size_t> candidates; ///< indexes into `views` that may be chosen
    Instant now {};
    std::uint32_t group = 0;
    Duration remainingTargetLatency {}; ///< time left until the target latency; 0: the call has no target
    ClassSlotTimeEstimate workEstimate {}; ///< slot times of the calls of the class
    /// Lateness of the answers of the class. Required if the call has a target latency.
    const LatenessEstimate* latenessEstimate = nullptr;
    /// Bytes of a call of the class and its answer, divided by those of a mean call.
    double relativeBytes = 1;
};

/// \brief Chooses uniformly at random, regardless of load.
struct RandomChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Chooses each candidate in turn, regardless of load.
struct RoundRobinChoice {
    std::size_t nextPosition = 0;
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Chooses the candidate with the fewest calls in flight from this ingress; breaks ties at random.
struct LeastInFlightChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Chooses the less loaded of two random candidates by their last reports, regardless of the reports'
/// age.
struct PowerOfTwoChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Samples a few candidates and ranks them as hot or cold by their reported load.
///
/// Candidates at or above a quantile of the load are hot. The policy chooses the cold candidate with the
/// least slot time, or the one with the least load if all are hot.
struct HotColdChoice {
    std::size_t operator()(const ChoiceInput& input, Random& random);
};

/// \brief Chooses the candidate with the least expected delay, from the exact count of this ingress's calls
/// in flight and the owners' reports on the calls of other ingresses.
///
/// The expected delay is the sum of the round trip, the wait for a slot, the slot time and a penalty for load
/// below saturation, divided by the share of calls that don't fail.
/// The number of other ingresses' calls is taken from the owner's last report. This number decays towards the
/// mean over the candidates as the report ages, so that an old report of an idle or a busy upstream counts
/// less and less. In the penalty a call of this ingress counts for more than one call: the count of these
/// calls is the only exact figure, and the higher weight spreads the calls of each ingress evenly, so that
/// ingresses with the same reports don't all choose the same upstream.
/// Cost: O(candidates); about 15 ns each.
/// \sa docs/design/choice.md
struct ExpectedDelayChoice {
    struct Options {
        Duration loadDecayTime = 60ms; ///< time constant of the reported load of other ingresses
        Duration slotTimeDecayTime = 2s; ///< time constant of the reported slot time
        /// Slot times within this factor of the median count as equal: such differences are noise.
        double equalSlotTimeFactor = 1.5;
        Duration slowStartDuration = 5s;
        std::size_t sampleSize = 8; ///< number of candidates that are compared
        /// Load penalty of an upstream whose slots are all in use, in slot times. At a lower load the penalty
        /// is about proportional to the load.
        double loadPenaltySlope = 0.5;
        /// Weight of a call of this ingress in the load penalty; a call of another ingress has weight 1.
        double ownCallWeight = 8;
        double maxLoadPenalty = 10; ///< upper bound of the load penalty, in slot times
    };
    Options options {};
    std::size_t operator()(const ChoiceInput& input, Random& random);

private:
    struct CandidateSummary {
        double otherCallsPerSlot = 0;
        double medianSlotSeconds = 0;
    };
    CandidateSummary summarizeCandidates(const ChoiceInput& input);
    double slotSecondsOf(const UpstreamView& view, const CandidateSummary& summary, Instant now) const;
    double expectedDelaySeconds(
        const UpstreamView& view, const CandidateSummary& summary, const ChoiceInput& input) const;
    std::vector<std::size_t> m_sampledCandidates;
    std::vector<double> m_slotSeconds;
};

/// \brief Chooses the candidate with the least expected loss of credit, for calls with a target latency.
///
/// An answer in time earns a credit of 1, a late one next to nothing. The policy therefore minimizes the
/// probability of a late answer rather than the delay, and prefers an upstream in the ingress's own data hall
/// that is in time to a faster one in another hall. For calls without a target latency the policy minimizes
/// the expected time.
/// The expected time is the sum of the round trip, the wait for a slot and the expected work. The work is the
/// class's slot time on a server without slow-down, times the slow-down factor that the owner reported last;
/// owners report each change of the factor. Caveat: the policy doesn't detect a slow upstream whose backend
/// server reports no slow-down. Cost: O(candidates).
/// \sa docs/design/platform.md
struct TimelyChoice {
    struct Options {
        /// Time constant of a reported slow-down, in case the report of its end is lost.
        Duration slowdownDecayTime = 1s;
        Duration loadDecayTime = 500ms; ///< time constant of the reported load of other ingresses
        double farLoss = 0.15; ///< credit lost for the bytes of a mean call to another data hall
        /// Lower bound of the bytes that are charged for a call, relative to a mean call: a small call also
        /// costs messages and network time.
        double minRelativeBytes = 0.2;
        /// Upper bound of the bytes that are charged for a call, relative to a mean call. With the bound, a
        /// large call still leaves a hall where it would be late.
        double maxRelativeBytes = 4;
        /// Credit lost when the expected time equals the target latency, in proportion for other times. Among
        /// upstreams that are in time, the faster one wins.
        double delayLossPerTarget = 0.1;
    };
    Options options {};
    std::size_t operator()(const ChoiceInput& input, Random& random);

    /// \returns the expected time from sending a call to \a view until its answer arrives.
    Duration expectedTime(const UpstreamView& view, const ChoiceInput& input) const;

private:
    double expectedLoss(const UpstreamView& view, const ChoiceInput& input) const;
};

/// \brief A policy that chooses an upstream, with its state.
using ChoicePolicy = std::variant<RandomChoice, RoundRobinChoice, LeastInFlightChoice, PowerOfTwoChoice,
    HotColdChoice, ExpectedDelayChoice, TimelyChoice>;

/// \returns the policy of \a kind with its default options.
ChoicePolicy makeChoicePolicy(ChoicePolicyKind kind);

/// \brief Chooses one of the candidates. \returns its index into `views`; std::nullopt if there are no
/// candidates.
std::optional<std::size_t> chooseUpstream(ChoicePolicy& policy, const ChoiceInput& input, Random& random);

} // namespace robinrun
