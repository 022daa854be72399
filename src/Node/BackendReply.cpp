#include "Node/BackendReply.h"

#include "Http/HttpStatus.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace robinrun {
namespace {

    constexpr std::size_t leastFields = 3;
    constexpr double usualPercent = 100;
    /// Beyond this a figure is taken for a mistake.
    constexpr double maxSlowdown = 100;
    constexpr Duration longestCold = 1h;

} // namespace

BackendVerdict judge(const HttpReply& reply, const CallHeaders& names)
{
    if (reply.status == httpStatus::misdirected)
        return BackendVerdict::OtherUpstream;
    if (findHeader(reply.headers, names.notRun))
        return BackendVerdict::NotRun;
    if (!names.signature.empty() && !findHeader(reply.headers, names.signature))
        return BackendVerdict::Foreign;
    return BackendVerdict::Answered;
}

std::optional<BackendLoad> parseLoad(std::string_view text)
{
    std::array<std::uint32_t, 4> fields { 0, 0, 0, static_cast<std::uint32_t>(usualPercent) };
    std::size_t n = 0;
    const char* at = text.data();
    const char* end = text.data() + text.size();
    while (n < fields.size() && at < end) {
        const auto [next, ec] = std::from_chars(at, end, fields[n]);
        if (ec != std::errc() || (next != end && *next != ','))
            return std::nullopt;
        ++n;
        at = next == end ? end : next + 1;
    }
    if (n < leastFields)
        return std::nullopt;
    return BackendLoad { fields[0], fields[1], fields[2],
        std::clamp(fields[3] / usualPercent, 1.0, maxSlowdown) };
}

std::optional<Duration> parseColdFor(std::string_view text)
{
    std::uint32_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    const Duration out = std::chrono::milliseconds(ms);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size() || out > longestCold)
        return std::nullopt;
    return out;
}

} // namespace robinrun
