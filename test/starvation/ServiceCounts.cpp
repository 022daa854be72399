#include "starvation/ServiceCounts.h"

#include <algorithm>
#include <iomanip>
#include <utility>
#include <vector>

namespace robinrun::starvation {
namespace {

    constexpr std::size_t shownRows = 4;

    bool isServed(int status)
    {
        return status >= 200 && status < 300;
    }

    void addTo(ServiceCounts::Count& count, const Reply& last)
    {
        ++count.sent;
        if (isServed(last.status))
            ++count.served;
        else
            ++count.lost[std::to_string(last.status) + " " + last.reason];
    }

    bool isStarved(const ServiceCounts::Count& count, const ServiceCounts::Count& all)
    {
        return count.sent >= ServiceCounts::minRequests
            && count.servedFraction() < ServiceCounts::starvedFraction * all.servedFraction();
    }

    void writeRow(std::ostream& out, const std::string& name, const ServiceCounts::Count& count)
    {
        out << std::setw(9) << name << "  " << count.served << " of " << count.sent << " ("
            << std::setprecision(3) << count.servedFraction() << ")";
        for (const auto& [why, n] : count.lost)
            out << "  " << why << ": " << n;
        out << '\n';
    }

} // namespace

void ServiceCounts::add(
    const std::string& group, const std::string& host, const std::string& kind, const Reply& last)
{
    addTo(m_all, last);
    addTo(m_groups[group], last);
    addTo(m_hosts[host], last);
    addTo(m_kinds[kind], last);
}

void ServiceCounts::write(std::ostream& out) const
{
    writeRow(out, "all", m_all);
    for (const auto& [title, table] : { std::pair<const char*, const Table*> { "groups", &m_groups },
             { "hosts", &m_hosts }, { "kinds", &m_kinds } }) {
        std::vector<std::pair<std::string, Count>> rows(table->begin(), table->end());
        std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
            return a.second.servedFraction() < b.second.servedFraction();
        });
        out << title << ", least served first:\n";
        for (std::size_t i = 0; i < rows.size(); ++i) {
            const auto& [name, count] = rows[i];
            if (i < shownRows || isStarved(count, m_all))
                writeRow(out, isStarved(count, m_all) ? "STARVED " + name : name, count);
        }
    }
}

std::size_t ServiceCounts::starvedCount() const
{
    std::size_t out = 0;
    for (const auto* table : { &m_groups, &m_hosts, &m_kinds }) {
        out += static_cast<std::size_t>(std::count_if(
            table->begin(), table->end(), [this](const auto& it) { return isStarved(it.second, m_all); }));
    }
    return out;
}

} // namespace robinrun::starvation
