#include "Queueing/FairQueue.h"

#include "Core/Check.h"

#include <algorithm>

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

std::size_t FairQueue::level(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, priorityCount - 1);
}

void FairQueue::setWeight(std::uint32_t group, double weight)
{
    require(weight > 0, "FairQueue::setWeight: weight above 0");
    auto& flow = m_flows[group];
    if (flow.waiting)
        m_backloggedWeight += weight - flow.weight;
    flow.weight = weight;
}

void FairQueue::charge(std::uint32_t group, Flow& flow, double slotSeconds)
{
    const double tag = std::max(flow.tag + slotSeconds / flow.weight, 0.0);
    if (flow.waiting) {
        m_backlogged.erase({ flow.tag, group });
        m_backlogged.emplace(tag, group);
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
        m_backlogged.emplace(flow.tag, call.group);
        m_backloggedWeight += flow.weight;
    }
    const auto priority = level(call.priority);
    flow.calls[priority].push_back(call);
    flow.cost[priority] += call.expectedCost;
    ++flow.waiting;
    ++m_size;
    if (m_size <= m_limit)
        return std::nullopt;
    return evict();
}

QueuedCall FairQueue::take(std::uint32_t group, Flow& flow, std::size_t priority, std::size_t index)
{
    auto& calls = flow.calls[priority];
    const auto it = calls.begin() + static_cast<std::ptrdiff_t>(index);
    const QueuedCall call = *it;
    calls.erase(it);
    flow.cost[priority] -= call.expectedCost;
    --flow.waiting;
    --m_size;
    if (!flow.waiting) {
        m_backlogged.erase({ flow.tag, group });
        m_backloggedWeight = m_backlogged.empty() ? 0 : m_backloggedWeight - flow.weight;
    }
    return call;
}

QueuedCall FairQueue::evict()
{
    const auto crowding = [this](const Key& key) {
        const auto& flow = m_flows.at(key.second);
        return static_cast<double>(flow.waiting) / flow.weight;
    };
    const auto worst = std::max_element(m_backlogged.begin(), m_backlogged.end(),
        [&](const Key& a, const Key& b) { return crowding(a) < crowding(b); });
    const auto group = worst->second;
    auto& flow = m_flows.at(group);
    std::size_t priority = priorityCount - 1;
    while (flow.calls[priority].empty())
        --priority;
    return take(group, flow, priority, flow.calls[priority].size() - 1);
}

std::optional<QueuedCall> FairQueue::pop()
{
    if (m_backlogged.empty())
        return std::nullopt;
    const auto [tag, group] = *m_backlogged.begin();
    m_virtualTime = std::max(m_virtualTime, tag);
    auto& flow = m_flows.at(group);
    std::size_t priority = 0;
    while (flow.calls[priority].empty())
        ++priority;
    const auto call = take(group, flow, priority, 0);
    charge(group, flow, toSeconds(call.expectedCost));
    return call;
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
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        const auto& calls = flow.calls[priority];
        const auto it
            = std::find_if(calls.begin(), calls.end(), [id](const auto& call) { return call.id == id; });
        if (it != calls.end())
            return take(group, flow, priority, static_cast<std::size_t>(it - calls.begin()));
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
    std::vector<QueuedCall> out;
    for (auto& [group, flow] : m_flows) {
        for (std::size_t priority = 0; priority < priorityCount; ++priority) {
            for (std::size_t i = flow.calls[priority].size(); i-- > 0;) {
                if (isOut(flow.calls[priority][i]))
                    out.push_back(take(group, flow, priority, i));
            }
        }
    }
    return out;
}

std::size_t FairQueue::sizeOf(std::uint32_t group) const
{
    const auto it = m_flows.find(group);
    return it == m_flows.end() ? 0 : it->second.waiting;
}

Duration FairQueue::costAhead(std::uint32_t group, std::uint32_t priority) const
{
    const auto it = m_flows.find(group);
    if (it == m_flows.end())
        return Duration::zero();
    Duration sum {};
    for (std::size_t i = 0; i <= level(priority); ++i)
        sum += it->second.cost[i];
    return sum;
}

double FairQueue::shareOf(std::uint32_t group) const
{
    const auto it = m_flows.find(group);
    const double weight = it == m_flows.end() ? 1 : it->second.weight;
    const bool isCounted = it != m_flows.end() && it->second.waiting;
    const double total = m_backloggedWeight + (isCounted ? 0 : weight);
    return std::min(1.0, weight / total);
}

} // namespace robinrun
