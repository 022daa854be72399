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

/// \brief One call that waits at its owner.
struct QueuedCall {
    std::uint64_t id = 0;
    std::uint32_t group = 0;
    std::uint32_t rank = 0; ///< over all groups, 0 first
    std::uint32_t priority = 0; ///< class priority inside the group and rank, 0 first
    Instant arrivalTime {};
    Instant deadline {};
    Duration expectedSlotTime {}; ///< slot time it is likely to hold
    Instant softDeadline = Instant::max(); ///< an answer after this is late; calls without have no such time
};

/// \brief Weighted fair queue over calling groups, in slot time.
///
/// Start-time fair queueing: each group has a virtual start tag that grows by cost / weight as its calls are
/// taken; the backlogged group with the lowest tag is served next. An idle group is lifted to the virtual
/// time when it returns, so it neither saves up credit nor pays for what others were lent. The cost is what a
/// call is expected to hold and is corrected by settle() when it ends.
///
/// Slot time that the group got on other upstreams is charged here too (distributed start-time fair queueing,
/// Wang and Merchant, FAST 2007), so that shares hold over a whole service when calls are skewed to one of
/// its upstreams. That charge is bounded, so that old use can't shut a group out.
///
/// Where calls have ranks, the lowest rank goes first, whatever its groups have had, and groups share inside
/// each rank.
///
/// Cost: push, pop and settle are O(ranks of the group x log groups); cancel is O(calls of the group).
class FairQueue {
public:
    /// Classes beyond the last priority share it.
    static constexpr std::uint32_t priorityCount = 4;

    /// \param limit of waiting calls over all groups; above 0.
    /// \param maxElsewhere bound of one call's charge for use elsewhere.
    FairQueue(std::size_t limit, Duration maxSlotTimeElsewhere);

    /// \brief Sets the share of \a group; the default is 1. \a weight must be above 0.
    void setGroupWeight(std::uint32_t group, double weight);

    /// \brief Changes the limit; \a limit must be above 0.
    void setLimit(std::size_t limit);

    /// \brief Charges a group for slot time that it got on other upstreams, whatever becomes of the call that
    /// told.
    void chargeSlotTimeElsewhere(std::uint32_t group, Duration slotTimeElsewhere);

    /// \brief Adds a call. When the queue is full, the newest call of the group that waits most for its share
    /// gives way. \returns the call that gave way: perhaps \a call itself.
    std::optional<QueuedCall> push(const QueuedCall& call);

    /// \brief Takes the next call by rank, then fair share, and inside its group by priority, then age.
    std::optional<QueuedCall> pop();

    /// \returns the call that pop() would take; null if none waits.
    const QueuedCall* front() const;

    /// \brief Corrects the charge of a taken call once it is known what it held.
    void settle(std::uint32_t group, Duration expected, Duration actual);

    /// \brief Removes a waiting call. \returns it, if it was waiting.
    std::optional<QueuedCall> cancel(std::uint32_t group, std::uint64_t id);

    /// \brief Removes and returns all waiting calls.
    std::vector<QueuedCall> removeAll();

    /// \brief Removes and returns the waiting calls for which \a isOut is true. Cost: O(waiting calls).
    std::vector<QueuedCall> removeIf(const std::function<bool(const QueuedCall&)>& shouldRemove);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return !m_size; }
    std::size_t sizeOfGroup(std::uint32_t group) const;

    /// \returns the slot time that waiting calls are expected to get before a new call of the group, if those
    /// that wait now go on waiting. Cost: O(ranks).
    Duration slotTimeAhead(std::uint32_t group, std::uint32_t rank, std::uint32_t priority) const;

    /// \returns the part of the slots, in (0, 1], that \a group gets while all that wait now go on waiting
    /// and no rank goes first.
    double shareOfGroup(std::uint32_t group) const;

private:
    /// Place of a call in the order of its group.
    struct Level {
        std::uint32_t rank = 0;
        std::uint32_t priority = 0;
        auto operator<=>(const Level&) const = default;
    };
    struct Lane {
        std::deque<QueuedCall> calls; ///< never empty
        Duration expectedSlotTime {};
    };
    struct Flow {
        double weight = 1;
        double startTag = 0;
        std::size_t waitingCalls = 0;
        std::map<Level, Lane> lanes;

        bool hasRank(std::uint32_t rank) const;
    };
    using TaggedGroup = std::pair<double, std::uint32_t>; ///< tag, group
    /// What waits in one rank.
    struct Backlog {
        std::set<TaggedGroup> groupsByTag;
        Duration expectedSlotTime {};
        double totalWeight = 0; ///< of its groups
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
    double m_backloggedWeight = 0; ///< of the groups that wait
    std::unordered_map<std::uint32_t, Flow> m_flows;
    std::map<std::uint32_t, Backlog> m_backlogs; ///< by rank; never empty
};

} // namespace robinrun
