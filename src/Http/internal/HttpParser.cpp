#include "Http/internal/HttpParser.h"

#include "Http/HttpStatus.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <event2/buffer.h>

namespace robinrun::internal {
namespace {

    namespace http = boost::beast::http;
    using namespace httpStatus;

    /// Replies carry few fields; what is longer is no reply.
    constexpr std::uint32_t maxReplyHeaders = 64U << 10U;
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    constexpr int switchingProtocols = 101;
    constexpr int firstFinalStatus = 200;
    /// Interim replies to one request; a server that goes on and on with them never answers.
    constexpr unsigned maxInterimReplies = 64;
    /// A body in chunks that is longer gets room for the longest one: pages that are not written cost
    /// nothing, while a buffer that grows is there twice each time.
    constexpr std::size_t reserveFrom = 1U << 20U;
    constexpr unsigned firstVersionWithHost = 11; // as the parser counts: HTTP/1.1
    constexpr unsigned firstVersionWithCodings = 11;
    constexpr int noContent = 204;
    constexpr int notModified = 304;

    std::string toString(boost::beast::string_view s)
    {
        return { s.data(), s.size() };
    }

    template <class Fields> HttpHeaders readHeaders(const Fields& fields)
    {
        HttpHeaders out;
        for (const auto& it : fields)
            out.emplace_back(toString(it.name_string()), toString(it.value()));
        return out;
    }

    std::string_view contents(evbuffer* in)
    {
        const auto n = evbuffer_get_length(in);
        return { reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), n };
    }

    int statusOf(const boost::beast::error_code& ec)
    {
        if (ec == http::error::header_limit)
            return headersTooLarge;
        return ec == http::error::body_limit ? bodyTooLarge : badRequest;
    }

    /// \returns whether one of the header lines at the start of \a head, which may be the empty line that
    /// ends the header, goes on in the next line.
    bool hasFoldedField(std::string_view head)
    {
        const auto end = head.starts_with("\r\n") ? 0 : head.find("\r\n\r\n");
        for (auto at = head.find("\r\n"); at < end; at = head.find("\r\n", at + 2)) {
            if (at + 2 < head.size() && (head[at + 2] == ' ' || head[at + 2] == '\t'))
                return true;
        }
        return false;
    }

    /// \returns whether \a fields name `chunked` as the only transfer coding, once.
    bool isChunkedAlone(const http::fields& fields)
    {
        std::size_t codings = 0;
        bool isChunked = false;
        const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
        for (auto it = first; it != last; ++it) {
            const auto value = it->value();
            for (const auto coding : listItems({ value.data(), value.size() })) {
                ++codings;
                isChunked = equalIgnoringCase(coding, "chunked");
            }
        }
        return codings == 1 && isChunked;
    }

    void add(evbuffer* out, std::string_view s)
    {
        evbuffer_add(out, s.data(), s.size());
    }

    /// \brief Adds \a bytes without a copy; they live until they went out or \a out is freed.
    void addShared(evbuffer* out, const SharedBytes& bytes)
    {
        const auto release
            = [](const void*, std::size_t, void* held) { delete static_cast<SharedBytes*>(held); };
        auto held = std::make_unique<SharedBytes>(bytes);
        if (evbuffer_add_reference(out, bytes->data(), bytes->size(), release, held.get()) == 0)
            held.release(); // NOLINT(bugprone-unused-return-value): the buffer owns it now
    }

    void writeFields(evbuffer* out, const HttpHeaders& headers)
    {
        for (const auto& [name, value] : headers) {
            if (isHopByHop(name))
                continue;
            add(out, name);
            add(out, ": ");
            add(out, value);
            add(out, "\r\n");
        }
    }

} // namespace

struct RequestParser::State {
    http::request_parser<http::string_body> parser;
    bool isHeaderChecked = false;
};

RequestParser::RequestParser(std::size_t maxHeaders, std::size_t maxBody)
    : m_maxHeaders(maxHeaders)
    , m_maxBody(maxBody)
{
}

RequestParser::~RequestParser() = default;

