#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Routing/ChoicePolicy.h"
#include "Routing/Ejection.h"
#include "Routing/ImmediateAttemptPolicy.h"
#include "Routing/LatencyStatistics.h"
#include "Routing/RemainingTimeEstimate.h"
#include "Routing/RetryBudget.h"
#include "Routing/UpstreamView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief An upstream as the configuration names it to an ingress.
struct UpstreamConfig {
    std::string name;
    std::uint32_t slots = 0;
    Duration roundTrip {}; ///< guess until it is measured
    bool isFar = false; ///< in another data hall
};

/// \brief What is known of a call when an upstream is chosen for it.
struct CallProfile {
    std::uint32_t group = 0;
    std::string_view callClass {};
    Duration remainingTargetLatency {}; ///< what is left of it; 0: none
    double relativeBytes = 1; ///< of such a call and its answer, over those of a mean call
};

/// \brief All that one ingress decides about the calls of one service: where to, whether again.
///
/// The node and the policy bench run this same class. No I/O; the present time is an argument.
/// Cost: pick O(upstreams of the subset); the rest O(1).
class ServiceRouter {
public:
    struct Options {
        ChoicePolicyKind policyKind = ChoicePolicyKind::ExpectedDelay;
        double farLoss = TimelyChoice::Options {}.farLoss; ///< for ChoicePolicyKind::Timely
        Ejection::Options ejection {};
        bool ejectsOutliers = true; ///< whether upstreams that fail often are left out
        double retryFraction = 0.1;
        double retryBurst = 10;
        bool sharesRetryBudget = false; ///< among all groups, where what a service gets in all is bounded
        Duration initialLostPause
            = 1s; ///< how long an upstream whose node doesn't answer is left out at first
        bool sendsHedges = true; ///< whether late answers are acted upon
        Duration minHedgeDelay = 5ms; ///< no answer is late before
        unsigned lateAnswersUntilPause
            = 3; ///< late answers in a row after which an upstream gets one call at a time
        Duration leavingTimeout = 5s; ///< after which a leaving upstream is asked again, in case it stayed
    };

    explicit ServiceRouter(Options options);

    /// \brief Sets the upstreams; those known by name keep what is known of them, new ones start slowly.
    void setUpstreams(const std::vector<UpstreamConfig>& upstreams, Instant now);

    /// \brief Changes the budget of retries; groups keep what they have saved up.
    void setRetryFraction(double fraction);

    /// \brief Changes how many retries a group may save up.
    void setRetryBurst(double burst);

    /// \brief Chooses an upstream for a call. \param excluded names already tried.
    /// \returns its name, or nothing if none is left.
    std::optional<std::string> pickUpstream(
        std::span<const std::string> excluded, const CallProfile& profile, Instant now, Random& random);

    /// \brief A call of \a callClass held its slot for \a slotTime, while work took \a slowdown times as
    /// long.
    void recordSlotTime(std::string_view callClass, Duration slotTime, double slowdown);

    /// \returns the usual slot time of \a callClass; a part of \a targetLatency before any was measured.
    Duration expectedSlotTime(std::string_view callClass, Duration targetLatency) const;

    /// \returns how long a call is expected to take at \a upstream, by the figures of TimelyChoice.
    Duration expectedResponseTime(const std::string& upstream, const CallProfile& profile, Instant now);

    /// \brief An answer to a call of \a callClass took \a actual where expectedAt() was \a expected.
    void recordResponseTime(std::string_view callClass, Duration actual, Duration expected);

    /// \returns the slow-down last told of \a upstream.
    double reportedSlowdown(const std::string& upstream);

    /// \returns the reading of the clock of the work done at \a upstream; zero if it isn't known.
    Duration workClockReading(const std::string& upstream, Instant now);

    /// \brief A call of \a callClass ran to its end and took \a work by that clock.
    void recordCompletedWork(std::string_view callClass, Duration work)
    {
        m_remainingTime.addRun(callClass, work);
    }

    /// \returns how much longer a call of \a callClass is expected to run at \a upstream after \a
    /// completedWork of its work; zero if nothing is known.
    Duration expectedRemainingTime(
        const std::string& upstream, std::string_view callClass, Duration completedWork);

    /// \brief The owner told its load by itself.
    void onLoadReport(const std::string& upstream, const OwnerReport& report, Instant now);

    /// \brief Whatever kept calls from \a upstream is over: its node lives again.
    void reactivate(const std::string& upstream, Instant now);

    /// \brief Counts the first attempt of a call, which earns its group a part of a retry.
    void recordFirstAttempt(std::uint32_t group) { budgetOf(group).recordFirstAttempt(); }

