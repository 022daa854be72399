#include "Rates/CreditHomes.h"

#include "Core/Hash.h"

#include <algorithm>

namespace robinrun {

void CreditHomes::setNodes(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    if (names == m_nodes)
        return;
    m_nodes = std::move(names);
    m_homes.clear();
}

const std::string& CreditHomes::homeOf(std::string_view group, std::uint32_t part)
{
    const auto [it, isNew] = m_homes.try_emplace({ std::string(group), part });
    if (!isNew || m_nodes.empty())
        return it->second;
    const auto weight = [&](const std::string& node) { return hash64(node, hash64(group, part)); };
    const auto isLess = [&](const auto& a, const auto& b) { return weight(a) < weight(b); };
    it->second = *std::max_element(m_nodes.begin(), m_nodes.end(), isLess);
    return it->second;
}

} // namespace robinrun
