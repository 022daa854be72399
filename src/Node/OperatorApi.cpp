#include "Node/OperatorApi.h"

#include "Config/Validator.h"
#include "Core/Hash.h"
#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/JsonText.h"
#include "Node/OperatorJson.h"

#include <algorithm>
#include <charconv>

namespace robinrun {
namespace {

    using namespace httpStatus;

    constexpr Duration watchWait = 25s;
    constexpr std::size_t maxWatches = 1000;
    constexpr std::string_view bearer = "Bearer ";
    const std::array<std::string, 5> kinds { "services", "upstreams", "groups", "routes", "halls" };

    HttpReply jsonReply(int status, std::string body)
    {
        return { status, { { "Content-Type", "application/json" } }, std::move(body) };
    }

    HttpReply errorReply(int status, std::string_view message)
    {
        return jsonReply(status, "{\"error\":\"" + escapeJson(message) + "\"}\n");
    }

    std::vector<std::string> splitBy(std::string_view s, char separator)
    {
        std::vector<std::string> parts;
        while (!s.empty()) {
            const auto end = s.find(separator);
            if (end != 0)
                parts.emplace_back(s.substr(0, end));
            s = end == std::string_view::npos ? std::string_view() : s.substr(end + 1);
        }
        return parts;
    }

    std::map<std::string, std::string> parseQuery(std::string_view query)
    {
        std::map<std::string, std::string> out;
        for (const auto& it : splitBy(query, '&')) {
            const auto equals = it.find('=');
            out[it.substr(0, equals)] = equals == std::string::npos ? "" : it.substr(equals + 1);
        }
        return out;
    }

