#pragma once

#include "Http/HttpPool.h"
#include "Loopback.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \brief How a RawServer ends a connection on which it has answered.
enum class Ending {
    StaysOpen,
    Closes, ///< which the system turns into a reset while bytes of the request are unread
    Resets,
    HalfCloses, ///< ends its own direction, reads the request to its end, then closes
};

/// \brief The bytes that a RawServer answers with, and what it does then.
struct RawReply {
    std::string bytes;
    Ending ending = Ending::StaysOpen;
    Duration pause {}; ///< between the bytes and the ending
    std::string late {}; ///< sent after the pause
    std::string endless {}; ///< sent again and again behind the bytes until the client closes, if set
};

/// \returns a reply that begins with \a bytes and goes on with \a text for as long as it is read.
inline RawReply withoutEnd(std::string bytes, std::string_view text)
{
    constexpr std::size_t bytesAtATime = 64U << 10U;
    RawReply reply { std::move(bytes) };
    while (reply.endless.size() < bytesAtATime)
        reply.endless += text;
    return reply;
}

/// \brief A server that answers the first bytes of each connection with any bytes. It reads at most 4 KiB of
/// a request. Each connection has a thread of its own.
class RawServer {
public:
    using Answerer = std::function<RawReply(std::string_view request)>;

    explicit RawServer(RawReply reply)
        : RawServer([reply = std::move(reply)](std::string_view) { return reply; })
    {
    }
    explicit RawServer(Answerer answerer)
        : m_answerer(std::move(answerer))
    {
        std::string ip;
        std::uint16_t port = 0;
        splitAddress(address, ip, port);
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
        REQUIRE(listen(m_listener, backlog) == 0);
        m_thread = std::thread([this] { acceptAll(); });
    }
    ~RawServer()
    {
        m_isEnding = true;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        endReads();
        for (auto& it : m_handlers)
            it.join();
        for (const auto& it : m_open)
            close(it);
        close(m_listener);
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    /// \returns the connections on which all was said, their ending included.
    int served() const { return m_served; }

    const std::string address = freeAddress();

private:
    static constexpr int backlog = 64;

    void acceptAll()
    {
        // No node that a test starts meanwhile may hold a connection open.
        for (int fd = acceptOne(); fd >= 0; fd = acceptOne())
            m_handlers.emplace_back([this, fd] {
                handle(fd);
                ++m_served;
            });
    }

    int acceptOne() const { return accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC); }

    void handle(int fd)
    {
        std::array<char, 4096> buf {};
        keep(fd);
        const auto n = recv(fd, buf.data(), buf.size(), 0);
        const auto reply = m_answerer({ buf.data(), static_cast<std::size_t>(n > 0 ? n : 0) });
        bool isOpen = sendAll(fd, reply.bytes);
        while (isOpen && !reply.endless.empty())
            isOpen = sendAll(fd, reply.endless);
        std::this_thread::sleep_for(reply.pause);
        sendAll(fd, reply.late);
        const linger hard { 1, 0 };
        switch (reply.ending) {
        case Ending::StaysOpen:
            return;
        case Ending::Resets:
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            break;
        case Ending::HalfCloses:
            shutdown(fd, SHUT_WR);
            while (recv(fd, buf.data(), buf.size(), 0) > 0) { }
            break;
        case Ending::Closes:
            break;
        }
        drop(fd);
    }

    /// \returns whether the connection is still open.
    static bool sendAll(int fd, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// \brief Lets no thread wait for the rest of a request.
    void endReads()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& it : m_open)
            shutdown(it, SHUT_RDWR);
    }

    void keep(int fd)
    {
        const std::lock_guard lock(m_mutex);
        m_open.push_back(fd);
        if (m_isEnding)
            shutdown(fd, SHUT_RDWR);
    }
    void drop(int fd)
    {
        const std::lock_guard lock(m_mutex);
        std::erase(m_open, fd);
        close(fd);
    }

    Answerer m_answerer;
    int m_listener = -1;
    std::atomic<bool> m_isEnding = false;
    std::atomic<int> m_served = 0;
    std::thread m_thread;
    std::vector<std::thread> m_handlers; ///< touched by the accepting thread until it has ended
    std::mutex m_mutex;
    std::vector<int> m_open;
};

/// \brief What came of a request that was sent once, and whether its connection may carry another one.
struct Asked {
    Result<HttpReply, HttpError> result;
    bool isKept = false;
};

/// \brief Waits until \a server has said all on \a n connections; no loop runs meanwhile.
inline void awaitServed(const RawServer& server, int n)
{
    for (int i = 0; i < 5000 && server.served() < n; ++i)
        std::this_thread::sleep_for(1ms);
    REQUIRE(server.served() >= n);
}

/// \brief Sends one request to \a server over a pool of its own.
inline Asked ask(const RawServer& server, HttpPool::SendOptions how = { 2s },
    const HttpRequest& request = { "GET", "/", {}, {} })
{
    const auto base = makeLoop();
    HttpPool::Options options;
    options.address = server.address;
    HttpPool pool(base.get(), options);
    std::optional<Result<HttpReply, HttpError>> out;
    pool.send(request, std::move(how), [&](auto result) { out.emplace(std::move(result)); });
    REQUIRE(runUntil(base.get(), [&] { return out.has_value(); }));
    return { std::move(*out), pool.connections() > 0 };
}

} // namespace robinrun::support
