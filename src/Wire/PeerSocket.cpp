#include "Wire/PeerSocket.h"

#include "Core/Log.h"
#include "Core/internal/Timeval.h"
#include "Wire/MessageFrames.h"

#include <algorithm>
#include <vector>
#include <zmq.hpp>

namespace robinrun {
namespace {

    /// A link whose peer is gone without a word ends after this many heartbeats, and is tried anew.
    constexpr int reconnectMs = 50;
    /// Bytes of the kernel's buffer for what a link sends; Linux takes it twice. A heartbeat waits behind it:
    /// 0.05 s at 10 Mbit/s, and the mesh's two heartbeats (0.5 s) where ten links send all they can over that
    /// at once. By itself the kernel takes up to 4 MB.
    constexpr int sendBufferBytes = 32768;

    /// The same on a slow network link, where a short message for any peer waits behind it: what the link
    /// carries within this, but no less than Linux can take.
    constexpr Duration longestBuffered = 5ms;
    constexpr int leastSendBufferBytes = 4096;

    int sendBufferFor(double linkBytesPerSecond)
    {
        if (linkBytesPerSecond <= 0)
            return sendBufferBytes;
        const double taken = linkBytesPerSecond * toSeconds(longestBuffered) / 2;
        return static_cast<int>(
            std::clamp<double>(taken, double(leastSendBufferBytes), double(sendBufferBytes)));
    }

    /// Messages taken in one turn of the loop. Timers and other sockets wait meanwhile.
    constexpr int takenAtOnce = 32;

    int toMs(Duration d)
    {
        return static_cast<int>(toMilliseconds(d));
    }

    /// \brief Sends \a frames as one message, of which all go out or none.
    /// \returns whether the link took it. Whether it does shows at the first frame, unless the link ends in
    /// between: ZeroMQ then drops what it has of the message, and the rest until its last frame. So the rest
    /// is given to it in any case; the next message would be taken for the rest of this one otherwise.
    bool sendFrames(zmq::socket_t& socket, std::vector<zmq::message_t>& frames)
    {
        bool isSent = true;
        for (auto& it : frames) {
            const bool isFirst = &it == &frames.front();
            const bool isLast = &it == &frames.back();
            const auto more = isLast ? zmq::send_flags::none : zmq::send_flags::sndmore;
            isSent = socket.send(it, more | zmq::send_flags::dontwait).has_value() && isSent;
            if (isFirst && !isSent)
                return false;
        }
        return isSent;
    }

    /// \returns the frames of the next message, or what is left of it; none if there is nothing to read.
    std::vector<zmq::message_t> receiveFrames(zmq::socket_t& socket)
    {
        std::vector<zmq::message_t> frames;
        do {
            zmq::message_t frame;
            if (!socket.recv(frame, zmq::recv_flags::dontwait))
                return {};
            frames.push_back(std::move(frame));
        } while (frames.back().more());
        return frames;
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
    , m_bulkPacer(m_options.linkBytesPerSecond)
{
    m_context->set(zmq::ctxopt::max_sockets, 16000);
    m_drainEvent = event_new(
        base, -1, 0,
        [](evutil_socket_t, short what, void* self) {
            auto& peers = *static_cast<PeerSocket*>(self);
            if (what & EV_TIMEOUT)
                peers.m_taken = 0;
            peers.drainDirty();
        },
        this);
    m_bulkEvent = event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* self) { static_cast<PeerSocket*>(self)->sendBulk(monotonicNow()); },
        this);
}

PeerSocket::~PeerSocket()
{
    if (m_routerEvent)
        event_free(m_routerEvent);
    event_free(m_drainEvent);
    event_free(m_bulkEvent);
    m_links.clear();
}

Result<std::unique_ptr<PeerSocket>, std::string> PeerSocket::bind(
    event_base* base, Options options, Handler handler)
{
    try {
        std::unique_ptr<PeerSocket> peers(new PeerSocket(base, std::move(options), std::move(handler)));
        auto& router = *peers->m_router;
        peers->setBounds(router);
        router.set(zmq::sockopt::router_handover, true);
        router.set(zmq::sockopt::router_mandatory, true);
        const auto& bound = peers->m_options.bindAddress;
        router.bind("tcp://" + (bound.empty() ? peers->m_options.address : bound));
        const auto onReadable = [](evutil_socket_t, short, void* self) {
            static_cast<PeerSocket*>(self)->m_taken = 0;
            static_cast<PeerSocket*>(self)->drainRouter();
        };
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
    auto it = m_links.find(address);
    // Opening may throw, as when descriptors run out: no half of a link may stay.
    if (it == m_links.end())
        it = m_links.emplace(address, openLink(address, now)).first;
    auto& link = *it->second;
    link.lastUsed = std::max(link.lastUsed, now);
    return link;
}

std::unique_ptr<PeerSocket::Link> PeerSocket::openLink(const std::string& address, Instant now)
{
    auto link = std::make_unique<Link>(this, address, *m_context);
    link->opened = now;
    auto& socket = link->socket;
    setBounds(socket);
    socket.set(zmq::sockopt::immediate, true);
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
        readable->owner->m_taken = 0;
        readable->owner->drainLink(*readable);
    };
    link->watcher
        = event_new(m_base, socket.get(zmq::sockopt::fd), EV_READ | EV_PERSIST, onReadable, link.get());
    event_add(link->watcher, nullptr);
    return link;
}

void PeerSocket::setBounds(zmq::socket_t& socket) const
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, m_options.highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, m_options.highWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, m_options.maxMessage);
    socket.set(zmq::sockopt::sndbuf, sendBufferFor(m_options.linkBytesPerSecond));
}

