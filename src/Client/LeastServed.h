#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Adds up the metrics of many nodes and tells who is served least, and why: by calling group, by host
/// where the call came in, and nested calls against all others.
///
/// Reads the counts of GroupCounts. Cost: O(lines).
class LeastServed {
public:
    struct Row {
        std::string name;
        std::uint64_t calls = 0;
        std::uint64_t notServed = 0;
        std::map<std::string, std::uint64_t> reasons; ///< Of the calls that were not served.

        double servedFraction() const
        {
            return calls ? 1 - static_cast<double>(notServed) / static_cast<double>(calls) : 1;
        }
    };

    /// \brief Adds the metrics that the node of \a host has served.
    void add(const std::string& host, std::istream& metrics);

    /// \returns up to \a count rows, the least served first; without rows of fewer than \a minCalls calls.
    std::vector<Row> groups(std::size_t count, std::uint64_t minCalls = 1) const;
    std::vector<Row> hosts(std::size_t count, std::uint64_t minCalls = 1) const;
    /// \returns the rows "nested" and "outer".
    std::vector<Row> nesting() const;
    const Row& all() const { return m_all; }

    /// \brief Writes the tables, with \a count rows each.
    void write(std::ostream& out, std::size_t count) const;

private:
    using Table = std::map<std::string, Row>;

    Row m_all;
    Table m_groups;
    Table m_hosts;
    Table m_nesting;
};

} // namespace robinrun
