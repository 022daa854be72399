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

/// \brief The configuration of an upstream at an ingress.
struct UpstreamConfig {
    std::string name;
    std::uint32_t slots = 0;
    Duration roundTrip {}; ///< initial value, until round trips are measured
    bool isFar = false; ///< in another data hall
};

/// \brief Properties of a call that matter for the choice of its upstream.
struct CallProfile {
    std::uint32_t group = 0;
    std::string_view callClass {};
    Duration remainingTargetLatency {}; ///< time left until the target latency; 0: the call has no target
    /// Bytes of a call of its class and the answer, divided by those of a mean call.
    double relativeBytes = 1;
};

/// \brief Decides at one ingress to which upstream each call of a service is sent and whether it is retried.
///
/// The node and the policy benchmark use this class alike. It does no I/O, and callers pass the current time.
/// Unknown names of upstreams are ignored. Cost: pickUpstream() O(upstreams of the subset); other members
/// O(1) unless stated otherwise.
class ServiceRouter {
public:
    struct Options {
        ChoicePolicyKind policyKind = ChoicePolicyKind::ExpectedDelay;
        /// For ChoicePolicyKind::Timely; see TimelyChoice::Options.
        double farLoss = TimelyChoice::Options {}.farLoss;
        Ejection::Options ejection {};
        bool ejectsOutliers = true; ///< whether upstreams with many errors are ejected
        double retryFraction = 0.1; ///< part of a retry that each first attempt earns
        double retryBurst = 10; ///< most retries that a budget can save
        /// Among all groups, when the retries of the whole service are bounded.
        bool sharesRetryBudget = false;
        Duration initialLostPause = 1s; ///< first pause of an upstream whose node doesn't answer
        bool sendsHedges = true; ///< whether an attempt can count as late and lead to a hedged request
        Duration minHedgeDelay = 5ms; ///< least time after which an attempt is late
        unsigned lateAttemptsUntilPause = 3; ///< consecutive late attempts after which an upstream is paused
        Duration leavingTimeout
            = 5s; ///< time after which a leaving upstream gets calls again, in case it stays
    };

    explicit ServiceRouter(Options options);

    /// \brief Sets the upstreams. Known upstreams, by name, keep their state. New ones get a slow start,
    /// except in the first call. Cost: O(upstreams).
    void setUpstreams(const std::vector<UpstreamConfig>& upstreams, Instant now);

    /// \brief Sets the part of a retry that each first attempt earns. Saved retries stay. Cost: O(groups).
    void setRetryFraction(double fraction);

    /// \brief Sets the most retries that a budget can save. Cost: O(groups).
    void setRetryBurst(double burst);

    /// \brief Chooses an upstream for a call.
    /// \param excluded names of the upstreams that are not eligible, such as those already tried.
    /// \returns the name of the upstream; std::nullopt if no upstream is eligible.
    std::optional<std::string> pickUpstream(
        std::span<const std::string> excluded, const CallProfile& profile, Instant now, Random& random);

    /// \brief Records that a call of \a callClass held its slot for \a slotTime.
    /// \param slowdown factor by which the backend server was slowed down when the call was sent; 1 if it
    /// wasn't.
    void recordSlotTime(std::string_view callClass, Duration slotTime, double slowdown);

    /// \returns the mean slot time of \a callClass on a server without slow-down; a fixed share of \a
    /// targetLatency if no slot time of the class has been recorded.
    Duration expectedSlotTime(std::string_view callClass, Duration targetLatency) const;

    /// \returns the expected time from sending a call to \a upstream until its answer arrives, as
    /// TimelyChoice computes it; zero for an unknown upstream.
    Duration expectedResponseTime(const std::string& upstream, const CallProfile& profile, Instant now);

    /// \brief Records the response time \a actual of a call of \a callClass.
    /// \param expected what expectedResponseTime() returned when the call was sent.
    void recordResponseTime(std::string_view callClass, Duration actual, Duration expected);

    /// \returns the slow-down of the backend server in the last load report of \a upstream; 1 if there is
    /// none.
    double reportedSlowdown(const std::string& upstream);

    /// \returns the reading of the WorkClock of \a upstream; zero for an unknown upstream.
    Duration workClockReading(const std::string& upstream, Instant now);

    /// \brief Records that a completed call of \a callClass took \a work, measured by the WorkClock.
    void recordCompletedWork(std::string_view callClass, Duration work)
    {
        m_remainingTime.addRun(callClass, work);
    }

    /// \returns the expected time until a call of \a callClass ends at \a upstream when \a completedWork of
    /// it has been done; zero if the class or the upstream is unknown.
    Duration expectedRemainingTime(
        const std::string& upstream, std::string_view callClass, Duration completedWork);

    /// \brief Handles a load report of the owner of \a upstream. If the backend server is down, pauses the
    /// upstream as lost. Otherwise reactivates the upstream if it was lost.
    void onLoadReport(const std::string& upstream, const OwnerReport& report, Instant now);

    /// \brief Ends any pause of \a upstream and makes it active, for instance because its node is back.
    void reactivate(const std::string& upstream, Instant now);

