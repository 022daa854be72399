#pragma once

#include "Queueing/Refusal.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace robinrun {

/// \brief Counts of the calls that callers of one group sent to this node, and of those that were not served,
/// by reason. Summed over all nodes they tell which group is served least, and why.
///
/// Groups beyond `maxGroups` share the counts of the group "others". Cost: O(log groups) a call; about 200
/// bytes for each group and for each reason that it met.
class GroupCounts {
public:
    static constexpr std::size_t maxGroups = 512;

    /// \brief Counts a call that has ended.
    /// \param reason why it was not served; Reason::None if the backend server answered with an error.
    void add(std::string_view group, bool isNested, bool isServed, Reason reason);

    /// \brief Writes the counts as Prometheus text.
    void write(std::ostream& out) const;

private:
    /// Group, and whether the calls are nested.
    using Key = std::pair<std::string, bool>;
    struct Counts {
        std::uint64_t calls = 0;
        std::map<Reason, std::uint64_t> notServed;
    };

    std::map<Key, Counts> m_counts;
};

} // namespace robinrun
