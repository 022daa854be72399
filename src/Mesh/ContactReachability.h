#pragma once

#include "Core/Time.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Remembers when each contact was last reached, and tells which were not for long.
///
/// A node that was no contact for a while begins anew: that it was not tried is no sign that it is gone.
/// Cost: O(contacts log contacts).
class ContactReachability {
public:
    /// \param lostTimeout a contact that was tried and not reached for longer is lost.
    explicit ContactReachability(Duration lostTimeout)
        : m_lostTimeout(lostTimeout)
    {
    }

    /// \brief A message to the contact at \a address went out.
    void onReached(const std::string& address, Instant now) { m_lastReached[address] = now; }

    /// \brief To be called with each round of contact, with the addresses of all contacts that were tried.
    /// \returns those that are lost; each once.
    std::vector<std::string> removeLost(std::span<const std::string> contacts, Instant now);

private:
    Duration m_lostTimeout;
    std::map<std::string, Instant> m_lastReached; ///< or tried first, by address
};

} // namespace robinrun
