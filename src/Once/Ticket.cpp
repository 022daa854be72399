#include "Once/Ticket.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <vector>

namespace robinrun {
namespace {

    constexpr std::size_t ticketPartCount = 5;

    std::string toHex(std::uint64_t n)
    {
        std::array<char, 17> buf {};
        std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(n));
        return buf.data();
    }

    std::optional<std::uint64_t> parseHex(std::string_view digits)
    {
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n, 16);
        if (digits.empty() || ec != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return n;
    }

    /// \brief Splits a ticket's text at its last four dots; the name of the upstream may contain dots itself.
    /// \returns the parts, last one first.
    std::vector<std::string_view> splitFromEnd(std::string_view text)
    {
        std::vector<std::string_view> parts;
        while (parts.size() + 1 < ticketPartCount) {
            const auto dot = text.rfind('.');
            if (dot == std::string_view::npos)
                break;
            parts.push_back(text.substr(dot + 1));
            text = text.substr(0, dot);
        }
        parts.push_back(text);
        return parts;
    }

} // namespace

std::string Ticket::toString() const
{
    return upstream + '.' + toHex(incarnation) + '.' + toHex(epoch) + '.' + toHex(nonce.high) + '.'
        + toHex(nonce.low);
}

Result<Ticket, std::string> Ticket::parse(std::string_view text)
{
    const auto parts = splitFromEnd(text);
    if (parts.size() != ticketPartCount || parts[4].empty())
        return failure(
            std::string("a ticket must have the form <upstream>.<incarnation>.<epoch>.<nonce>.<nonce>"));
    const auto low = parseHex(parts[0]);
    const auto high = parseHex(parts[1]);
    const auto epoch = parseHex(parts[2]);
    const auto incarnation = parseHex(parts[3]);
    if (!low || !high || !epoch || !incarnation)
        return failure(std::string("incarnation, epoch and nonce of a ticket must be hexadecimal numbers"));
    return Ticket { std::string(parts[4]), *incarnation, *epoch, { *high, *low } };
}

} // namespace robinrun
