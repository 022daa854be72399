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
class GoodEnds {
public:
    static constexpr std::size_t places = 1024;
    /// Calls that come again at all come again within so long.
    static constexpr Duration memory = 10min;

    /// \brief A call whose content hashes to \a hash has ended well.
    void note(std::uint64_t hash, Instant now) { m_ends[hash % places] = { hash, now, true }; }

    /// \returns whether one of that content has within the memory.
    bool has(std::uint64_t hash, Instant now) const
    {
        const auto& it = m_ends[hash % places];
        return it.isSet && it.hash == hash && now - it.at <= memory;
    }

private:
    struct End {
        std::uint64_t hash = 0;
        Instant at {};
        bool isSet = false;
    };

    std::array<End, places> m_ends {};
};

} // namespace robinrun
