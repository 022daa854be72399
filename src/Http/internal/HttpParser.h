#pragma once

#include "Core/Result.h"
#include "Http/HttpTypes.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

struct evbuffer;

namespace robinrun::internal {

/// \brief Reads HTTP/1.1 requests off a connection, one after the other (Boost.Beast's parser).
///
/// Beyond the parser's own checks it refuses folded header fields and requests without exactly one Host
/// (RFC 9112, 3.2 and 5.2), since whoever reads such a request differently could be made to see another one.
/// Trailers and the line of a chunk's size are bounded as the header is.
class RequestParser {
public:
    RequestParser(std::size_t maxHeaders, std::size_t maxBody);
    ~RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// \brief Takes bytes out of \a in up to the end of the request, if it is there. The error is the status
    /// to refuse it with (400, 413 or 431); the connection can't be read on after that.
    Result<void, int> feed(evbuffer* in);

    bool hasStarted() const { return m_hasStarted; }
    bool isHeaderDone() const;
    bool isDone() const;

    /// \returns the bytes of the body so far.
    std::size_t bodyBytes() const;
    /// \returns the length of the body if the header names it.
    std::optional<std::uint64_t> announcedBytes() const;

    /// \returns whether the sender waits for a word before it sends the body; true once only.
    bool takesContinue();

    /// \brief Gives up what has been read. The connection can't be read on after that.
    void drop();

    /// \brief The whole request; the parser is then ready for the next one. Needs isDone().
    HttpRequest take();

    /// \returns whether the sender lets the connection go on after this request. Needs isDone().
    bool isKeptAlive() const;

private:
    struct State;
    Result<void, int> parse(std::string_view bytes, std::size_t& used);
    bool isProper() const;

    std::size_t m_maxHeaders;
    std::size_t m_maxBody;
    std::unique_ptr<State> m_state;
    bool m_hasStarted = false;
    bool m_hasContinued = false;
};

/// \brief Reads HTTP/1.1 replies off a connection; interim (1xx) replies are passed over.
///
/// Beyond the parser's own checks it refuses statuses outside 100 to 599 (RFC 9110, 15), 101, since no
/// request asks for another protocol, folded header fields (RFC 9112, 5.2), and bodies with a transfer coding
/// other than `chunked` alone, or with one in HTTP/1.0 (RFC 9112, 6.1), whose end or content can't be told.
/// Trailers are dropped (RFC 9110, 6.5.1).
class ReplyParser {
public:
    /// \param hasNoBody of a reply to HEAD.
    ReplyParser(std::size_t maxBody, bool hasNoBody);
    ~ReplyParser();
    ReplyParser(const ReplyParser&) = delete;
    ReplyParser& operator=(const ReplyParser&) = delete;

    /// \brief Takes bytes out of \a in up to the end of the reply, if it is there.
    Result<void, HttpErrorKind> feed(evbuffer* in);

    /// \brief The server has closed the connection in order, which ends a reply without a length.
    void end();

    bool isDone() const;
    bool hasStarted() const { return m_hasStarted; }

    /// \returns the bytes of the body so far.
    std::size_t bodyBytes() const;

    /// \returns whether the connection may carry another request. Needs isDone().
    bool isKeptAlive() const;

    /// \brief The whole reply. Needs isDone(). The parser then waits for another one.
    HttpReply take();

private:
    struct State;
    void restart();
    /// \brief Checks and reads the header, which is whole. \returns whether it is one of a reply.
    bool takeHeader();

    std::size_t m_maxBody;
    bool m_hasNoBody;
    std::unique_ptr<State> m_state;
    bool m_hasStarted = false;
    unsigned m_interim = 0; ///< replies that were passed over
};

/// \returns whether \a name is a method that can be sent.
bool isMethod(std::string_view name);

/// \brief Writes a request or a reply, with the length of its body. Fields of one connection are left out.
/// \param body in place of the request's own, if it is set; it is not copied.
void writeRequest(evbuffer* out, const HttpRequest& request, std::string_view host, const SharedBytes& body);
void writeReply(evbuffer* out, const HttpReply& reply, bool isLast, bool hasNoBody);

} // namespace robinrun::internal