    std::optional<std::uint64_t> parseUnsigned(std::string_view text)
    {
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (text.empty() || ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return n;
    }

    std::string resourceJson(const proto::Resource& resource)
    {
        return toJson(resource);
    }

    bool isKind(const std::string& kind)
    {
        return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
    }

} // namespace

OperatorApi::OperatorApi(
    NodeContext& context, ControlPlane& control, AppendLog& log, std::function<NodeFacts()> facts)
    : m_context(&context)
    , m_control(&control)
    , m_log(&log)
    , m_facts(std::move(facts))
{
}

std::optional<std::string> OperatorApi::authenticate(const HttpExchange& exchange) const
{
    const auto header = findHeader(exchange.request().headers, "Authorization");
    if (!header || !header->starts_with(bearer))
        return std::nullopt;
    const auto hash = sha256Hex(header->substr(bearer.size()));
    std::optional<std::string> who;
    for (const auto& [name, known] : m_context->settings.operatorTokens) {
        if (equalInConstantTime(known, hash))
            who = name;
    }
    return who;
}

void OperatorApi::take(std::unique_ptr<HttpExchange> exchange, Instant now)
{
    const auto& target = exchange->request().target;
    const auto question = target.find('?');
    const auto path = target.substr(0, question);
    if (path == "/health")
        return health(*exchange);
    if (path == "/metrics")
        return exchange->reply(
            { ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context->metrics.text() });
    Request request;
    request.method = exchange->request().method;
    request.path = splitBy(path, '/');
    request.query = parseQuery(question == std::string::npos ? "" : target.substr(question + 1));
    if (request.path.empty() || request.path.front() != "v1")
        return exchange->reply(errorReply(notFound, "no such path; the API is under /v1/"));
    request.path.erase(request.path.begin());
    const auto who = authenticate(*exchange);
    if (!who)
        return exchange->reply(errorReply(unauthorized, "a bearer token of an operator is needed"));
    request.who = *who;
    route(request, std::move(exchange), now);
}

void OperatorApi::route(const Request& request, std::unique_ptr<HttpExchange> exchange, Instant now)
{
    const auto& path = request.path;
    const bool isGet = request.method == "GET";
    if (path.size() == 1 && path[0] == "status" && isGet)
        return status(std::move(exchange), now);
    if (path.size() == 1 && path[0] == "watch" && isGet)
        return watch(request, std::move(exchange), now);
    if (path.size() >= 2 && path[0] == "operations" && isGet)
        return operation(
            exchange->request().target.substr(std::string_view("/v1/operations/").size()), *exchange);
    if (path.size() == 1 && isKind(path[0]) && isGet)
        return list(path[0], *exchange);
    if (path.size() != 2 || !isKind(path[0]))
        return exchange->reply(errorReply(notFound, "no such resource"));
    if (isGet)
        return get(path[0] + "/" + path[1], *exchange);
    if (request.method == "PUT" || request.method == "PATCH" || request.method == "DELETE")
        return write(request, std::move(exchange), now);
    exchange->reply(errorReply(badMethod, "a resource takes GET, PUT, PATCH and DELETE"));
}

void OperatorApi::list(const std::string& kind, HttpExchange& exchange) const
{
    std::string body;
    for (const auto& [name, resource] : m_control->follower().state().resources()) {
        if (name.starts_with(kind + "/"))
            body += (body.empty() ? "" : ",\n") + resourceJson(resource);
    }
    const auto offset = std::to_string(m_control->follower().nextOffset());
    exchange.reply(jsonReply(ok, "{\"applied\":" + offset + ",\"items\":[" + body + "]}\n"));
}

void OperatorApi::get(const std::string& name, HttpExchange& exchange) const
{
    const auto* resource = m_control->follower().state().find(name);
    if (!resource)
        return exchange.reply(errorReply(notFound, "no such resource: " + name));
    auto reply = jsonReply(ok, resourceJson(*resource) + "\n");
    reply.headers.emplace_back("ETag", '"' + std::to_string(resource->version()) + '"');
    exchange.reply(reply);
}

std::optional<std::uint64_t> OperatorApi::baseVersion(HttpExchange& exchange) const
{
    const auto& headers = exchange.request().headers;
    if (findHeader(headers, "If-None-Match") == "*")
        return 0;
    const auto match = findHeader(headers, "If-Match");
    if (!match) {
        exchange.reply(errorReply(preconditionRequired,
            "If-Match with the version to change, or If-None-Match: * to create, is needed"));
        return std::nullopt;
    }
    std::string text(*match);
    std::erase(text, '"');
    const auto version = parseUnsigned(text);
    if (!version)
        exchange.reply(errorReply(badRequest, "header If-Match: a version is expected"));
    return version;
}

bool OperatorApi::buildChange(const Request& request, const std::string& name, HttpExchange& exchange,
    proto::ChangeRecord& change) const
{
    if (request.method == "DELETE") {
        change.set_remove(name);
        return true;
    }
    auto& resource = *change.mutable_put();
    std::string fault;
    if (request.method == "PUT") {
        fault = fromText(exchange.request().body, resource);
    } else {
        const auto* present = m_control->follower().state().find(name);
        if (!present) {
            exchange.reply(errorReply(notFound, "no such resource: " + name));
            return false;
        }
        resource = *present;
        fault = mergePatch(exchange.request().body, resource);
    }
    if (fault.empty() && !resource.name().empty() && resource.name() != name)
        fault = "name: is '" + resource.name() + "' in the body and '" + name + "' in the path";
    resource.set_name(name);
    resource.clear_version();
    if (fault.empty()) {
        for (const auto& it : validate(resource))
            fault += (fault.empty() ? "" : "; ") + it.toString();
    }
    if (fault.empty())
        return true;
    exchange.reply(errorReply(badRequest, fault));
    return false;
}

void OperatorApi::write(const Request& request, std::unique_ptr<HttpExchange> exchange, Instant now)
{
    const auto base = baseVersion(*exchange);
    if (!base)
        return;
    const auto name = request.path[0] + "/" + request.path[1];
    proto::ChangeRecord change;
    change.set_base_version(*base);
    change.set_who(request.who);
    change.set_written_at_ms(wallClockMs());
    change.set_id(m_context->settings.name + "-" + std::to_string(m_context->incarnation) + "-"
        + std::to_string(++m_lastChange));
    if (!buildChange(request, name, *exchange, change))
        return;
    const auto* present = m_control->follower().state().find(name);
    const auto version = present ? present->version() : 0;
    // Versions only rise, so a base below the applied one has lost already.
    if (*base < version || request.query.contains("dry_run")) {
        proto::Fate fate;
        fate.set_accepted(*base == version);
        fate.set_version(version);
        fate.set_reason("version is " + std::to_string(version) + ", not " + std::to_string(*base));
        return answerFate(fate, name, *exchange);
    }
    append(change, std::move(exchange), now);
}

void OperatorApi::append(
    const proto::ChangeRecord& change, std::unique_ptr<HttpExchange> exchange, Instant now)
{
    const auto& id = change.id();
    m_writes.push_back({ id, targetName(change), std::move(exchange), now, false, false });
    log(LogLevel::Info, "change-written",
        { { "id", id }, { "who", change.who() }, { "resource", targetName(change) } });
    m_log->append("config", change.SerializeAsString(),
        [this, id = id](const Result<std::uint64_t, PlatformError>& offset) { appended(id, offset); });
}

void OperatorApi::appended(const std::string& id, const Result<std::uint64_t, PlatformError>& offset)
{
    const auto it
        = std::find_if(m_writes.begin(), m_writes.end(), [&](const auto& write) { return write.id == id; });
    if (it == m_writes.end())
        return;
    if (offset) {
        it->isAppended = true;
    } else if (offset.error().kind == PlatformErrorKind::Uncertain
        || offset.error().kind == PlatformErrorKind::Malformed) {
        it->isUncertain = true;
    } else {
        const auto exchange = std::move(it->exchange);
        m_writes.erase(it);
        return exchange->reply(jsonReply(
            unavailable, "{\"error\":\"the log did not take the change\",\"may_take_effect\":false}\n"));
    }
    m_control->readSoon(monotonicNow());
}

void OperatorApi::changed(Instant now)
{
    for (auto it = m_writes.begin(); it != m_writes.end();) {
        const auto fate = m_control->follower().state().fateOf(it->id);
        if (!fate) {
            ++it;
            continue;
        }
        answerFate(*fate, it->name, *it->exchange);
        it = m_writes.erase(it);
    }
    std::erase_if(m_watches, [&](const auto& it) { return answerWatch(it, now >= it.until); });
}

void OperatorApi::answerFate(const proto::Fate& fate, const std::string& name, HttpExchange& exchange) const
{
    if (!fate.accepted()) {
        return exchange.reply(jsonReply(preconditionFailed,
            "{\"error\":\"" + escapeJson(fate.reason()) + "\",\"name\":\"" + name
                + "\",\"version\":" + std::to_string(fate.version()) + "}\n"));
    }
    auto reply = jsonReply(ok,
        "{\"name\":\"" + name + "\",\"version\":" + std::to_string(fate.version()) + ",\"id\":\"" + fate.id()
            + "\"}\n");
    reply.headers.emplace_back("ETag", '"' + std::to_string(fate.version()) + '"');
    exchange.reply(reply);
}

void OperatorApi::answerUndecided(const Write& write, bool isLogOut) const
{
    if (write.isUncertain && isLogOut) {
        return write.exchange->reply(jsonReply(unavailable,
            "{\"error\":\"the log is out\",\"may_take_effect\":true,\"operation\":\"/v1/operations/"
                + write.id + "\"}\n"));
    }
    auto reply = jsonReply(
        accepted, "{\"operation\":\"/v1/operations/" + write.id + "\",\"name\":\"" + write.name + "\"}\n");
    reply.headers.emplace_back("Location", "/v1/operations/" + write.id);
    write.exchange->reply(reply);
}

void OperatorApi::operation(const std::string& id, HttpExchange& exchange) const
{
    const auto fate = m_control->follower().state().fateOf(id);
    if (!fate)
        return exchange.reply(jsonReply(ok, "{\"id\":\"" + escapeJson(id) + "\",\"state\":\"undecided\"}\n"));
    exchange.reply(jsonReply(ok,
        "{\"id\":\"" + escapeJson(id) + "\",\"state\":\"" + (fate->accepted() ? "accepted" : "refused")
            + "\",\"version\":" + std::to_string(fate->version()) + ",\"reason\":\""
            + escapeJson(fate->reason()) + "\"}\n"));
}

void OperatorApi::watch(const Request& request, std::unique_ptr<HttpExchange> exchange, Instant now)
{
    const auto it = request.query.find("from");
    const auto from = it == request.query.end() ? std::nullopt : parseUnsigned(it->second);
    if (!from)
        return exchange->reply(errorReply(badRequest, "query 'from': an offset is expected"));
    if (m_watches.size() >= maxWatches)
        return exchange->reply(errorReply(unavailable, "too many watches on this node"));
    Watch watch { *from, std::move(exchange), now + watchWait };
    if (!answerWatch(watch, false))
        m_watches.push_back(std::move(watch));
}

bool OperatorApi::answerWatch(const Watch& watch, bool isLast) const
{
    const auto& follower = m_control->follower();
    if (watch.from >= follower.nextOffset() && !isLast)
        return false;
    const auto records = follower.recordsFrom(watch.from);
    if (records.has_snapshot()) {
        watch.exchange->reply(errorReply(gone,
            "changes before " + std::to_string(follower.nextOffset())
                + " are no longer held here; list, then watch from 'applied'"));
        return true;
    }
    const auto body = changesJson(records, follower.state());
    const auto next = std::to_string(std::max(watch.from, follower.nextOffset()));
    watch.exchange->reply(jsonReply(ok, "{\"next\":" + next + ",\"changes\":[" + body + "]}\n"));
    return true;
}

void OperatorApi::status(std::unique_ptr<HttpExchange> exchange, Instant now)
{
    auto shared = std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
    m_control->countInForce(
        [this, shared](const proto::InForce& total) {
            (*shared)->reply(
                jsonReply(ok, statusJson(*m_context, *m_control, m_facts(), total, m_context->clock())));
        },
        now);
}

void OperatorApi::health(HttpExchange& exchange) const
{
    const auto facts = m_facts();
    const bool isServing = facts.state == NodeState::Serving;
    exchange.reply(jsonReply(isServing ? ok : unavailable,
        "{\"state\":\"" + std::string(nameOf(facts.state)) + "\",\"upstream\":\"" + facts.upstreamState
            + "\",\"calls\":" + std::to_string(facts.callsInProgress) + "}\n"));
}

void OperatorApi::tick(Instant now)
{
    const auto wait = m_context->settings.control.writeWait;
    const auto standing = m_control->follower().logState();
    const bool isLogOut = standing == LogFollowState::Unreachable;
    for (auto it = m_writes.begin(); it != m_writes.end();) {
        if (now - it->since < wait) {
            ++it;
            continue;
        }
        answerUndecided(*it, isLogOut);
        it = m_writes.erase(it);
    }
    std::erase_if(m_watches, [&](const auto& it) { return now >= it.until && answerWatch(it, true); });
}

} // namespace robinrun
