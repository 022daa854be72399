#include "Client/LeastServed.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iomanip>
#include <istream>
#include <ostream>
#include <string_view>
#include <utility>

namespace robinrun {
namespace {

    constexpr std::string_view callsSeries = "robinrun_group_calls_total{";
    constexpr std::string_view notServedSeries = "robinrun_group_not_served_total{";

    /// \returns the value of a label of a series; "" if it has none of that name.
    std::string labelOf(const std::string& line, const std::string& name)
    {
        const auto start = line.find(name + "=\"");
        if (start == std::string::npos)
            return "";
        const auto first = start + name.size() + 2;
        return line.substr(first, line.find('"', first) - first);
    }

    std::uint64_t valueOf(const std::string& line)
    {
        return std::strtoull(line.c_str() + line.rfind(' '), nullptr, 10);
    }

    std::vector<LeastServed::Row> leastServed(
        const std::map<std::string, LeastServed::Row>& table, std::size_t count, std::uint64_t minCalls)
    {
        std::vector<LeastServed::Row> out;
        for (const auto& [name, row] : table) {
            if (row.calls >= minCalls)
                out.push_back(row);
        }
        std::stable_sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.servedFraction() < b.servedFraction(); });
        out.resize(std::min(out.size(), count));
        return out;
    }

    void writeRow(std::ostream& out, const LeastServed::Row& row)
    {
        out << std::left << std::setw(24) << row.name << std::right << std::setw(10) << row.calls
            << std::setw(8) << std::fixed << std::setprecision(3) << row.servedFraction();
        for (const auto& [reason, n] : row.reasons)
            out << "  " << reason << ": " << n;
        out << '\n';
    }

} // namespace

void LeastServed::add(const std::string& host, std::istream& metrics)
{
    for (std::string line; std::getline(metrics, line);) {
        const bool isCalls = line.starts_with(callsSeries);
        if (!isCalls && !line.starts_with(notServedSeries))
            continue;
        const auto group = labelOf(line, "group");
        const std::string nesting = labelOf(line, "nested") == "1" ? "nested" : "outer";
        const auto value = valueOf(line);
        m_all.name = "all";
        m_groups[group].name = group;
        m_hosts[host].name = host;
        m_nesting[nesting].name = nesting;
        for (auto* row : { &m_all, &m_groups[group], &m_hosts[host], &m_nesting[nesting] }) {
            (isCalls ? row->calls : row->notServed) += value;
            if (!isCalls)
                row->reasons[labelOf(line, "reason")] += value;
        }
    }
}

std::vector<LeastServed::Row> LeastServed::groups(std::size_t count, std::uint64_t minCalls) const
{
    return leastServed(m_groups, count, minCalls);
}

std::vector<LeastServed::Row> LeastServed::hosts(std::size_t count, std::uint64_t minCalls) const
{
    return leastServed(m_hosts, count, minCalls);
}

std::vector<LeastServed::Row> LeastServed::nesting() const
{
    return leastServed(m_nesting, m_nesting.size(), 1);
}

void LeastServed::write(std::ostream& out, std::size_t count) const
{
    out << std::left << std::setw(24) << "NAME" << std::right << std::setw(10) << "CALLS" << std::setw(8)
        << "SERVED"
        << "  NOT SERVED FOR\n";
    writeRow(out, m_all);
    for (const auto& rows : { groups(count), hosts(count), nesting() }) {
        out << '\n';
        for (const auto& it : rows)
            writeRow(out, it);
    }
}

} // namespace robinrun
