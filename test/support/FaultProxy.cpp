#include "support/FaultProxy.h"

#include "Core/Check.h"
#include "Http/HttpTypes.h"
#include "Node/Timer.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <utility>

namespace robinrun::support {
namespace {

    constexpr Duration delayOfBytes = 80ms;
    /// A bounded link lets its bytes through in steps of this length.
    constexpr Duration limitStep = 20ms;
    /// Bytes a bounded relay takes from a client ahead of those that it may pass on; the kernel doubles it.
    constexpr int aheadBytes = 16384;
    /// Of a packet to a bounded relay, as on Ethernet. Those of loopback have 64 KB: a sender that finds less
    /// room waits for its timer again and again.
    constexpr int segmentBytes = 1448;

    sockaddr_in parse(const std::string& address)
    {
        std::string ip;
        std::uint16_t port = 0;
        sockaddr_in out {};
        out.sin_family = AF_INET;
        if (!splitAddress(address, ip, port) || inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1)
            throw std::runtime_error("no address: " + address);
        out.sin_port = htons(port);
        return out;
    }

    void resetOnClose(bufferevent* end)
    {
        const linger now { 1, 0 };
        setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

    void takeLittleAhead(evutil_socket_t fd)
    {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aheadBytes, sizeof(aheadBytes));
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
    }

} // namespace

/// \brief A number of bytes a second that connections share.
struct FaultProxy::Bound {
    ev_token_bucket_cfg* rate;
    bufferevent_rate_limit_group* group;

    Bound(event_base* base, std::size_t bytesPerSecond)
    {
        const timeval step { 0, static_cast<suseconds_t>(limitStep.count()) };
        const auto n = static_cast<std::size_t>(static_cast<double>(bytesPerSecond) * toSeconds(limitStep));
        rate = ev_token_bucket_cfg_new(n, n, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &step);
        group = bufferevent_rate_limit_group_new(base, rate);
    }
    Bound(const Bound&) = delete;
    Bound& operator=(const Bound&) = delete;
    ~Bound()
    {
        bufferevent_rate_limit_group_free(group);
        ev_token_bucket_cfg_free(rate);
    }
};

struct FaultProxy::Relay {
    FaultProxy* proxy;
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
    Timer late;
    bool isEnding = false; ///< one side has ended; the other still gets what came before
    bool isForgotten = false;

    explicit Relay(FaultProxy* owner)
        : proxy(owner)
    {
    }
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    ~Relay()
    {
        if (proxy->m_down)
            bufferevent_remove_from_rate_limit_group(server);
        if (proxy->m_up)
            bufferevent_remove_from_rate_limit_group(client);
        bufferevent_free(client);
        bufferevent_free(server);
    }

    void move(bool isUp) const
    {
        auto* from = isUp ? client : server;
        auto* to = isUp ? server : client;
        if (!isForgotten && !proxy->isSilent(isUp))
            bufferevent_write_buffer(to, bufferevent_get_input(from));
    }

    /// \brief The client (\a isUp) or the server has ended its connection.
    void ended(bool isUp)
    {
        if (std::exchange(isEnding, true))
            return proxy->remove(this);
        move(isUp);
        if (evbuffer_get_length(bufferevent_get_output(isUp ? server : client)) == 0)
            proxy->remove(this);
    }

    void readable(bool isUp)
    {
        if (proxy->m_fault != LinkFault::Delay)
            return move(isUp);
        late = Timer::once(proxy->m_base, delayOfBytes, [this] {
            move(true);
            move(false);
        });
    }
};

FaultProxy::FaultProxy(event_base* base, const std::string& address, std::string target)
    : m_base(base)
    , m_target(std::move(target))
{
    const auto bound = parse(address);
    const auto onAccept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<FaultProxy*>(self)->accept(fd);
    };
    m_listener = evconnlistener_new_bind(base, onAccept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<const sockaddr*>(&bound), sizeof(bound));
    if (!m_listener)
        throw std::runtime_error("can't listen at " + address);
}

void FaultProxy::limit(std::size_t bytesPerSecond)
{
    require(!m_down, "FaultProxy::limit: is bounded already");
    m_down = std::make_unique<Bound>(m_base, bytesPerSecond);
}

void FaultProxy::limitUp(std::size_t bytesPerSecond)
{
    require(!m_up, "FaultProxy::limitUp: is bounded already");
    m_up = std::make_unique<Bound>(m_base, bytesPerSecond);
    takeLittleAhead(evconnlistener_get_fd(m_listener)); // its connections have it from their first packet on
}

FaultProxy::~FaultProxy()
{
    evconnlistener_free(m_listener);
    m_relays.clear(); // before the bounds that they share
}

bool FaultProxy::isSilent(bool isUp) const
{
    return m_fault == LinkFault::Silence || m_fault == (isUp ? LinkFault::SilenceUp : LinkFault::SilenceDown);
}

void FaultProxy::set(LinkFault fault)
{
    m_fault = fault;
    if (fault == LinkFault::Reset) {
        for (auto& [raw, relay] : m_relays) {
            resetOnClose(relay->client);
            resetOnClose(relay->server);
        }
        return m_relays.clear();
    }
    for (auto& [raw, relay] : m_relays) {
        relay->isForgotten = relay->isForgotten || fault == LinkFault::Forget;
        relay->move(true);
        relay->move(false);
    }
}

void FaultProxy::remove(Relay* relay)
{
    m_relays.erase(relay);
}

void FaultProxy::accept(evutil_socket_t fd)
{
    ++m_accepted;
    auto relay = std::make_unique<Relay>(this);
    relay->client = bufferevent_socket_new(m_base, fd, BEV_OPT_CLOSE_ON_FREE);
    relay->server = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (m_fault == LinkFault::Reset) {
        resetOnClose(relay->client);
        return;
    }
    const auto onEnd = [](bufferevent* end, short what, void* arg) {
        auto* self = static_cast<Relay*>(arg);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            self->ended(end == self->client);
    };
    const auto onWritten = [](bufferevent*, void* arg) {
        auto* self = static_cast<Relay*>(arg);
        if (self->isEnding)
            self->proxy->remove(self);
    };
    if (m_down)
        bufferevent_add_to_rate_limit_group(relay->server, m_down->group);
    if (m_up)
        bufferevent_add_to_rate_limit_group(relay->client, m_up->group);
    const auto target = parse(m_target);
    for (auto* it : { relay->client, relay->server }) {
        const auto onRead = [](bufferevent* end, void* arg) {
            auto* self = static_cast<Relay*>(arg);
            self->readable(end == self->client);
        };
        bufferevent_setcb(it, onRead, onWritten, onEnd, relay.get());
        bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(relay->server, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    auto* raw = relay.get();
    m_relays.emplace(raw, std::move(relay));
}

} // namespace robinrun::support
