#include "Queueing/FairQueue.h"

#include "Core/Check.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace robinrun {

FairQueue::FairQueue(std::size_t limit, Duration maxSlotTimeElsewhere)
    : m_limit(limit)
    , m_maxSlotTimeElsewhere(maxSlotTimeElsewhere)
{
    require(limit > 0, "FairQueue: limit must be above 0");
}

void FairQueue::setLimit(std::size_t limit)
{
    require(limit > 0, "FairQueue::setLimit: limit must be above 0");
    m_limit = limit;
}

FairQueue::Level FairQueue::levelOf(const QueuedCall& call)
{
    return { call.rank, std::min(call.priority, priorityCount - 1) };
}

bool FairQueue::Flow::hasRank(std::uint32_t rank) const
{
    const auto it = lanes.lower_bound({ rank, 0 });
    return it != lanes.end() && it->first.rank == rank;
}

void FairQueue::setGroupWeight(std::uint32_t group, double weight)
{
    require(weight > 0, "FairQueue::setGroupWeight: weight must be above 0");
    auto& flow = m_flows[group];
    if (flow.waitingCalls)
        m_backloggedWeight += weight - flow.weight;
    for (auto& [rank, backlog] : m_backlogs) {
        if (flow.hasRank(rank))
            backlog.totalWeight += weight - flow.weight;
    }
    flow.weight = weight;
}

void FairQueue::addToBacklog(std::uint32_t group, const Flow& flow, std::uint32_t rank)
{
    auto& backlog = m_backlogs[rank];
    backlog.groupsByTag.emplace(flow.startTag, group);
    backlog.totalWeight += flow.weight;
}

void FairQueue::removeFromBacklog(std::uint32_t group, const Flow& flow, std::uint32_t rank)
{
    const auto it = m_backlogs.find(rank);
    it->second.groupsByTag.erase({ flow.startTag, group });
    it->second.totalWeight -= flow.weight;
    if (it->second.groupsByTag.empty())
        m_backlogs.erase(it);
}

void FairQueue::chargeSlotTime(std::uint32_t group, Flow& flow, double slotSeconds)
{
    const double startTag = std::max(flow.startTag + slotSeconds / flow.weight, 0.0);
    std::optional<std::uint32_t> lastRank;
    for (const auto& [level, lane] : flow.lanes) {
        if (lastRank == level.rank)
            continue;
        lastRank = level.rank;
        auto& backlogged = m_backlogs.at(level.rank).groupsByTag;
        backlogged.erase({ flow.startTag, group });
        backlogged.emplace(startTag, group);
    }
    flow.startTag = startTag;
}

void FairQueue::chargeSlotTimeElsewhere(std::uint32_t group, Duration slotTimeElsewhere)
{
    chargeSlotTime(group, m_flows[group], toSeconds(std::min(slotTimeElsewhere, m_maxSlotTimeElsewhere)));
}

std::optional<QueuedCall> FairQueue::push(const QueuedCall& call)
{
    auto& flow = m_flows[call.group];
    if (!flow.waitingCalls) {
        flow.startTag = std::max(flow.startTag, m_virtualTime);
        m_backloggedWeight += flow.weight;
    }
    const auto level = levelOf(call);
    if (!flow.hasRank(level.rank))
        addToBacklog(call.group, flow, level.rank);
    auto& lane = flow.lanes[level];
    lane.calls.push_back(call);
    lane.expectedSlotTime += call.expectedSlotTime;
    m_backlogs.at(level.rank).expectedSlotTime += call.expectedSlotTime;
    ++flow.waitingCalls;
    ++m_size;
    if (m_size <= m_limit)
        return std::nullopt;
    return evictNewestCall();
}

QueuedCall FairQueue::removeCall(std::uint32_t group, Flow& flow, Level level, std::size_t index)
{
    const auto found = flow.lanes.find(level);
    auto& lane = found->second;
    const auto it = lane.calls.begin() + static_cast<std::ptrdiff_t>(index);
    const QueuedCall call = *it;
    lane.calls.erase(it);
    lane.expectedSlotTime -= call.expectedSlotTime;
    m_backlogs.at(level.rank).expectedSlotTime -= call.expectedSlotTime;
    --flow.waitingCalls;
    --m_size;
    if (lane.calls.empty()) {
        flow.lanes.erase(found);
        if (!flow.hasRank(level.rank))
            removeFromBacklog(group, flow, level.rank);
    }
    if (!flow.waitingCalls)
        m_backloggedWeight = m_size ? m_backloggedWeight - flow.weight : 0;
    return call;
}

