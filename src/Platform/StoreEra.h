#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief Which era of the store this node believes in, from what the store's answers and peers say.
///
/// A store that comes back from an older copy counts its era up and names it in all answers. Answers overtake
/// each other: one of an earlier era that was asked for before the change was noticed is merely late. An era
/// that is missing, falls or is no number in an answer to a later question makes no sense; then the safer
/// reading holds, that the store has come back from a copy, at a bounded rate.
/// No I/O; the present time is an argument. Cost: O(1).
class StoreEra {
public:
    enum class Verdict {
        Same,
        Changed, ///< the store has come back: all that was read or written before is in doubt
        Former, ///< a late answer of an era that is over: it says nothing any more
    };

    /// \param text of the answer's header; nothing if there is none. \param asked generation() when the
    /// question was asked.
    Verdict take(const std::optional<std::string>& text, std::uint64_t asked, Instant now);

    /// \brief A peer believes in \a era. \returns whether that is a change.
    bool heard(std::uint64_t era, Instant now);

    /// \returns the highest era that was named; 0 if none was. All nodes mean the same by it.
    std::uint64_t era() const { return m_era.value_or(0); }
    /// \returns a number that rises with each change, and each time that an answer makes no sense.
    std::uint64_t generation() const { return m_generation; }
    /// \returns since when; nothing if no era was named.
    std::optional<Instant> since() const { return m_since; }
    /// \returns how many answers made no sense.
    std::uint64_t faults() const { return m_faults; }

private:
    Verdict change(std::uint64_t era, Instant now);
    Verdict doubt(std::string_view fault, const std::optional<std::string>& text, Instant now);

    std::optional<std::uint64_t> m_era;
    std::uint64_t m_generation = 0;
    std::optional<Instant> m_since;
    std::optional<Instant> m_doubted;
    std::uint64_t m_faults = 0;
};

} // namespace robinrun