bool PeerSocket::sendTo(
    zmq::socket_t& socket, proto::PeerMessage& message, const std::string& route, Link* link)
{
    message.set_from(m_options.node);
    message.set_from_address(m_options.address);
    message.set_incarnation(m_options.incarnation);
    auto frames = framesOf(message);
    const auto n = bytesOf(frames);
    if (isTooLong(n))
        return false;
    if (!route.empty())
        frames.insert(frames.begin(), zmq::message_t(route));
    const bool isSent = sendFrames(socket, frames);
    drainSoon(link);
    if (!isSent)
        return false;
    auto& traffic = m_sent[message.body_case()];
    ++traffic.messages;
    traffic.bytes += n;
    return true;
}

bool PeerSocket::isTooLong(std::size_t bytes) const
{
    // ZeroMQ bounds each frame, not the whole.
    if (bytes <= static_cast<std::size_t>(m_options.maxMessage))
        return false;
    log(LogLevel::Warning, "peer-message-too-long", { { "bytes", std::uint64_t { bytes } } });
    return true;
}

SendResult PeerSocket::send(const std::string& address, proto::PeerMessage& message, Instant now)
{
    try {
        auto& link = linkTo(address, now);
        if (sendTo(link.socket, message, "", &link)) {
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
    const auto bytes = message.ByteSizeLong();
    if (m_bulkPacer.isBulk(bytes)) {
        if (isTooLong(bytes))
            return false;
        m_bulk.push_back({ to.route, message, bytes });
        sendBulk(now);
        return true;
    }
    try {
        return sendTo(*m_router, message, to.route, nullptr);
    } catch (const zmq::error_t&) {
        return false; // the link is gone, and so is who asked
    }
}

void PeerSocket::sendBulk(Instant now)
{
    while (!m_bulk.empty() && now >= m_bulkPacer.freeAt()) {
        auto held = std::move(m_bulk.front());
        m_bulk.pop_front();
        try {
            if (sendTo(*m_router, held.message, held.route, nullptr))
                m_bulkPacer.went(held.bytes, now);
        } catch (const zmq::error_t&) {
            continue; // the link is gone, and so is who asked
        }
    }
    if (m_bulk.empty())
        return;
    const auto tv = internal::toTimeval(m_bulkPacer.freeAt() - now);
    event_add(m_bulkEvent, &tv);
}

void PeerSocket::drainSoon(Link* link)
{
    if (link && !link->isDirty) {
        link->isDirty = true;
        m_dirty.push_back(link);
    }
    if (m_taken < takenAtOnce)
        return event_active(m_drainEvent, EV_READ, 0);
    // What is made active is run in this turn of the loop, a timer in a later one.
    const timeval atOnce {};
    event_add(m_drainEvent, &atOnce);
}

bool PeerSocket::mayTake(Link* link)
{
    if (m_taken++ < takenAtOnce)
        return true;
    drainSoon(link);
    return false;
}

void PeerSocket::drainDirty()
{
    // Links first: what comes there this node has asked for, while others decide what comes to the router.
    for (auto* link : std::exchange(m_dirty, {})) {
        link->isDirty = false;
        drainLink(*link);
    }
    drainRouter();
}

void PeerSocket::drainRouter()
{
    while ((m_router->get(zmq::sockopt::events) & ZMQ_POLLIN) && mayTake(nullptr)) {
        zmq::message_t route;
        if (!m_router->recv(route, zmq::recv_flags::dontwait))
            return;
        // Without a payload it is none of ours.
        const auto frames = route.more() ? receiveFrames(*m_router) : std::vector<zmq::message_t>();
        deliver(route.to_string(), frames);
    }
}

void PeerSocket::drainLink(Link& link)
{
    while ((link.socket.get(zmq::sockopt::events) & ZMQ_POLLIN) && mayTake(&link)) {
        const auto frames = receiveFrames(link.socket);
        if (frames.empty())
            return;
        deliver("", frames);
    }
}

void PeerSocket::drainAll(Link& link)
{
    while (link.socket.get(zmq::sockopt::events) & ZMQ_POLLIN) {
        const auto frames = receiveFrames(link.socket);
        if (frames.empty())
            return;
        deliver("", frames);
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
    if (hasEnded)
        drainAll(link);
    else
        drainLink(link);
    if (hasEnded && m_lost)
        m_lost(std::string(link.address));
}

void PeerSocket::deliver(const std::string& route, const std::vector<zmq::message_t>& frames)
{
    const auto n = bytesOf(frames);
    if (isTooLong(n))
        return;
    proto::PeerMessage message;
    if (frames.empty() || !parseFrames(frames, message)) {
        log(LogLevel::Warning, "peer-message-malformed", { { "bytes", std::uint64_t { n } } });
        return;
    }
    auto& traffic = m_received[message.body_case()];
    ++traffic.messages;
    traffic.bytes += n;
    m_handler({ message.from(), message.from_address(), message.incarnation(), route }, message);
}

void PeerSocket::setLinger(Duration longest)
{
    m_router->set(zmq::sockopt::linger, toMs(longest));
    for (auto& [address, link] : m_links)
        link->socket.set(zmq::sockopt::linger, toMs(longest));
}

void PeerSocket::closeIdle(Instant now)
{
    std::erase_if(m_links, [&](const auto& it) {
        return !it.second->isDirty && now - it.second->lastUsed > m_options.idleTimeout;
    });
}

} // namespace robinrun
