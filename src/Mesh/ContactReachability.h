#pragma once

#include "Core/Time.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Records when each contact was last reached, and reports those that have been unreachable for too
/// long.
///
/// The time of a node that was not a contact for a while starts anew, because a node to which nothing was
/// sent is not known to be gone.
/// Cost: O(contacts log contacts).
class ContactReachability {
public:
    /// \param lostTimeout a contact that has not been reached for longer, despite attempts, is lost.
    explicit ContactReachability(Duration lostTimeout)
        : m_lostTimeout(lostTimeout)
    {
    }

    /// \brief Records that a message to the contact at \a address was sent.
    void onReached(const std::string& address, Instant now) { m_lastReached[address] = now; }

    /// \brief Reports lost contacts. Must be called in each contact round.
    /// \param contacts the addresses of all contacts to which a message was sent.
    /// \param now the current time.
    /// \returns the addresses of lost contacts, each only once.
    std::vector<std::string> removeLost(std::span<const std::string> contacts, Instant now);

private:
    Duration m_lostTimeout;
    /// By address. Holds the time of the first attempt if the contact was never reached.
    std::map<std::string, Instant> m_lastReached;
};

} // namespace robinrun