    /// \returns the retries that all groups have saved up.
    double savedRetries() const;

    /// \returns whether the group may send one more attempt; if so it is spent.
    bool trySpendRetry(std::uint32_t group, RetryPriority priority, Instant now)
    {
        return budgetOf(group).trySpend(priority, now);
    }

    /// \returns whether the group's budget is kept for higher claims.
    bool isRetryReservedForHigher(std::uint32_t group, RetryPriority priority, Instant now)
    {
        return budgetOf(group).isReservedForHigher(priority, now);
    }

    /// \returns whether the group has anything left of its budget, so that another service's retry may make
    /// calls here.
    bool hasRetriesLeft(std::uint32_t group) { return budgetOf(group).savedRetries() > 0; }

    /// \brief A retry at another service is going to make \a n calls of \a group here.
    void chargeRetries(std::uint32_t group, double n) { budgetOf(group).charge(n); }

    /// \brief An attempt goes out. \returns the slot time the group got on the other upstreams since its last
    /// call to this one: the owner charges it to the group's share.
    Duration onAttemptSent(const std::string& upstream, std::uint32_t group);

    /// \brief An answer came. \param slotTime slot time of the call; zero if it was refused.
    void onAttemptAnswered(const std::string& upstream, std::uint32_t group, const OwnerReport& report,
        Duration slotTime, bool isFailure, Instant now);

    /// \brief No answer came, or the message could not go out.
    void onAttemptLost(const std::string& upstream, std::uint32_t group, Instant now);

    /// \brief How long a whole call took; tells when others are late.
    void recordCallLatency(Duration latency) { m_callLatency.addSample(latency); }

    /// \returns the time after which an attempt is late, and a repeatable call may go elsewhere as well.
    std::optional<Duration> hedgeDelay() const;

    /// \brief An attempt is late; it stays out.
    void onAttemptLate(const std::string& upstream, Instant now);

    /// \brief An attempt was given up by this side.
    void onAttemptAbandoned(const std::string& upstream, std::uint32_t group);

    /// \brief The owner says whether its upstream is leaving.
    void setLeaving(const std::string& upstream, bool isLeaving, Instant now);

    /// \brief A round trip was measured: total time less queueing and service.
    void recordRoundTrip(const std::string& upstream, Duration roundTrip);

    /// \brief Whether owners are worth asking to run calls at once.
    ImmediateAttemptPolicy& immediateAttemptPolicy() { return m_immediateAttemptPolicy; }

    std::span<const UpstreamView> views() const { return m_views; }
    const UpstreamView* findView(const std::string& upstream) const;
    const Ejection& ejection() const { return m_ejection; }

private:
    struct Pause {
        Instant until {};
        Duration length {};
    };
    /// What a group used, for charging use elsewhere.
    struct GroupUsage {
        Duration totalSlotTime {};
        std::unordered_map<std::string, Duration> slotTimeByUpstream;
        std::unordered_map<std::string, Duration> elsewhereAtLastSend;
    };

    UpstreamView* viewOf(const std::string& name);
    ChoiceInput choiceInputFor(const CallProfile& profile, Instant now) const;
    /// \brief What is known of the calls of one class.
    struct ClassEstimates {
        ClassSlotTimeEstimate work;
        LatenessEstimate lateness;
    };
    ClassEstimates& estimatesOf(std::string_view callClass);
    RetryBudget& budgetOf(std::uint32_t group);
    void setRetryBounds(double fraction, double burst);
    void endExpiredPauses(Instant now);
    void pauseLostUpstream(UpstreamView& view, Instant now);
    /// \returns how long to leave an upstream alone: longer each time until it answers.
    Duration extendPause(const std::string& upstream, Instant now);
    void pauseUpstream(UpstreamView& view, UpstreamState state, Duration length, Instant now);

    Options m_options;
    ChoicePolicy m_policy;
    LatencyStatistics m_callLatency;
    std::map<std::string, ClassEstimates, std::less<>> m_estimatesByClass;
    LatenessEstimate m_defaultLateness; ///< of classes without any answer yet
    RemainingTimeEstimate m_remainingTime;
    ImmediateAttemptPolicy m_immediateAttemptPolicy;
    Ejection m_ejection;
    std::vector<UpstreamView> m_views;
    std::unordered_map<std::string, std::size_t> m_indexByName;
    std::unordered_map<std::string, Pause> m_pauses;
    std::unordered_map<std::uint32_t, RetryBudget> m_retryBudgets;
    std::unordered_map<std::uint32_t, GroupUsage> m_groupUsage;
    std::vector<std::size_t> m_candidates;
    std::vector<std::size_t> m_excluded;
    Instant m_nextStateCheck {};
};

} // namespace robinrun