Result<void, int> RequestParser::feed(evbuffer* in)
{
    if (!m_state) {
        m_state = std::make_unique<State>();
        m_state->parser.eager(true);
        m_state->parser.header_limit(static_cast<std::uint32_t>(m_maxHeaders));
        m_state->parser.body_limit(m_maxBody);
    }
    while (evbuffer_get_length(in) > 0 && !isDone()) {
        std::size_t used = 0;
        auto result = parse(contents(in), used);
        evbuffer_drain(in, used);
        if (!result)
            return result;
        if (!used)
            break;
    }
    // The parser takes trailers, and the line of a chunk's size, only whole.
    if (!isDone() && evbuffer_get_length(in) > m_maxHeaders)
        return failure(headersTooLarge);
    auto& body = m_state->parser.get().body();
    if (m_state->parser.chunked() && body.size() > reserveFrom && body.capacity() < m_maxBody)
        body.reserve(m_maxBody);
    return boost::outcome_v2::success();
}

Result<void, int> RequestParser::parse(std::string_view bytes, std::size_t& used)
{
    m_hasStarted = true;
    if (!m_state->parser.is_header_done() && hasFoldedField(bytes))
        return failure(badRequest);
    boost::beast::error_code ec;
    used = m_state->parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (ec && ec != http::error::need_more)
        return failure(statusOf(ec));
    if (m_state->parser.is_header_done() && !std::exchange(m_state->isHeaderChecked, true) && !isProper())
        return failure(badRequest);
    return boost::outcome_v2::success();
}

bool RequestParser::isProper() const
{
    const auto& message = m_state->parser.get();
    const auto target = message.target();
    const bool hasTarget = !target.empty() && (target.front() == '/' || target == "*");
    const bool hasTwoFramings
        = message.count(http::field::transfer_encoding) && message.count(http::field::content_length);
    const auto hosts = message.count(http::field::host);
    const bool hasProperHost = message.version() >= firstVersionWithHost ? hosts == 1 : hosts <= 1;
    return hasTarget && !hasTwoFramings && hasProperHost;
}

bool RequestParser::isHeaderDone() const
{
    return m_state && m_state->parser.is_header_done();
}

std::size_t RequestParser::bodyBytes() const
{
    return m_state ? m_state->parser.get().body().size() : 0;
}

std::optional<std::uint64_t> RequestParser::announcedBytes() const
{
    if (!isHeaderDone())
        return std::nullopt;
    const auto n = m_state->parser.content_length();
    return n ? std::optional<std::uint64_t>(*n) : std::nullopt;
}

bool RequestParser::isDone() const
{
    return m_state && m_state->parser.is_done();
}

bool RequestParser::takesContinue()
{
    if (m_hasContinued || !m_state || !m_state->parser.is_header_done() || isDone())
        return false;
    m_hasContinued = true;
    return m_state->parser.get()[http::field::expect] == "100-continue";
}

void RequestParser::drop()
{
    m_state.reset();
}

HttpRequest RequestParser::take()
{
    auto message = m_state->parser.release();
    m_state.reset();
    m_hasStarted = false;
    m_hasContinued = false;
    return { toString(message.method_string()), toString(message.target()), readHeaders(message),
        std::move(message.body()) };
}

bool RequestParser::isKeptAlive() const
{
    return m_state->parser.keep_alive();
}

struct ReplyParser::State {
    http::response_parser<http::string_body> parser;
    HttpHeaders headers; ///< once the header is whole
};

ReplyParser::ReplyParser(std::size_t maxBody, bool hasNoBody)
    : m_maxBody(maxBody)
    , m_hasNoBody(hasNoBody)
{
    restart();
}

ReplyParser::~ReplyParser() = default;

void ReplyParser::restart()
{
    m_state = std::make_unique<State>();
    m_state->parser.header_limit(maxReplyHeaders);
    m_state->parser.body_limit(m_maxBody);
    m_state->parser.skip(m_hasNoBody);
}

