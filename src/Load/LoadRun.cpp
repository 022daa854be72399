#include "Load/LoadRun.h"

#include "Http/HttpStatus.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <ostream>

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr Duration tickLength = 500us;
    constexpr Duration clientTimeout = 15s;
    constexpr Duration lastWait = 12s;
    constexpr Duration sendAgainAfter = 150ms;
    /// An ingress that has calls of ours and answers none for this long is left alone for a while.
    constexpr Duration silenceLimit = 150ms;
    constexpr Duration leaveAlone = 1s;
    constexpr int maxSends = 40;
    constexpr std::size_t connectionsPerIngress = 2000;
    constexpr std::uint64_t directAnswerBytes = 200;

    std::int64_t quantile(std::vector<std::int64_t> values, double q)
    {
        if (values.empty())
            return 0;
        const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + at, values.end());
        return values[static_cast<std::size_t>(at)];
    }

    double quantileMs(const LoadTally& tally, double q)
    {
        return static_cast<double>(quantile(tally.latencyUs, q)) / 1000;
    }

    std::int64_t numberOf(const HttpReply& reply, std::string_view name)
    {
        const auto text = findHeader(reply.headers, name);
        return text ? std::atoll(std::string(*text).c_str()) : 0;
    }

    std::uint64_t jsonNumber(const std::string& json, const std::string& name)
    {
        const auto at = json.find('"' + name + "\":");
        return at == std::string::npos ? 0 : std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
    }

} // namespace

LoadRun::LoadRun(event_base* base, const LoadSpec& spec)
    : m_base(base)
    , m_spec(spec)
    , m_random(spec.seed)
    , m_start(monotonicNow())
{
    const auto poolOf = [base](const std::string& address) {
        HttpPool::Options options;
        options.address = address;
        options.maxConnections = connectionsPerIngress;
        return std::make_unique<HttpPool>(base, options);
    };
    for (const auto& it : spec.ingresses)
        m_ingresses.push_back(poolOf(it));
    for (const auto& it : spec.direct)
        m_direct.push_back(poolOf(it));
    for (const auto& it : spec.backends)
        m_backends.push_back(poolOf(it));
    for (const auto& it : m_spec.streams)
        m_next.push_back({ &it, m_start + fromSeconds(m_random.exponential(1 / it.rate)) });
    m_health.resize(m_ingresses.size());
    m_nextDirect = m_start;
    m_timer = Timer::repeating(base, tickLength, [this] { tick(); });
}

std::size_t LoadRun::anyIngress()
{
    const auto now = monotonicNow();
    auto index = m_random.below(m_ingresses.size());
    for (std::size_t i = 0; i < m_ingresses.size(); ++i, index = (index + 1) % m_ingresses.size()) {
        auto& it = m_health[index];
        if (now < it.tryAgainAt)
            continue;
        if (!it.out || now - it.silentSince < silenceLimit)
            break;
        it.tryAgainAt = now + leaveAlone;
        it.silentSince = it.tryAgainAt;
    }
    if (!m_health[index].out++)
        m_health[index].silentSince = now;
    return index;
}

void LoadRun::heardFrom(std::size_t ingress)
{
    --m_health[ingress].out;
    m_health[ingress].silentSince = monotonicNow();
}

void LoadRun::tick()
{
    const auto now = monotonicNow();
    const auto end = m_start + m_spec.duration;
    for (auto& it : m_next) {
        while (it.at <= now && it.at < end) {
            begin(*it.stream, it.at);
            it.at += fromSeconds(m_random.exponential(1 / it.stream->rate));
        }
    }
    while (m_spec.directRate > 0 && !m_direct.empty() && m_nextDirect <= now && m_nextDirect < end) {
        sendDirect(m_nextDirect);
        m_nextDirect += fromSeconds(m_random.exponential(1 / m_spec.directRate));
    }
    if (now >= end)
        finishWhenQuiet(now);
}

void LoadRun::begin(const LoadStream& stream, Instant planned)
{
    auto call = std::make_shared<Call>();
    call->stream = &stream;
    call->nonce = std::to_string(m_spec.seed) + "-" + std::to_string(++m_lastNonce);
    call->planned = planned;
    if (stream.once == OnceWay::Key)
        call->key = std::to_string(wallClockMs() / 1000) + ":" + call->nonce;
    if (stream.once == OnceWay::Ticket)
        return takeTicket(call);
    send(call);
    if (stream.once == OnceWay::Key && m_random.chance(stream.repeat))
        send(call);
}

void LoadRun::takeTicket(const CallPtr& call)
{
    ++m_out;
    HttpRequest request { "POST", "/" + call->stream->service + "/tickets",
        { { "Robinrun-Credential", call->stream->credential } }, {} };
    const auto ingress = anyIngress();
    m_ingresses[ingress]->send(
        request, clientTimeout, [this, call, ingress](const Result<HttpReply, HttpError>& result) {
            --m_out;
            heardFrom(ingress);
            const auto ticket
                = result.has_value() ? findHeader(result.value().headers, "Robinrun-Ticket") : std::nullopt;
            if (!ticket) {
                // No ticket, no call: nothing can have run.
                ++m_tallies[{ call->stream->group, call->stream->callClass }].notRun;
                return;
            }
            call->ticket = std::string(*ticket);
            send(call);
            if (m_random.chance(call->stream->repeat))
                send(call);
        });
}

