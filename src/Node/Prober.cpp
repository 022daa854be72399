#include "Node/Prober.h"

#include "Http/HttpStatus.h"
#include "Node/CallHeaders.h"

namespace robinrun {
namespace {

    constexpr Duration probeTimeout = 1s;
    using namespace httpStatus;

} // namespace

bool Prober::tryProbe(HttpPool& pool, std::uint32_t freeSlots, std::uint32_t waiting, Instant now, Done done)
{
    if (m_isOut || !freeSlots || !m_budget.tryStart(waiting, now))
        return false;
    m_isOut = true;
    pool.send({ "GET", "/health", {}, {} }, probeTimeout,
        [this, now, done = std::move(done)](Result<HttpReply, HttpError> reply) {
            m_isOut = false;
            const auto end = monotonicNow();
            m_budget.ended(end - now, end);
            ProbeNews news;
            news.isReachable = reply.has_value();
            if (reply.has_value())
                news.isDraining = findHeader(reply.value().headers, headers::backendState) == "draining"
                    || (reply.value().status != ok
                        && reply.value().body.find("draining") != std::string::npos);
            done(news, end - now);
        });
    return true;
}

} // namespace robinrun
