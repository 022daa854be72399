#pragma once

#include "Core/Loop.h"
#include "Http/HttpTypes.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>
#include <netinet/in.h>
#include <string>

namespace robinrun::support {

/// \brief A client that doesn't keep to the limits: it sends bytes as fast as they are taken, and stays open.
class CrowdMember {
public:
    /// What it sends: \a head, then \a piece again and again until \a bytes of it went, then \a tail.
    struct Script {
        std::string head;
        std::string piece = "x";
        std::uint64_t bytes = 0;
        std::string tail {};
        bool reads = true; ///< what the node answers
    };

    CrowdMember(event_base* base, const std::string& address, Script script)
        : m_script(std::move(script))
        , m_buffer(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        while (m_script.piece.size() < writtenAtOnce)
            m_script.piece += m_script.piece;
        const auto readable = [](bufferevent* buffer, void* self) {
            auto* in = bufferevent_get_input(buffer);
            const auto n = evbuffer_get_length(in);
            static_cast<CrowdMember*>(self)->m_received.append(
                reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), n);
            evbuffer_drain(in, n);
        };
        const auto written = [](bufferevent*, void* self) { static_cast<CrowdMember*>(self)->writeOn(); };
        const auto ended = [](bufferevent*, short what, void* self) {
            auto& member = *static_cast<CrowdMember*>(self);
            // It goes on when the node says nothing more, until its bytes are refused.
            member.m_hasEnded = member.m_hasEnded || !(what & BEV_EVENT_CONNECTED);
            if (what & BEV_EVENT_ERROR)
                member.close();
        };
        bufferevent_setcb(m_buffer, readable, written, ended, this);
        bufferevent_enable(m_buffer, m_script.reads ? EV_READ | EV_WRITE : EV_WRITE);
        std::string ip;
        std::uint16_t port = 0;
        splitAddress(address, ip, port);
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        evbuffer_add(bufferevent_get_output(m_buffer), m_script.head.data(), m_script.head.size());
        bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    }
    ~CrowdMember() { close(); }
    CrowdMember(const CrowdMember&) = delete;
    CrowdMember& operator=(const CrowdMember&) = delete;

    /// \returns whether all went out, or the node has closed the connection.
    bool isDone() const { return m_hasSentAll || isClosed(); }
    /// \returns whether nothing can be sent any more.
    bool isClosed() const { return m_buffer == nullptr; }
    /// \returns whether the node says nothing more.
    bool hasEnded() const { return m_hasEnded; }
    /// \returns what the node has said so far.
    const std::string& received() const { return m_received; }

private:
    static constexpr std::size_t writtenAtOnce = 65536;

    void writeOn()
    {
        auto* out = bufferevent_get_output(m_buffer);
        if (m_sent < m_script.bytes) {
            const auto n = std::min<std::uint64_t>(m_script.piece.size(), m_script.bytes - m_sent);
            evbuffer_add(out, m_script.piece.data(), static_cast<std::size_t>(n));
            m_sent += n;
            return;
        }
        if (!m_script.tail.empty()) {
            evbuffer_add(out, m_script.tail.data(), m_script.tail.size());
            m_script.tail.clear();
            return;
        }
        m_hasSentAll = true;
    }

    void close()
    {
        if (m_buffer)
            bufferevent_free(m_buffer);
        m_buffer = nullptr;
    }

    Script m_script;
    bufferevent* m_buffer;
    std::uint64_t m_sent = 0; ///< bytes of the pieces
    bool m_hasSentAll = false;
    bool m_hasEnded = false;
    std::string m_received;
};

} // namespace robinrun::support
