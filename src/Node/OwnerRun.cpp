#include "Core/Check.h"
#include "Core/Log.h"
#include "Http/HttpStatus.h"
#include "Node/BackendReply.h"
#include "Node/CallHeaders.h"
#include "Node/Owner.h"

#include <algorithm>
#include <utility>

/// \file An owner and its backend server: how calls are sent there and what is learnt from it.

namespace robinrun {
namespace {

    using namespace httpStatus;

    /// A kept connection that rested longer is not used for what must not be repeated: the server may have
    /// forgotten it.
    constexpr Duration longestRest = 1s;
    constexpr Duration anyRest = 1h;
    /// A server that ends a run at the deadline that it was told says so a moment later: its timer, its
    /// reply's way and a busy host take so long. A server that says nothing keeps its slot for as much
    /// longer.
    constexpr Duration replySlack = 50ms;
    /// Connections that can't be made in a row, after which the backend server is taken for down.
    constexpr unsigned unreachedLimit = 2;
    constexpr Duration probeWhileDown = 250ms;
    /// While a backend server is slow it gets few calls, and so would not be heard to be well again.
    constexpr Duration probeWhileSlow = 60ms;
    /// A server may turn slow from one moment to the next; its calls can be begun anew elsewhere as long as
    /// little of their time is gone.
    constexpr Duration probeWhileOverdue = 40ms;
    /// Ingresses are told of a slow-down that has changed by this factor.
    constexpr double tellFactor = 1.5;
    /// Ingresses that sent a call within this time are told of a changed load.
    constexpr Duration tellMemory = 3s;
    /// At most so many, as slow-downs change several times a second; the others hear with their next answer.
    constexpr std::size_t maxTold = 32;

} // namespace

void Owner::probeBackend(Instant now)
{
    if (m_crashWatch.isBreakUnexplained(now))
        return probe(now);
    if (m_isDown) {
        if (now < m_nextProbe)
            return;
        m_nextProbe = now + probeWhileDown;
        return probe(now);
    }
    const auto load = m_admission.load(now);
    if (asksHealth(load, now))
        return probe(now);
    if (m_leaving.hasSign(LeavingSign::Operator) || serverLimit())
        return; // nothing that a server might count as work
    const auto freeSlots = load.slotLimit > load.slotsInUse ? load.slotLimit - load.slotsInUse : 0;
    const bool isStarted = m_prober.tryProbe(*m_pool, freeSlots, load.waitingCalls, now,
        [this, now, pool = m_pool.get()](const ProbeNews& news, Duration) {
            const auto end = monotonicNow();
            takeHealthStatement(news, pool, now, end);
            act(m_admission.releaseSlot(end), end);
            if (news.isReachable)
                setSign(LeavingSign::BackendServer, news.isDraining, end);
        });
    if (!isStarted)
        return;
    m_admission.holdSlot();
    m_context->metrics.count("robinrun_probes_total");
}

bool Owner::asksHealth(const LoadReport& load, Instant now) const
{
    if (m_leaving.hasSign(LeavingSign::Operator))
        return false;
    if (m_admission.warmUp().isUncertain(now))
        return true;
    // Health requests for other reasons would take the place of calls.
    if (serverLimit())
        return m_admission.rateLimit().needsHealthAnswer(now);
    const auto& experiments = m_context->settings.experiments;
    // Its answers would tell, but they are what is late.
    const bool isNewsOld = m_loadHeard && now - *m_loadHeard >= probeWhileOverdue;
    if (isNewsOld && experiments.isOn(Mechanism::ProbeOverdue) && m_admission.hasOverdueRun(now))
        return true;
    // A cold server is slow, as it has said; calls are few then, and each answer tells its slow-down.
    const bool isSlowUnexplained = isSlow(load.slowdown) && load.remainingWarmUp == Duration::zero();
    return experiments.isOn(Mechanism::ProbeWhileSlow) && isSlowUnexplained
        && (!m_loadHeard || now - *m_loadHeard >= probeWhileSlow);
}

void Owner::onAnnouncedWarmUp(Duration left, Instant now)
{
    m_admission.warmUp().onAnnouncement(left, now);
    onWarmUpChanged(now);
}

void Owner::onHealthAnswerWarmUp(Duration left, Instant asked, Instant now)
{
    m_admission.warmUp().onHealthAnswer(left, asked, now);
    onWarmUpChanged(now);
}

void Owner::markWarmUpUncertain(Instant now)
{
    m_admission.warmUp().markUncertain(now);
    if (m_pool && asksHealth(m_admission.load(now), now))
        probe(now);
    onWarmUpChanged(now);
}

void Owner::onWarmUpChanged(Instant now)
{
    const auto& warmUp = m_admission.warmUp();
    if (std::exchange(m_loggedCold, warmUp.isCold(now)) == warmUp.isCold(now))
        return;
    log(LogLevel::Info, m_loggedCold ? "backend-cold" : "backend-warm",
        { { "upstream", upstream() }, { "cold_for_ms", toMilliseconds(warmUp.remainingTime(now)) },
            { "in_doubt", warmUp.isUncertain(now) }, { "calls_per_s", warmUp.callsPerSecond() },
            { "in_use", m_admission.slotsInUse() } });
    act(m_admission.startReadyCalls(now), now);
    sendLoad(now);
}

void Owner::probe(Instant now)
{
    const auto onAnswer = [this, now, pool = m_pool.get()](const ProbeNews& news, Duration) {
        const auto end = monotonicNow();
        takeHealthStatement(news, pool, now, end);
        setDown(!news.isReachable, end);
        if (news.isReachable)
            m_crashWatch.onAnswer(now);
        if (news.isRefused)
            backendRefused(end);
        if (news.slowdown)
            setSlowdown(*news.slowdown, end);
        if (news.coldFor)
            onHealthAnswerWarmUp(*news.coldFor, now, end);
    };
    if (!m_prober.probe(*m_pool, now, onAnswer))
        return;
    m_admission.rateLimit().onHealthRequestSent(now);
    m_context->metrics.count("robinrun_probes_total");
}

void Owner::setDown(bool isDown, Instant now)
{
    if (!isDown)
        m_unreached = 0;
    if (m_isDown == isDown)
        return;
    m_isDown = isDown;
    m_nextProbe = now + probeWhileDown;
    log(LogLevel::Warning, isDown ? "backend-down" : "backend-up",
        { { "upstream", upstream() }, { "unreached", m_unreached } });
    sendLoad(now);
}

void Owner::logLimit()
{
    const auto limit = m_admission.limit();
    if (limit == m_loggedLimit)
        return;
    log(LogLevel::Info, "limit-changed",
        { { "upstream", upstream() }, { "limit", limit }, { "before", m_loggedLimit },
            { "in_use", m_admission.slotsInUse() } });
    m_loggedLimit = limit;
}

void Owner::setSlowdown(double slowdown, Instant now)
{
    m_loadHeard = now;
    m_admission.setSlowdown(slowdown, now);
    const double change = slowdown / m_toldSlowdown;
    if (change < tellFactor && change > 1 / tellFactor)
        return;
    m_toldSlowdown = slowdown;
    sendLoad(now);
}

void Owner::sendLoad(Instant now)
{
    if (!m_tellLoad || !m_context->settings.experiments.isOn(Mechanism::TellLoads))
        return;
    std::size_t told = 0;
    for (const auto& [node, ingress] : m_ingresses) {
        if (now - ingress.lastCall > tellMemory)
            continue;
        if (++told > maxTold)
            return;
        proto::LoadNews news;
        news.set_upstream(upstream());
        news.set_incarnation(m_context->incarnation);
        *news.mutable_load() = makeLoad(ingress.sender.life(), ingress.group, now);
        m_tellLoad(ingress.sender.address, news);
    }
}

HttpRequest Owner::requestOf(const CallRecord& record, Instant now) const
{
    HttpRequest request;
    request.method = record.call.method();
    request.target = record.call.target();
    for (const auto& it : record.call.headers())
        request.headers.emplace_back(it.name(), it.value());
    const auto left = std::max<std::int64_t>((record.deadline - now).count() / 1000, 1);
    const auto& names = m_context->headers;
    request.headers.emplace_back(names.deadline, std::to_string(left));
    if (record.isByRoute) {
        request.headers.emplace_back(names.expectedUpstream, BackendLife::fromKey(upstream()).id());
        request.headers.emplace_back(names.callerService, record.call.caller_service());
    } else {
        request.headers.emplace_back(headers::attempts, std::to_string(record.call.attempts_left()));
        request.headers.emplace_back(headers::group, record.call.group());
    }
    if (!record.body)
        request.body = record.call.body();
    return request;
}

void Owner::run(std::uint64_t id, Instant now)
{
    require(!m_isEnding, "Owner::run: ingresses were told that nothing is run any more");
    auto& record = m_calls.at(id);
    record.isRunning = true;
    record.started = now;
    record.startedCold = m_admission.warmUp().isCold(now);
    if (!record.call.request_id().empty())
        m_runningRequests.emplace(record.call.request_id(), id);
    record.pool = m_pool.get();
    record.trail.add({ RequestEvent::SentToBackend, now, upstream(), record.call.number(), Reason::None,
        { { "waited_ms", (now - record.arrived).count() / 1000 },
            { "left_ms", (record.deadline - now).count() / 1000 } } });
    if (serverLimit()) {
        m_context->metrics.count("robinrun_server_limited_calls_total{outcome=\"sent\"}");
        if (now > record.arrived)
            m_context->metrics.count("robinrun_server_limited_calls_total{outcome=\"waited\"}");
    }
    HttpPool::SendOptions options;
    options.timeout = record.deadline - now + replySlack;
    options.longestRest = record.isRepeatable ? anyRest : longestRest;
    options.body = bytesOf(record.body);
    if (!record.call.request_id().empty()) {
        options.isOurs
            = [name = m_context->headers.requestId, own = record.call.request_id()](const HttpReply& reply) {
                  const auto told = findHeader(reply.headers, name);
                  return !told || *told == own;
              };
    }
    record.request = m_pool->send(requestOf(record, now), std::move(options),
        [this, id](Result<HttpReply, HttpError> result) { ended(id, std::move(result), monotonicNow()); });
}

const proto::Call* Owner::running(const std::string& requestId) const
{
    const auto it = m_runningRequests.find(requestId);
    return it == m_runningRequests.end() ? nullptr : &m_calls.at(it->second).call;
}

bool Owner::countNestedCall(const std::string& requestId, const std::string& service)
{
    const auto running = m_runningRequests.find(requestId);
    if (running == m_runningRequests.end())
        return false;
    ++m_calls.at(running->second).nested[service];
    return true;
}

std::uint32_t Owner::nestedCalls(const std::string& requestId) const
{
    const auto running = m_runningRequests.find(requestId);
    if (running == m_runningRequests.end())
        return 0;
    std::uint32_t out = 0;
    for (const auto& [service, n] : m_calls.at(running->second).nested)
        out += n;
    return out;
}

void Owner::learn(const HttpReply& reply, const CallRecord& record, Instant now)
{
    if (const auto state = findHeader(reply.headers, headers::backendState))
        setSign(LeavingSign::BackendServer, *state == "draining", now);
    const auto text = findHeader(reply.headers, m_context->headers.load);
    const auto load = text ? parseLoad(*text) : std::nullopt;
    if (load)
        setSlowdown(load->slowdown, now);
    auto statement = readStatement(reply.headers, m_context->headers);
    // A refusal need not name the limit, so one that does not says nothing of it.
    if (!statement.rateLimit && judge(reply, m_context->headers) == BackendVerdict::NotRun)
        statement.isRateLimitReadable = false;
    takeStatement(statement, { RateLimitSource::CallAnswer, record.started, record.call.request_id() }, now);
}

void Owner::ended(std::uint64_t id, Result<HttpReply, HttpError> result, Instant now)
{
    refuseGivenUp(now);
    // First of all: a drain told with this answer must stop the call that would get its slot.
    auto& record = m_calls.at(id);
    auto answer = result.has_value() ? answerOf(result.value(), record, now) : answerOf(result.error());
    if (!result.has_value() && result.error().kind == HttpErrorKind::NotConnected
        && ++m_unreached >= unreachedLimit)
        setDown(true, now);
    noteRunEnd(record, result, answer, now);
    const bool isFailure = answer.outcome() != proto::ANSWERED
        || answer.status() >= static_cast<std::uint32_t>(firstServerError);
    // A server that refuses a call has not run it.
    if (answer.outcome() != proto::NOT_RUN)
        reportRunEnd(record, result.has_value(), isFailure, now);
    const auto next = m_admission.onRunEnded(id, isFailure ? RunOutcome::Failed : RunOutcome::Answered, now);
    logLimit();
    answer.set_queued_us(static_cast<std::uint32_t>((record.started - record.arrived).count()));
    answer.set_held_us(static_cast<std::uint32_t>((now - record.started).count()));
    m_errors.add(isFailure ? 1 : 0);
    for (const auto& [service, n] : record.nested) {
        auto& nested = *answer.add_nested();
        nested.set_service(service);
        nested.set_calls(n);
    }
    recordTicket(record, answer);
    answerAll(record, std::move(answer), now);
    act(next, now);
}

void Owner::cancel(const Sender& sender, std::uint64_t number, Instant now)
{
    giveUpBody({ sender.life(), number }, Reason::Cancelled, now);
    const auto found = m_idByKey.find({ sender.life(), number });
    if (found == m_idByKey.end())
        return;
    const auto id = found->second;
    auto& record = m_calls.at(id);
    if (record.replies.size() > 1)
        return; // others wait for the same ticket
    if (m_admission.cancelWaiting(id))
        return refuse({ id, Reason::Cancelled, {} }, now);
    if (!record.isRepeatable)
        return; // what must not be repeated is not cut off either
    breakOff(id, Reason::Cancelled, now);
}

void Owner::breakOff(std::uint64_t id, Reason reason, Instant now)
{
    auto& record = m_calls.at(id);
    record.pool->cancel(record.request);
    reportRunEnd(record, false, false, now);
    m_crashWatch.onCallCutOff(suspectOf(record, now), now);
    const auto next = m_admission.onRunEnded(id, RunOutcome::Failed, now);
    proto::Answer answer;
    answer.set_outcome(proto::UNKNOWN);
    answer.set_reason(static_cast<std::uint32_t>(reason));
    recordTicket(record, answer);
    answerAll(record, std::move(answer), now);
    act(next, now);
}

void Owner::endCalls(Instant now)
{
    giveUpBodies(Reason::Leaving, now);
    std::vector<std::uint64_t> ids;
    for (const auto& [id, record] : m_calls)
        ids.push_back(id);
    if (!ids.empty())
        log(LogLevel::Warning, "runs-given-up",
            { { "upstream", upstream() }, { "calls", std::uint64_t { ids.size() } } });
    for (const auto id : ids) {
        // Answering one may have ended others.
        if (!m_calls.contains(id))
            continue;
        if (m_admission.cancelWaiting(id))
            refuse({ id, Reason::Leaving, {} }, now);
        else
            breakOff(id, Reason::Leaving, now);
    }
}

} // namespace robinrun
