#pragma once

#include "Http/HttpPool.h"
#include "Http/internal/HttpParser.h"

#include <event2/bufferevent.h>
#include <optional>

namespace robinrun::internal {

/// \brief One connection of a pool to its server; carries one request at a time.
class ClientConnection {
public:
    /// \brief Starts to connect.
    ClientConnection(HttpPool& pool, const std::string& ip, std::uint16_t port);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// \brief Sends a request; the pool's finished() tells how it ended.
    void send(std::uint64_t number, const HttpRequest& request, std::string_view host,
        std::function<bool(const HttpReply&)> isOurs, const SharedBytes& body);

    /// \brief Rests in the pool, for \a longest at most.
    void rest(Duration longest, Instant now);
    /// \returns whether nothing has come while it rested: neither bytes, which belong to no request, nor its
    /// end. Cost: a system call.
    bool isQuiet() const;
    /// \returns how long it has rested.
    Duration rested(Instant now) const { return now - m_restingSince; }

private:
    static void readable(bufferevent*, void* self);
    static void eventCame(bufferevent*, short what, void* self);
    void readOn();
    /// \brief The connection, or one direction of it, has failed or ended, as the bits of libevent say.
    void ended(short what);
    /// \returns whether the pool has room for what the reply has so far.
    bool hasRoom();
    void fail(HttpErrorKind kind, bool isRefused = false);

    HttpPool* m_pool;
    bufferevent* m_buffer;
    std::optional<ReplyParser> m_parser; ///< while a request is out
    std::function<bool(const HttpReply&)> m_isOurs;
    std::uint64_t m_number = 0;
    bool m_isConnected = false;
    bool m_hasWriteFailed = false; ///< for good: such a connection is never used again
    unsigned m_surplus = 0; ///< replies to other requests that came during this one
    MemoryBudget::Share m_room; ///< for the reply
    Instant m_restingSince {};
};

} // namespace robinrun::internal
