#pragma once

#include "Http/HttpServer.h"
#include "Http/internal/HttpParser.h"

#include <event2/bufferevent.h>
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
    void handOn();
    void refuse(int status);
    void close();
    void ended();

    HttpServer* m_server;
    bufferevent* m_buffer;
    std::string m_peer;
    RequestParser m_parser;
    Instant m_waitsSince;
    Phase m_phase = Phase::Reading;
    HttpExchange* m_exchange = nullptr;
    bool m_isLast = false;
    bool m_isHead = false;
    bool m_isReading = false; ///< inside readOn(): an answer given at once must not recurse
    bool m_isOver = false; ///< ended while inside readOn()
};

} // namespace robinrun::internal
