#include "Crashes/CallContent.h"

#include "Core/Hash.h"

#include <string>

namespace robinrun {
namespace {

    constexpr std::size_t contentIdHexDigits = 16;
    constexpr int hexBase = 16;

    /// \returns the fields in sequence, each prefixed by its length, so that different contents never have
    /// the same encoding.
    std::string encodeFields(const CallContent& content)
    {
        std::string out;
        for (const auto field :
            { content.group, content.method, content.host, content.target, content.body }) {
            out += std::to_string(field.size());
            out += ':';
            out += field;
        }
        return out;
    }

} // namespace

ContentId contentIdOf(const CallContent& content)
{
    const auto hexDigits = sha256Hex(encodeFields(content)).substr(0, contentIdHexDigits);
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
