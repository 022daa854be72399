#include "Core/BackendLife.h"

#include <charconv>

namespace robinrun {
namespace {

    constexpr char bornMark = '#';

} // namespace

BackendLife BackendLife::fromKey(std::string_view key)
{
    const auto mark = key.rfind(bornMark);
    if (mark == std::string_view::npos)
        return BackendLife(std::string(key));
    std::uint64_t born = 0;
    const auto* end = key.data() + key.size();
    const auto [read, ec] = std::from_chars(key.data() + mark + 1, end, born);
    if (ec != std::errc() || read != end)
        return BackendLife(std::string(key));
    return BackendLife(std::string(key.substr(0, mark)), born);
}

std::string BackendLife::key() const
{
    return hasBorn() ? m_id + bornMark + std::to_string(m_born) : m_id;
}

bool BackendLife::isBefore(const BackendLife& other) const
{
    if (hasBorn() && other.hasBorn())
        return m_born < other.m_born;
    return m_id == other.m_id && other.hasBorn() && !hasBorn();
}

} // namespace robinrun
