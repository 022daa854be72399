#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief A call waiting at its owner.
struct QueuedCall {
    std::uint64_t id = 0;
    std::uint32_t group = 0;
    std::uint32_t rank = 0; ///< priority across all groups; 0 is served first
    std::uint32_t priority = 0; ///< class priority inside the group and rank; 0 is served first
    Instant arrivalTime {};
    Instant deadline {};
    Duration expectedSlotTime {}; ///< estimated when the call arrived
    Instant softDeadline = Instant::max(); ///< a later answer misses the target latency; max(): none
};

/// \brief Weighted fair queue of the calling groups, by slot time.
///
/// Start-time fair queueing: each group is a flow with a virtual start tag that grows by slot time / weight
/// as its calls are taken. The backlogged group with the lowest tag is served next. When an idle group
/// returns, its tag is raised to the virtual time, so that it neither accumulates credit while idle nor pays
/// for slot time that other groups used meanwhile. A call is charged its expected slot time when it is taken;
/// settle() corrects the charge when the call ends.
///
/// Slot time that the group used on other upstreams is charged here, too (distributed start-time fair
/// queueing, Wang and Merchant, FAST 2007), so that the shares hold for a whole service even if the calls of
/// a group concentrate on one upstream. That charge is limited per call, so that past use can't starve a
/// group.
///
/// Calls of the lowest rank are served first, regardless of the tags of their groups. Inside each rank the
/// groups share fairly.
///
/// Cost: push, pop and settle are O(ranks of the group x log groups); cancel is O(calls of the group).
class FairQueue {
public:
    /// Number of priorities. A call of priority priorityCount - 1 or above gets the last one.
    static constexpr std::uint32_t priorityCount = 4;

    /// \param limit maximum number of waiting calls of all groups; above 0.
    /// \param maxSlotTimeElsewhere maximum charge per call for slot time on other upstreams.
    FairQueue(std::size_t limit, Duration maxSlotTimeElsewhere);

    /// \brief Sets the weight of \a group, above 0; the default is 1.
    void setGroupWeight(std::uint32_t group, double weight);

    /// \brief Changes the maximum number of waiting calls to \a limit, above 0.
    void setLimit(std::size_t limit);

    /// \brief Charges a group for slot time that it used on other upstreams, as reported with a call. The
    /// charge stands even if that call is refused.
    void chargeSlotTimeElsewhere(std::uint32_t group, Duration slotTimeElsewhere);

    /// \brief Adds a call. If the queue is full, evicts the newest call of the group with the most waiting
    /// calls per weight among the groups of the last rank. \returns the evicted call, which may be \a call
    /// itself; nothing if none was evicted.
    std::optional<QueuedCall> push(const QueuedCall& call);

    /// \brief Removes the next call: by rank, then by fair share of the groups, then by priority and age
    /// inside the group. \returns the call; nothing if none waits.
    std::optional<QueuedCall> pop();

    /// \returns the call that pop() would take; null if none waits.
    const QueuedCall* front() const;

    /// \brief Corrects the charge of a call taken by pop() from its \a expected to its \a actual slot time.
    void settle(std::uint32_t group, Duration expected, Duration actual);

    /// \brief Removes a waiting call. \returns the call; nothing if it was not waiting.
    std::optional<QueuedCall> cancel(std::uint32_t group, std::uint64_t id);

    /// \brief Removes and returns all waiting calls without charging their groups.
    std::vector<QueuedCall> removeAll();

    /// \brief Removes and returns the waiting calls for which \a shouldRemove is true. It is called for the
    /// calls of each group in the order of service. Cost: O(waiting calls).
    std::vector<QueuedCall> removeIf(const std::function<bool(const QueuedCall&)>& shouldRemove);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return !m_size; }
    std::size_t sizeOfGroup(std::uint32_t group) const;

    /// \returns the expected slot time of the waiting calls that would be served before a new call of the
    /// group, while all groups that wait now keep waiting. Cost: O(ranks).
    Duration slotTimeAhead(std::uint32_t group, std::uint32_t rank, std::uint32_t priority) const;

    /// \returns the share of the slots, in (0, 1], that \a group gets while all groups that wait now keep
    /// waiting, ignoring ranks.
    double shareOfGroup(std::uint32_t group) const;

private:
    /// The position of a call in the order of its group.
    struct Level {
        std::uint32_t rank = 0;
        std::uint32_t priority = 0;
        auto operator<=>(const Level&) const = default;
    };
    /// The waiting calls of one level of a group, oldest first.
    struct Lane {
        std::deque<QueuedCall> calls; ///< never empty
        Duration expectedSlotTime {};
    };
    /// The scheduling state and waiting calls of one group.
    struct Flow {
        double weight = 1;
        double startTag = 0;
        std::size_t waitingCalls = 0;
        std::map<Level, Lane> lanes;

        bool hasRank(std::uint32_t rank) const;
    };
    using TaggedGroup = std::pair<double, std::uint32_t>; ///< start tag, group
    /// The waiting calls of one rank.
    struct Backlog {
        std::set<TaggedGroup> groupsByTag;
        Duration expectedSlotTime {};
        double totalWeight = 0; ///< sum over its groups
    };

    static Level levelOf(const QueuedCall& call);
    void chargeSlotTime(std::uint32_t group, Flow& flow, double slotSeconds);
    void addToBacklog(std::uint32_t group, const Flow& flow, std::uint32_t rank);
    void removeFromBacklog(std::uint32_t group, const Flow& flow, std::uint32_t rank);
    QueuedCall removeCall(std::uint32_t group, Flow& flow, Level level, std::size_t index);
    QueuedCall evictNewestCall();

    std::size_t m_limit;
    Duration m_maxSlotTimeElsewhere;
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    double m_backloggedWeight = 0; ///< sum of the weights of all groups with waiting calls
    std::unordered_map<std::uint32_t, Flow> m_flows;
    std::map<std::uint32_t, Backlog> m_backlogs; ///< by rank; no backlog is empty
};

} // namespace robinrun
