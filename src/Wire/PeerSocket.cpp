#include "Wire/PeerSocket.h"

#include "Core/Log.h"

#include <algorithm>
#include <vector>
#include <zmq.hpp>

namespace robinrun {
namespace {

    /// A link whose peer is gone without a word ends after this many heartbeats, and is tried anew.
    constexpr int missedHeartbeats = 2;
    constexpr int reconnectMs = 50;

    int toMs(Duration d)
    {
        return static_cast<int>(toMilliseconds(d));
    }

} // namespace

struct PeerSocket::Link {
    PeerSocket* owner;
    std::string address;
    zmq::socket_t socket;
    zmq::socket_t monitor; ///< tells when the connection ends
    event* watcher = nullptr;
    event* monitorWatcher = nullptr;
    Instant opened {};
    Instant lastUsed {}; ///< or, while an answer may come, the latest time of that
    bool hasStood = false;
    bool isDirty = false;

    Link(PeerSocket* peers, std::string peerAddress, zmq::context_t& context)
        : owner(peers)
        , address(std::move(peerAddress))
        , socket(context, zmq::socket_type::dealer)
        , monitor(context, zmq::socket_type::pair)
    {
    }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;
    ~Link()
    {
        // The monitor is stopped before its reader closes: ZeroMQ's own thread would wait for ever to tell a
        // reader that is gone of the connection's end, and all links of this node would stand still with it.
        zmq_socket_monitor(socket.handle(), nullptr, 0);
        if (watcher)
            event_free(watcher);
        if (monitorWatcher)
            event_free(monitorWatcher);
    }
};

PeerSocket::PeerSocket(event_base* base, Options options, Handler handler)
    : m_base(base)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_context(std::make_unique<zmq::context_t>(1))
    , m_router(std::make_unique<zmq::socket_t>(*m_context, zmq::socket_type::router))
{
    m_context->set(zmq::ctxopt::max_sockets, 16000);
    m_drainEvent = event_new(
        base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<PeerSocket*>(self)->drainDirty(); },
        this);
}

PeerSocket::~PeerSocket()
{
    if (m_routerEvent)
        event_free(m_routerEvent);
    event_free(m_drainEvent);
    m_links.clear();
}

Result<std::unique_ptr<PeerSocket>, std::string> PeerSocket::bind(
    event_base* base, Options options, Handler handler)
{
    try {
        std::unique_ptr<PeerSocket> peers(new PeerSocket(base, std::move(options), std::move(handler)));
        auto& router = *peers->m_router;
        router.set(zmq::sockopt::linger, 0);
        router.set(zmq::sockopt::sndhwm, peers->m_options.highWaterMark);
        router.set(zmq::sockopt::rcvhwm, peers->m_options.highWaterMark);
        router.set(zmq::sockopt::maxmsgsize, peers->m_options.maxMessage);
        router.set(zmq::sockopt::router_handover, true);
        router.set(zmq::sockopt::router_mandatory, true);
        const auto& bound = peers->m_options.bindAddress;
        router.bind("tcp://" + (bound.empty() ? peers->m_options.address : bound));
        const auto onReadable
            = [](evutil_socket_t, short, void* self) { static_cast<PeerSocket*>(self)->drainRouter(); };
        peers->m_routerEvent
            = event_new(base, router.get(zmq::sockopt::fd), EV_READ | EV_PERSIST, onReadable, peers.get());
        event_add(peers->m_routerEvent, nullptr);
        peers->drainSoon(nullptr);
        return peers;
    } catch (const zmq::error_t& ex) {
        return failure("can't listen for peers: " + std::string(ex.what()));
    }
}

PeerSocket::Link& PeerSocket::linkTo(const std::string& address, Instant now)
{
    auto& link = m_links[address];
    if (!link) {
        link = std::make_unique<Link>(this, address, *m_context);
        link->opened = now;
        auto& socket = link->socket;
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::sndhwm, m_options.highWaterMark);
        socket.set(zmq::sockopt::rcvhwm, m_options.highWaterMark);
        socket.set(zmq::sockopt::maxmsgsize, m_options.maxMessage);
        socket.set(zmq::sockopt::heartbeat_ivl, toMs(m_options.heartbeat));
        socket.set(zmq::sockopt::heartbeat_timeout, missedHeartbeats * toMs(m_options.heartbeat));
        socket.set(zmq::sockopt::connect_timeout, toMs(m_options.longestReconnect));
        socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, toMs(m_options.longestReconnect));
        socket.set(zmq::sockopt::routing_id, m_options.node + "/" + std::to_string(m_options.incarnation));
        watchEnd(*link);
        socket.connect("tcp://" + address);
        const auto onReadable = [](evutil_socket_t, short, void* self) {
            auto* readable = static_cast<Link*>(self);
            readable->owner->drainLink(*readable);
        };
        link->watcher
            = event_new(m_base, socket.get(zmq::sockopt::fd), EV_READ | EV_PERSIST, onReadable, link.get());
        event_add(link->watcher, nullptr);
    }
    link->lastUsed = std::max(link->lastUsed, now);
    return *link;
}

