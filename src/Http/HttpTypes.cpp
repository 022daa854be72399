#include "Http/HttpTypes.h"

#include <algorithm>
#include <charconv>

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

std::vector<std::string_view> listItems(std::string_view list)
{
    std::vector<std::string_view> items;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        const auto item = list.substr(0, comma);
        const auto first = item.find_first_not_of(" \t");
        if (first != std::string_view::npos)
            items.push_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return items;
}

bool splitAddress(const std::string& address, std::string& ip, std::uint16_t& port)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    ip = address.substr(0, colon);
    const char* first = address.data() + colon + 1;
    const char* last = address.data() + address.size();
    const auto [end, ec] = std::from_chars(first, last, port);
    return ec == std::errc() && end == last && first != last;
}

} // namespace robinrun
