#pragma once

#include "Http/internal/HttpParser.h"

#include <cstddef>
#include <event2/buffer.h>
#include <memory>
#include <optional>
#include <string_view>

namespace robinrun::support {

/// \returns the reply that a parser reads from \a bytes, which come in two pieces cut at \a at and with an
/// orderly end of the connection; nothing if they are none.
inline std::optional<HttpReply> parsed(std::string_view bytes, std::size_t at)
{
    constexpr std::size_t longestReply = 1U << 20U;
    internal::ReplyParser parser(longestReply, false);
    const std::unique_ptr<evbuffer, void (*)(evbuffer*)> in(evbuffer_new(), &evbuffer_free);
    for (const auto piece : { bytes.substr(0, at), bytes.substr(at) }) {
        evbuffer_add(in.get(), piece.data(), piece.size());
        if (!parser.feed(in.get()))
            return std::nullopt;
    }
    if (!parser.isDone())
        parser.end();
    return parser.isDone() ? std::optional(parser.take()) : std::nullopt;
}

} // namespace robinrun::support
