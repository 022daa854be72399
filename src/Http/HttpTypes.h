#pragma once

#include "Core/EnumNames.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Header fields in the order they came.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \returns the value of the first field called \a name, in any case of letters.
std::optional<std::string_view> findHeader(const HttpHeaders& headers, std::string_view name);

/// \returns whether a field belongs to one connection only and must not be passed on (RFC 9110, 7.6.1), or is
/// set anew by each hop (Host, Content-Length).
bool isHopByHop(std::string_view name);

/// \returns whether \a a and \a b are equal but for the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// \returns the items of \a list, a comma-separated field value, without the empty ones (RFC 9110, 5.6.1).
std::vector<std::string_view> listItems(std::string_view list);

/// \brief Splits `ip:port`. \returns false if it is none.
bool splitAddress(const std::string& address, std::string& ip, std::uint16_t& port);

/// \brief Bytes that several holders read.
using SharedBytes = std::shared_ptr<const std::string>;

struct HttpRequest {
    std::string method;
    std::string target; ///< path and query
    HttpHeaders headers;
    std::string body;
};

struct HttpReply {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// \brief How an exchange failed.
enum class HttpErrorKind {
    NotConnected, ///< no byte of the request can have reached the server
    TimedOut,
    Broken, ///< the connection ended before the whole reply, or what came is no HTTP/1.1 reply
    TooLarge,
    BadRequest, ///< it can't be sent at all, as with an unknown method
};

template <> struct EnumNames<HttpErrorKind> {
    static constexpr std::array<std::string_view, 5> names { "not-connected", "timed-out", "broken",
        "too-large", "bad-request" };
};

/// \brief The HTTP layer's own error.
struct HttpError {
    HttpErrorKind kind = HttpErrorKind::Broken;
    bool isRefused = false; ///< not connected, since nothing listens at the address; a silent host is none
};

} // namespace robinrun
