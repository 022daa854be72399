#pragma once

/// \file The HTTP status codes in use, by the names of RFC 9110 and RFC 6585.

namespace robinrun::httpStatus {

inline constexpr int ok = 200;
inline constexpr int created = 201;
inline constexpr int accepted = 202;
inline constexpr int firstRedirect = 300;
inline constexpr int firstError = 400;
inline constexpr int badRequest = 400;
inline constexpr int unauthorized = 401;
inline constexpr int notFound = 404;
inline constexpr int badMethod = 405;
inline constexpr int requestTimeout = 408;
inline constexpr int gone = 410;
inline constexpr int preconditionFailed = 412;
inline constexpr int unprocessable = 422;
inline constexpr int bodyTooLarge = 413;
inline constexpr int misdirected = 421;
inline constexpr int preconditionRequired = 428;
inline constexpr int tooMany = 429;
inline constexpr int headersTooLarge = 431;
inline constexpr int firstServerError = 500;
inline constexpr int internalError = 500;
inline constexpr int badGateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gatewayTimeout = 504;

} // namespace robinrun::httpStatus