HttpRequest LoadRun::requestOf(const Call& call) const
{
    const auto& stream = *call.stream;
    HttpRequest request { stream.method, "/" + stream.service + stream.path,
        { { "Robinrun-Credential", stream.credential }, { "Nonce", call.nonce },
            { "Answer-Bytes", std::to_string(stream.answerBytes) } },
        {} };
    if (stream.deadlineMs)
        request.headers.emplace_back("Robinrun-Deadline-Ms", std::to_string(stream.deadlineMs));
    if (stream.once != OnceWay::None)
        request.headers.emplace_back("Once", "true");
    if (!call.ticket.empty())
        request.headers.emplace_back("Robinrun-Ticket", call.ticket);
    if (!call.key.empty())
        request.headers.emplace_back("Idempotency-Key", call.key);
    if (stream.method != "GET")
        request.body = "nonce=" + call.nonce;
    return request;
}

void LoadRun::send(const CallPtr& call)
{
    ++m_out;
    ++call->sends;
    const auto sent = monotonicNow();
    const auto ingress = anyIngress();
    const auto done = [this, call, sent, ingress](const Result<HttpReply, HttpError>& result) {
        --m_out;
        heardFrom(ingress);
        if (!result.has_value())
            m_health[ingress].tryAgainAt = monotonicNow() + leaveAlone;
        ended(call, sent, result);
    };
    m_ingresses[ingress]->send(requestOf(*call), clientTimeout, done);
}

void LoadRun::sendAgain(const CallPtr& call)
{
    ++m_out;
    auto timer = std::make_shared<Timer>();
    *timer = Timer::once(m_base, sendAgainAfter, [this, call, timer] {
        --m_out;
        send(call);
        *timer = Timer();
    });
}

bool LoadRun::isRight(const Call& call, const HttpReply& reply) const
{
    const auto nonce = findHeader(reply.headers, "Nonce");
    const auto expected = "nonce=" + call.nonce + ";";
    return nonce == call.nonce && reply.body.starts_with(expected)
        && reply.body.size() == std::max<std::size_t>(call.stream->answerBytes, expected.size());
}

void LoadRun::ended(const CallPtr& call, Instant sent, const Result<HttpReply, HttpError>& result)
{
    const auto now = monotonicNow();
    if (call->planned < m_start + m_spec.warmUp)
        return;
    auto& tally = m_tallies[{ call->stream->group, call->stream->callClass }];
    const auto outcome = result.has_value()
        ? findHeader(result.value().headers, "Robinrun-Outcome").value_or("none")
        : "none";
    if (outcome == "answered") {
        const auto& reply = result.value();
        if (reply.status >= firstServerError) {
            ++tally.failed;
        } else if (reply.status != ok || !isRight(*call, reply)) {
            ++tally.wrong;
        } else if (!call->isCounted) {
            call->isCounted = true;
            ++tally.answered;
            tally.latencyUs.push_back((now - call->planned).count());
            const auto inside = numberOf(reply, "Robinrun-Queued-Us") + numberOf(reply, "Backend-Held-Us");
            if (call->sends == 1)
                tally.addedUs.push_back((now - sent).count() - inside);
        }
        return;
    }
    const bool mayRepeat = call->stream->retriesUnknown && call->sends < maxSends && !call->isCounted
        && now < m_start + m_spec.duration && (!call->key.empty() || !call->ticket.empty());
    if (mayRepeat)
        return sendAgain(call);
    if (outcome == "not-run")
        ++tally.notRun;
    else if (outcome == "unknown")
        ++tally.unknown;
    else
        ++tally.noReply;
}

void LoadRun::sendDirect(Instant planned)
{
    ++m_out;
    const auto sent = monotonicNow();
    HttpRequest request { "GET", "/direct",
        { { "Nonce", "direct" }, { "Answer-Bytes", std::to_string(directAnswerBytes) } }, {} };
    auto& pool = *m_direct[m_random.below(m_direct.size())];
    pool.send(request, clientTimeout, [this, planned, sent](const Result<HttpReply, HttpError>& result) {
        --m_out;
        if (planned < m_start + m_spec.warmUp || !result.has_value() || result.value().status != ok)
            return;
        ++m_directTally.answered;
        const auto total = (monotonicNow() - sent).count();
        m_directTally.addedUs.push_back(total - numberOf(result.value(), "Backend-Held-Us"));
        m_directTally.latencyUs.push_back((monotonicNow() - planned).count());
    });
}

void LoadRun::finishWhenQuiet(Instant now)
{
    if (m_isAskingCounts || (m_out && now < m_start + m_spec.duration + lastWait))
        return;
    m_isAskingCounts = true;
    askCounts();
}

