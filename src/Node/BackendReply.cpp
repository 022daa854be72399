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
    constexpr Duration longestRetryAfter = 1h;

    bool isDigit(char it)
    {
        return it >= '0' && it <= '9';
    }

    /// \returns \a text as a decimal number without a sign, such as `10.8`; nothing if it isn't that.
    std::optional<double> parseDecimal(std::string_view text)
    {
        // from_chars() also accepts a sign, "inf", "nan" and a point at either end.
        if (text.empty() || !isDigit(text.front()) || !isDigit(text.back()))
            return std::nullopt;
        double out = 0;
        const char* end = text.data() + text.size();
        const auto [read, ec] = std::from_chars(text.data(), end, out, std::chars_format::fixed);
        if (ec != std::errc() || read != end)
            return std::nullopt;
        return out;
    }

    /// \brief The fields of an answer that have any of some names and can be read as a value of type T.
    template <class T> struct FieldValues {
        std::optional<T> value;
        bool isReadable = true;
    };

    /// \brief Reads the fields called any of \a names with \a parse. Adds those that are unreadable, or
    /// differ from an earlier one, to \a faults.
    template <class Parse>
    auto readFields(const HttpHeaders& headers, const std::vector<std::string>& names, Parse parse,
        std::string_view expected, std::vector<HeaderFault>& faults)
    {
        FieldValues<typename decltype(parse(std::string_view()))::value_type> out;
        for (const auto& it : headers) {
            const auto isNamed = [&](const auto& name) { return equalIgnoringCase(name, it.first); };
            if (std::none_of(names.begin(), names.end(), isNamed))
                continue;
            const auto value = parse(it.second);
            const bool isContradiction = value && out.value && *value != *out.value;
            if (!value || isContradiction) {
                out.isReadable = false;
                faults.push_back(
                    { it.first, it.second, value ? "differs from another field of this answer" : expected });
            }
            if (!out.value)
                out.value = value;
        }
        return out;
    }

    std::optional<bool> parseFlag(std::string_view text)
    {
        if (text != "0" && text != "1")
            return std::nullopt;
        return text == "1";
    }

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

std::optional<Duration> parseRetryAfter(std::string_view text)
{
    const auto seconds = parseDecimal(text);
    const bool isInRange = seconds && *seconds <= toSeconds(longestRetryAfter);
    return isInRange ? std::optional(fromSeconds(*seconds)) : std::nullopt;
}

std::optional<double> parseRateLimit(std::string_view text)
{
    return parseDecimal(text);
}

BackendStatement readStatement(const HttpHeaders& headers, const CallHeaders& names)
{
    BackendStatement out;
    const auto limit
        = readFields(headers, names.rateLimit, parseRateLimit, "must be a decimal number", out.faults);
    out.isRateLimitReadable = limit.isReadable;
    if (limit.isReadable)
        out.rateLimit = limit.value;
    const auto leaving = readFields(headers, names.leaving, parseFlag, "must be 1 or 0", out.faults);
    out.isLeaving = leaving.isReadable && leaving.value.value_or(false);
    return out;
}

} // namespace robinrun
