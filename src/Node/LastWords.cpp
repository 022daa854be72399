#include "Node/LastWords.h"

namespace robinrun {

bool LastWords::wasNeverRun(const std::string& node, std::uint64_t incarnation, std::uint64_t number) const
{
    const auto it = m_words.find(node);
    if (it == m_words.end() || incarnation == 0 || it->second.incarnation != incarnation)
        return false;
    return number > it->second.highest;
}

} // namespace robinrun
