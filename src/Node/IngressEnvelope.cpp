#include "Core/Hash.h"
#include "Node/CallHeaders.h"
#include "Node/Ingress.h"
#include "Wire/TicketCodec.h"

#include <algorithm>

/// \file What an ingress puts into the message to an owner: the request, its terms, and what is left of its
/// time.

namespace robinrun {

proto::Call Ingress::envelope(
    const Call& call, const UpstreamInfo& upstream, Duration elsewhere, Instant now) const
{
    const auto& request = call.exchange->request();
    proto::Call out;
    out.set_upstream(upstream.id);
    // A run that its caller can't hear of ends by itself, rather than being broken off with this node.
    const auto left = std::max<std::int64_t>((answerLimit(call) - now).count(), 0);
    out.set_remaining_us(static_cast<std::uint32_t>(std::min<std::int64_t>(left, UINT32_MAX)));
    out.set_group(call.request.group);
    out.set_service(call.request.service);
    out.set_call_class(call.request.callClass.name);
    if (const auto limit = m_notices.rateLimitOf(upstream.id)) {
        out.set_limit_per_s(limit->requestsPerSecond);
        out.set_limit_age_ms(1 + static_cast<std::uint32_t>(toMilliseconds(now - limit->heardAt)));
    }
    const auto versions = m_versions.find(call.request.service);
    if (versions != m_versions.end() && versions->second.target.contains(upstream.id))
        out.set_rollout(versions->second.rollout);
    out.set_attempts_left(call.attemptsLeft);
    out.set_elsewhere_us(static_cast<std::uint32_t>(std::min<std::int64_t>(elsewhere.count(), UINT32_MAX)));
    const auto clock = m_ownerClocks.find(upstream.id);
    if (clock != m_ownerClocks.end()) {
        out.set_owner_incarnation(clock->second.incarnation());
        const auto deadline = clock->second.upperBoundAt(now + Duration(left)).time_since_epoch();
        out.set_owner_deadline_us(static_cast<std::uint64_t>(std::max<std::int64_t>(deadline.count(), 1)));
    }
    if (call.isMinting) {
        out.set_mint_ticket(true);
        out.set_body_hash(hash64(""));
        return out;
    }
    out.set_method(request.method);
    out.set_target(call.request.target);
    for (const auto& [name, value] : request.headers) {
        if (isHopByHop(name) || m_context->headers.isForUs(name))
            continue;
        auto& header = *out.add_headers();
        header.set_name(name);
        header.set_value(value);
    }
    addBody(call, out);
    if (call.ticket)
        encode(*call.ticket, *out.mutable_ticket());
    if (call.request.isByRoute)
        addTerms(call, out, now);
    return out;
}

void Ingress::addBody(const Call& call, proto::Call& out) const
{
    const auto& bytes = call.body->bytes;
    out.set_body_hash(hash64(bytes));
    if (out.upstream() == m_owner->upstream())
        return; // the owner beside this ingress shares it
    if (bytes.size() > Owner::longestInlineBody)
        out.set_body_length(bytes.size());
    else
        out.set_body(bytes);
}

void Ingress::addTerms(const Call& call, proto::Call& out, Instant now) const
{
    const auto& callClass = call.request.callClass;
    auto& terms = *out.mutable_terms();
    const auto& parent = call.request.parent;
    // A nested call is worth what the call is that it is made for.
    terms.set_priority(parent ? parent->priority : callClass.priority);
    terms.set_group_priority(parent ? parent->groupPriority : call.request.groupPriority);
    terms.set_ranked(m_context->directory.hasGroups());
    terms.set_repeatable(callClass.isRepeatable);
    const auto left = callClass.targetLatency - (now - call.arrived);
    terms.set_target_latency_us(static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1)));
    terms.set_nested(call.request.isNested());
    terms.set_only_at_once(call.asksLeft > 0);
    out.set_caller_service(m_context->settings.service);
    out.set_request_id(call.request.id);
    if (call.request.hasGroup) {
        auto& header = *out.add_headers();
        header.set_name(m_context->headers.group);
        header.set_value(call.request.group);
    }
    if (const auto host = findHeader(call.exchange->request().headers, "Host")) {
        auto& header = *out.add_headers();
        header.set_name("Host");
        header.set_value(std::string(*host));
    }
}

} // namespace robinrun
