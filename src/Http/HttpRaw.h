#pragma once

#include "Http/HttpTypes.h"

#include <event2/http.h>
#include <optional>

struct evbuffer;
struct evkeyvalq;

namespace robinrun::internal {

/// \brief evhttp's method numbers as names, and back.
std::string methodName(evhttp_cmd_type method);
std::optional<evhttp_cmd_type> methodNumber(std::string_view name);

HttpHeaders readHeaders(const evkeyvalq* raw);
std::string readBody(evbuffer* raw);

} // namespace robinrun::internal
