#include "Node/Prober.h"

#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"

namespace robinrun {
namespace {

    constexpr Duration probeTimeout = 1s;
    using namespace httpStatus;

} // namespace

void Prober::setPath(const std::string& path, const CallHeaders& names)
{
    if (!path.empty())
        m_path = path;
    m_names = names;
}

ProbeNews Prober::read(const HttpReply& reply) const
{
    ProbeNews news;
    news.isReachable = true;
    news.isWell = reply.status == ok;
    news.isDraining = findHeader(reply.headers, headers::backendState) == "draining"
        || (reply.status != ok && reply.body.find("draining") != std::string::npos);
    news.upstream = findHeader(reply.headers, m_names.upstream).value_or("");
    if (const auto text = findHeader(reply.headers, m_names.load)) {
        if (const auto load = parseLoad(*text)) {
            news.slowdown = load->slowdown;
            news.slots = load->slots;
        }
    }
    news.statement = readStatement(reply.headers, m_names);
    // A server that is well says so only while it is cold.
    if (const auto text = findHeader(reply.headers, m_names.coldFor))
        news.coldFor = parseColdFor(*text);
    else if (news.isWell)
        news.coldFor = Duration::zero();
    return news;
}

bool Prober::probe(HttpPool& pool, Instant now, Done done)
{
    if (m_isOut)
        return false;
    m_isOut = true;
    pool.send({ "GET", m_path, {}, {} }, probeTimeout,
        [this, now, done = std::move(done)](Result<HttpReply, HttpError> reply) {
            m_isOut = false;
            const auto end = monotonicNow();
            m_budget.onProbeEnded(end - now, end);
            ProbeNews none;
            none.isRefused = !reply.has_value() && reply.error().isRefused;
            done(reply.has_value() ? read(reply.value()) : none, end - now);
        });
    return true;
}

bool Prober::tryProbe(HttpPool& pool, std::uint32_t freeSlots, std::uint32_t waiting, Instant now, Done done)
{
    if (m_isOut || !freeSlots || !m_budget.tryStartProbe(waiting, now))
        return false;
    return probe(pool, now, std::move(done));
}

} // namespace robinrun