QueuedCall FairQueue::evictNewestCall()
{
    const auto waitingPerWeight = [this](const TaggedGroup& key) {
        const auto& flow = m_flows.at(key.second);
        return static_cast<double>(flow.waitingCalls) / flow.weight;
    };
    const auto& candidates = m_backlogs.rbegin()->second.groupsByTag;
    const auto largest = std::max_element(
        candidates.begin(), candidates.end(), [&](const TaggedGroup& a, const TaggedGroup& b) {
            return waitingPerWeight(a) < waitingPerWeight(b);
        });
    const auto group = largest->second;
    auto& flow = m_flows.at(group);
    const auto& [level, lane] = *std::prev(flow.lanes.end());
    return removeCall(group, flow, level, lane.calls.size() - 1);
}

std::optional<QueuedCall> FairQueue::pop()
{
    if (m_backlogs.empty())
        return std::nullopt;
    const auto [startTag, group] = *m_backlogs.begin()->second.groupsByTag.begin();
    m_virtualTime = std::max(m_virtualTime, startTag);
    auto& flow = m_flows.at(group);
    const auto level = flow.lanes.begin()
                           ->first; // the group was found in the lowest rank, so its first lane has that rank
    const auto call = removeCall(group, flow, level, 0);
    chargeSlotTime(group, flow, toSeconds(call.expectedSlotTime));
    return call;
}

const QueuedCall* FairQueue::front() const
{
    if (m_backlogs.empty())
        return nullptr;
    const auto& [rank, backlog] = *m_backlogs.begin();
    const auto& flow = m_flows.at(backlog.groupsByTag.begin()->second);
    return &flow.lanes.lower_bound({ rank, 0 })->second.calls.front();
}

void FairQueue::settle(std::uint32_t group, Duration expected, Duration actual)
{
    chargeSlotTime(group, m_flows[group], toSeconds(actual - expected));
}

std::optional<QueuedCall> FairQueue::cancel(std::uint32_t group, std::uint64_t id)
{
    const auto found = m_flows.find(group);
    if (found == m_flows.end())
        return std::nullopt;
    auto& flow = found->second;
    for (const auto& [level, lane] : flow.lanes) {
        const auto it = std::find_if(
            lane.calls.begin(), lane.calls.end(), [id](const auto& call) { return call.id == id; });
        if (it != lane.calls.end())
            return removeCall(group, flow, level, static_cast<std::size_t>(it - lane.calls.begin()));
    }
    return std::nullopt;
}

std::vector<QueuedCall> FairQueue::removeAll()
{
    std::vector<QueuedCall> removed;
    removed.reserve(m_size);
    while (auto call = pop()) {
        settle(call->group, call->expectedSlotTime, Duration::zero());
        removed.push_back(*call);
    }
    return removed;
}

std::vector<QueuedCall> FairQueue::removeIf(const std::function<bool(const QueuedCall&)>& shouldRemove)
{
    std::vector<std::pair<std::uint32_t, std::uint64_t>> ids;
    for (const auto& [group, flow] : m_flows) {
        for (const auto& [level, lane] : flow.lanes) {
            for (const auto& it : lane.calls) {
                if (shouldRemove(it))
                    ids.emplace_back(group, it.id);
            }
        }
    }
    std::vector<QueuedCall> removed;
    removed.reserve(ids.size());
    for (const auto& [group, id] : ids)
        removed.push_back(*cancel(group, id));
    return removed;
}

std::size_t FairQueue::sizeOfGroup(std::uint32_t group) const
{
    const auto it = m_flows.find(group);
    return it == m_flows.end() ? 0 : it->second.waitingCalls;
}

Duration FairQueue::slotTimeAhead(std::uint32_t group, std::uint32_t rank, std::uint32_t priority) const
{
    Duration ahead {};
    for (auto it = m_backlogs.begin(); it != m_backlogs.end() && it->first < rank; ++it)
        ahead += it->second.expectedSlotTime;
    const auto found = m_flows.find(group);
    if (found == m_flows.end() || !found->second.hasRank(rank))
        return ahead;
    const auto& flow = found->second;
    const Level own { rank, std::min(priority, priorityCount - 1) };
    Duration aheadInGroup {};
    for (auto it = flow.lanes.lower_bound({ rank, 0 }); it != flow.lanes.end() && it->first <= own; ++it)
        aheadInGroup += it->second.expectedSlotTime;
    const double share = flow.weight / m_backlogs.at(rank).totalWeight;
    return ahead + fromSeconds(toSeconds(aheadInGroup) / share);
}

double FairQueue::shareOfGroup(std::uint32_t group) const
{
    const auto it = m_flows.find(group);
    const double weight = it == m_flows.end() ? 1 : it->second.weight;
    const bool isBacklogged = it != m_flows.end() && it->second.waitingCalls;
    const double totalWeight = m_backloggedWeight + (isBacklogged ? 0 : weight);
    return std::min(1.0, weight / totalWeight);
}

} // namespace robinrun
