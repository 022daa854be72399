#include "Queueing/FairQueue.h"

#include "Core/Check.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace robinrun {

FairQueue::FairQueue(std::size_t limit, Duration maxElsewhere)
    : m_limit(limit)
    , m_maxElsewhere(maxElsewhere)
{
    require(limit > 0, "FairQueue: limit above 0");
}

void FairQueue::setLimit(std::size_t limit)
{
    require(limit > 0, "FairQueue::setLimit: limit above 0");
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

void FairQueue::setWeight(std::uint32_t group, double weight)
{
    require(weight > 0, "FairQueue::setWeight: weight above 0");
    auto& flow = m_flows[group];
    if (flow.waiting)
        m_waitingWeight += weight - flow.weight;
    for (auto& [rank, backlog] : m_backlogs) {
        if (flow.hasRank(rank))
            backlog.weight += weight - flow.weight;
    }
    flow.weight = weight;
}

void FairQueue::enlist(std::uint32_t group, const Flow& flow, std::uint32_t rank)
{
    auto& backlog = m_backlogs[rank];
    backlog.groups.emplace(flow.tag, group);
    backlog.weight += flow.weight;
}

void FairQueue::delist(std::uint32_t group, const Flow& flow, std::uint32_t rank)
{
    const auto it = m_backlogs.find(rank);
    it->second.groups.erase({ flow.tag, group });
    it->second.weight -= flow.weight;
    if (it->second.groups.empty())
        m_backlogs.erase(it);
}

void FairQueue::charge(std::uint32_t group, Flow& flow, double slotSeconds)
{
    const double tag = std::max(flow.tag + slotSeconds / flow.weight, 0.0);
    std::optional<std::uint32_t> last;
    for (const auto& [level, lane] : flow.lanes) {
        if (last == level.rank)
            continue;
        last = level.rank;
        auto& groups = m_backlogs.at(level.rank).groups;
        groups.erase({ flow.tag, group });
        groups.emplace(tag, group);
    }
    flow.tag = tag;
}

void FairQueue::chargeElsewhere(std::uint32_t group, Duration elsewhere)
{
    charge(group, m_flows[group], toSeconds(std::min(elsewhere, m_maxElsewhere)));
}

std::optional<QueuedCall> FairQueue::push(const QueuedCall& call)
{
    auto& flow = m_flows[call.group];
    if (!flow.waiting) {
        flow.tag = std::max(flow.tag, m_virtualTime);
        m_waitingWeight += flow.weight;
    }
    const auto level = levelOf(call);
    if (!flow.hasRank(level.rank))
        enlist(call.group, flow, level.rank);
    auto& lane = flow.lanes[level];
    lane.calls.push_back(call);
    lane.cost += call.expectedCost;
    m_backlogs.at(level.rank).cost += call.expectedCost;
    ++flow.waiting;
    ++m_size;
    if (m_size <= m_limit)
        return std::nullopt;
    return evict();
}

QueuedCall FairQueue::take(std::uint32_t group, Flow& flow, Level level, std::size_t index)
{
    const auto found = flow.lanes.find(level);
    auto& lane = found->second;
    const auto it = lane.calls.begin() + static_cast<std::ptrdiff_t>(index);
    const QueuedCall call = *it;
    lane.calls.erase(it);
    lane.cost -= call.expectedCost;
    m_backlogs.at(level.rank).cost -= call.expectedCost;
    --flow.waiting;
    --m_size;
    if (lane.calls.empty()) {
        flow.lanes.erase(found);
        if (!flow.hasRank(level.rank))
            delist(group, flow, level.rank);
    }
    if (!flow.waiting)
        m_waitingWeight = m_size ? m_waitingWeight - flow.weight : 0;
    return call;
}

QueuedCall FairQueue::evict()
{
    const auto crowding = [this](const Key& key) {
        const auto& flow = m_flows.at(key.second);
        return static_cast<double>(flow.waiting) / flow.weight;
    };
    const auto& groups = m_backlogs.rbegin()->second.groups;
    const auto worst = std::max_element(
        groups.begin(), groups.end(), [&](const Key& a, const Key& b) { return crowding(a) < crowding(b); });
    const auto group = worst->second;
    auto& flow = m_flows.at(group);
    const auto& [level, lane] = *std::prev(flow.lanes.end());
    return take(group, flow, level, lane.calls.size() - 1);
}

std::optional<QueuedCall> FairQueue::pop()
{
    if (m_backlogs.empty())
        return std::nullopt;
    const auto [tag, group] = *m_backlogs.begin()->second.groups.begin();
    m_virtualTime = std::max(m_virtualTime, tag);
    auto& flow = m_flows.at(group);
    const auto level = flow.lanes.begin()->first; // its lowest rank is the lowest of all
    const auto call = take(group, flow, level, 0);
    charge(group, flow, toSeconds(call.expectedCost));
    return call;
}

const QueuedCall* FairQueue::front() const
{
    if (m_backlogs.empty())
        return nullptr;
    const auto& [rank, backlog] = *m_backlogs.begin();
    const auto& flow = m_flows.at(backlog.groups.begin()->second);
    return &flow.lanes.lower_bound({ rank, 0 })->second.calls.front();
}

void FairQueue::settle(std::uint32_t group, Duration expected, Duration actual)
{
    charge(group, m_flows[group], toSeconds(actual - expected));
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
            return take(group, flow, level, static_cast<std::size_t>(it - lane.calls.begin()));
    }
    return std::nullopt;
}

