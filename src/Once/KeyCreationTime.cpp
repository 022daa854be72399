#include "Once/KeyCreationTime.h"

#include <charconv>
#include <string>

namespace robinrun {
namespace {

    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t uuidVersionIndex = 14;
    constexpr std::size_t maxSecondsDigits = 11;

    std::optional<std::int64_t> parseNumber(std::string_view digits, int base)
    {
        std::int64_t n = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n, base);
        if (digits.empty() || ec != std::errc() || end != digits.data() + digits.size() || n < 0)
            return std::nullopt;
        return n;
    }

    bool isUuidVersion7(std::string_view key)
    {
        return key.size() == uuidLength && key[8] == '-' && key[13] == '-' && key[18] == '-' && key[23] == '-'
            && key[uuidVersionIndex] == '7';
    }

} // namespace

std::optional<std::int64_t> keyCreationTimeMs(std::string_view key)
{
    if (isUuidVersion7(key)) {
        std::string digits(key.substr(0, 8));
        digits += key.substr(9, 4);
        return parseNumber(digits, 16);
    }
    const auto colon = key.find(':');
    if (colon == std::string_view::npos || colon > maxSecondsDigits || colon + 1 == key.size())
        return std::nullopt;
    const auto seconds = parseNumber(key.substr(0, colon), 10);
    if (!seconds)
        return std::nullopt;
    return *seconds * 1000;
}

} // namespace robinrun
