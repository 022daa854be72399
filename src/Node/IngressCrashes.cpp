#include "Http/HttpTypes.h"
#include "Node/Ingress.h"

#include <algorithm>

/// \file Requests that an ingress holds back, since backend servers have crashed under the same one.

namespace robinrun {

CrashTracker::Verdict Ingress::verdictOf(Call& call, Instant now) const
{
    const auto& ledger = m_context->crashes;
    // A ticket is not a run.
    if (!ledger.hasHolds() || call.isMinting)
        return CrashTracker::Verdict::Free;
    if (!call.content) {
        const auto& request = call.exchange->request();
        CallContent content { call.request.group, request.method, call.request.service, call.request.target,
            call.body->bytes };
        if (call.request.isByRoute)
            content.host = findHeader(request.headers, "Host").value_or("");
        if (!ledger.mayBeHeld(quickHashOf(content)))
            return CrashTracker::Verdict::Free;
        call.content = contentIdOf(content);
    }
    return ledger.verdictOf(*call.content, now);
}

void Ingress::sendTrial(CallId id, Call& call, Instant now)
{
    const auto upstream = m_context->directory.trialUpstream(call.request.service, *call.content);
    const bool isTicketElsewhere = call.ticket && call.ticket->upstream != upstream;
    const bool wasTried = std::find(call.tried.begin(), call.tried.end(), upstream) != call.tried.end();
    if (upstream.empty() || isTicketElsewhere || wasTried || !call.out.empty()
        || m_notices.isLeaving(upstream))
        return finishHeld(id, call, now);
    const auto result = sendTo(id, call, upstream, now);
    if (result == SendResult::Connecting)
        return tryAgainSoon(id, call);
    if (result == SendResult::Unreachable)
        finishHeld(id, call, now);
}

void Ingress::finishHeld(CallId id, Call& call, Instant now)
{
    // Another attempt that is out may still be answered.
    if (!call.out.empty())
        return;
    const auto left = m_context->crashes.timeUntilTrial(*call.content, now);
    call.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(left));
    finishNotRun(id, call, Reason::CrashesServers, now);
}

} // namespace robinrun