    /// \brief Counts the first attempt of a call, which earns a part of a retry for its group.
    void recordFirstAttempt(std::uint32_t group) { budgetOf(group).recordFirstAttempt(); }

    /// \returns the sum of the retries that the groups have saved. Cost: O(groups).
    double savedRetries() const;

    /// \brief Spends a retry of the group's budget. \returns false if none is available for \a priority.
    bool trySpendRetry(std::uint32_t group, RetryPriority priority, Instant now)
    {
        return budgetOf(group).trySpend(priority, now);
    }

    /// \returns whether the group's budget is reserved for retries of a higher priority than \a priority.
    bool isRetryReservedForHigher(std::uint32_t group, RetryPriority priority, Instant now)
    {
        return budgetOf(group).isReservedForHigher(priority, now);
    }

    /// \returns whether the group's budget is above 0, so that a retry at another service may make nested
    /// calls here.
    bool hasRetriesLeft(std::uint32_t group) { return budgetOf(group).savedRetries() > 0; }

    /// \brief Charges the budget of \a group for \a n nested calls that a retry at another service makes
    /// here. A negative \a n returns them.
    void chargeRetries(std::uint32_t group, double n) { budgetOf(group).charge(n); }

    /// \brief Records that an attempt is sent.
    /// \returns the slot time that the group used on the other upstreams since its last call to this one. The
    /// owner charges it to the group's share.
    Duration onAttemptSent(const std::string& upstream, std::uint32_t group);

    /// \brief Records the answer to an attempt. \param slotTime slot time of the call; zero if it was
    /// refused.
    void onAttemptAnswered(const std::string& upstream, std::uint32_t group, const OwnerReport& report,
        Duration slotTime, bool isFailure, Instant now);

    /// \brief Records that an attempt got no answer or could not be sent. Pauses the upstream as lost.
    void onAttemptLost(const std::string& upstream, std::uint32_t group, Instant now);

    /// \brief Records the latency of a whole call, from which hedgeDelay() is derived.
    void recordCallLatency(Duration latency) { m_callLatency.addSample(latency); }

    /// \returns the time after which an attempt is late, so that a hedged request may be sent for a
    /// repeatable call; std::nullopt without hedging or before enough latencies have been recorded.
    std::optional<Duration> hedgeDelay() const;

    /// \brief Records that an attempt is late, and pauses the upstream after `lateAttemptsUntilPause` late
    /// attempts in a row. The attempt stays in flight.
    void onAttemptLate(const std::string& upstream, Instant now);

    /// \brief Records that the ingress gave up an attempt.
    void onAttemptAbandoned(const std::string& upstream, std::uint32_t group);

    /// \brief Handles the owner's information whether its upstream is leaving: a leaving upstream gets no new
    /// calls until `leavingTimeout` has passed or the owner says that the upstream stays.
    void setLeaving(const std::string& upstream, bool isLeaving, Instant now);

    /// \brief Records a measured round trip: the response time less queueing and slot time.
    void recordRoundTrip(const std::string& upstream, Duration roundTrip);

    /// \returns whether a slot time of \a callClass has been recorded.
    bool hasSlotTime(std::string_view callClass) const { return m_estimatesByClass.contains(callClass); }

    /// \returns the policy for immediate attempts at the owners of this service.
    ImmediateAttemptPolicy& immediateAttemptPolicy() { return m_immediateAttemptPolicy; }

    std::span<const UpstreamView> views() const { return m_views; }
    const UpstreamView* findView(const std::string& upstream) const;
    const Ejection& ejection() const { return m_ejection; }

private:
    struct Pause {
        Instant until {};
        Duration length {};
    };
    /// \brief Slot time that a group used, to report its use of other upstreams to an owner.
    struct GroupUsage {
        Duration totalSlotTime {};
        std::unordered_map<std::string, Duration> slotTimeByUpstream;
        /// For each upstream, the slot time on all others when the group's last call was sent to it.
        std::unordered_map<std::string, Duration> elsewhereAtLastSend;
    };

    UpstreamView* viewOf(const std::string& name);
    ChoiceInput choiceInputFor(const CallProfile& profile, Instant now) const;
    /// \brief Estimates for the calls of one class.
    struct ClassEstimates {
        ClassSlotTimeEstimate work;
        LatenessEstimate lateness;
    };
    ClassEstimates& estimatesOf(std::string_view callClass);
    RetryBudget& budgetOf(std::uint32_t group);
    void setRetryBounds(double fraction, double burst);
    void endExpiredPauses(Instant now);
    void pauseLostUpstream(UpstreamView& view, Instant now);
    /// \returns the length of the upstream's next pause, doubled each time until the upstream answers.
    Duration extendPause(const std::string& upstream, Instant now);
    void pauseUpstream(UpstreamView& view, UpstreamState state, Duration length, Instant now);

    Options m_options;
    ChoicePolicy m_policy;
    LatencyStatistics m_callLatency;
    std::map<std::string, ClassEstimates, std::less<>> m_estimatesByClass;
    LatenessEstimate m_defaultLateness; ///< for classes without a recorded answer
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
