#include "Node/CallRequest.h"

#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"
#include "Once/KeyAge.h"

#include <algorithm>
#include <charconv>

namespace robinrun {
namespace {

    using namespace httpStatus;

    /// Attempts over all levels of a call, unless the caller says less.
    constexpr std::uint32_t defaultAttempts = 3;
    constexpr std::int64_t maxAttempts = 8;
    constexpr std::int64_t maxDeadlineMs = 600000;
    constexpr std::string_view ticketTarget = "/tickets";
    /// The group of all callers where they name none.
    constexpr std::string_view onlyGroup = "all";

    std::optional<std::int64_t> parseNumber(std::string_view text)
    {
        std::int64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || end != text.data() + text.size() || n < 0)
            return std::nullopt;
        return n;
    }

    std::string_view withoutPort(std::string_view host)
    {
        return host.substr(0, host.find(':'));
    }

    std::string_view firstLabel(std::string_view host)
    {
        return host.substr(0, host.find_first_of(".:"));
    }

    /// \brief Reads one request field by field; each step returns what is wrong, or "".
    class Parser {
    public:
        Parser(
            const HttpRequest& request, Directory& directory, const CallHeaders& names, WeightedTurns& turns)
            : m_request(request)
            , m_directory(directory)
            , m_names(names)
            , m_turns(turns)
        {
        }

        Result<CallRequest, CallRequestError> parse()
        {
            if (!readGroup())
                return fault(
                    unauthorized, "the header " + m_names.credential + " names no known calling group");
            m_out.target = m_request.target;
            m_out.id = findHeader(m_request.headers, m_names.requestId).value_or("");
            if (!readRoute() && !readService())
                return fault(notFound, "no route fits, and no service is named by the host or the path");
            for (const auto step : { &Parser::readDeadline, &Parser::readAttempts, &Parser::readOnce }) {
                auto message = (this->*step)();
                if (!message.empty())
                    return fault(badRequest, std::move(message));
            }
            return std::move(m_out);
        }

    private:
        Result<CallRequest, CallRequestError> fault(int status, std::string message) const
        {
            return failure(
                CallRequestError { status, std::move(message), m_out.group.empty() ? "none" : m_out.group });
        }

        bool readGroup()
        {
            if (m_names.credential.empty()) {
                m_out.group = onlyGroup;
                m_out.groupNumber = m_directory.groupNumber(onlyGroup);
                return true;
            }
            const auto credential = findHeader(m_request.headers, m_names.credential);
            const auto* group
                = credential ? m_directory.groupByCredential(std::string(*credential)) : nullptr;
            if (!group)
                return false;
            m_out.group = group->id;
            m_out.groupNumber = group->number;
            return true;
        }

        bool readRoute()
        {
            const auto host = findHeader(m_request.headers, "Host");
            const auto path = std::string_view(m_out.target).substr(0, m_out.target.find('?'));
            const auto* route = host ? m_directory.route(withoutPort(*host), path) : nullptr;
            if (!route)
                return false;
            m_out.isByRoute = true;
            m_out.callClass = route->callClass;
            m_out.service = m_turns.next(route->callClass.name, route->split);
            m_out.attempts = route->attempts;
            return m_directory.service(m_out.service) != nullptr;
        }

        bool readService()
        {
            // With routes, they alone say what there is.
            if (m_directory.hasRoutes())
                return false;
            const auto host = findHeader(m_request.headers, "Host");
            const auto* service = host ? m_directory.service(firstLabel(*host)) : nullptr;
            if (!service && m_out.target.starts_with('/')) {
                const auto end = m_out.target.find_first_of("/?", 1);
                service = m_directory.service(std::string_view(m_out.target).substr(1, end - 1));
                if (service)
                    m_out.target = end == std::string::npos ? "/" : m_out.target.substr(end);
            }
            if (!service)
                return false;
            m_out.service = service->id;
            m_out.callClass = service->classOf(m_out.target);
            return true;
        }

        std::string readDeadline()
        {
            m_out.allowed = m_out.callClass.deadline;
            const auto text = findHeader(m_request.headers, m_names.deadline);
            if (!text)
                return "";
            const auto ms = parseNumber(*text);
            if (!ms || *ms > maxDeadlineMs)
                return "header " + m_names.deadline + ": a number up to 600000 is expected";
            m_out.allowed = std::min(m_out.allowed, Duration(*ms * 1000));
            return "";
        }

        std::string readAttempts()
        {
            if (m_out.isByRoute)
                return "";
            m_out.attempts = defaultAttempts;
            const auto text = findHeader(m_request.headers, headers::attempts);
            if (!text)
                return "";
            const auto n = parseNumber(*text);
            if (!n || *n < 1 || *n > maxAttempts)
                return "header Robinrun-Attempts-Left: a number from 1 to 8 is expected";
            m_out.attempts = static_cast<std::uint32_t>(*n);
            return "";
        }

        std::string readOnce()
        {
            if (m_out.isByRoute)
                return "";
            m_out.wantsTicket = m_request.method == "POST" && m_out.target == ticketTarget;
            const auto ticket = findHeader(m_request.headers, headers::ticket);
            const auto key = findHeader(m_request.headers, headers::key);
            if (ticket && key)
                return "Robinrun-Ticket and Idempotency-Key can't both be given";
            if (ticket) {
                auto parsed = Ticket::parse(*ticket);
                if (!parsed)
                    return "header Robinrun-Ticket: " + parsed.error();
                m_out.ticket = std::move(parsed.value());
            }
            if (key && !keyBornMs(*key))
                return "header Idempotency-Key: a UUID of version 7 or <seconds since 1970>:<text> is "
                       "expected";
            if (key)
                m_out.key = std::string(*key);
            return "";
        }

        const HttpRequest& m_request;
        Directory& m_directory;
        const CallHeaders& m_names;
        WeightedTurns& m_turns;
        CallRequest m_out;
    };

} // namespace

Result<CallRequest, CallRequestError> CallRequest::parse(
    const HttpRequest& request, Directory& directory, const CallHeaders& names, WeightedTurns& turns)
{
    return Parser(request, directory, names, turns).parse();
}

} // namespace robinrun
