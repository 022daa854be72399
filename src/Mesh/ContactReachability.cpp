#include "Mesh/ContactReachability.h"

#include <algorithm>

namespace robinrun {

std::vector<std::string> ContactReachability::removeLost(std::span<const std::string> contacts, Instant now)
{
    std::erase_if(m_lastReached, [&](const auto& it) {
        return std::find(contacts.begin(), contacts.end(), it.first) == contacts.end();
    });
    std::vector<std::string> out;
    for (const auto& it : contacts) {
        const auto lastReached = m_lastReached.try_emplace(it, now).first;
        if (now - lastReached->second <= m_lostTimeout)
            continue;
        out.push_back(it);
        m_lastReached.erase(lastReached);
    }
    return out;
}

} // namespace robinrun
