#pragma once

#include "Core/Time.h"

#include <cstddef>

namespace robinrun {

/// \brief Decides when a host may send its next long message, so that short ones find its network link free.
///
/// Answers the load of long answers to many peers at once: the link sends what it is given in order,
/// whichever connection it is for, so that each of them adds its whole time to the way of a short answer.
/// Long messages go out one after the other, at a part of the link's rate; short ones are never held back. No
/// I/O. Cost: O(1).
class BulkPacer {
public:
    /// \param bytesPerSecond that the host's link carries; 0: not known, nothing is held back.
    explicit BulkPacer(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    /// \returns whether a message of \a bytes is long enough to wait for others.
    bool isBulk(std::size_t bytes) const { return m_bytesPerSecond > 0 && bytes > longestShort; }

    /// \returns when the next long message may go.
    Instant freeAt() const { return m_freeAt; }

    /// \brief A long message has gone.
    void went(std::size_t bytes, Instant now)
    {
        m_freeAt = now + fromSeconds(static_cast<double>(bytes) / (linkShare * m_bytesPerSecond));
    }

private:
    static constexpr std::size_t longestShort = 8192; ///< bytes
    static constexpr double linkShare = 0.8; ///< the rest is for short messages

    double m_bytesPerSecond;
    Instant m_freeAt {};
};

} // namespace robinrun
