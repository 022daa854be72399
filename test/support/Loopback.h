#pragma once

#include "Core/Loop.h"
#include "Node/Timer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace robinrun::support {

/// \returns a loopback address on which nothing listens right now.
inline std::string freeAddress()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t n = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
    close(fd);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
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
