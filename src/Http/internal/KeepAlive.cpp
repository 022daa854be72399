#include "Http/internal/KeepAlive.h"

#include <algorithm>
#include <charconv>

namespace robinrun::internal {

Duration keptFor(const HttpReply& reply, Duration standard)
{
    constexpr std::string_view parameter = "timeout=";
    constexpr Duration longestMargin = 1s;
    const auto field = findHeader(reply.headers, "Keep-Alive");
    if (!field)
        return standard;
    const auto at = field->find(parameter);
    if (at == std::string_view::npos)
        return standard;
    int seconds = 0;
    const auto text = field->substr(at + parameter.size());
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    const Duration told = std::max(Duration(std::chrono::seconds(seconds)), Duration::zero());
    return std::min(standard, told - std::min(longestMargin, told / 2));
}

} // namespace robinrun::internal
