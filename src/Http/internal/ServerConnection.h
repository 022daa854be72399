#pragma once

#include "Http/HttpServer.h"
#include "Http/internal/HttpParser.h"

#include <event2/bufferevent.h>
#include <optional>
#include <string>

namespace robinrun::internal {

/// \brief One connection of a caller: reads a request, hands it on, writes its answer, reads the next one.
class ServerConnection {
public:
    /// \param fd an accepted connection, which this then owns. \param peer the caller's address, for the
    /// handler.
    ServerConnection(HttpServer& server, evutil_socket_t fd, std::string peer, Instant now);
    ~ServerConnection();
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    /// \brief Answers the request that was handed on.
    void reply(const HttpReply& reply);

    /// \returns whether a request has no answer yet, or one isn't with the system yet.
    bool hasUnwritten() const;

    /// \returns whether it waits for a whole request, or only for its caller to close it.
    bool isWaiting() const { return m_phase != Phase::Answering; }
    /// \returns whether its caller has not taken all answers yet.
    bool hasUntaken() const;
    /// \returns since when it has not been answering a request.
    Instant waitsSince() const { return m_waitsSince; }

    /// \brief Waits for the next request no longer than \a timeout.
    void setIdleTimeout(Duration timeout);

private:
    enum class Phase {
        Reading, ///< a request is awaited or comes in
        Answering, ///< the handler has it
        Closing, ///< the last answer goes out; what still comes in is dropped
    };

    static void readable(bufferevent*, void* self);
    static void written(bufferevent*, void* self);
    static void eventCame(bufferevent*, short what, void* self);
    void readOn();
    /// \brief Takes room for the body that comes in. \returns false if there is none.
    bool takeRoom();
    /// \returns whether so much of the answers waits for the caller that no other request is read.
    bool isPiledUp() const;
    /// \brief Ends the connection when nothing comes for \a read, or the caller takes nothing of its answers
    /// for the idle time; zero: never.
    void setTimeouts(Duration read);
    /// \brief Calls timeIsUp() after \a delay.
    void limitTime(Duration delay);
    /// \brief The request is not whole, or the caller has not closed the connection, in its time.
    void timeIsUp();
    void handOn();
    void refuse(int status);
    void close();
    void ended();

    HttpServer* m_server;
    bufferevent* m_buffer;
    std::string m_peer;
    RequestParser m_parser;
    MemoryBudget::Share m_room; ///< for the body that comes in
    event* m_timer; ///< for what must not take longer, whatever comes
    std::optional<std::size_t>
        m_bodyBytesBefore; ///< when the timer ran last; unset before the header is done
    Instant m_waitsSince;
    Phase m_phase = Phase::Reading;
    HttpExchange* m_exchange = nullptr;
    bool m_isLast = false;
    bool m_isHead = false;
    bool m_isReading = false; ///< inside readOn(): an answer given at once must not recurse
    bool m_isOver = false; ///< ended while inside readOn()
};

} // namespace robinrun::internal
