#include "Node/GroupCounts.h"

namespace robinrun {
namespace {

    constexpr std::string_view otherGroups = "others";
    /// The backend server ran the call and answered with an error.
    constexpr std::string_view serverError = "server-error";

    std::string labelsOf(const std::string& group, bool isNested)
    {
        return "group=\"" + group + "\",nested=\"" + (isNested ? "1" : "0") + "\"";
    }

} // namespace

void GroupCounts::add(std::string_view group, bool isNested, bool isServed, Reason reason)
{
    Key key { std::string(group), isNested };
    // Two entries a group at most.
    if (!m_counts.contains(key) && m_counts.size() >= 2 * maxGroups)
        key.first = otherGroups;
    auto& counts = m_counts[key];
    ++counts.calls;
    if (!isServed)
        ++counts.notServed[reason];
}

void GroupCounts::write(std::ostream& out) const
{
    out << "# TYPE robinrun_group_calls_total counter\n";
    for (const auto& [key, counts] : m_counts)
        out << "robinrun_group_calls_total{" << labelsOf(key.first, key.second) << "} " << counts.calls
            << '\n';
    out << "# TYPE robinrun_group_not_served_total counter\n";
    for (const auto& [key, counts] : m_counts) {
        for (const auto& [reason, n] : counts.notServed)
            out << "robinrun_group_not_served_total{" << labelsOf(key.first, key.second) << ",reason=\""
                << (reason == Reason::None ? serverError : nameOf(reason)) << "\"} " << n << '\n';
    }
}

} // namespace robinrun
