#pragma once

#include "Core/Loop.h"
#include "Node/Timer.h"

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace robinrun::support {

/// \brief Ports of loopback that no other process of the tests is given while this one lives.
///
/// They lie below those that the system gives to outgoing connections: one of these could take a port before
/// it is bound, or even connect to itself while nothing listens there. They are reserved in blocks, by a
/// datagram socket at the first port of each that stays open: a node that is killed finds its port free when
/// it starts again, whatever runs beside.
class ReservedPorts {
public:
    /// \throws std::runtime_error if no port is left.
    static std::uint16_t next()
    {
        static ReservedPorts ports;
        while (true) {
            if (ports.m_next == ports.m_end)
                ports.reserveBlock();
            const auto port = static_cast<std::uint16_t>(ports.m_next++);
            if (isFree(SOCK_STREAM, port))
                return port;
        }
    }

    static constexpr unsigned firstPort = 10000;
    static constexpr unsigned blockSize = 60; ///< a soak of six nodes, the usual user of many, takes 54
    static constexpr unsigned blockCount = 200; ///< the end-to-end test uses the ports from 23000 on

private:
    static int bound(int kind, unsigned port)
    {
        const int fd = socket(AF_INET, kind | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return fd;
        close(fd);
        return -1;
    }

    static bool isFree(int kind, unsigned port)
    {
        const int fd = bound(kind, port);
        if (fd >= 0)
            close(fd);
        return fd >= 0;
    }

    void reserveBlock()
    {
        const auto start = static_cast<unsigned>(getpid());
        for (unsigned i = 0; i < blockCount; ++i) {
            const unsigned first = firstPort + (start + i) % blockCount * blockSize;
            if (bound(SOCK_DGRAM, first) < 0) // stays open as long as the process runs
                continue;
            m_next = first;
            m_end = first + blockSize;
            return;
        }
        throw std::runtime_error("no port is free");
    }

    unsigned m_next = 0;
    unsigned m_end = 0;
};

/// \returns a loopback address on which nothing listens, and that no other process of the tests is given.
inline std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(ReservedPorts::next());
}

/// \brief Runs \a base until \a isDone, but no longer than some seconds. \returns whether it is done.
template <class F> bool runUntil(event_base* base, F isDone)
{
    bool isOver = false;
    const auto limit = Timer::once(base, 10s, [&] { isOver = true; });
    while (!isDone() && !isOver)
        event_base_loop(base, EVLOOP_ONCE);
    return isDone();
}

} // namespace robinrun::support
