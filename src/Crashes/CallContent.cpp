#include "Crashes/CallContent.h"

#include "Core/Hash.h"

#include <array>
#include <string>
#include <string_view>

namespace robinrun {
namespace {

    constexpr std::size_t contentIdHexDigits = 16;
    constexpr int hexBase = 16;

    constexpr std::size_t fieldCount = 5;

} // namespace

ContentId contentIdOf(const CallContent& content)
{
    // Each field is prefixed by its length, so that different contents never have the same encoding.
    const std::array<std::string_view, fieldCount> fields { content.group, content.method, content.host,
        content.target, content.body };
    std::array<std::string, fieldCount> lengths;
    std::array<std::string_view, 2 * fieldCount> parts;
    for (std::size_t i = 0; i < fieldCount; ++i) {
        lengths[i] = std::to_string(fields[i].size()) + ':';
        parts[2 * i] = lengths[i];
        parts[2 * i + 1] = fields[i];
    }
    const auto hexDigits = sha256Hex(parts).substr(0, contentIdHexDigits);
    return std::stoull(hexDigits, nullptr, hexBase) >> 1U;
}

std::uint64_t quickHashOf(const CallContent& content)
{
    auto out = hash64(content.body);
    for (const auto field : { content.group, content.method, content.host, content.target })
        out = hash64(field, out);
    return out;
}

} // namespace robinrun
