#pragma once

#include "RawServer.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace robinrun::support {

/// \brief A backend server that is well, and answers calls as it is told.
class BrokenServer {
public:
    /// The reply to a call, made of the fields by which a server's own replies are known.
    using Reply = std::function<RawReply(const std::string& fields)>;

    static constexpr int slots = 40;

    BrokenServer()
        : m_server([this](std::string_view request) { return answer(request); })
    {
    }

    /// \returns a reply that is none of the broken ones.
    static Reply sound()
    {
        return [](const std::string& fields) {
            return RawReply { "HTTP/1.1 200 X\r\n" + fields
                    + "Connection: close\r\nContent-Length: 1\r\n\r\na",
                Ending::Closes };
        };
    }

    void replyWith(Reply reply)
    {
        const std::lock_guard lock(m_mutex);
        m_reply = std::move(reply);
    }
    const std::string& address() const { return m_server.address; }
    int calls() const { return m_calls; }

private:
    RawReply answer(std::string_view request)
    {
        if (request.empty())
            return { "", Ending::Closes };
        if (request.starts_with("GET /healthz "))
            return { "HTTP/1.1 200 OK\r\nX-Robinrun-Instance-Id: i-broken\r\nX-Robinrun-Server-Load: "
                     "0,0,"
                    + std::to_string(slots)
                    + ",100\r\n"
                      "Content-Length: 0\r\nConnection: close\r\n\r\n",
                Ending::Closes };
        ++m_calls;
        const std::string_view name = "X-Robinrun-Request-Id: ";
        const auto at = request.find(name);
        const auto id = at == std::string_view::npos ? "" : request.substr(at, request.find("\r\n", at) - at);
        const std::lock_guard lock(m_mutex);
        return m_reply(std::string(id) + "\r\nX-Robinrun-Server-Signature: sig.i-broken\r\n");
    }

    std::atomic<int> m_calls = 0;
    std::mutex m_mutex;
    Reply m_reply = sound();
    RawServer m_server; ///< the last member: its threads use the others
};

} // namespace robinrun::support
