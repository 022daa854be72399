#include "Node/ControlPlane.h"

#include <algorithm>
#include <utility>

/// \file Counting what is in force: reports up the tree of nodes, and questions to its top and their answers.

namespace robinrun {
namespace {

    constexpr Duration reportChanged = 500ms;
    constexpr Duration reportUnchanged = 4s;
    constexpr Duration countPatience = 1s;

} // namespace

std::string ControlPlane::countingParent(Instant now)
{
    return CountingTree(
        m_members, m_spread.self(), m_spread.hallRanking(), m_context->settings.control.fanOut)
        .parent(now);
}

proto::InForce ControlPlane::ownSum(Instant now)
{
    const bool isBehind = m_follower.knownLogEnd() > m_follower.nextOffset();
    if (!isBehind)
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = now;
    const auto behindFor = m_behindSince ? std::max(now - *m_behindSince, Duration(1)) : Duration::zero();
    return m_inForce.aggregate(m_context->settings.name, m_follower.nextOffset(), behindFor, now);
}

void ControlPlane::reportUp(Instant now)
{
    const bool isChanged = m_lastReported != m_follower.nextOffset();
    if (now < m_nextReport && !(isChanged && now >= m_nextReport - reportUnchanged + reportChanged))
        return;
    m_nextReport = now + reportUnchanged;
    m_lastReported = m_follower.nextOffset();
    const auto parent = countingParent(now);
    if (parent != m_lastParent && !m_lastParent.empty()) {
        // Counted at the new place only: the former parent forgets this subtree.
        proto::PeerMessage retraction;
        retraction.mutable_in_force();
        sendToNode(m_lastParent, retraction, now);
    }
    m_lastParent = parent;
    if (parent.empty())
        return;
    proto::PeerMessage message;
    *message.mutable_in_force() = ownSum(now);
    sendToNode(parent, message, now);
}

void ControlPlane::countInForce(Counted done, Instant now)
{
    const auto parent = countingParent(now);
    proto::PeerMessage message;
    const auto number = ++m_lastCount;
    message.mutable_in_force_request()->set_number(number);
    if (parent.empty() || sendToNode(parent, message, now) == SendResult::Unreachable)
        return done(ownSum(now));
    m_counts.push_back({ number, std::move(done), now });
}

void ControlPlane::answerCount(const PeerSocket::Sender& sender, std::uint64_t number, Instant now)
{
    countInForce(
        [this, number, sender](const proto::InForce& total) {
            proto::PeerMessage message;
            message.mutable_in_force_reply()->set_number(number);
            *message.mutable_in_force_reply()->mutable_total() = total;
            reply(sender, message, m_context->clock());
        },
        now);
}

void ControlPlane::takeCount(const proto::InForceReply& answer)
{
    const auto it = std::find_if(
        m_counts.begin(), m_counts.end(), [&](const auto& count) { return count.number == answer.number(); });
    if (it == m_counts.end())
        return;
    const auto done = std::move(it->done);
    m_counts.erase(it);
    done(answer.total());
}

void ControlPlane::expireCounts(Instant now)
{
    while (!m_counts.empty() && now - m_counts.front().since > countPatience) {
        const auto done = std::move(m_counts.front().done);
        m_counts.pop_front();
        done(ownSum(now));
    }
}

} // namespace robinrun
