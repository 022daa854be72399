#include "Node/ControlPlane.h"

#include "Core/Log.h"

#include <algorithm>

/// \file Records of the configuration: how they are passed on to peers, taken from them and asked for.

namespace robinrun {

void ControlPlane::advanced(const std::string& root, std::uint64_t from, Instant now)
{
    passOn(m_spread.onOffsetAdvanced(m_members, root, from, m_follower.nextOffset(), now), now);
    if (m_changed)
        m_changed();
}

void ControlPlane::passOn(std::vector<RecordForward> list, Instant now)
{
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto it = list[i]; // a copy: the list grows
        const bool isSuspected = m_members.isSuspected(it.peer, now); // then those below it are in the list
        if (sendRecords(it, now) != SendResult::Unreachable || isSuspected)
            continue;
        const auto below = m_spread.rerouteAround(m_members, it, now);
        list.insert(list.end(), below.begin(), below.end());
    }
}

SendResult ControlPlane::sendRecords(const RecordForward& what, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_records() = m_follower.recordsFrom(what.fromOffset);
    message.mutable_records()->set_root(what.treeRoot);
    return sendToNode(what.peer, message, now);
}

void ControlPlane::takeRecords(const PeerSocket::Sender& sender, const proto::Records& records, Instant now)
{
    const auto from = m_follower.nextOffset();
    const auto progress = m_follower.applyPeerRecords(records);
    if (progress == ConfigFollower::Progress::NeedsEarlierRecords)
        pull(sender, now);
    m_spread.confirmUpToDate(now);
    const auto first = records.records_size() ? records.records(0).offset() : from;
    if (progress == ConfigFollower::Progress::Advanced)
        advanced(records.root(), std::min(first, from), now);
    else if (!records.root().empty())
        passOn(
            m_spread.onOffsetAdvanced(m_members, records.root(), first, m_follower.nextOffset(), now), now);
}

void ControlPlane::pull(const PeerSocket::Sender& sender, Instant now)
{
    proto::PeerMessage message;
    message.mutable_pull()->set_next_offset(m_follower.nextOffset());
    reply(sender, message, now);
}

void ControlPlane::answerRecords(const PeerSocket::Sender& sender, std::uint64_t from, Instant now)
{
    proto::PeerMessage message;
    *message.mutable_records() = m_follower.recordsFrom(from);
    reply(sender, message, now);
}

void ControlPlane::takeDigest(const PeerSocket::Sender& sender, const proto::Digest& digest, Instant now)
{
    if (digest.hosts_version() < m_members.version())
        sendHosts(sender, digest.hosts_version(), now);
    if (!digest.log_id().empty() && !m_follower.logId().empty() && digest.log_id() != m_follower.logId()) {
        log(LogLevel::Warning, "peer-follows-other-log", { { "peer", sender.node } });
        return;
    }
    if (digest.next_offset() > m_follower.nextOffset())
        return pull(sender, now);
    m_spread.confirmUpToDate(now);
    if (digest.next_offset() == m_follower.nextOffset())
        return;
    answerRecords(sender, digest.next_offset(), now);
}

} // namespace robinrun
