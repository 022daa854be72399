#include "Node/ControlPlane.h"

/// \file The host list: how it is fetched, passed on to peers and taken from them.

namespace robinrun {

void ControlPlane::fetchHosts(Instant)
{
    m_hosts->fetch(m_members.version(), [this](Result<HostPage, PlatformError> page) {
        if (page.has_value() && m_members.applyPage(page.value()) && m_changed)
            m_changed();
    });
}

void ControlPlane::sendHosts(const PeerSocket::Sender& sender, std::uint64_t since, Instant now)
{
    const auto page = m_members.changesSince(since);
    if (!page)
        return;
    proto::PeerMessage message;
    auto& out = *message.mutable_host_changes();
    out.set_version(page->version);
    out.set_whole(page->isWhole);
    for (const auto& it : page->hosts) {
        auto& host = *out.add_hosts();
        host.set_name(it.name);
        host.set_peer_address(it.peerAddress);
        host.set_data_hall(it.dataHall);
        host.set_region(it.region);
        host.set_leaving(it.isLeaving);
    }
    for (const auto& it : page->gone)
        out.add_gone(it);
    reply(sender, message, now);
}

void ControlPlane::takeHosts(const proto::HostChanges& changes)
{
    HostPage page { changes.version(), changes.whole(), {}, {} };
    for (const auto& it : changes.hosts())
        page.hosts.push_back({ it.name(), it.peer_address(), it.data_hall(), it.region(), it.leaving() });
    for (const auto& it : changes.gone())
        page.gone.push_back(it);
    if (m_members.applyPage(page) && m_changed)
        m_changed();
}

} // namespace robinrun
