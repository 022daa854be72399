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

/// \returns a loopback address on which nothing listens right now.
///
/// Its port lies below those that the system gives to outgoing connections: one of these could take it before
/// it is bound, or even connect to itself while nothing listens there.
inline std::string freeAddress()
{
    constexpr unsigned firstPort = 10000;
    constexpr unsigned ports = 12000; // the end-to-end test uses those from 23000 on
    constexpr unsigned stride = 7919; // prime: test processes with neighbouring ids begin far apart
    static unsigned next = static_cast<unsigned>(getpid()) * stride;
    for (unsigned tries = 0; tries < ports; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % ports);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (isFree)
            return "127.0.0.1:" + std::to_string(port);
    }
    throw std::runtime_error("no port is free");
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
