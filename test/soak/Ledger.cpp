#include "soak/Ledger.h"

#include "Http/HttpStatus.h"
#include "Rates/RateTolerance.h"

#include <algorithm>

namespace robinrun::soak {
namespace {

    using namespace httpStatus;

    /// The users' bound: three retries after the third crash.
    constexpr std::size_t crashesUntilHeld = 3;
    constexpr std::size_t crashesAfterwards = 3;

    constexpr std::string_view boundedGroup = "b";

    /// The users' bound for requests at a server that names a limit, from nodes that had passed on such an
    /// answer so long before.
    constexpr Duration limitWindow = 4s;
    constexpr double limitFactor = 1.5;
    constexpr double limitExtra = 5;
    constexpr Duration limitKnownAfter = 500ms;
    /// The users let a request that was sent so long after word of leaving arrive at a server.
    constexpr Duration drainBound = 2s;

    bool mayRepeat(const HttpRequest& request)
    {
        return request.method == "GET";
    }

} // namespace

void Ledger::sent(const std::string& id, const HttpRequest& request, std::size_t node,
    const std::string& nodeLife, std::set<std::string> groups)
{
    m_requests[id] = { request, node, nodeLife, monotonicNow(), std::move(groups), {}, false };
}

void Ledger::limitChanged(const std::string& life, std::optional<double> limit)
{
    auto& it = m_statements[life];
    it = { limit, {}, std::move(it.leavingTold), {} };
}

void Ledger::passedOn(const std::string& nodeLife, const HttpReply& reply)
{
    const auto signature = headerOf(reply.headers, "X-Robinrun-Server-Signature");
    if (signature.empty())
        return;
    auto& it = m_statements[signature.substr(std::string_view("s.").size())];
    const auto now = monotonicNow();
    if (!headerOf(reply.headers, "Server-Limit").empty())
        it.limitTold.try_emplace(nodeLife, now);
    if (!headerOf(reply.headers, "Server-Leaving").empty())
        it.leavingTold.try_emplace(nodeLife, now);
}

void Ledger::arrived(const std::string& id, const std::string& life)
{
    const auto request = m_requests.find(id);
    const auto said = m_statements.find(life);
    if (request == m_requests.end() || said == m_statements.end())
        return;
    const auto& entry = request->second;
    const auto now = monotonicNow();
    auto& it = said->second;
    const auto leaving = it.leavingTold.find(entry.nodeLife);
    if (leaving != it.leavingTold.end() && entry.sentAt > leaving->second + drainBound)
        broken("reached a server whose leaving its node had passed on: " + id + " at " + life);
    const auto limit = it.limitTold.find(entry.nodeLife);
    if (!it.limit || limit == it.limitTold.end() || now < limit->second + limitKnownAfter)
        return;
    it.limitedArrivals.push_back(now);
    while (now - it.limitedArrivals.front() >= limitWindow)
        it.limitedArrivals.pop_front();
    const auto n = it.limitedArrivals.size();
    if (double(n) > limitFactor * *it.limit * toSeconds(limitWindow) + limitExtra)
        broken("a server that names a limit of " + std::to_string(*it.limit) + " got " + std::to_string(n)
            + " requests in 4 s from nodes that it had told: " + id + " at " + life);
}

void Ledger::noteGroup(const std::string& id, const std::string& group, const std::set<std::string>& allowed)
{
    if (!allowed.contains(group))
        broken("ran in the name of '" + group + "', which its key never had: " + id);
    if (group != boundedGroup)
        return;
    const auto now = monotonicNow();
    const RateTolerance terms;
    m_boundedRuns.push_back(now);
    while (now - m_boundedRuns.front() >= terms.window)
        m_boundedRuns.pop_front();
    if (double(m_boundedRuns.size()) > terms.maxCallsPerWindow({ boundedRate, boundedRate }))
        broken("a group ran " + std::to_string(m_boundedRuns.size())
            + " calls in a window, above its rate: " + id);
}

void Ledger::ran(const HttpRequest& request, const std::string& upstream, const std::string& service)
{
    ++m_runs;
    const auto id = headerOf(request.headers, "X-Robinrun-Request-Id");
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return broken("ran what nobody sent: '" + id + "' at " + upstream);
    auto& entry = it->second;
    const auto& asked = entry.request;
    if (request.method != asked.method || request.target != asked.target || request.body != asked.body)
        broken("ran another request than was sent: " + id + " at " + upstream);
    if (!m_allowed.contains(service))
        broken("ran at a service that no configuration allows: " + id + " at " + upstream);
    if (headerOf(request.headers, "X-Robinrun-Caller-Service").empty())
        broken("ran without the name of the calling service: " + id);
    noteGroup(id, headerOf(request.headers, "X-Robinrun-Tenant"), entry.groups);
    entry.ranAt.push_back(upstream);
    if (!mayRepeat(asked) && entry.ranAt.size() > 1)
        broken("ran twice: " + id + " at " + entry.ranAt.front() + " and " + upstream);
    if (entry.saidNotRun && !mayRepeat(asked))
        broken("ran after the answer that it had not and would not: " + id + " at " + upstream);
}

void Ledger::crashed(const std::string& target, bool isCalm)
{
    ++m_crashes;
    if (!isCalm || m_crashes <= crashesUntilHeld)
        return;
    if (++m_crashesInCalm > crashesAfterwards)
        broken("a request that had crashed " + std::to_string(m_crashes - 1)
            + " servers crashed one more: " + target);
}

void Ledger::answered(const std::string& id, const HttpReply& reply)
{
    auto& entry = m_requests.at(id);
    const bool isPromise = reply.status == unavailable || reply.status == tooMany;
    if (isPromise) {
        ++m_refused;
        entry.saidNotRun = true;
        if (!entry.ranAt.empty() && !mayRepeat(entry.request))
            broken("said not run, but ran: " + id + " at " + entry.ranAt.front());
        if (headerOf(reply.headers, "Retry-After").empty())
            broken("refused without a time to come back: " + id);
    }
    passedOn(entry.nodeLife, reply);
    if (reply.status >= firstError)
        return;
    ++m_served;
    const auto isOf = [&](const auto& it) { return reply.body == bodyFor(id, it); };
    if (headerOf(reply.headers, "X-Robinrun-Server-Signature").empty())
        broken("a success without the backend server's signature: " + id);
    if (std::none_of(entry.ranAt.begin(), entry.ranAt.end(), isOf))
        broken("a success with another body than the backend server's: " + id + ": '" + reply.body + "'");
}

void Ledger::failed(const std::string& id, HttpErrorKind error, bool isCalm)
{
    // A request that crosses the end of its connection and was not passed on may be sent again.
    const auto& entry = m_requests.at(id);
    const bool isCut = error == HttpErrorKind::TimedOut || !entry.ranAt.empty();
    if (isCalm && isCut)
        broken("no answer while nothing was wrong: " + id + " (" + std::string(nameOf(error)) + ", node "
            + std::to_string(entry.node) + ", runs " + std::to_string(entry.ranAt.size()) + ")");
}

void Ledger::ranAfterLeave(const std::string& id, const std::string& upstream, Duration after)
{
    broken("reached a server " + std::to_string(toMilliseconds(after))
        + " ms after its leave was acknowledged: " + id + " at " + upstream);
}

std::uint64_t Ledger::seenVersion(const std::string& life) const
{
    const auto it = m_versions.find(life);
    return it == m_versions.end() ? 0 : it->second;
}

void Ledger::sawVersion(const std::string& life, std::uint64_t version, std::uint64_t before)
{
    if (version < before)
        broken("configuration " + std::to_string(version) + " in force after " + std::to_string(before)
            + " at " + life);
    auto& seen = m_versions[life];
    seen = std::max(seen, version);
}

} // namespace robinrun::soak
