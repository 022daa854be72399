/// \file Fuzzes HTTP input: raw bytes of a caller to a server on a socket pair's other end, until it has
/// answered or hung up.

#include "Core/Loop.h"
#include "Http/HttpServer.h"
#include "support/Loopback.h"

#include <cstdint>
#include <fcntl.h>

namespace {

using namespace robinrun;

struct Server {
    LoopPtr base = makeLoop();
    std::string address = support::freeAddress();
    std::unique_ptr<HttpServer> server;
    Server()
    {
        HttpServer::Options options;
        options.address = address;
        options.maxBody = 4096;
        options.maxHeaders = 4096;
        server
            = std::move(HttpServer::listen(base.get(), options, [](std::unique_ptr<HttpExchange> exchange) {
                  exchange->reply({ 200, {}, exchange->request().target + exchange->request().body });
              }).value());
    }
};

int connectTo(const std::string& address)
{
    std::string ip;
    std::uint16_t port = 0;
    splitAddress(address, ip, port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    return fd;
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer asks for this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    static Server server;
    const int fd = connectTo(server.address);
    (void)!write(fd, data, n);
    shutdown(fd, SHUT_WR);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    char buf[4096];
    for (int turn = 0; turn < 50; ++turn) {
        event_base_loop(server.base.get(), EVLOOP_NONBLOCK);
        if (read(fd, buf, sizeof(buf)) == 0)
            break;
    }
    close(fd);
    event_base_loop(server.base.get(), EVLOOP_NONBLOCK);
    return 0;
}
