#include "Core/BackendLife.h"
#include "Node/Owner.h"

#include <algorithm>
#include <utility>
#include <vector>

/// \file Which life of its backend server an owner answers for, and what it still holds after it stood still.

namespace robinrun {
namespace {

    constexpr Duration connectTimeout = 300ms;
    /// A reply is there twice while it goes out to an ingress.
    constexpr std::size_t longestReply = 32U << 20U;

} // namespace

void Owner::turnTo(const UpstreamInfo& info, Instant now)
{
    const auto former = BackendLife::fromKey(std::exchange(m_boundUpstream, info.id));
    const bool isSameAddress
        = std::exchange(m_backendAddress, info.config.address()) == info.config.address();
    // Its id was known before its start was: the same life.
    if (m_pool && isSameAddress && BackendLife::fromKey(info.id).isMeantBy(former))
        return;
    if (m_pool) {
        if (isSameAddress && !m_leaving.hasSign(LeavingSign::BackendServer)) {
            auto running = runningOn(*m_pool, now);
            if (!running.empty())
                m_crashWatch.onRunBroken(std::move(running), now);
        }
        if (const auto suspects = m_crashWatch.onNewIncarnation(now))
            reportCrash(former.key(), *suspects, now);
    }
    m_isDown = false;
    m_unreached = 0;
    m_isServerLeaving = false;
    m_toldServerLimit.reset();
    m_admission.rateLimit().reset();
    m_admission.resetLimit();
    m_admission.setSlowdown(m_toldSlowdown = 1, now);
    m_loadHeard.reset();
    m_errors = Ewma(errorSampleWeight);
    HttpPool::Options options;
    options.address = m_backendAddress;
    options.maxConnections = info.config.connections();
    options.connectTimeout = connectTimeout;
    options.replies = m_context->replies;
    options.maxReply = longestReply;
    // Calls that run at a former address end there.
    if (m_pool)
        m_formerPools.push_back(std::move(m_pool));
    m_pool = std::make_unique<HttpPool>(m_context->base, options);
    // Before calls that ran are ended, as those that wait would start then.
    markWarmUpUncertain(now);
    if (isSameAddress && !m_formerPools.empty())
        endRuns(*m_formerPools.back(), now);
}

void Owner::endRuns(HttpPool& pool, Instant now)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, record] : m_calls) {
        if (record.isRunning && record.pool == &pool)
            ids.push_back(id);
    }
    for (const auto id : ids) {
        // Ending one may have ended others that ran beside it.
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            continue;
        pool.cancel(it->second.request);
        ended(id, HttpError { HttpErrorKind::Broken }, now);
    }
}

void Owner::beginEnd(Instant now)
{
    setSign(LeavingSign::NodeStop, true, now);
    m_isEnding = true;
    giveUpBodies(Reason::Leaving, now);
    for (const auto& [node, ingress] : m_ingresses)
        sendLastWord(ingress.sender);
}

void Owner::sendLastWord(const Sender& to)
{
    if (!m_sayLast || to.node == m_context->settings.name || !m_toldLast.insert(to.life()).second)
        return;
    auto highest = m_seen.highest(to.life());
    // Of a sender that was silent for long, calls may run that are forgotten there.
    for (const auto& [id, record] : m_calls) {
        for (std::size_t i = 0; i < record.replies.size(); ++i) {
            if (record.replies[i].first.life() == to.life())
                highest = std::max(highest, record.numbers[i]);
        }
    }
    m_sayLast(to, highest);
}

bool Owner::isMeantBy(const std::string& key) const
{
    return key == upstream() || BackendLife::fromKey(upstream()).isMeantBy(BackendLife::fromKey(key));
}

std::optional<Standstill> Owner::lostLinksIn(Instant now) const
{
    const auto out = m_context->standstill.wakingFrom(now);
    const auto linkLife = PeerSocket::missedHeartbeats * m_context->settings.peers.heartbeat;
    return out && out->length() >= linkLife ? out : std::nullopt;
}

bool Owner::isGivenUp(const proto::Call& call, const Sender& sender, Instant now) const
{
    const auto standstill = lostLinksIn(now);
    if (!standstill || sender.node == m_context->settings.name)
        return false;
    // Where its sender doesn't know this node's clock yet, nothing shows when the call was sent.
    if (!call.owner_deadline_us())
        return true;
    const Instant sent { Duration(
        static_cast<std::int64_t>(call.owner_deadline_us()) - call.remaining_us()) };
    return sent < standstill->ended;
}

void Owner::refuseGivenUp(Instant now)
{
    const auto standstill = lostLinksIn(now);
    if (!standstill)
        return;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, record] : m_calls) {
        const bool isForeign = record.sender.node != m_context->settings.name;
        if (isForeign && !record.isRunning && record.arrived <= standstill->began)
            ids.push_back(id);
    }
    for (const auto id : ids) {
        if (m_admission.cancelWaiting(id))
            refuse({ id, Reason::GivenUpMeanwhile, {} }, now);
    }
}

} // namespace robinrun
