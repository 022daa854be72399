#include "Node/CallReply.h"

#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"

#include <algorithm>

namespace robinrun::replies {
namespace {

    using namespace httpStatus;
    constexpr std::uint32_t leastRetryMs = 20;

    std::pair<std::string, std::string> field(std::string_view name, std::string_view value)
    {
        return { std::string(name), std::string(value) };
    }

    /// \returns the status of a call that was not run for \a reason.
    int statusOf(Reason reason)
    {
        if (reason == Reason::TicketMismatch)
            return unprocessable;
        return reason == Reason::OverRate ? tooMany : unavailable;
    }

    std::string retryAfter(std::uint32_t ms, const CallHeaders& names)
    {
        if (!names.hasFractionalRetryAfter)
            return std::to_string((ms + 999) / 1000);
        const auto thousandths = std::to_string(1000 + ms % 1000).substr(1);
        return std::to_string(ms / 1000) + "." + thousandths;
    }

} // namespace

HttpReply answered(proto::Answer& answer)
{
    HttpReply reply;
    reply.status = static_cast<int>(answer.status());
    for (const auto& it : answer.headers())
        reply.headers.emplace_back(it.name(), it.value());
    reply.headers.push_back(field(headers::outcome, "answered"));
    reply.headers.push_back(field(headers::queuedUs, std::to_string(answer.queued_us())));
    reply.body = std::move(*answer.mutable_body());
    return reply;
}

HttpReply ticket(const Ticket& ticket)
{
    const auto text = ticket.toString();
    return { created, { field(headers::ticket, text), { "Content-Type", "application/json" } },
        "{\"ticket\":\"" + text + "\"}\n" };
}

HttpReply notRun(Reason reason, std::uint32_t retryAfterMs, bool advisesTicket, const CallHeaders& names)
{
    const auto ms = std::max(retryAfterMs, leastRetryMs);
    HttpReply reply { statusOf(reason),
        { field(headers::outcome, "not-run"), field(headers::reason, nameOf(reason)),
            { "Retry-After", retryAfter(ms, names) }, field(headers::retryAfterMs, std::to_string(ms)) },
        "the call was not run: " + std::string(nameOf(reason)) + "\n" };
    if (advisesTicket)
        reply.headers.push_back(field(headers::advice, "take-ticket"));
    return reply;
}

HttpReply unknown(Reason reason)
{
    return { reason == Reason::Damaged ? badGateway : gatewayTimeout,
        { field(headers::outcome, "unknown"), field(headers::reason, nameOf(reason)) },
        "the outcome of the call is unknown: " + std::string(nameOf(reason)) + "\n" };
}

HttpReply rejected(int status, const std::string& message)
{
    return { status, { field(headers::outcome, "not-run") }, message + "\n" };
}

} // namespace robinrun::replies
