#pragma once

#include <cstddef>
#include <map>
#include <ostream>
#include <string>

namespace robinrun::starvation {

/// \brief The end of a request, as its caller saw it: the status and the node's reason.
struct Reply {
    int status = 0; ///< 0: no answer.
    std::string reason;
};

/// \brief What callers got, by calling group, host and kind of call.
class ServiceCounts {
public:
    /// A group, a host or a kind is starved if it is served less than this fraction as often as all.
    static constexpr double starvedFraction = 0.25;
    /// Fewer requests say nothing.
    static constexpr std::size_t minRequests = 4;

    struct Count {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::map<std::string, std::size_t> lost; ///< By status and reason.

        double servedFraction() const
        {
            return sent ? static_cast<double>(served) / static_cast<double>(sent) : 1;
        }
    };

    void add(const std::string& group, const std::string& host, const std::string& kind, const Reply& last);

    /// \brief Writes the least served of each table and all that are starved.
    void write(std::ostream& out) const;
    /// \returns how many groups, hosts and kinds are starved.
    std::size_t starvedCount() const;

private:
    using Table = std::map<std::string, Count>;

    Count m_all;
    Table m_groups;
    Table m_hosts;
    Table m_kinds;
};

} // namespace robinrun::starvation
