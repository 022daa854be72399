#include "Http/HttpTypes.h"

#include <algorithm>

namespace robinrun {
namespace {

    constexpr std::array<std::string_view, 11> hopByHop { "connection", "keep-alive", "proxy-authenticate",
        "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
        "content-length" };

    char lower(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    }

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equalIgnoringCase(key, name))
            return value;
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(
        hopByHop.begin(), hopByHop.end(), [&](auto it) { return equalIgnoringCase(it, name); });
}

} // namespace robinrun
