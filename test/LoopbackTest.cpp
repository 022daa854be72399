#include "support/Loopback.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>
#include <sys/wait.h>

using namespace robinrun;
using support::ReservedPorts;

TEST_CASE("Two processes are never given the same port, though nothing listens on it", "[wire]")
{
    constexpr int ports = 100; // more than a block holds
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    std::set<std::uint16_t> own;
    for (int i = 0; i < ports; ++i)
        REQUIRE(own.insert(ReservedPorts::next()).second);
    const auto child = fork();
    if (child == 0) {
        // Begins as another process does: without blocks of its own, looking where this one has looked.
        for (unsigned block = 0; block < ReservedPorts::blockCount; ++block) {
            const auto first
                = static_cast<std::uint16_t>(ReservedPorts::firstPort + block * ReservedPorts::blockSize);
            const int fd = socket(AF_INET, SOCK_DGRAM, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(first);
            if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
                if (write(ends[1], &first, sizeof(first)) != sizeof(first))
                    _exit(EXIT_FAILURE);
            close(fd); // at once: other tests run beside
        }
        _exit(EXIT_SUCCESS);
    }
    close(ends[1]);
    std::uint16_t first = 0;
    while (read(ends[0], &first, sizeof(first)) == sizeof(first)) {
        const auto inBlock = own.lower_bound(first);
        REQUIRE((inBlock == own.end() || *inBlock >= first + ReservedPorts::blockSize));
    }
    close(ends[0]);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE(status == 0);
}