Result<void, HttpErrorKind> ReplyParser::feed(evbuffer* in)
{
    while (evbuffer_get_length(in) > 0 && !isDone()) {
        m_hasStarted = true;
        const auto bytes = contents(in);
        const bool isInHeader = !m_state->parser.is_header_done();
        boost::beast::error_code ec;
        const auto used = m_state->parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        // Only whole fields are taken, so a folded one stands whole in the bytes that were.
        if (isInHeader && hasFoldedField(bytes.substr(0, used)))
            return failure(HttpErrorKind::Broken);
        evbuffer_drain(in, used);
        if (ec == http::error::body_limit || ec == http::error::header_limit)
            return failure(HttpErrorKind::TooLarge);
        if (ec && ec != http::error::need_more)
            return failure(HttpErrorKind::Broken);
        if (isInHeader && m_state->parser.is_header_done() && !takeHeader())
            return failure(HttpErrorKind::Broken);
        // The parser bounds bodies in chunks and those that end with the connection, not announced ones.
        if (!isDone() && m_state->parser.is_header_done()
            && m_state->parser.content_length().value_or(0) > m_maxBody)
            return failure(HttpErrorKind::TooLarge);
        if (isDone() && m_state->parser.get().result_int() < firstFinalStatus) {
            if (++m_interim > maxInterimReplies)
                return failure(HttpErrorKind::Broken);
            restart();
            continue;
        }
        if (!used)
            break;
    }
    if (!isDone() && evbuffer_get_length(in) > maxReplyHeaders)
        return failure(HttpErrorKind::TooLarge);
    return boost::outcome_v2::success();
}

bool ReplyParser::takeHeader()
{
    const auto& message = m_state->parser.get();
    const auto status = static_cast<int>(message.result_int());
    if (status < firstStatus || status > lastStatus || status == switchingProtocols)
        return false;
    const bool isBodyless
        = m_hasNoBody || status < firstFinalStatus || status == noContent || status == notModified;
    const bool isCoded = message.count(http::field::transfer_encoding) > 0;
    const bool mayBeCoded = message.version() >= firstVersionWithCodings && isChunkedAlone(message);
    if (!isBodyless && isCoded && !mayBeCoded)
        return false;
    // Read before the body: the parser adds the fields of a trailer to those of the header.
    m_state->headers = readHeaders(message);
    m_state->parser.eager(true);
    return true;
}

std::size_t ReplyParser::bodyBytes() const
{
    return m_state->parser.get().body().size();
}

void ReplyParser::end()
{
    boost::beast::error_code ec;
    if (m_state->parser.got_some())
        m_state->parser.put_eof(ec);
}

bool ReplyParser::isDone() const
{
    return m_state->parser.is_done();
}

bool ReplyParser::isKeptAlive() const
{
    return m_state->parser.keep_alive();
}

HttpReply ReplyParser::take()
{
    auto message = m_state->parser.release();
    auto headers = std::move(m_state->headers);
    restart();
    m_hasStarted = false;
    return { static_cast<int>(message.result_int()), std::move(headers), std::move(message.body()) };
}

bool isMethod(std::string_view name)
{
    return http::string_to_verb({ name.data(), name.size() }) != http::verb::unknown;
}

void writeRequest(evbuffer* out, const HttpRequest& request, std::string_view host, const SharedBytes& body)
{
    const auto& bytes = body ? *body : request.body;
    add(out, request.method);
    add(out, " ");
    add(out, request.target);
    add(out, " HTTP/1.1\r\nHost: ");
    add(out, host);
    add(out, "\r\n");
    writeFields(out, request.headers);
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD";
    if (mayHaveBody || !bytes.empty())
        add(out, "Content-Length: " + std::to_string(bytes.size()) + "\r\n");
    add(out, "\r\n");
    if (body && !body->empty())
        addShared(out, body);
    else
        add(out, bytes);
}

void writeReply(evbuffer* out, const HttpReply& reply, bool isLast, bool hasNoBody)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(reply.status));
    add(out, "HTTP/1.1 " + std::to_string(reply.status) + " " + toString(reason) + "\r\n");
    writeFields(out, reply.headers);
    const bool isBodyless = reply.status == noContent || reply.status == notModified;
    if (!isBodyless)
        add(out, "Content-Length: " + std::to_string(reply.body.size()) + "\r\n");
    if (isLast)
        add(out, "Connection: close\r\n");
    add(out, "\r\n");
    if (!isBodyless && !hasNoBody)
        add(out, reply.body);
}

} // namespace robinrun::internal
