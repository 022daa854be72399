#include "Mesh/ContactReach.h"

#include <algorithm>

namespace robinrun {

std::vector<std::string> ContactReach::takeLost(std::span<const std::string> contacts, Instant now)
{
    std::erase_if(m_reached, [&](const auto& it) {
        return std::find(contacts.begin(), contacts.end(), it.first) == contacts.end();
    });
    std::vector<std::string> out;
    for (const auto& it : contacts) {
        const auto reached = m_reached.try_emplace(it, now).first;
        if (now - reached->second <= m_forgetAfter)
            continue;
        out.push_back(it);
        m_reached.erase(reached);
    }
    return out;
}

} // namespace robinrun
