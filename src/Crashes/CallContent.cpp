#include "Crashes/CallContent.h"

#include "Core/Hash.h"

#include <string>

namespace robinrun {
namespace {

    constexpr std::size_t hexDigitsOfId = 16;
    constexpr int hexadecimal = 16;

    /// \returns the fields one after the other, each behind its length: no two contents give the same text.
    std::string textOf(const CallContent& content)
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
    const auto digest = sha256Hex(textOf(content)).substr(0, hexDigitsOfId);
    return std::stoull(digest, nullptr, hexadecimal) >> 1U;
}

std::uint64_t quickHashOf(const CallContent& content)
{
    auto out = hash64(content.body);
    for (const auto field : { content.group, content.method, content.host, content.target })
        out = hash64(field, out);
    return out;
}

} // namespace robinrun
