#include "Core/Log.h"
#include "Mesh/MeshNode.h"

/// \file How mesh nodes pass copies of the configuration on to each other.

namespace robinrun {

void MeshNode::onPartRequest(
    const PeerSocket::Sender& sender, const proto::ConfigPartRequest& request, Instant now)
{
    const auto part = m_copies.answer(request, m_config.version(), m_config.text());
    if (!part)
        return;
    proto::PeerMessage message;
    *message.mutable_config_part() = *part;
    const bool isSent = m_peers->answer(sender, message, now);
    // Parts that follow are not told: the first one says what the asker gets.
    if (part->offset() == 0)
        log(LogLevel::Info, "configuration-sent",
            { { "peer", sender.node }, { "version", part->version() }, { "base", part->base_version() },
                { "bytes", part->copy_bytes() }, { "sent", isSent } });
}

void MeshNode::onPart(const PeerSocket::Sender& sender, const proto::ConfigPart& part, Instant now)
{
    switch (m_fetch.addPart(part, m_config.version())) {
    case ConfigPartAssembler::PartResult::Ignored:
        return;
    case ConfigPartAssembler::PartResult::Complete:
        return adoptCopy(sender.node, now);
    case ConfigPartAssembler::PartResult::Incomplete:
        break;
    }
    m_pulls.onPartReceived(now);
    auto message = partRequest();
    m_peers->answer(sender, message, now);
}

void MeshNode::adoptCopy(const std::string& source, Instant now)
{
    const auto text = m_fetch.decodeCopy(m_config.text());
    if (text)
        return offerConfiguration(text.value(), source, now);
    log(LogLevel::Warning, "configuration-copy-unreadable",
        { { "source", source }, { "error", text.error().message }, { "in_force", m_config.version() } });
}

proto::PeerMessage MeshNode::partRequest() const
{
    proto::PeerMessage out;
    *out.mutable_config_part_request() = m_fetch.makeRequest(m_config.version(), m_config.text());
    return out;
}

void MeshNode::pullIfDue(Instant now)
{
    const auto address = m_pulls.peerToAsk(m_config.hasConfiguration() && m_configFeed->isFollowing(), now);
    if (!address)
        return;
    auto message = partRequest();
    const auto result = m_peers->send(*address, message, now);
    // Over a link that is just being opened it is sent with the next tick.
    if (result == SendResult::Connecting)
        return;
    if (result == SendResult::Unreachable)
        return m_pulls.removePeer(*address);
    log(LogLevel::Info, "configuration-asked",
        { { "peer", *address }, { "version", m_pulls.newestPeerVersion() },
            { "offset", message.config_part_request().offset() } });
    m_pulls.onRequestSent(*address, now);
}

} // namespace robinrun