bool PeerSocket::sendTo(zmq::socket_t& socket, proto::PeerMessage& message, Link* link)
{
    message.set_from(m_options.node);
    message.set_from_address(m_options.address);
    message.set_incarnation(m_options.incarnation);
    zmq::message_t buf(message.ByteSizeLong());
    message.SerializeWithCachedSizesToArray(buf.data<std::uint8_t>());
    const auto n = buf.size();
    const bool isSent = socket.send(buf, zmq::send_flags::dontwait).has_value();
    drainSoon(link);
    if (!isSent)
        return false;
    auto& traffic = m_sent[message.body_case()];
    ++traffic.messages;
    traffic.bytes += n;
    return true;
}

SendResult PeerSocket::send(const std::string& address, proto::PeerMessage& message, Instant now)
{
    try {
        auto& link = linkTo(address, now);
        if (sendTo(link.socket, message, &link)) {
            link.hasStood = true;
            link.lastUsed = std::max(link.lastUsed, neededUntil(message, now));
            return SendResult::Sent;
        }
        const bool isNew = !link.hasStood && now - link.opened < m_options.connectPatience;
        return isNew ? SendResult::Connecting : SendResult::Unreachable;
    } catch (const zmq::error_t& ex) {
        log(LogLevel::Warning, "peer-send-failed", { { "peer", address }, { "error", ex.what() } });
        return SendResult::Unreachable;
    }
}

Instant PeerSocket::neededUntil(const proto::PeerMessage& message, Instant now)
{
    // The answer to a call comes back along the link.
    return message.has_call() ? now + Duration(message.call().remaining_us()) : now;
}

bool PeerSocket::answer(const Sender& to, proto::PeerMessage& message, Instant now)
{
    if (to.route.empty())
        return send(to.address, message, now) == SendResult::Sent;
    try {
        const auto flags = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
        if (!m_router->send(zmq::buffer(to.route), flags))
            return false;
        return sendTo(*m_router, message, nullptr);
    } catch (const zmq::error_t&) {
        return false; // the link is gone, and so is who asked
    }
}

void PeerSocket::drainSoon(Link* link)
{
    if (link && !link->isDirty) {
        link->isDirty = true;
        m_dirty.push_back(link);
    }
    event_active(m_drainEvent, EV_TIMEOUT, 0);
}

void PeerSocket::drainDirty()
{
    drainRouter();
    for (auto* link : std::exchange(m_dirty, {})) {
        link->isDirty = false;
        drainLink(*link);
    }
}

void PeerSocket::drainRouter()
{
    while (m_router->get(zmq::sockopt::events) & ZMQ_POLLIN) {
        zmq::message_t route;
        zmq::message_t payload;
        if (!m_router->recv(route, zmq::recv_flags::dontwait) || !route.more())
            return;
        if (!m_router->recv(payload, zmq::recv_flags::dontwait))
            return;
        deliver(route.to_string(), payload);
    }
}

void PeerSocket::drainLink(Link& link)
{
    while (link.socket.get(zmq::sockopt::events) & ZMQ_POLLIN) {
        zmq::message_t payload;
        if (!link.socket.recv(payload, zmq::recv_flags::dontwait))
            return;
        deliver("", payload);
    }
}

void PeerSocket::watchEnd(Link& link)
{
    // A name of its own: that of a link to the same peer which was closed a moment ago may still be taken.
    const auto name = "inproc://end-of-link-" + std::to_string(++m_watchedLinks);
    if (zmq_socket_monitor(link.socket.handle(), name.c_str(), ZMQ_EVENT_DISCONNECTED) != 0) {
        log(LogLevel::Warning, "peer-link-unwatched",
            { { "peer", link.address }, { "error", zmq_strerror(errno) } });
        return;
    }
    link.monitor.set(zmq::sockopt::linger, 0);
    link.monitor.connect(name);
    const auto onReadable = [](evutil_socket_t, short, void* self) {
        auto* watched = static_cast<Link*>(self);
        watched->owner->drainMonitor(*watched);
    };
    link.monitorWatcher
        = event_new(m_base, link.monitor.get(zmq::sockopt::fd), EV_READ | EV_PERSIST, onReadable, &link);
    event_add(link.monitorWatcher, nullptr);
    // ZeroMQ signals its descriptor only after the socket was found empty once.
    drainMonitor(link);
}

void PeerSocket::drainMonitor(Link& link)
{
    bool hasEnded = false;
    while (link.monitor.get(zmq::sockopt::events) & ZMQ_POLLIN) {
        zmq::message_t part;
        if (!link.monitor.recv(part, zmq::recv_flags::dontwait))
            break;
        hasEnded = true;
    }
    // Answers that had come before it ended count.
    drainLink(link);
    if (hasEnded && m_lost)
        m_lost(std::string(link.address));
}

void PeerSocket::deliver(const std::string& route, const zmq::message_t& payload)
{
    proto::PeerMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        log(LogLevel::Warning, "peer-message-malformed", { { "bytes", std::uint64_t { payload.size() } } });
        return;
    }
    auto& traffic = m_received[message.body_case()];
    ++traffic.messages;
    traffic.bytes += payload.size();
    m_handler({ message.from(), message.from_address(), message.incarnation(), route }, message);
}

void PeerSocket::closeIdle(Instant now)
{
    std::erase_if(m_links, [&](const auto& it) {
        return !it.second->isDirty && now - it.second->lastUsed > m_options.idleTimeout;
    });
}

} // namespace robinrun
