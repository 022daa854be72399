#pragma once

#include "Http/HttpTypes.h"
#include "Loopback.h"

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <string>

namespace robinrun::support {

/// \brief A caller on a socket of its own, which sends any bytes and reads only when it is told to.
class RawCaller {
public:
    RawCaller(event_base* base, const std::string& address)
        : m_base(base)
        , m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        std::string ip;
        std::uint16_t port = 0;
        splitAddress(address, ip, port);
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
    }
    ~RawCaller() { close(m_fd); }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    void write(const std::string& bytes) const
    {
        REQUIRE(::write(m_fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }

    /// \brief Reads what has come. \returns whether the server has closed the connection or reset it.
    bool read()
    {
        std::array<char, 65536> buf {};
        ssize_t n = 0;
        while ((n = recv(m_fd, buf.data(), buf.size(), MSG_DONTWAIT)) > 0)
            m_bytes.append(buf.data(), static_cast<std::size_t>(n));
        return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// \brief Reads again and again while the loop runs, until the timer is gone.
    Timer readInBackground()
    {
        return Timer::repeating(m_base, 1ms, [this] { read(); });
    }

    /// \returns all that comes until the server closes the connection or resets it.
    std::string readAll()
    {
        const auto wake = Timer::repeating(m_base, 1ms, [] {});
        REQUIRE(runUntil(m_base, [&] { return read(); }));
        return m_bytes;
    }

private:
    event_base* m_base;
    int m_fd;
    std::string m_bytes;
};

} // namespace robinrun::support
