#pragma once

#include "Core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace robinrun {

/// \brief Remembers which contents have ended well at one owner lately.
///
/// A table of a fixed size in which a content takes the place of another one now and then: what is forgotten
/// makes a call look new, no worse. Cost: O(1), no memory beyond 24 KB.
class RecentSuccesses {
public:
    static constexpr std::size_t entryCount = 1024;
    /// Calls that come again at all come again within so long.
    static constexpr Duration retention = 10min;

    /// \brief A call whose content hashes to \a contentHash has ended well.
    void recordSuccess(std::uint64_t contentHash, Instant now)
    {
        m_entries[contentHash % entryCount] = { contentHash, now, true };
    }

    /// \returns whether one of that content has within the memory.
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
