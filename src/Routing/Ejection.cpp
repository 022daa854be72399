#include "Routing/Ejection.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr unsigned maxDoublings = 5;

    bool contains(std::span<const std::size_t> set, std::size_t i)
    {
        return std::find(set.begin(), set.end(), i) != set.end();
    }

} // namespace

bool Ejection::isEjected(std::size_t index, Instant now) const
{
    return index < m_entries.size() && m_entries[index].ejectedUntil && now < *m_entries[index].ejectedUntil;
}

std::size_t Ejection::ejectedCount(Instant now) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        count += isEjected(i, now);
    return count;
}

std::vector<std::size_t> Ejection::update(std::span<const UpstreamView> views, Instant now)
{
    m_entries.resize(views.size());
    std::vector<std::size_t> returned;
    const auto maxEjected
        = static_cast<std::size_t>(m_options.maxEjectedShare * static_cast<double>(views.size()));
    auto ejected = ejectedCount(now);
    for (std::size_t i = 0; i < views.size(); ++i) {
        auto& entry = m_entries[i];
        if (isEjected(i, now))
            continue;
        if (entry.ejectedUntil) {
            entry.ejectedUntil.reset();
            returned.push_back(i);
            continue;
        }
        const double errors = views[i].errorShare(now);
        if (errors > m_options.maxErrorShare && ejected < maxEjected) {
            const auto length = m_options.initialDuration * (1U << std::min(entry.ejections, maxDoublings));
            entry.ejectedUntil = now + std::min(length, m_options.maxDuration);
            ++entry.ejections;
            ++ejected;
        } else if (errors < m_options.maxErrorShare / 10) {
            entry.ejections = 0;
        }
    }
    return returned;
}

void Ejection::collectCandidates(std::span<const UpstreamView> views, std::span<const std::size_t> excluded,
    Instant now, std::vector<std::size_t>& out) const
{
    out.clear();
    std::size_t active = 0;
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (views[i].state() != UpstreamState::Active)
            continue;
        ++active;
        if (!isEjected(i, now) && !contains(excluded, i) && views[i].isAvailable(now))
            out.push_back(i);
    }
    const bool isPanic
        = static_cast<double>(out.size() + excluded.size()) < m_options.panicThreshold * double(active);
    if (!isPanic && !out.empty())
        return;
    out.clear();
    // If all upstreams are lost, their states may be stale: after a network partition the links are up again
    // before the first load report arrives.
    const auto eligible = active ? UpstreamState::Active : UpstreamState::Lost;
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (views[i].state() == eligible && !contains(excluded, i))
            out.push_back(i);
    }
}

} // namespace robinrun
