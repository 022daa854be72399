#include "Node/CallRequest.h"

#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"
#include "Once/KeyCreationTime.h"

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
    /// Stands for the regions of a call whose route and group have none in common; no region is called so.
    constexpr std::string_view nowhere = "-";

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
        Parser(const HttpRequest& request, Directory& directory, const CallHeaders& names,
            WeightedRoundRobin& turns, const CallerContext& caller)
            : m_request(request)
            , m_directory(directory)
            , m_names(names)
            , m_turns(turns)
            , m_caller(caller)
        {
        }

        Result<CallRequest, CallRequestError> parse()
        {
            m_out.target = m_request.target;
            m_out.id = findHeader(m_request.headers, m_names.requestId).value_or("");
            m_out.parent = m_caller.parent;
            const auto found = m_names.hasOptionalGroups ? readRouteThenGroup() : readGroupThenService();
            if (!found)
                return failure(found.error());
            for (const auto step : { &Parser::readDeadline, &Parser::readAttempts, &Parser::readOnce }) {
                auto message = (this->*step)();
                if (!message.empty())
                    return failure(fault(badRequest, std::move(message)));
            }
            return std::move(m_out);
        }

    private:
        /// \param reason of an error that ends with the node's next configuration, or the proof of its own.
        CallRequestError fault(int status, std::string message, Reason reason = Reason::None) const
        {
            return { status, std::move(message), m_out.group.empty() ? "none" : m_out.group, reason };
        }

        CallRequestError notNow(Reason reason, std::string message) const
        {
            return fault(unavailable, std::move(message), reason);
        }

        CallRequestError noSuchGroup() const
        {
            return fault(unauthorized, "the header " + m_names.credential + " names no known calling group");
        }

        CallRequestError noSuchPlace() const
        {
            return fault(notFound, "no route fits, and no service is named by the host or the path");
        }

        Result<void, CallRequestError> readGroupThenService()
        {
            auto credential = credentialOf(m_request, m_names);
            if (!credential)
                return failure(credential.error());
            const auto* group
                = credential.value() ? m_directory.groupByCredential(*credential.value()) : nullptr;
            if (!group)
                return failure(noSuchGroup());
            setGroup(*group);
            if (!readRoute() && !readService())
                return failure(noSuchPlace());
            return boost::outcome_v2::success();
        }

        Result<void, CallRequestError> readRouteThenGroup()
        {
            const auto* route = readRoute();
            if (!route && !readService())
                return failure(noSuchPlace());
            if (route && route->isWithheld)
                return failure(notNow(Reason::EntryWithheld, "the entry of the route could not be read"));
            if (!m_directory.hasGroups()) {
                setNoGroup();
                return boost::outcome_v2::success();
            }
            return readOptionalGroup(route && route->isOpen);
        }

        /// \param isOpen whether calls without a group are served.
        Result<void, CallRequestError> readOptionalGroup(bool isOpen)
        {
            auto credential = credentialOf(m_request, m_names);
            if (!credential)
                return failure(credential.error());
            const bool isUnproven = m_caller.isStrict && !m_caller.isConfigProven;
            const GroupInfo* group = nullptr;
            if (credential.value()) {
                group = m_directory.groupByCredential(*credential.value());
                m_out.hasCredential = group != nullptr;
                if (group && isUnproven && !isOpen)
                    return failure(notNow(
                        Reason::CredentialUnproven, "whether the credential still counts is not known"));
            } else if (m_caller.parent) {
                group = m_directory.group(m_caller.parent->group);
            }
            if (group && group->isWithheld)
                return failure(
                    notNow(Reason::EntryWithheld, "the entry of the calling group could not be read"));
            if (group) {
                setGroup(*group);
                return boost::outcome_v2::success();
            }
            // The call that this one is made for may itself have no group.
            if (isOpen || (!credential.value() && m_caller.parent)) {
                setNoGroup();
                return boost::outcome_v2::success();
            }
            if (credential.value() && !m_caller.isConfigProven)
                return failure(
                    notNow(Reason::CredentialUnproven, "a newer configuration may know the credential"));
            return failure(noSuchGroup());
        }

        void setGroup(const GroupInfo& group)
        {
            m_out.hasGroup = true;
            m_out.group = group.id;
            m_out.groupNumber = group.number;
            m_out.groupPriority = group.priority;
            bindRegions(group.regions);
            if (m_out.hasCredential)
                m_out.rate = group.rate;
        }

        /// \brief Where route and group both name regions, both bind.
        void bindRegions(const std::vector<std::string>& regions)
        {
            if (regions.empty())
                return;
            if (m_out.regions.empty()) {
                m_out.regions = regions;
                return;
            }
            const auto isOut = [&](const auto& it) {
                return std::find(regions.begin(), regions.end(), it) == regions.end();
            };
            std::erase_if(m_out.regions, isOut);
            if (m_out.regions.empty())
                m_out.regions.emplace_back(nowhere);
        }

        void setNoGroup()
        {
            m_out.group = onlyGroup;
            m_out.groupNumber = m_directory.groupNumber(onlyGroup);
        }

        const RouteInfo* readRoute()
        {
            const auto host = findHeader(m_request.headers, "Host");
            const auto path = std::string_view(m_out.target).substr(0, m_out.target.find('?'));
            const auto* route = host ? m_directory.route(withoutPort(*host), path) : nullptr;
            if (!route)
                return nullptr;
            m_out.isByRoute = true;
            m_out.callClass = route->callClass;
            m_out.regions = route->regions;
            m_out.attempts = route->attempts;
            if (route->isWithheld)
                return route;
            m_out.service = m_turns.nextTarget(route->callClass.name, route->split);
            return m_directory.service(m_out.service) ? route : nullptr;
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
            if (key && !keyCreationTimeMs(*key))
                return "header Idempotency-Key: a UUID of version 7 or <seconds since 1970>:<text> is "
                       "expected";
            if (key)
                m_out.key = std::string(*key);
            return "";
        }

        const HttpRequest& m_request;
        Directory& m_directory;
        const CallHeaders& m_names;
        WeightedRoundRobin& m_turns;
        const CallerContext& m_caller;
        CallRequest m_out;
    };

} // namespace

Result<CallRequest, CallRequestError> CallRequest::parse(const HttpRequest& request, Directory& directory,
    const CallHeaders& names, WeightedRoundRobin& turns, const CallerContext& caller)
{
    return Parser(request, directory, names, turns, caller).parse();
}

Result<std::optional<std::string>, CallRequestError> credentialOf(
    const HttpRequest& request, const CallHeaders& names)
{
    std::optional<std::string_view> text;
    for (const auto& [name, value] : request.headers) {
        if (!equalIgnoringCase(name, names.credential))
            continue;
        if (text)
            return failure(
                CallRequestError { badRequest, "the header " + names.credential + " is given twice" });
        text = value;
    }
    if (!text || names.credentialScheme.empty())
        return text ? std::optional<std::string>(*text) : std::nullopt;
    const auto blank = text->find(' ');
    if (blank == std::string_view::npos || !equalIgnoringCase(text->substr(0, blank), names.credentialScheme))
        return std::optional<std::string>();
    const auto start = text->find_first_not_of(' ', blank);
    return start == std::string_view::npos ? std::optional<std::string>()
                                           : std::optional<std::string>(text->substr(start));
}

} // namespace robinrun