void LoadRun::askCounts()
{
    auto left = std::make_shared<std::size_t>(m_backends.size() + 1);
    const auto oneDone = [this, left] {
        if (--*left == 0)
            event_base_loopexit(m_base, nullptr);
    };
    for (auto& it : m_backends) {
        it->send(
            { "GET", "/counts", {}, {} }, 2s, [this, oneDone](const Result<HttpReply, HttpError>& result) {
                if (result.has_value()) {
                    m_ran += jsonNumber(result.value().body, "ran");
                    m_ranTwice += jsonNumber(result.value().body, "ran_twice");
                    m_shed += jsonNumber(result.value().body, "shed");
                }
                oneDone();
            });
    }
    oneDone();
}

bool LoadRun::isGood() const
{
    const bool isWrong
        = std::any_of(m_tallies.begin(), m_tallies.end(), [](const auto& it) { return it.second.wrong > 0; });
    return !isWrong && m_ranTwice == 0;
}

void LoadRun::printHeader(std::ostream& out)
{
    out << std::left << std::setw(22) << "group" << std::setw(16) << "class" << std::right << std::setw(9)
        << "answered" << std::setw(8) << "failed" << std::setw(9) << "not-run" << std::setw(9) << "unknown"
        << std::setw(7) << "wrong" << std::setw(9) << "no-reply" << std::setw(10) << "p50_ms" << std::setw(10)
        << "p99_ms" << std::setw(10) << "p99.9_ms" << '\n';
}

void LoadRun::printRow(std::ostream& out, const Key& key, const LoadTally& tally)
{
    out << std::left << std::setw(22) << key.first << std::setw(16) << key.second << std::right
        << std::setw(9) << tally.answered << std::setw(8) << tally.failed << std::setw(9) << tally.notRun
        << std::setw(9) << tally.unknown << std::setw(7) << tally.wrong << std::setw(9) << tally.noReply
        << std::fixed << std::setprecision(2) << std::setw(10) << quantileMs(tally, 0.5) << std::setw(10)
        << quantileMs(tally, 0.99) << std::setw(10) << quantileMs(tally, 0.999) << '\n';
}

void LoadRun::printJson(std::ostream& out, const Key& key, const LoadTally& tally)
{
    out << "{\"load\":\"class\",\"group\":\"" << key.first << "\",\"class\":\"" << key.second
        << "\",\"answered\":" << tally.answered << ",\"failed\":" << tally.failed
        << ",\"not_run\":" << tally.notRun << ",\"unknown\":" << tally.unknown << ",\"wrong\":" << tally.wrong
        << ",\"no_reply\":" << tally.noReply << ",\"p50_ms\":" << quantileMs(tally, 0.5)
        << ",\"p99_ms\":" << quantileMs(tally, 0.99) << ",\"p999_ms\":" << quantileMs(tally, 0.999) << "}\n";
}

LoadTally LoadRun::total() const
{
    LoadTally sum;
    for (const auto& [key, it] : m_tallies) {
        sum.answered += it.answered;
        sum.failed += it.failed;
        sum.notRun += it.notRun;
        sum.unknown += it.unknown;
        sum.wrong += it.wrong;
        sum.noReply += it.noReply;
        sum.addedUs.insert(sum.addedUs.end(), it.addedUs.begin(), it.addedUs.end());
    }
    return sum;
}

void LoadRun::print(std::ostream& out, bool isJson) const
{
    if (!isJson)
        printHeader(out);
    for (const auto& [key, it] : m_tallies)
        isJson ? printJson(out, key, it) : printRow(out, key, it);
    const auto sum = total();
    const auto added = [&](double q) {
        return std::max<std::int64_t>(0, quantile(sum.addedUs, q) - quantile(m_directTally.addedUs, q));
    };
    if (isJson) {
        out << "{\"load\":\"added\",\"direct_calls\":" << m_directTally.answered
            << ",\"direct_p50_us\":" << quantile(m_directTally.addedUs, 0.5)
            << ",\"direct_p99_us\":" << quantile(m_directTally.addedUs, 0.99)
            << ",\"via_p50_us\":" << quantile(sum.addedUs, 0.5)
            << ",\"via_p99_us\":" << quantile(sum.addedUs, 0.99) << ",\"added_p50_us\":" << added(0.5)
            << ",\"added_p99_us\":" << added(0.99) << ",\"added_p999_us\":" << added(0.999) << "}\n";
    } else {
        out << "failed=" << sum.failed << " no_reply=" << sum.noReply << " ran=" << m_ran
            << " shed=" << m_shed << '\n';
    }
    out << "answered=" << sum.answered + sum.failed << " refused_not_run=" << sum.notRun
        << " unknown=" << sum.unknown << " wrong=" << sum.wrong << " ran_twice=" << m_ranTwice
        << " added_p50_us=" << added(0.5) << " added_p99_us=" << added(0.99) << '\n';
}

} // namespace robinrun