std::vector<QueuedCall> FairQueue::clear()
{
    std::vector<QueuedCall> all;
    all.reserve(m_size);
    while (auto call = pop()) {
        settle(call->group, call->expectedCost, Duration::zero());
        all.push_back(*call);
    }
    return all;
}

std::vector<QueuedCall> FairQueue::removeIf(const std::function<bool(const QueuedCall&)>& isOut)
{
    std::vector<std::pair<std::uint32_t, std::uint64_t>> ids;
    for (const auto& [group, flow] : m_flows) {
        for (const auto& [level, lane] : flow.lanes) {
            for (const auto& it : lane.calls) {
                if (isOut(it))
                    ids.emplace_back(group, it.id);
            }
        }
    }
    std::vector<QueuedCall> out;
    out.reserve(ids.size());
    for (const auto& [group, id] : ids)
        out.push_back(*cancel(group, id));
    return out;
}

std::size_t FairQueue::sizeOf(std::uint32_t group) const
{
    const auto it = m_flows.find(group);
    return it == m_flows.end() ? 0 : it->second.waiting;
}

Duration FairQueue::timeAhead(std::uint32_t group, std::uint32_t rank, std::uint32_t priority) const
{
    Duration before {};
    for (auto it = m_backlogs.begin(); it != m_backlogs.end() && it->first < rank; ++it)
        before += it->second.cost;
    const auto found = m_flows.find(group);
    if (found == m_flows.end() || !found->second.hasRank(rank))
        return before;
    const auto& flow = found->second;
    const Level own { rank, std::min(priority, priorityCount - 1) };
    Duration inGroup {};
    for (auto it = flow.lanes.lower_bound({ rank, 0 }); it != flow.lanes.end() && it->first <= own; ++it)
        inGroup += it->second.cost;
    const double share = flow.weight / m_backlogs.at(rank).weight;
    return before + fromSeconds(toSeconds(inGroup) / share);
}

double FairQueue::shareOf(std::uint32_t group) const
{
    const auto it = m_flows.find(group);
    const double weight = it == m_flows.end() ? 1 : it->second.weight;
    const bool isCounted = it != m_flows.end() && it->second.waiting;
    const double total = m_waitingWeight + (isCounted ? 0 : weight);
    return std::min(1.0, weight / total);
}

} // namespace robinrun
