#pragma once

#include "Core/Time.h"

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace robinrun {

/// \brief Refuses a call that is delivered twice or far out of order, by the sender's life and call number.
///
/// Each sender numbers its calls to this owner from 1 on; the last `window` numbers are remembered, older
/// ones are refused unseen. A sender that was silent for `forgetAfter` is dropped: by then its calls are past
/// any deadline. Cost: O(1); about 600 bytes a sender.
class SeenCalls {
public:
    static constexpr std::uint64_t window = 4096;

    explicit SeenCalls(Duration forgetAfter)
        : m_forgetAfter(forgetAfter)
    {
    }

    /// \returns whether the call is new; if so it is remembered.
    bool isNew(std::uint64_t sender, std::uint64_t number, Instant now);

    /// \returns the highest number that came from \a sender; 0 if none is remembered.
    std::uint64_t highest(std::uint64_t sender) const;

    /// \brief Drops silent senders; to be called now and then.
    void forgetSilent(Instant now);

    std::size_t senders() const { return m_senders.size(); }

private:
    struct Sender {
        std::uint64_t highest = 0;
        std::bitset<window> seen;
        Instant last {};
    };
    Duration m_forgetAfter;
    std::unordered_map<std::uint64_t, Sender> m_senders;
};

} // namespace robinrun
