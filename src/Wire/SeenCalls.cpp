#include "Wire/SeenCalls.h"

#include <algorithm>

namespace robinrun {

bool SeenCalls::isNew(std::uint64_t sender, std::uint64_t number, Instant now)
{
    auto& it = m_senders[sender];
    it.last = now;
    if (number > it.highest) {
        const auto skipped = std::min(number - it.highest, window);
        for (std::uint64_t i = 0; i < skipped; ++i)
            it.seen.reset((number - i) % window);
        it.highest = number;
    } else if (it.highest - number >= window || it.seen.test(number % window)) {
        return false;
    }
    it.seen.set(number % window);
    return true;
}

std::uint64_t SeenCalls::highest(std::uint64_t sender) const
{
    const auto it = m_senders.find(sender);
    return it == m_senders.end() ? 0 : it->second.highest;
}

void SeenCalls::forgetSilent(Instant now)
{
    std::erase_if(m_senders, [&](const auto& it) { return now - it.second.last > m_forgetAfter; });
}

} // namespace robinrun
