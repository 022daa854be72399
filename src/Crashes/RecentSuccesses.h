#pragma once

#include "Core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace robinrun {

/// \brief Remembers which contents succeeded recently at one owner.
///
/// This is a hash table of fixed size in which a new entry replaces the one in its place. A replaced content
/// only looks as if it had not succeeded before. Cost: O(1); 24 KB of memory.
class RecentSuccesses {
public:
    static constexpr std::size_t entryCount = 1024;
    /// Calls that are repeated at all are repeated within this time.
    static constexpr Duration retention = 10min;

    /// \param contentHash quickHashOf() the content.
    void recordSuccess(std::uint64_t contentHash, Instant now)
    {
        m_entries[contentHash % entryCount] = { contentHash, now, true };
    }

    /// \returns whether a success of the content is known that is no older than the retention time.
    bool contains(std::uint64_t contentHash, Instant now) const
    {
        const auto& it = m_entries[contentHash % entryCount];
        return it.isSet && it.contentHash == contentHash && now - it.succeededAt <= retention;
    }

private:
    struct Entry {
        std::uint64_t contentHash = 0;
        Instant succeededAt {};
        bool isSet = false;
    };

    std::array<Entry, entryCount> m_entries {};
};

} // namespace robinrun
