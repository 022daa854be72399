#include "Core/Log.h"
#include "Node/Owner.h"

#include <algorithm>
#include <utility>
#include <vector>

/// \file Long bodies of calls, which an owner asks for part by part once it has room for them.

namespace robinrun {
namespace {

    /// On a network link of 10 Mbit/s a part holds up other messages for 0.1 s.
    constexpr std::size_t partBytes = 128U << 10U;
    /// An ingress that does not send a part for so long is taken for gone, or the call for given up.
    constexpr Duration longestSilence = 2s;
    /// Until the room for a body is likely to be free again.
    constexpr Duration noMemoryRetry = 500ms;
    /// What a message says of its body is not trusted beyond this.
    constexpr std::uint64_t longestBody = 1U << 30U;

} // namespace

void Owner::awaitBody(const proto::Call& call, const Sender& sender, Reply reply, Instant now)
{
    const auto bytes = call.body_length();
    if (bytes > longestBody)
        return refuseAtOnce(call, sender, reply, Reason::Damaged, true, now);
    auto room = m_context->bodies.share();
    if (!room.resize(bytes)) {
        m_context->metrics.count("robinrun_bodies_refused_total");
        return refuseAtOnce(call, sender, reply, Reason::NoMemory, true, now, noMemoryRetry);
    }
    auto& awaited = m_awaitedBodies[{ sender.life(), call.number() }];
    awaited = { call, sender, std::move(reply), deadlineOf(call, now), now, { {}, std::move(room) } };
    awaited.body.bytes.reserve(bytes);
    askForPart(awaited, now, m_context->incarnation);
}

void Owner::askForPart(AwaitedBody& awaited, Instant now, std::uint64_t incarnation)
{
    awaited.asked = now;
    const auto from = awaited.body.bytes.size();
    proto::Answer asked;
    asked.set_number(awaited.call.number());
    asked.set_incarnation(incarnation);
    asked.set_caller_incarnation(awaited.sender.incarnation);
    asked.set_wanted_from(from);
    asked.set_wanted_bytes(
        static_cast<std::uint32_t>(std::min<std::uint64_t>(partBytes, awaited.call.body_length() - from)));
    awaited.reply(std::move(asked));
}

void Owner::takeBodyPart(const Sender& sender, const proto::BodyPart& part, Instant now)
{
    const CallKey key { sender.life(), part.number() };
    const auto found = m_awaitedBodies.find(key);
    if (found == m_awaitedBodies.end())
        return; // given up meanwhile
    auto& awaited = found->second;
    auto& bytes = awaited.body.bytes;
    const bool fits = part.from() == bytes.size() && !part.bytes().empty()
        && part.bytes().size() <= awaited.call.body_length() - bytes.size();
    if (!fits) {
        log(LogLevel::Warning, "body-part-odd",
            { { "from", sender.node }, { "number", part.number() }, { "offset", part.from() },
                { "expected", std::uint64_t { bytes.size() } },
                { "bytes", std::uint64_t { part.bytes().size() } } });
        return giveUpBody(key, Reason::Damaged, now);
    }
    bytes += part.bytes();
    if (bytes.size() < awaited.call.body_length())
        return askForPart(awaited, now, m_context->incarnation);
    const auto fault = faultOf(awaited, now);
    if (fault != Reason::None)
        return giveUpBody(key, fault, now);
    auto whole = std::move(m_awaitedBodies.extract(found).mapped());
    whole.call.set_body_length(0);
    whole.call.set_remaining_us(static_cast<std::uint32_t>((whole.deadline - now).count()));
    const auto body = std::make_shared<const HeldBody>(std::move(whole.body));
    takeWhole(whole.call, whole.sender, std::move(whole.reply), body, now);
}

Reason Owner::faultOf(const AwaitedBody& awaited, Instant now) const
{
    if (hash64(awaited.body.bytes) != awaited.call.body_hash())
        return Reason::Damaged;
    if (!isMeantBy(awaited.call.upstream()) || !m_pool || !service())
        return Reason::WrongOwner;
    if (m_isDown)
        return Reason::BackendUnreachable;
    if (now >= awaited.deadline)
        return Reason::DeadlinePassed;
    return m_end && awaited.deadline > *m_end ? Reason::Leaving : Reason::None;
}

void Owner::giveUpBody(const CallKey& key, Reason reason, Instant now)
{
    auto node = m_awaitedBodies.extract(key);
    if (node.empty())
        return;
    const auto& awaited = node.mapped();
    log(LogLevel::Info, "body-given-up",
        { { "from", awaited.sender.node }, { "request", awaited.call.request_id() },
            { "reason", nameOf(reason) }, { "bytes", std::uint64_t { awaited.body.bytes.size() } },
            { "of", awaited.call.body_length() } });
    refuseAtOnce(awaited.call, awaited.sender, awaited.reply, reason, true, now);
}

void Owner::giveUpBodies(Reason reason, Instant now)
{
    while (!m_awaitedBodies.empty())
        giveUpBody(CallKey(m_awaitedBodies.begin()->first), reason, now);
}

void Owner::giveUpSilentBodies(Instant now)
{
    std::vector<CallKey> silent;
    for (const auto& [key, awaited] : m_awaitedBodies) {
        if (now - awaited.asked > longestSilence || now >= awaited.deadline)
            silent.push_back(key);
    }
    for (const auto& it : silent)
        giveUpBody(it, Reason::BodyMissing, now);
}

} // namespace robinrun
