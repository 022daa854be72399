#pragma once

#include "Core/EnumNames.h"
#include "Core/Hash.h"
#include "Core/Result.h"
#include "Core/Time.h"
#include "Wire/BulkPacer.h"
#include "peer.pb.h"

#include <cstdint>
#include <deque>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace zmq {
class context_t;
class socket_t;
class message_t;
} // namespace zmq

namespace robinrun {

/// \brief Bytes and messages by purpose, for the budgets of control traffic.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// \brief What became of a message. Only `Sent` ones may ever arrive.
enum class SendResult {
    Sent,
    Connecting, ///< the link was opened a moment ago and doesn't stand yet: worth another try soon
    Unreachable, ///< the peer isn't there, or takes no more
};

template <> struct EnumNames<SendResult> {
    static constexpr std::array<std::string_view, 3> names { "sent", "connecting", "unreachable" };
};

/// \brief Messages between nodes over ZeroMQ: one ROUTER that listens, one DEALER for each peer that is
/// talked to.
///
/// ZeroMQ stores nothing for peers that aren't there: sockets are immediate, don't linger and have bounded
/// queues, so that a send which can't go out now fails at once. Its descriptors are edge-triggered; each is
/// drained to the end whenever it fires and after every send, some messages in each turn of the loop. Links
/// idle for `idleTimeout` are closed. Cost: a link is about 60 KB on each side, mostly in ZeroMQ.
///
/// A link on which nothing whole comes for two heartbeats ends. A long message goes out in frames
/// (MessageFrames.h), each of which is a sign of life where it arrives, and heartbeats pass between them. It
/// reaches the peer's handler whole or not at all. Messages to one peer keep their order, so that a small
/// one waits for a long one that has gone before it. Long answers of one node go out one after the other,
/// whichever peers they are for (BulkPacer.h); one that still waits when its link ends is dropped, as one
/// under way would be. What the kernel holds of a link that isn't taken yet is bounded: a heartbeat waits for
/// at most 64 KB of its own link. That bounds the rate of a link to 64 KB in the time of a way there and back
/// (32 MB/s at 2 ms). Nodes that read only single frames pass long messages over; theirs are read.
class PeerSocket {
public:
    /// Heartbeats that stay out before a link ends.
    static constexpr int missedHeartbeats = 2;

    /// \brief Where an answer goes: back along the link the message came by, or to a link of our own.
    struct Sender {
        std::string node;
        std::string address;
        std::uint64_t incarnation = 0;
        std::string
            route {}; ///< ZeroMQ's name of the incoming link; "" if it came as an answer on our own link

        /// \returns one number for this life of this node. The incarnation alone is none: nodes that start
        /// in the same microsecond have the same.
        std::uint64_t life() const { return hash64(node, incarnation); }
    };
    using Handler = std::function<void(const Sender&, proto::PeerMessage&)>;
    using Lost = std::function<void(const std::string& address)>;

    struct Options {
        std::string address; ///< ip:port by which peers reach this socket
        std::string bindAddress; ///< bound in its place; "" for the same
        std::string node;
        std::uint64_t incarnation = 0;
        int highWaterMark = 5000; ///< messages queued to one peer
        std::int64_t maxMessage = 80LL << 20; ///< bytes; longer ones are neither sent nor read
        Duration idleTimeout = 120s;
        Duration heartbeat = 5s; ///< between two on a link; two that stay out end it
        Duration longestReconnect = 2s; ///< between two tries to connect; the first comes after 50 ms
        double linkBytesPerSecond = 0; ///< that this host's network link carries; 0: not known
        Duration connectPatience = 500ms; ///< a link that has never stood is `Connecting` for so long
    };

    static Result<std::unique_ptr<PeerSocket>, std::string> bind(
        event_base* base, Options options, Handler handler);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// \brief Sends to the node at \a address, opening a link if there is none. A message that isn't `Sent`
    /// is gone.
    SendResult send(const std::string& address, proto::PeerMessage& message, Instant now);

    /// \brief Runs \a f when a link of our own ends: answers to what was sent over it don't come any more.
    void onLost(Lost f) { m_lost = std::move(f); }

    /// \brief Answers along the link that a message came by. \returns false if the link is gone.
    bool answer(const Sender& to, proto::PeerMessage& message, Instant now);

    /// \brief Closes links that were idle; to be called now and then.
    void closeIdle(Instant now);

    /// \brief What is queued when this is destroyed may still go out, for so long at most; else it is
    /// dropped. Destroying it then waits, if something is queued.
    void setLinger(Duration longest);
    /// \returns whether answers that were taken have not gone out yet. A node that ended now would lose them.
    bool holdsAnswers() const { return !m_bulk.empty(); }

    std::size_t links() const { return m_links.size(); }

    /// \returns what was sent and received so far, by kind of message (the number of its field).
    const std::unordered_map<int, Traffic>& sentByKind() const { return m_sent; }
    const std::unordered_map<int, Traffic>& receivedByKind() const { return m_received; }

private:
    struct Link;
    static Instant neededUntil(const proto::PeerMessage& message, Instant now);
    PeerSocket(event_base* base, Options options, Handler handler);
    Link& linkTo(const std::string& address, Instant now);
    /// \throws zmq::error_t if there is no socket for it.
    std::unique_ptr<Link> openLink(const std::string& address, Instant now);
    bool sendTo(zmq::socket_t& socket, proto::PeerMessage& message, const std::string& route, Link* link);
    /// \brief Sends the long answers that may go by now.
    void sendBulk(Instant now);
    bool isTooLong(std::size_t bytes) const;
    void setBounds(zmq::socket_t& socket) const;
    void drainDirty();
    void drainRouter();
    void drainLink(Link& link);
    /// \returns whether one more message may be taken in this turn of the loop; if not, a later one goes on.
    bool mayTake(Link* link);
    void drainAll(Link& link);
    void drainMonitor(Link& link);
    void watchEnd(Link& link);
    void deliver(const std::string& route, const std::vector<zmq::message_t>& frames);
    void drainSoon(Link* link);

    event_base* m_base;
    Options m_options;
    Handler m_handler;
    Lost m_lost;
    std::unique_ptr<zmq::context_t> m_context;
    std::unique_ptr<zmq::socket_t> m_router;
    event* m_routerEvent = nullptr;
    event* m_drainEvent = nullptr;
    int m_taken = 0; ///< messages, since the loop looked for what else there is
    std::unordered_map<std::string, std::unique_ptr<Link>> m_links;
    std::vector<Link*> m_dirty; ///< links sent on since they were last drained
    std::uint64_t m_watchedLinks = 0; ///< so far
    struct HeldAnswer {
        std::string route;
        proto::PeerMessage message;
        std::size_t bytes;
    };
    BulkPacer m_bulkPacer;
    std::deque<HeldAnswer> m_bulk; ///< long answers that wait for others to have gone
    event* m_bulkEvent = nullptr;
    std::unordered_map<int, Traffic> m_sent;
    std::unordered_map<int, Traffic> m_received;
};

} // namespace robinrun
