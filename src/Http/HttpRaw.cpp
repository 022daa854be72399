#include "Http/HttpRaw.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace robinrun::internal {
namespace {

    struct Method {
        evhttp_cmd_type number;
        std::string_view name;
    };

    constexpr std::array<Method, 9> methods { { { EVHTTP_REQ_GET, "GET" }, { EVHTTP_REQ_POST, "POST" },
        { EVHTTP_REQ_HEAD, "HEAD" }, { EVHTTP_REQ_PUT, "PUT" }, { EVHTTP_REQ_DELETE, "DELETE" },
        { EVHTTP_REQ_OPTIONS, "OPTIONS" }, { EVHTTP_REQ_TRACE, "TRACE" }, { EVHTTP_REQ_CONNECT, "CONNECT" },
        { EVHTTP_REQ_PATCH, "PATCH" } } };

} // namespace

std::string methodName(evhttp_cmd_type method)
{
    for (const auto& it : methods) {
        if (it.number == method)
            return std::string(it.name);
    }
    return "GET";
}

std::optional<evhttp_cmd_type> methodNumber(std::string_view name)
{
    for (const auto& it : methods) {
        if (it.name == name)
            return it.number;
    }
    return std::nullopt;
}

HttpHeaders readHeaders(const evkeyvalq* raw)
{
    HttpHeaders headers;
    for (const auto* it = raw->tqh_first; it; it = it->next.tqe_next)
        headers.emplace_back(it->key, it->value);
    return headers;
}

std::string readBody(evbuffer* raw)
{
    std::string body(evbuffer_get_length(raw), '\0');
    evbuffer_remove(raw, body.data(), body.size());
    return body;
}

} // namespace robinrun::internal
